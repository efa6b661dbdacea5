//! The table and the object store, in memory, without I/O.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value, any JSON.
    pub value: Value,
    /// Revision of the transaction that wrote it.
    pub revision: u64,
}

/// What a row must look like for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// The row's revision; `None` demands that the row is absent.
    pub revision: Option<u64>,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value, any JSON.
    pub value: Value,
}

/// Writes that take effect together when every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// A condition that did not hold, with the row that was found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key.
    pub key: String,
    /// The revision found; `None` when the row is absent.
    pub revision: Option<u64>,
    /// The value found.
    pub value: Option<Value>,
}

/// Outcome of storing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// The object is new.
    Created,
    /// The same bytes were there already.
    Same,
    /// Other bytes were there; nothing was written.
    Different,
}

/// Rows and objects.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<String, (Value, u64)>,
    objects: BTreeMap<String, Bytes>,
    revision: u64,
}

impl Store {
    /// Commits the whole transaction and returns the revisions of its puts, or changes nothing and
    /// returns the conditions that do not hold. All rows of a transaction get the same revision.
    pub fn transact(
        &mut self,
        transaction: Transaction,
    ) -> Result<BTreeMap<String, u64>, Vec<Conflict>> {
        let conflicts: Vec<_> =
            transaction.conditions.iter().filter_map(|c| self.conflict(c)).collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.revision += 1;
        for key in transaction.deletes {
            self.rows.remove(&key);
        }
        let mut revisions = BTreeMap::new();
        for put in transaction.puts {
            revisions.insert(put.key.clone(), self.revision);
            self.rows.insert(put.key, (put.value, self.revision));
        }
        Ok(revisions)
    }

    fn conflict(&self, condition: &Condition) -> Option<Conflict> {
        let found = self.rows.get(&condition.key);
        let revision = found.map(|(_, revision)| *revision);
        (revision != condition.revision).then(|| Conflict {
            key: condition.key.clone(),
            revision,
            value: found.map(|(value, _)| value.clone()),
        })
    }

    /// The row with this key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(value, revision)| Row {
            key: key.to_string(),
            value: value.clone(),
            revision: *revision,
        })
    }

    /// At most `limit` rows whose keys start with `prefix` and lie after `after`, in key order.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = prefix.max(after);
        self.rows
            .range(start.to_string()..)
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (value, revision))| Row {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }

    /// Stores an object unless other bytes have its name.
    pub fn put_object(&mut self, name: &str, bytes: Bytes) -> Stored {
        match self.objects.get(name) {
            Some(found) if *found == bytes => Stored::Same,
            Some(_) => Stored::Different,
            None => {
                self.objects.insert(name.to_string(), bytes);
                Stored::Created
            }
        }
    }

    /// The bytes of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Deletes an object; succeeds also when it is absent.
    pub fn delete_object(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Names of all objects that start with `prefix`.
    pub fn object_names(&self, prefix: &str) -> Vec<String> {
        self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }
}
