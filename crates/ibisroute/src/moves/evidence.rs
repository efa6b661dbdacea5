//! Cumulative counters of the nodes, merged by maximum, and the counts that each report adds.

use std::collections::BTreeMap;

use crate::telemetry::LatencyHistogram;
use crate::telemetry::OutcomeCounts;
use crate::types::EntryName;
use crate::types::NodeId;
use crate::types::ParseError;
use crate::types::VersionName;
use crate::wire::EvidenceWire;

/// Maximum number of node incarnations whose counters are kept for one move; the reports of further
/// ones are ignored.
const MAX_INCARNATIONS: usize = 10_000;

/// Counters by entry and version.
pub type Counters = BTreeMap<(EntryName, VersionName), OutcomeCounts>;

/// Counters of one incarnation of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEvidence {
    pub node: NodeId,
    pub incarnation: u64,
    /// Cumulative counters since the start of the incarnation.
    pub counters: Counters,
    /// Number of series of consecutive failures of the new version that the node has observed.
    pub failure_runs: u64,
}

impl TryFrom<EvidenceWire> for NodeEvidence {
    type Error = ParseError;

    fn try_from(wire: EvidenceWire) -> Result<Self, ParseError> {
        let mut counters = Counters::new();
        for (entry, version, counts) in wire.counts {
            // Counts whose histogram has another number of buckets are ignored, since it cannot be
            // merged.
            if counts.latency.buckets().len() == crate::telemetry::LATENCY_BUCKET_COUNT {
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

/// Counts that the report of a node added to the evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddedEvidence {
    pub counters: Counters,
    /// Number of series of consecutive failures that are new in the report.
    pub failure_runs: u64,
    /// Whether this is the first report of the incarnation. Its cumulative counts may then include
    /// calls from any time since the incarnation started.
    pub first_report: bool,
}

/// Evidence of all nodes about one move. Merging is idempotent, commutative and associative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Counters and number of failure series of each incarnation of a node.
    incarnations: BTreeMap<(NodeId, u64), (Counters, u64)>,
}

impl Evidence {
    /// Merges the report of a node and returns the counts that it added.
    pub fn merge(&mut self, report: &NodeEvidence) -> AddedEvidence {
        let incarnation = (report.node.clone(), report.incarnation);
        let first_report = !self.incarnations.contains_key(&incarnation);
        if first_report && self.incarnations.len() >= MAX_INCARNATIONS {
            return AddedEvidence::default();
        }
        let (counters, failure_runs) = self.incarnations.entry(incarnation).or_default();
        let mut added = AddedEvidence { first_report, ..AddedEvidence::default() };
        added.failure_runs = report.failure_runs.saturating_sub(*failure_runs);
        *failure_runs = report.failure_runs.max(*failure_runs);
        for (key, counts) in &report.counters {
            let stored_counts = counters.entry(key.clone()).or_default();
            if stored_counts == counts {
                continue;
            }
            let increase = difference(counts, stored_counts);
            stored_counts.merge_max(counts);
            if increase != OutcomeCounts::default() {
                added.counters.insert(key.clone(), increase);
            }
        }
        added
    }

    /// Returns the counters summed over all incarnations of all nodes.
    pub fn totals(&self) -> Counters {
        let mut totals = Counters::new();
        for (key, counts) in self.incarnations.values().flat_map(|(counters, _)| counters) {
            totals.entry(key.clone()).or_default().add(counts);
        }
        totals
    }
}

/// Returns the counts added between two values of the same cumulative counter.
pub fn difference(later: &OutcomeCounts, earlier: &OutcomeCounts) -> OutcomeCounts {
    let buckets = later.latency.buckets().iter().zip(earlier.latency.buckets());
    let buckets = buckets.map(|(later, earlier)| later.saturating_sub(*earlier)).collect();
    OutcomeCounts {
        calls: later.calls.saturating_sub(earlier.calls),
        failures: later.failures.saturating_sub(earlier.failures),
        refused: later.refused.saturating_sub(earlier.refused),
        retries: later.retries.saturating_sub(earlier.retries),
        latency: LatencyHistogram::from_buckets(buckets).unwrap_or_default(),
    }
}
