//! Local copy of the store's rows that the operator writes, and of the status rows of moves.
//!
//! Rows arrive from the store or from peers, in any order and repeatedly. The highest version of a
//! row wins, so that all nodes converge to the same state.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::byte_delta::ByteDelta;
use super::routes::RouteTable;
use crate::platform::operator;
use crate::platform::operator::CONFIG_KEY;
use crate::platform::operator::OPERATOR_TABLE;
use crate::platform::operator::ROLLOUT_PREFIX;
use crate::platform::operator::RowError;
use crate::platform::operator::STATUS_TABLE;
use crate::types::ServiceName;

use super::rollout::RolloutRequest;
use super::rollout::RolloutStatus;

/// Version of a row; increases over the whole store. Zero means that the row is absent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
pub struct RowVersion(pub u64);

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    pub key: SmolStr,
    /// Version that the store assigned when the row was written.
    pub version: RowVersion,
    /// `None` when the row was removed.
    pub value: Option<Bytes>,
}

/// Store tables whose rows are replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowTable {
    /// Configuration and rollout requests, which the operator writes.
    Operator,
    /// Status rows of moves, which the nodes write for the operator.
    Status,
}

impl RowTable {
    /// Returns the name that the store uses for the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TABLE,
            Self::Status => STATUS_TABLE,
        }
    }
}

/// A row as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedRow {
    pub source: RowTable,
    pub key: SmolStr,
    pub version: RowVersion,
    pub value: RowValue,
}

/// Value of a row as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RowValue {
    /// Complete value.
    Whole(Vec<u8>),
    /// Delta from the value that the row had in the given version.
    Delta(RowVersion, ByteDelta),
}

impl RowValue {
    /// Returns the approximate size on the wire in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Whole(value) => value.len(),
            Self::Delta(_, delta) => delta.bytes(),
        }
    }
}

/// Effect of applying a row.
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// The row is not newer than the local one, was removed, or has a key that nodes do not use.
    Unchanged,
    /// A new configuration is in effect.
    Config(Arc<RouteTable>),
    /// A new rollout request, with the version of its row.
    Rollout(RowVersion, RolloutRequest),
    /// A new status row of a service's move, with its version.
    RolloutStatus(ServiceName, RowVersion, RolloutStatus),
    /// The row is invalid; the previous state stays in effect.
    Rejected(SmolStr, RowError),
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: RowVersion,
    value: Bytes,
}

/// Replicated rows of a node.
#[derive(Debug, Default)]
pub struct ReplicatedRows {
    rows: BTreeMap<(&'static str, SmolStr), StoredRow>,
    /// Configuration row before the current one; base of the deltas that are sent to peers.
    previous_config: Option<StoredRow>,
    route_table: Option<Arc<RouteTable>>,
    newest: RowVersion,
}

impl ReplicatedRows {
    /// Returns the configuration in effect; `None` until one has been applied.
    pub fn config(&self) -> Option<&Arc<RouteTable>> {
        self.route_table.as_ref()
    }

    /// Returns the highest version of all rows; zero without rows.
    pub fn newest(&self) -> RowVersion {
        self.newest
    }

    /// Returns the version of the configuration row; zero if there is none.
    pub fn config_row_version(&self) -> RowVersion {
        self.version(RowTable::Operator, CONFIG_KEY)
    }

    /// Returns the version of a row; zero if there is none.
    pub fn version(&self, table: RowTable, key: &str) -> RowVersion {
        self.rows.get(&(table.name(), SmolStr::new(key))).map_or(RowVersion(0), |r| r.version)
    }

    /// Applies a row from the store; a removed row, or one that is not newer than the local copy,
    /// has no effect.
    pub fn apply(&mut self, table: RowTable, row: RowChange) -> ApplyOutcome {
        // Removed rows leave the previous state in effect.
        let Some(value) = row.value else { return ApplyOutcome::Unchanged };
        if row.version <= self.version(table, &row.key) {
            return ApplyOutcome::Unchanged;
        }
        let outcome = match (table, row.key.strip_prefix(ROLLOUT_PREFIX)) {
            (RowTable::Operator, None) if row.key == CONFIG_KEY => self.apply_config(&value),
            (RowTable::Operator, Some(_)) => match operator::decode_rollout_request(&value) {
                Ok(request) => ApplyOutcome::Rollout(row.version, request),
                Err(e) => ApplyOutcome::Rejected(row.key.clone(), e),
            },
            (RowTable::Status, Some(service)) => {
                match (service.parse(), operator::decode_rollout_status(&value)) {
                    (Ok(service), Ok(status)) => {
                        ApplyOutcome::RolloutStatus(service, row.version, status)
                    }
                    (Err(e), _) => ApplyOutcome::Rejected(row.key.clone(), RowError::Name(e)),
                    (_, Err(e)) => ApplyOutcome::Rejected(row.key.clone(), e),
                }
            }
            _ => return ApplyOutcome::Unchanged,
        };
        if matches!(outcome, ApplyOutcome::Rejected(..)) {
            return outcome;
        }
        self.newest = self.newest.max(row.version);
        let stored = StoredRow { version: row.version, value };
        let replaced = self.rows.insert((table.name(), row.key.clone()), stored);
        if table == RowTable::Operator && row.key == CONFIG_KEY {
            self.previous_config = replaced;
        }
        outcome
    }

    fn apply_config(&mut self, value: &[u8]) -> ApplyOutcome {
        match operator::decode_config(value) {
            Ok(table) => {
                let table = Arc::new(table);
                self.route_table = Some(table.clone());
                ApplyOutcome::Config(table)
            }
            Err(e) => ApplyOutcome::Rejected(SmolStr::new_static(CONFIG_KEY), e),
        }
    }

    /// Applies a row from a peer. Returns `None` when this node lacks the base of a delta and needs
    /// the complete row.
    pub fn apply_replicated(&mut self, replicated: ReplicatedRow) -> Option<ApplyOutcome> {
        if replicated.version <= self.version(replicated.source, &replicated.key) {
            return Some(ApplyOutcome::Unchanged);
        }
        let value = match replicated.value {
            RowValue::Whole(value) => value,
            RowValue::Delta(from, delta) => {
                let stored = self.rows.get(&(replicated.source.name(), replicated.key.clone()))?;
                if stored.version != from {
                    return None;
                }
                delta.apply(&stored.value)?
            }
        };
        let row = RowChange {
            key: replicated.key,
            version: replicated.version,
            value: Some(value.into()),
        };
        Some(self.apply(replicated.source, row))
    }

    /// Returns the rows for a peer whose newest row has version `newest` and whose configuration
    /// row has version `config`.
    pub fn since(&self, newest: RowVersion, config: RowVersion) -> Vec<ReplicatedRow> {
        let rows = self.rows.iter().filter(|(_, stored)| stored.version > newest);
        let mut rows_to_send: Vec<ReplicatedRow> = rows
            .filter(|((_, key), _)| key != CONFIG_KEY)
            .map(|((table, key), stored)| ReplicatedRow {
                source: if *table == OPERATOR_TABLE {
                    RowTable::Operator
                } else {
                    RowTable::Status
                },
                key: key.clone(),
                version: stored.version,
                value: RowValue::Whole(stored.value.to_vec()),
            })
            .collect();
        let config_key = (OPERATOR_TABLE, SmolStr::new_static(CONFIG_KEY));
        if let Some(stored) = self.rows.get(&config_key).filter(|r| r.version > config) {
            let base = self.previous_config.as_ref().filter(|p| p.version == config);
            let value = match base {
                Some(base) => {
                    RowValue::Delta(base.version, ByteDelta::between(&base.value, &stored.value))
                }
                None => RowValue::Whole(stored.value.to_vec()),
            };
            let version = stored.version;
            rows_to_send.push(ReplicatedRow {
                source: RowTable::Operator,
                key: config_key.1,
                version,
                value,
            });
        }
        rows_to_send
    }
}
