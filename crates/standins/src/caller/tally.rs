//! Outcomes of calls and their counts by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::body::Defect;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// A class of traffic, as the catalogue names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Repeatable query of a caller.
    CounterQuery,
    /// Order, deposit or pour booking with an idempotency key.
    Booking,
    /// Streamed body.
    Upload,
    /// Repeatable query from inside.
    InternalQuery,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// 200 with a whole answer to this call.
    Ok,
    /// 202: an upload was accepted and is delivered later.
    Accepted,
    /// A refusal that says that the call did not run.
    NotRun(u16),
    /// A refusal that says that the call may have run.
    MayHaveRun(u16),
    /// Another status without an outcome header.
    OtherStatus(u16),
    /// A good status with an answer that is not the whole answer to this call.
    Wrong(String),
    /// No whole answer at all: a connection failed or the time was up.
    NoAnswer(String),
}

impl From<Defect> for Outcome {
    fn from(defect: Defect) -> Self {
        Self::Wrong(format!("{defect:?}"))
    }
}

/// One call, for checks against the records of the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLog {
    /// The call's name.
    pub call: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Class.
    pub class: Class,
    /// Path.
    pub path: String,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Checksum of the body.
    pub body_checksum: u64,
    /// When it was sent, Unix time in ms.
    pub sent_unix_ms: u64,
    /// Time until its end, in microseconds.
    pub elapsed_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Version of the target that answered.
    pub version: Option<String>,
    /// Instance of the target that answered.
    pub instance: Option<String>,
}

/// Counts of one class.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls that have ended.
    pub calls: u64,
    /// Whole answers.
    pub ok: u64,
    /// Uploads accepted for later delivery.
    pub accepted: u64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Refusals that say "may have run".
    pub may_have_run: u64,
    /// Other statuses.
    pub other_status: BTreeMap<u16, u64>,
    /// Answers that were short, damaged or another call's.
    pub wrong: u64,
    /// Calls without a whole answer.
    pub no_answer: u64,
    /// Calls of any outcome that took longer than their deadline and the grace.
    pub late: u64,
    /// Whole answers by version of the target.
    pub by_version: BTreeMap<String, u64>,
    /// Latency of whole answers in microseconds; from the scheduled start in an open loop, which
    /// adds about 1 ms because the runtime's timer has that resolution.
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
    /// Counts a call.
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

    /// Calls that got neither a whole answer nor an acceptance.
    pub fn failed(&self) -> u64 {
        self.calls - self.ok - self.accepted
    }

    /// The counts and latency quantiles as JSON.
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

/// What a caller counted.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Counts by class.
    pub classes: BTreeMap<Class, Tally>,
    /// Calls that were due in an open loop and not sent, because too many were in flight.
    pub skipped: u64,
    /// Length of the run in ms.
    pub elapsed_ms: u64,
    /// Every call, when the options ask for it.
    pub log: Vec<CallLog>,
    /// The first few outcomes other than whole answers, for messages.
    pub samples: Vec<CallLog>,
}

impl Summary {
    /// Counts of a class; zero when it had no call.
    pub fn class(&self, class: Class) -> Tally {
        self.classes.get(&class).cloned().unwrap_or_default()
    }

    /// Counts of all classes together.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.classes.values() {
            total.merge(tally);
        }
        total
    }

    /// Counts by class and in total as JSON.
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
