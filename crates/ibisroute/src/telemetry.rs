//! Counts of call outcomes and latencies, shared by the burn report and by the evidence of moves.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EntryName;
use crate::types::Millis;
use crate::types::VersionName;

/// Number of buckets of a [`LatencyHistogram`].
pub const LATENCY_BUCKET_COUNT: usize = 40;

/// Upper bound of the first bucket, in microseconds. Each further bound is larger by a factor of
/// the square root of two, so that the last one is about 180 s.
const FIRST_BUCKET_BOUND_MICROS: f64 = 250.0;

/// Latency histogram with fixed logarithmic buckets, so that histograms of several nodes can be
/// merged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Number of calls in each bucket; always [`LATENCY_BUCKET_COUNT`] long.
    buckets: Vec<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { buckets: vec![0; LATENCY_BUCKET_COUNT] }
    }
}

impl LatencyHistogram {
    /// Returns the upper bound of bucket `index`, in microseconds.
    pub fn bucket_bound_micros(index: usize) -> f64 {
        FIRST_BUCKET_BOUND_MICROS
            * std::f64::consts::SQRT_2.powi(i32::try_from(index).unwrap_or(i32::MAX))
    }

    /// Creates a histogram from bucket counts received from a peer.
    ///
    /// Returns `None` when the number of buckets differs from [`LATENCY_BUCKET_COUNT`].
    pub fn from_buckets(buckets: Vec<u64>) -> Option<Self> {
        (buckets.len() == LATENCY_BUCKET_COUNT).then_some(Self { buckets })
    }

    /// Returns the number of calls in each bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Counts a call with a latency of `latency_micros` microseconds.
    pub fn record(&mut self, latency_micros: u64) {
        let bucket_index = (0..LATENCY_BUCKET_COUNT - 1)
            .find(|i| latency_micros as f64 <= Self::bucket_bound_micros(*i))
            .unwrap_or(LATENCY_BUCKET_COUNT - 1);
        self.buckets[bucket_index] += 1;
    }

    /// Returns the number of calls counted.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.buckets.iter_mut().zip(&other.buckets).for_each(|(sum, count)| *sum += count);
    }

    /// Keeps the larger count of each bucket, which merges two reports of the same cumulative
    /// counters.
    pub fn merge_max(&mut self, other: &Self) {
        self.buckets
            .iter_mut()
            .zip(&other.buckets)
            .for_each(|(ours, theirs)| *ours = (*ours).max(*theirs));
    }

    /// Returns the number of calls in buckets whose upper bound exceeds `limit`. Includes calls
    /// slightly faster than `limit` when it lies inside a bucket.
    pub fn count_slower_than(&self, limit: Millis) -> u64 {
        let limit_micros = limit.0 as f64 * 1000.0;
        self.buckets
            .iter()
            .enumerate()
            .filter(|(i, _)| Self::bucket_bound_micros(*i) > limit_micros)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns the upper bound of the bucket that contains `quantile` (0.0 to 1.0), in
    /// microseconds; `None` when nothing was counted.
    pub fn quantile_micros(&self, quantile: f64) -> Option<f64> {
        let total_count = self.count();
        if total_count == 0 {
            return None;
        }
        let quantile_rank = (quantile * total_count as f64).ceil().max(1.0) as u64;
        let mut cumulative_count = 0;
        let bucket_index = self.buckets.iter().position(|count| {
            cumulative_count += count;
            cumulative_count >= quantile_rank
        });
        bucket_index.map(Self::bucket_bound_micros)
    }
}

/// Counts for one entry: of attempts to one target version in [`TrafficCounts::attempts`], and of
/// whole calls in [`TrafficCounts::calls`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Calls or attempts that ended, whatever their outcome.
    pub calls: u64,
    /// Calls that failed because of the target: 5xx, reset, or no complete response in time.
    pub failures: u64,
    /// Calls refused as "not run" before they reached a target.
    pub refused: u64,
    /// Attempts beyond the first of each call.
    pub retries: u64,
    /// Latency of the calls that reached a target, measured by the node that selected the
    /// target.
    pub latency: LatencyHistogram,
}

impl OutcomeCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.failures += other.failures;
        self.refused += other.refused;
        self.retries += other.retries;
        self.latency.add(&other.latency);
    }

    /// Keeps the larger value of each counter, which merges two reports of the same cumulative
    /// counters.
    pub fn merge_max(&mut self, other: &Self) {
        self.calls = self.calls.max(other.calls);
        self.failures = self.failures.max(other.failures);
        self.refused = self.refused.max(other.refused);
        self.retries = self.retries.max(other.retries);
        self.latency.merge_max(&other.latency);
    }
}

/// Counts of one traffic thread since its last report to the control thread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficCounts {
    /// Attempts by entry and target version, for the evidence of moves.
    pub attempts: BTreeMap<(EntryName, Option<VersionName>), OutcomeCounts>,
    /// Calls by entry, for the burn report. A retried call counts once, with the outcome of its
    /// last attempt, which is what the caller received.
    pub calls: BTreeMap<EntryName, OutcomeCounts>,
}

impl TrafficCounts {
    /// Returns the counts of attempts for an entry and a target version, created when absent.
    pub fn attempt_counts_mut(
        &mut self,
        entry: &EntryName,
        version: Option<&VersionName>,
    ) -> &mut OutcomeCounts {
        self.attempts.entry((entry.clone(), version.cloned())).or_default()
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (key, counts) in &other.attempts {
            self.attempts.entry(key.clone()).or_default().add(counts);
        }
        for (entry, counts) in &other.calls {
            self.calls.entry(entry.clone()).or_default().add(counts);
        }
    }
}
