//! What the operator and the nodes have written to the store, as far as this node knows.
//!
//! Rows reach a node from the store or from peers, in any order and more than once. The highest
//! version of a row holds, so that all ways lead to the same state.

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

use super::rollout::Order;
use super::rollout::Progress;

/// Version of a row; rises over the whole store. Zero: the row is absent.
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

/// A row as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// Key of the row.
    pub key: SmolStr,
    /// Version of the write.
    pub version: RowVersion,
    /// Value; `None` when the row was removed.
    pub value: Option<Bytes>,
}

/// Tables that hold facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// Written by the operator.
    Operator,
    /// Written by the nodes for the operator.
    Status,
}

impl Source {
    /// Name of the table.
    pub fn table(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TABLE,
            Self::Status => STATUS_TABLE,
        }
    }
}

/// A row on its way between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FactRow {
    /// Table of the row.
    pub source: Source,
    /// Key of the row.
    pub key: SmolStr,
    /// Version of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub value: FactValue,
}

/// Value of a row on its way between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FactValue {
    /// Whole value.
    Whole(Vec<u8>),
    /// Difference from the named version.
    Delta(RowVersion, ByteDelta),
}

impl FactValue {
    /// Bytes that the value takes on the wire, about.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Whole(value) => value.len(),
            Self::Delta(_, delta) => delta.bytes(),
        }
    }
}

/// What a row changed.
#[derive(Clone, Debug)]
pub enum Learned {
    /// Nothing new.
    Known,
    /// A configuration is in force.
    Config(Arc<RouteTable>),
    /// An order of the operator.
    Order(RowVersion, Order),
    /// A status row.
    Progress(ServiceName, RowVersion, Progress),
    /// The row cannot be used; what was in force stays.
    Rejected(SmolStr, RowError),
}

#[derive(Clone, Debug)]
struct Kept {
    version: RowVersion,
    value: Bytes,
}

/// All facts of a node.
#[derive(Debug, Default)]
pub struct Facts {
    rows: BTreeMap<(&'static str, SmolStr), Kept>,
    previous_config: Option<Kept>,
    table: Option<Arc<RouteTable>>,
    newest: RowVersion,
}

impl Facts {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Highest version of all rows.
    pub fn newest(&self) -> RowVersion {
        self.newest
    }

    /// Version of the configuration's row.
    pub fn config_row(&self) -> RowVersion {
        self.version(Source::Operator, CONFIG_KEY)
    }

    /// Version of a row; zero when it is not known.
    pub fn version(&self, source: Source, key: &str) -> RowVersion {
        self.rows.get(&(source.table(), SmolStr::new(key))).map_or(RowVersion(0), |k| k.version)
    }

    /// Applies a row.
    pub fn apply(&mut self, source: Source, row: RowChange) -> Learned {
        // A removed row changes nothing that is in force.
        let Some(value) = row.value else { return Learned::Known };
        if row.version <= self.version(source, &row.key) {
            return Learned::Known;
        }
        let learned = match (source, row.key.strip_prefix(ROLLOUT_PREFIX)) {
            (Source::Operator, None) if row.key == CONFIG_KEY => self.config_learned(&value),
            (Source::Operator, Some(_)) => match operator::decode_rollout_request(&value) {
                Ok(order) => Learned::Order(row.version, order),
                Err(e) => Learned::Rejected(row.key.clone(), e),
            },
            (Source::Status, Some(service)) => {
                match (service.parse(), operator::decode_rollout_status(&value)) {
                    (Ok(service), Ok(p)) => Learned::Progress(service, row.version, p),
                    (Err(e), _) => Learned::Rejected(row.key.clone(), RowError::Name(e)),
                    (_, Err(e)) => Learned::Rejected(row.key.clone(), e),
                }
            }
            _ => return Learned::Known,
        };
        if matches!(learned, Learned::Rejected(..)) {
            return learned;
        }
        self.newest = self.newest.max(row.version);
        let kept = Kept { version: row.version, value };
        let before = self.rows.insert((source.table(), row.key.clone()), kept);
        if source == Source::Operator && row.key == CONFIG_KEY {
            self.previous_config = before;
        }
        learned
    }

    fn config_learned(&mut self, value: &[u8]) -> Learned {
        match operator::decode_config(value) {
            Ok(table) => {
                let table = Arc::new(table);
                self.table = Some(table.clone());
                Learned::Config(table)
            }
            Err(e) => Learned::Rejected(SmolStr::new_static(CONFIG_KEY), e),
        }
    }

    /// Applies a row from a peer. `None` when its base is not known here: the whole row is needed.
    pub fn apply_fact(&mut self, fact: FactRow) -> Option<Learned> {
        if fact.version <= self.version(fact.source, &fact.key) {
            return Some(Learned::Known);
        }
        let value = match fact.value {
            FactValue::Whole(value) => value,
            FactValue::Delta(from, delta) => {
                let kept = self.rows.get(&(fact.source.table(), fact.key.clone()))?;
                if kept.version != from {
                    return None;
                }
                delta.apply(&kept.value)?
            }
        };
        let row = RowChange { key: fact.key, version: fact.version, value: Some(value.into()) };
        Some(self.apply(fact.source, row))
    }

    /// Rows for a peer whose newest row is `newest` and whose configuration row is `config`.
    pub fn since(&self, newest: RowVersion, config: RowVersion) -> Vec<FactRow> {
        let rows = self.rows.iter().filter(|(_, kept)| kept.version > newest);
        let mut facts: Vec<FactRow> = rows
            .filter(|((_, key), _)| key != CONFIG_KEY)
            .map(|((table, key), kept)| FactRow {
                source: if *table == OPERATOR_TABLE { Source::Operator } else { Source::Status },
                key: key.clone(),
                version: kept.version,
                value: FactValue::Whole(kept.value.to_vec()),
            })
            .collect();
        let key = (OPERATOR_TABLE, SmolStr::new_static(CONFIG_KEY));
        if let Some(kept) = self.rows.get(&key).filter(|k| k.version > config) {
            let base = self.previous_config.as_ref().filter(|p| p.version == config);
            let value = match base {
                Some(p) => FactValue::Delta(p.version, ByteDelta::between(&p.value, &kept.value)),
                None => FactValue::Whole(kept.value.to_vec()),
            };
            let version = kept.version;
            facts.push(FactRow { source: Source::Operator, key: key.1, version, value });
        }
        facts
    }
}
