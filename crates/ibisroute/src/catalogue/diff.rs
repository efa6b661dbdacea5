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
pub enum ItemKind {
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
pub enum ChangeKind {
    /// The item is new; holds its JSON object.
    Added(Value),
    /// The item was removed; holds its former JSON object.
    Removed(Value),
    /// The item exists in both catalogues; holds the fields that differ.
    Changed(Vec<FieldChange>),
}

/// Change of one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemChange {
    pub subject: ItemKind,
    /// Name or id of the item.
    pub name: String,
    pub action: ChangeKind,
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Catalogue => "catalogue",
            Self::Service => "service",
            Self::Entry => "entry",
            Self::Move => "move",
        })
    }
}

impl fmt::Display for ItemChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.action {
            ChangeKind::Added(value) => write!(f, "+ {} {} {value}", self.subject, self.name),
            ChangeKind::Removed(value) => write!(f, "- {} {} {value}", self.subject, self.name),
            ChangeKind::Changed(fields) => {
                write!(f, "~ {} {}", self.subject, self.name)?;
                fields
                    .iter()
                    .try_for_each(|c| write!(f, "\n    {}: {} -> {}", c.field, c.from, c.to))
            }
        }
    }
}

/// Returns the changes from `from` to `to`, sorted by subject and name; empty when both are equal.
pub fn diff(from: &Catalogue, to: &Catalogue) -> Vec<ItemChange> {
    let (old, new) = (Document::from(from), Document::from(to));
    let mut changes = Vec::new();
    if old.name != new.name {
        let field = FieldChange {
            field: "name".to_string(),
            from: Value::from(old.name.as_str()),
            to: Value::from(new.name.as_str()),
        };
        changes.push(ItemChange {
            subject: ItemKind::Catalogue,
            name: new.name.to_string(),
            action: ChangeKind::Changed(vec![field]),
        });
    }
    changes.extend(diff_items(ItemKind::Service, "name", &old.services, &new.services));
    changes.extend(diff_items(ItemKind::Entry, "name", &old.entries, &new.entries));
    changes.extend(diff_items(ItemKind::Move, "id", &old.moves, &new.moves));
    changes
}

/// Serializes the items to JSON, indexed by the value of their field `key`.
fn index_by_key<T: Serialize>(key: &str, items: &[T]) -> BTreeMap<String, Value> {
    items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok())
        .filter_map(|value| Some((value.get(key)?.as_str()?.to_string(), value)))
        .collect()
}

fn diff_items<T: Serialize>(subject: ItemKind, key: &str, from: &[T], to: &[T]) -> Vec<ItemChange> {
    let mut old_by_key = index_by_key(key, from);
    let mut changes = Vec::new();
    for (name, new) in index_by_key(key, to) {
        let action = match old_by_key.remove(&name) {
            None => ChangeKind::Added(new),
            Some(old) if old == new => continue,
            Some(old) => {
                let mut field_changes = Vec::new();
                diff_values(String::new(), &old, &new, &mut field_changes);
                ChangeKind::Changed(field_changes)
            }
        };
        changes.push(ItemChange { subject, name, action });
    }
    let removals = old_by_key.into_iter().map(|(name, value)| ItemChange {
        subject,
        name,
        action: ChangeKind::Removed(value),
    });
    changes.extend(removals);
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
        let value_or_null =
            |map: &serde_json::Map<String, Value>| map.get(key).cloned().unwrap_or_default();
        diff_values(field_path, &value_or_null(old_fields), &value_or_null(new_fields), changes);
    }
}
