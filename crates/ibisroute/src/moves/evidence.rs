//! Cumulative counters of the nodes, merged by maximum, and the differences that they bring.

use std::collections::BTreeMap;

use crate::telemetry::LatencyHistogram;
use crate::telemetry::OutcomeCounts;
use crate::types::EntryName;
use crate::types::NodeId;
use crate::types::ParseError;
use crate::types::VersionName;
use crate::wire::EvidenceWire;

/// Runs of nodes whose counters an evaluator keeps; further ones are ignored.
const MAX_RUNS: usize = 10_000;

/// Counters by entry and version.
pub type Counters = BTreeMap<(EntryName, VersionName), OutcomeCounts>;

/// Counters of one run of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEvidence {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its cumulative counters.
    pub counters: Counters,
    /// Runs of consecutive failures of the new version that the node saw.
    pub failure_runs: u64,
}

impl TryFrom<EvidenceWire> for NodeEvidence {
    type Error = ParseError;

    fn try_from(wire: EvidenceWire) -> Result<Self, ParseError> {
        let mut counters = Counters::new();
        for (entry, version, counts) in wire.counts {
            // A histogram of another length cannot be merged with ours.
            if counts.latency.buckets().len() == crate::telemetry::LATENCY_BUCKETS {
                counters.insert((entry.try_into()?, version.try_into()?), counts);
            }
        }
        Ok(Self {
            node: wire.node.try_into()?,
            incarnation: wire.incarnation,
            counters,
            failure_runs: wire.failure_runs,
        })
    }
}

/// What a report added to what was known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    /// Added counts.
    pub counters: Counters,
    /// Added runs of failures.
    pub failure_runs: u64,
    /// Whether this run of the node was unknown, so that the counts may be old.
    pub first: bool,
}

/// Evidence about one move from all nodes. Merging is idempotent, commutative and associative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    runs: BTreeMap<(NodeId, u64), (Counters, u64)>,
}

impl Evidence {
    /// Merges a report and returns what it added.
    pub fn merge(&mut self, report: &NodeEvidence) -> Difference {
        let key = (report.node.clone(), report.incarnation);
        let first = !self.runs.contains_key(&key);
        if first && self.runs.len() >= MAX_RUNS {
            return Difference::default();
        }
        let (counters, runs) = self.runs.entry(key).or_default();
        let mut added = Difference { first, ..Difference::default() };
        added.failure_runs = report.failure_runs.saturating_sub(*runs);
        *runs = report.failure_runs.max(*runs);
        for (key, counts) in &report.counters {
            let known = counters.entry(key.clone()).or_default();
            if known == counts {
                continue;
            }
            let new = difference(counts, known);
            known.merge_max(counts);
            if new != OutcomeCounts::default() {
                added.counters.insert(key.clone(), new);
            }
        }
        added
    }

    /// Sums over all nodes.
    pub fn totals(&self) -> Counters {
        let mut totals = Counters::new();
        for (key, counts) in self.runs.values().flat_map(|(counters, _)| counters) {
            totals.entry(key.clone()).or_default().add(counts);
        }
        totals
    }
}

/// Counts of `later` that are not in `earlier`, both of the same cumulative counter.
pub fn difference(later: &OutcomeCounts, earlier: &OutcomeCounts) -> OutcomeCounts {
    let buckets = later.latency.buckets().iter().zip(earlier.latency.buckets());
    let buckets = buckets.map(|(a, b)| a.saturating_sub(*b)).collect();
    OutcomeCounts {
        calls: later.calls.saturating_sub(earlier.calls),
        failures: later.failures.saturating_sub(earlier.failures),
        refused: later.refused.saturating_sub(earlier.refused),
        retries: later.retries.saturating_sub(earlier.retries),
        latency: LatencyHistogram::from_buckets(buckets).unwrap_or_default(),
    }
}
