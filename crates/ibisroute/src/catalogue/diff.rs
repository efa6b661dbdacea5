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
    /// The item is new; holds its JSON object.
    Added(Value),
    /// The item was removed; holds its former JSON object.
    Removed(Value),
    /// The item exists in both catalogues; holds the fields that differ.
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

/// Serializes the items to JSON, indexed by the value of their field `key`.
fn by_key<T: Serialize>(key: &str, items: &[T]) -> BTreeMap<String, Value> {
    items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok())
        .filter_map(|value| Some((value.get(key)?.as_str()?.to_string(), value)))
        .collect()
}

fn diff_items<T: Serialize>(subject: Subject, key: &str, from: &[T], to: &[T]) -> Vec<Change> {
    let mut old_items = by_key(key, from);
    let mut changes = Vec::new();
    for (name, new) in by_key(key, to) {
        let action = match old_items.remove(&name) {
            None => Action::Added(new),
            Some(old) if old == new => continue,
            Some(old) => {
                let mut field_changes = Vec::new();
                diff_values(String::new(), &old, &new, &mut field_changes);
                Action::Changed(field_changes)
            }
        };
        changes.push(Change { subject, name, action });
    }
    let removed = old_items.into_iter().map(|(name, value)| Change {
        subject,
        name,
        action: Action::Removed(value),
    });
    changes.extend(removed);
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

/// Appends the differences between two JSON values to `changes`. Objects are compared field by
/// field, other values as a whole.
fn diff_values(field_path: String, old: &Value, new: &Value, changes: &mut Vec<FieldChange>) {
    if old == new {
        return;
    }
    let (Value::Object(old_fields), Value::Object(new_fields)) = (old, new) else {
        changes.push(FieldChange { field: field_path, from: old.clone(), to: new.clone() });
        return;
    };
    let added_keys = new_fields.keys().filter(|key| !old_fields.contains_key(*key));
    for key in old_fields.keys().chain(added_keys) {
        let field_path =
            if field_path.is_empty() { key.clone() } else { format!("{field_path}.{key}") };
        let value_of =
            |map: &serde_json::Map<String, Value>| map.get(key).cloned().unwrap_or_default();
        diff_values(field_path, &value_of(old_fields), &value_of(new_fields), changes);
    }
}
