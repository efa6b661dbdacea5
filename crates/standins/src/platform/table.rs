//! In-memory table and object store, without I/O.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    pub value: Value,
    /// Revision of the transaction that wrote the row.
    pub revision: u64,
}

/// Required state of a row for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    pub key: String,
    /// Required revision; `None` requires that the row is absent.
    pub revision: Option<u64>,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    pub key: String,
    pub value: Value,
}

/// Writes that take effect atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// A condition that did not hold, with the state of the row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    pub key: String,
    /// Current revision; `None` when the row is absent.
    pub revision: Option<u64>,
    /// Current value; `None` when the row is absent.
    pub value: Option<Value>,
}

/// Outcome of storing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was created.
    Created,
    /// An object with this name and the same content exists; nothing was written.
    Same,
    /// An object with this name and different content exists; nothing was written.
    Different,
}

/// The rows and objects of the platform.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<String, (Value, u64)>,
    objects: BTreeMap<String, Bytes>,
    revision: u64,
}

impl Store {
    /// Commits the transaction and returns the revisions of the written rows by key. All rows of a
    /// transaction get the same revision. When a condition does not hold, changes nothing and
    /// returns the conflicts.
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
        let row = self.rows.get(&condition.key);
        let revision = row.map(|(_, revision)| *revision);
        (revision != condition.revision).then(|| Conflict {
            key: condition.key.clone(),
            revision,
            value: row.map(|(value, _)| value.clone()),
        })
    }

    /// Returns the row with this key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(value, revision)| Row {
            key: key.to_string(),
            value: value.clone(),
            revision: *revision,
        })
    }

    /// Returns at most `limit` rows, in key order, whose keys start with `prefix` and are greater
    /// than `after`. An empty `after` starts at the first row; the last key of a page continues
    /// after that page.
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

    /// Stores an object unless one with this name exists.
    pub fn put_object(&mut self, name: &str, bytes: Bytes) -> PutOutcome {
        match self.objects.get(name) {
            Some(found) if *found == bytes => PutOutcome::Same,
            Some(_) => PutOutcome::Different,
            None => {
                self.objects.insert(name.to_string(), bytes);
                PutOutcome::Created
            }
        }
    }

    /// Returns the content of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Deletes an object; does nothing when it is absent.
    pub fn delete_object(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Returns the names of all objects that start with `prefix`.
    pub fn object_names(&self, prefix: &str) -> Vec<String> {
        self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }
}
