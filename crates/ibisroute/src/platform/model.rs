//! Requests, rows and errors of the platform client.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Revision of a row; rises with each write of the table.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A row as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: SmolStr,
    /// Value, any JSON.
    pub value: serde_json::Value,
    /// Revision of the write that made it.
    pub revision: Revision,
}

/// What a row must look like for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    pub key: SmolStr,
    /// The row's revision; `None` demands that it is absent.
    pub revision: Option<Revision>,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: serde_json::Value,
}

/// Writes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<SmolStr>,
}

/// A condition that did not hold, with the row that was there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key.
    pub key: SmolStr,
    /// The revision found; `None` when the row is absent.
    pub revision: Option<Revision>,
    /// The value found.
    pub value: Option<serde_json::Value>,
}

/// Outcome of a transaction whose answer arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All writes took effect.
    Committed,
    /// Nothing took effect.
    Conflicts(Vec<Conflict>),
}

/// Outcome of storing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// The object is new.
    Created,
    /// The same bytes were there already.
    Same,
    /// Other bytes are there; nothing was written.
    Different,
}

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// The request was refused and had no effect: over the rate ceiling, or in an outage.
    #[display("platform refused the request: {_0}")]
    Refused(String),
    /// No whole answer in time: a write may have taken effect.
    #[display("no answer from the platform: {_0}")]
    NoAnswer(String),
    /// The answer does not follow the platform's protocol.
    #[display("unexpected answer from the platform: {_0}")]
    Protocol(String),
}

impl std::error::Error for PlatformError {}
