//! Responses of a target during a move, by which its version is judged.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::Millis;

/// Number of buckets of a [`LatencyHistogram`]: third-octaves from 4 ms to about 5 s.
const BUCKETS: usize = 31;

/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 3.0;

/// Upper end of the first bucket, in milliseconds.
const FIRST_BUCKET_MS: f64 = 4.0;

/// Length of the slices into which recent responses are divided.
const SLICE: Millis = Millis(500);

/// Numbers of latencies in buckets of equal width on a logarithmic scale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram([u16; BUCKETS]);

impl LatencyHistogram {
    /// Counts a latency.
    pub fn record(&mut self, took: Millis) {
        let octaves = (took.0 as f64 / FIRST_BUCKET_MS).max(1.0).log2();
        let bucket = ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1);
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (count, other_count) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(other_count);
        }
    }

    /// Returns the first bucket whose latencies are at least `factor` times those of the bucket with
    /// the median; `None` when the histogram is empty.
    pub fn bucket_above_median(&self, factor: f64) -> Option<usize> {
        let total: u32 = self.0.iter().map(|c| u32::from(*c)).sum();
        let mut below = 0;
        let median = self.0.iter().position(|count| {
            below += u32::from(*count);
            below * 2 >= total && below > 0
        })?;
        Some(median + (factor.log2() * BUCKETS_PER_OCTAVE).ceil() as usize)
    }

    /// Returns how many latencies are in `bucket` or above it.
    pub fn count_from(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).map(|c| u32::from(*c)).sum()
    }
}

/// Responses of one target on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Requests with a recorded outcome.
    pub answers: u32,
    /// Failed requests among `answers`: 5xx responses of the target, and broken or missing responses.
    pub bad: u32,
    /// Sum of the latencies of successful responses, in milliseconds.
    pub good_ms: f64,
    /// Latencies of successful responses.
    pub latencies: LatencyHistogram,
    /// Ages of the requests that were still running when the counts were taken. A slow version shows
    /// here before its first slow response.
    pub running: LatencyHistogram,
}

impl ResponseCounts {
    /// Counts the response to a request; a broken or missing response counts as failed.
    pub fn record(&mut self, succeeded: bool, took: Millis) {
        self.answers += 1;
        if succeeded {
            self.good_ms += took.0 as f64;
            self.latencies.record(took);
        } else {
            self.bad += 1;
        }
    }

    /// Adds the responses of another target or another route.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.good_ms += other.good_ms;
        self.latencies.add(&other.latencies);
        self.running.add(&other.running);
    }
}

/// Responses by route.
pub type RouteCounts = BTreeMap<SmolStr, ResponseCounts>;

/// Evidence of one target that its node sends to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Responses since the rollout request.
    pub total: RouteCounts,
    /// Responses of the last [`super::rollout::RolloutSettings::recent`], and running requests. A version
    /// that turns bad late or under load shows here while good responses still dominate the total.
    pub recent: RouteCounts,
}

/// Collects the evidence of one target.
#[derive(Clone, Debug, Default)]
pub struct EvidenceLog {
    total: RouteCounts,
    /// Recent responses in slices of [`SLICE`], each with its start, oldest first.
    slices: VecDeque<(Millis, RouteCounts)>,
}

impl EvidenceLog {
    /// Counts the response to a request at `now`. Slices older than `window` are dropped.
    pub fn record(
        &mut self,
        now: Millis,
        window: Millis,
        route: &SmolStr,
        succeeded: bool,
        took: Millis,
    ) {
        self.total.entry(route.clone()).or_default().record(succeeded, took);
        while self.slices.front().is_some_and(|(start, _)| now.since(*start) > window) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(start, _)| now.since(*start) >= SLICE) {
            self.slices.push_back((now, RouteCounts::new()));
        }
        if let Some((_, slice)) = self.slices.back_mut() {
            slice.entry(route.clone()).or_default().record(succeeded, took);
        }
    }

    /// Returns the evidence at `now`. `running` lists the route and the age of each running request.
    pub fn evidence(
        &self,
        now: Millis,
        window: Millis,
        running: impl Iterator<Item = (SmolStr, Millis)>,
    ) -> Evidence {
        let mut recent = RouteCounts::new();
        let slices = self.slices.iter().filter(|(start, _)| now.since(*start) <= window);
        for (route, counts) in slices.flat_map(|(_, slice)| slice) {
            recent.entry(route.clone()).or_default().add(counts);
        }
        for (route, age) in running {
            recent.entry(route).or_default().running.record(age);
        }
        Evidence { total: self.total.clone(), recent }
    }

    /// Forgets all responses.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
