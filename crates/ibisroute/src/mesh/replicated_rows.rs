//! Local copy of the store's rows that the operator writes, and of the status rows of moves.
//!
//! Rows arrive from the store or from peers, in any order and repeatedly. The highest version of a
//! row wins, so that all nodes converge to the same state. A node may receive a row before an older one of
//! another key, so the highest version of all rows does not tell which rows it has; the digest of all
//! versions tells whether two nodes have the same.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
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

/// Digest of the keys and versions of all rows of a node; zero without rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsDigest(u64);

impl RowsDigest {
    /// Adds a row, or removes it if the digest contains it.
    fn toggle(&mut self, table: RowTable, key: &str, version: RowVersion) {
        let mut hash = Sha256::new();
        // No name of a table contains the separator.
        hash.update(table.name());
        hash.update([0]);
        hash.update(version.0.to_le_bytes());
        hash.update(key);
        let hash: [u8; 32] = hash.finalize().into();
        let (start, _) = hash.split_first_chunk::<8>().unwrap_or((&[0; 8], &[]));
        self.0 ^= u64::from_le_bytes(*start);
    }
}

/// Versions of the rows of a node, as it sends them to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsSummary {
    /// Highest version of all rows; zero without rows.
    pub newest: RowVersion,
    /// Version of the configuration row; zero if there is none.
    pub config: RowVersion,
    pub digest: RowsDigest,
}

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

/// How a node got a row other than from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowOrigin {
    /// From a read of the whole table.
    TableRead,
    /// From the store as a change: by a watch or after a conflict.
    Change,
    /// The node has written it.
    OwnWrite,
}

/// Key and version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedKey {
    pub table: RowTable,
    pub key: SmolStr,
    pub version: RowVersion,
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

impl ReplicatedRow {
    fn into_key(self) -> VersionedKey {
        VersionedKey { table: self.source, key: self.key, version: self.version }
    }
}

impl RowValue {
    /// Returns the approximate size on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Whole(value) => value.len(),
            Self::Delta(_, delta) => delta.bytes(),
        }
    }
}

/// Splits rows into those that fit into `max_bytes` together, shorter ones first, and the keys of the rest.
pub fn split_by_size(
    mut rows: Vec<ReplicatedRow>,
    max_bytes: usize,
) -> (Vec<ReplicatedRow>, Vec<VersionedKey>) {
    rows.sort_by_key(|row| row.value.bytes());
    let mut total_bytes = 0;
    let fitting = rows.iter().take_while(|row| {
        total_bytes += row.value.bytes();
        total_bytes <= max_bytes
    });
    let too_long = rows.split_off(fitting.count());
    (rows, too_long.into_iter().map(ReplicatedRow::into_key).collect())
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
#[derive(Clone, Debug, Default)]
pub struct ReplicatedRows {
    rows: BTreeMap<(RowTable, SmolStr), StoredRow>,
    /// Versions of rows that are held by peers and too long to be sent. They stay here until this node has
    /// the row or has rejected it.
    missing: BTreeMap<(RowTable, SmolStr), RowVersion>,
    /// Configuration row before the current one; base of the deltas that are sent to peers.
    previous_config: Option<StoredRow>,
    route_table: Option<Arc<RouteTable>>,
    newest: RowVersion,
    digest: RowsDigest,
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

    /// Returns the versions of the rows in the form in which peers receive them.
    pub fn summary(&self) -> RowsSummary {
        let (newest, config) = (self.newest, self.config_row_version());
        RowsSummary { newest, config, digest: self.digest }
    }

    /// Returns whether a peer may have a row that this node lacks. Of two nodes with different rows, at
    /// least the one without the newest row asks the other; then both have the same newest row, and each
    /// asks for what it still lacks.
    pub fn may_lack_rows_of(&self, peer: &RowsSummary) -> bool {
        peer.newest > self.newest || (peer.newest == self.newest && peer.digest != self.digest)
    }

    /// Returns whether a row of this node is to be sent to a peer with the given summary. A change may be
    /// older than what the peer has of other keys. The rows of a whole table mostly are nothing new, and
    /// after a restart many nodes read it, so they go only to peers that certainly lack them; others ask.
    pub fn lacks_row(
        &self,
        peer: &RowsSummary,
        table: RowTable,
        key: &str,
        origin: RowOrigin,
    ) -> bool {
        let version = self.version(table, key);
        if table == RowTable::Operator && key == CONFIG_KEY {
            return peer.config < version;
        }
        match origin {
            RowOrigin::TableRead => peer.newest < version,
            RowOrigin::Change | RowOrigin::OwnWrite => *peer != self.summary(),
        }
    }

    /// Returns the keys and versions of all rows.
    pub fn versions(&self) -> Vec<VersionedKey> {
        let versioned = |((table, key), stored): (&(RowTable, SmolStr), &StoredRow)| VersionedKey {
            table: *table,
            key: key.clone(),
            version: stored.version,
        };
        self.rows.iter().map(versioned).collect()
    }

    /// Records rows that a peer has and that are too long to be sent.
    pub fn record_missing(&mut self, keys: Vec<VersionedKey>) {
        for VersionedKey { table, key, version } in keys {
            if version > self.version(table, &key) {
                self.missing.insert((table, key), version);
            }
        }
    }

    /// Returns whether a row that was recorded as missing has not been received since.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns the version of a row; zero if there is none.
    pub fn version(&self, table: RowTable, key: &str) -> RowVersion {
        self.rows.get(&(table, SmolStr::new(key))).map_or(RowVersion(0), |r| r.version)
    }

    /// Applies a row from the store; a removed row, or one that is not newer than the local copy,
    /// has no effect.
    pub fn apply(&mut self, table: RowTable, row: RowChange) -> ApplyOutcome {
        // Removed rows leave the previous state in effect.
        let Some(value) = row.value else { return ApplyOutcome::Unchanged };
        if row.version <= self.version(table, &row.key) {
            return ApplyOutcome::Unchanged;
        }
        let id = (table, row.key.clone());
        self.missing.retain(|missing_id, version| *missing_id != id || *version > row.version);
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
        self.digest.toggle(table, &row.key, row.version);
        let stored = StoredRow { version: row.version, value };
        let replaced = self.rows.insert(id, stored);
        if let Some(replaced) = &replaced {
            self.digest.toggle(table, &row.key, replaced.version);
        }
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
                let stored = self.rows.get(&(replicated.source, replicated.key.clone()))?;
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

    /// Returns the rows that a peer lacks or has in an older version, given the versions that it has.
    pub fn newer_than(&self, held: &[VersionedKey]) -> Vec<ReplicatedRow> {
        let held: BTreeMap<(RowTable, &str), RowVersion> =
            held.iter().map(|k| ((k.table, k.key.as_str()), k.version)).collect();
        let rows = self.rows.iter().filter_map(|((table, key), stored)| {
            let held = held.get(&(*table, key.as_str())).copied().unwrap_or_default();
            (stored.version > held).then(|| self.replicated(*table, key, stored, held))
        });
        rows.collect()
    }

    /// Returns a row for a peer whose configuration row has version `peer_config`; `None` if this node
    /// lacks the row.
    pub fn row(
        &self,
        table: RowTable,
        key: &str,
        peer_config: RowVersion,
    ) -> Option<ReplicatedRow> {
        let stored = self.rows.get(&(table, SmolStr::new(key)))?;
        Some(self.replicated(table, key, stored, peer_config))
    }

    /// Returns a row for a peer that has it in version `held`, as a delta where that is possible.
    fn replicated(
        &self,
        table: RowTable,
        key: &str,
        stored: &StoredRow,
        held: RowVersion,
    ) -> ReplicatedRow {
        let is_config = table == RowTable::Operator && key == CONFIG_KEY;
        let base = self.previous_config.as_ref().filter(|p| is_config && p.version == held);
        let value = match base {
            Some(base) => {
                RowValue::Delta(base.version, ByteDelta::between(&base.value, &stored.value))
            }
            None => RowValue::Whole(stored.value.to_vec()),
        };
        ReplicatedRow { source: table, key: key.into(), version: stored.version, value }
    }
}
