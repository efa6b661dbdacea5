//! Human-readable difference between two catalogues.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::document::Document;
use super::model::Catalogue;

/// Kind of item that a change concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The catalogue itself; only its name can change.
    Catalogue,
    Service,
    Entry,
    Move,
}

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path within the item, for example `limits.deadline_ms`.
    pub field: String,
    /// Old value; null when the field was absent.
    pub from: Value,
    /// New value; null when the field is absent.
    pub to: Value,
}

/// How an item changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The item is new; holds its fields.
    Added(Value),
    /// The item was removed; holds its former fields.
    Removed(Value),
    /// The item exists in both catalogues with different fields.
    Changed(Vec<FieldChange>),
}

/// Change of one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub subject: Subject,
    /// Name or id of the item.
    pub name: String,
    pub action: Action,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Catalogue => "catalogue",
            Self::Service => "service",
            Self::Entry => "entry",
            Self::Move => "move",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.action {
            Action::Added(value) => write!(f, "+ {} {} {value}", self.subject, self.name),
            Action::Removed(value) => write!(f, "- {} {} {value}", self.subject, self.name),
            Action::Changed(fields) => {
                write!(f, "~ {} {}", self.subject, self.name)?;
                fields
                    .iter()
                    .try_for_each(|c| write!(f, "\n    {}: {} -> {}", c.field, c.from, c.to))
            }
        }
    }
}

/// Returns the changes from `from` to `to`, sorted by subject and name; empty when both are equal.
pub fn diff(from: &Catalogue, to: &Catalogue) -> Vec<Change> {
    let (old, new) = (Document::from(from), Document::from(to));
    let mut changes = Vec::new();
    if old.name != new.name {
        let field = FieldChange {
            field: "name".to_string(),
            from: Value::from(old.name.as_str()),
            to: Value::from(new.name.as_str()),
        };
        changes.push(Change {
            subject: Subject::Catalogue,
            name: new.name.to_string(),
            action: Action::Changed(vec![field]),
        });
    }
    changes.extend(diff_items(Subject::Service, "name", &old.services, &new.services));
    changes.extend(diff_items(Subject::Entry, "name", &old.entries, &new.entries));
    changes.extend(diff_items(Subject::Move, "id", &old.moves, &new.moves));
    changes
}

fn by_key<T: Serialize>(key: &str, items: &[T]) -> BTreeMap<String, Value> {
    items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok())
        .filter_map(|value| Some((value.get(key)?.as_str()?.to_string(), value)))
        .collect()
}

fn diff_items<T: Serialize>(subject: Subject, key: &str, from: &[T], to: &[T]) -> Vec<Change> {
    let mut old = by_key(key, from);
    let mut changes = Vec::new();
    for (name, new) in by_key(key, to) {
        let action = match old.remove(&name) {
            None => Action::Added(new),
            Some(old) if old == new => continue,
            Some(old) => {
                let mut fields = Vec::new();
                diff_values(String::new(), &old, &new, &mut fields);
                Action::Changed(fields)
            }
        };
        changes.push(Change { subject, name, action });
    }
    let removed =
        old.into_iter().map(|(name, v)| Change { subject, name, action: Action::Removed(v) });
    changes.extend(removed);
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

fn diff_values(path: String, old: &Value, new: &Value, fields: &mut Vec<FieldChange>) {
    if old == new {
        return;
    }
    let (Value::Object(a), Value::Object(b)) = (old, new) else {
        fields.push(FieldChange { field: path, from: old.clone(), to: new.clone() });
        return;
    };
    let added = b.keys().filter(|key| !a.contains_key(*key));
    for key in a.keys().chain(added) {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let value_of =
            |map: &serde_json::Map<String, Value>| map.get(key).cloned().unwrap_or_default();
        diff_values(path, &value_of(a), &value_of(b), fields);
    }
}
