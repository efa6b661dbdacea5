//! Outcomes of calls, and their counts by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::body::Defect;

/// Upper bound of the latency histogram in microseconds; longer latencies count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Traffic class of a call; the JSON names are those of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Query of a caller, which may be retried.
    CounterQuery,
    /// Request with an idempotency key, which must not run twice.
    Booking,
    /// Request with a streamed body.
    Upload,
    /// Query of an internal caller, which may be retried.
    InternalQuery,
}

/// Outcome of a call as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Status 200 with the complete response to this call.
    Ok,
    /// Status 202: an upload was accepted for later delivery.
    Accepted,
    /// Refusal with the outcome header "not run", and its status.
    NotRun(u16),
    /// Refusal with the outcome header "may have run", and its status.
    MayHaveRun(u16),
    /// Any other status without a known outcome header.
    OtherStatus(u16),
    /// Status 200 with a body that is not the complete response to this call; names the defect.
    Wrong(String),
    /// No complete response because the connection failed or the call timed out; gives the cause.
    NoAnswer(String),
}

impl From<Defect> for Outcome {
    fn from(defect: Defect) -> Self {
        Self::Wrong(format!("{defect:?}"))
    }
}

/// Log entry of one call, for checks against the records of the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLog {
    /// Unique name of the call, as sent in the call header.
    pub call: String,
    /// Idempotency key; `None` unless the call is a booking.
    pub key: Option<String>,
    pub class: Class,
    pub path: String,
    pub body_bytes: u64,
    pub body_checksum: u64,
    /// Unix time in ms at which the call was sent.
    pub sent_unix_ms: u64,
    /// Time from sending to the end, in microseconds.
    pub elapsed_us: u64,
    pub outcome: Outcome,
    /// Version of the target that responded; `None` unless the outcome is [`Outcome::Ok`].
    pub version: Option<String>,
    /// Instance of the target that responded; `None` unless the outcome is [`Outcome::Ok`].
    pub instance: Option<String>,
}

/// Counts of the calls of one class.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls that have ended.
    pub calls: u64,
    /// Complete responses with status 200.
    pub ok: u64,
    /// Uploads accepted for later delivery.
    pub accepted: u64,
    /// Refusals marked "not run".
    pub not_run: u64,
    /// Refusals marked "may have run".
    pub may_have_run: u64,
    /// Responses with another status, by status.
    pub other_status: BTreeMap<u16, u64>,
    /// Responses that were too short, too long, damaged or those of another call.
    pub wrong: u64,
    /// Calls without a complete response.
    pub no_answer: u64,
    /// Calls of any outcome that took longer than their deadline and the grace period.
    pub late: u64,
    /// Complete responses by version of the target.
    pub by_version: BTreeMap<String, u64>,
    /// Latency of complete responses in microseconds. In an open loop it is counted from the
    /// scheduled start, which adds about 1 ms because the runtime's timer has that resolution.
    pub latency_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are valid");
        Self {
            calls: 0,
            ok: 0,
            accepted: 0,
            not_run: 0,
            may_have_run: 0,
            other_status: BTreeMap::new(),
            wrong: 0,
            no_answer: 0,
            late: 0,
            by_version: BTreeMap::new(),
            latency_us,
        }
    }
}

impl Tally {
    /// Counts a call that has ended; `late` if it exceeded its deadline and the grace period.
    pub(super) fn add(&mut self, log: &CallLog, latency_us: u64, late: bool) {
        self.calls += 1;
        self.late += u64::from(late);
        match &log.outcome {
            Outcome::Ok => {
                self.ok += 1;
                self.latency_us.saturating_record(latency_us);
                if let Some(version) = &log.version {
                    *self.by_version.entry(version.clone()).or_default() += 1;
                }
            }
            Outcome::Accepted => self.accepted += 1,
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::MayHaveRun(_) => self.may_have_run += 1,
            Outcome::OtherStatus(status) => *self.other_status.entry(*status).or_default() += 1,
            Outcome::Wrong(_) => self.wrong += 1,
            Outcome::NoAnswer(_) => self.no_answer += 1,
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.calls += other.calls;
        self.ok += other.ok;
        self.accepted += other.accepted;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.wrong += other.wrong;
        self.no_answer += other.no_answer;
        self.late += other.late;
        for (status, count) in &other.other_status {
            *self.other_status.entry(*status).or_default() += count;
        }
        for (version, count) in &other.by_version {
            *self.by_version.entry(version.clone()).or_default() += count;
        }
        self.latency_us.add(&other.latency_us).expect("both histograms have the same bounds");
    }

    /// Number of calls that were neither successful nor accepted.
    pub fn failed(&self) -> u64 {
        self.calls - self.ok - self.accepted
    }

    /// Returns the counts and latency quantiles as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let quantile = |q| self.latency_us.value_at_quantile(q);
        serde_json::json!({
            "calls": self.calls,
            "ok": self.ok,
            "accepted": self.accepted,
            "not_run": self.not_run,
            "may_have_run": self.may_have_run,
            "other_status": self.other_status,
            "wrong": self.wrong,
            "no_answer": self.no_answer,
            "late": self.late,
            "by_version": self.by_version,
            "latency_us": {
                "p50": quantile(0.5),
                "p90": quantile(0.9),
                "p99": quantile(0.99),
                "p999": quantile(0.999),
                "max": self.latency_us.max(),
            },
        })
    }
}

/// Counts of a caller stand-in.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Counts by class.
    pub classes: BTreeMap<Class, Tally>,
    /// Calls of an open loop that were not sent at their scheduled start because too many calls
    /// were in flight.
    pub skipped: u64,
    /// Time since the start, in ms.
    pub elapsed_ms: u64,
    /// Every call; empty unless [`keep_log`](super::CallerOptions::keep_log) is set.
    pub log: Vec<CallLog>,
    /// The first calls with an outcome other than [`Outcome::Ok`], for error messages and the JSON
    /// summary.
    pub samples: Vec<CallLog>,
}

impl Summary {
    /// Returns the counts of a class; zero if it had no calls.
    pub fn class(&self, class: Class) -> Tally {
        self.classes.get(&class).cloned().unwrap_or_default()
    }

    /// Returns the sum of the counts of all classes.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.classes.values() {
            total.merge(tally);
        }
        total
    }

    /// Returns the counts by class and in total as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let classes: BTreeMap<_, _> =
            self.classes.iter().map(|(class, tally)| (class, tally.to_json())).collect();
        let total = self.total();
        let seconds = (self.elapsed_ms as f64 / 1000.0).max(0.001);
        serde_json::json!({
            "elapsed_ms": self.elapsed_ms,
            "calls_per_s": (total.calls as f64 / seconds).round(),
            "skipped": self.skipped,
            "total": total.to_json(),
            "classes": classes,
            "samples": self.samples,
        })
    }
}
