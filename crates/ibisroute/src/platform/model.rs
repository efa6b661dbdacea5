//! Rows, transactions and errors of the platform.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Revision of a row; increases with each write to the table.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Row of the platform's table, as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: SmolStr,
    /// Content of the row; any JSON value.
    pub value: serde_json::Value,
    /// Revision of the row's last write.
    pub revision: Revision,
}

/// Condition on a row that must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: SmolStr,
    /// Required revision; `None` requires that the row is absent.
    pub revision: Option<Revision>,
}

/// Row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    pub key: SmolStr,
    pub value: serde_json::Value,
}

/// Writes that take effect atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    /// Rows to create or overwrite.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<SmolStr>,
}

/// Condition that did not hold, with the state of its row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    pub key: SmolStr,
    /// Current revision of the row; `None` if the row is absent.
    pub revision: Option<Revision>,
    /// Current value of the row; `None` if the row is absent.
    pub value: Option<serde_json::Value>,
}

/// Outcome of a transaction to which the platform responded.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All writes took effect.
    Committed,
    /// No write took effect; lists the conditions that did not hold.
    Conflicts(Vec<Conflict>),
}

/// Outcome of storing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was stored; no object had this name.
    Created,
    /// An object with the same name and bytes exists.
    Same,
    /// An object with the same name and other bytes exists; nothing was written.
    Different,
}

/// Reason why the platform gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// The request had no effect, because there was no connection, the rate limit was exceeded or the
    /// platform has an outage.
    #[display("platform refused the request: {_0}")]
    Refused(String),
    /// No complete, readable response arrived in time, so a write may have taken effect.
    #[display("no usable response from the platform: {_0}")]
    NoAnswer(String),
    /// The status of the response is not part of the platform's protocol.
    #[display("unexpected response from the platform: {_0}")]
    Protocol(String),
}

impl std::error::Error for PlatformError {}
