//! Record of every request that a target ran, for checks after the fact.

use serde::Deserialize;
use serde::Serialize;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It still runs.
    Running,
    /// It was answered with this status.
    Answered(u16),
    /// The caller went away before it was answered.
    Cancelled,
    /// Its deadline passed before it was answered.
    DeadlinePassed,
    /// The target dropped its connection.
    Cut,
}

/// One request that the target ran. Requests that were shed are only counted, as they did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanRequest {
    /// Number in order of start, from 0.
    pub number: u64,
    /// The call's name: the call header, or else the request id.
    pub call: String,
    /// Request id.
    pub request_id: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Bytes of the body received.
    pub body_bytes: u64,
    /// Checksum of the body received.
    pub body_checksum: u64,
    /// Whether the whole body was received.
    pub body_whole: bool,
    /// Remaining deadline that the request carried, in ms.
    pub deadline_ms: Option<u64>,
    /// Start, Unix time in ms.
    pub started_unix_ms: u64,
    /// End, Unix time in ms; 0 while it runs.
    pub ended_unix_ms: u64,
    /// How it ended.
    pub end: End,
    /// Whether it started after the target had told its node that it leaves.
    pub after_leave: bool,
}

impl RanRequest {
    /// Whether the caller went away before the answer.
    pub fn cancelled(&self) -> bool {
        self.end == End::Cancelled
    }
}

/// What the target counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Requests that ran.
    pub ran: u64,
    /// Requests shed with 503 because all slots were taken.
    pub shed: u64,
    /// Requests refused with 504 because their deadline had passed on arrival.
    pub refused_late: u64,
    /// Most requests in flight at a time.
    pub peak_in_flight: u32,
    /// Announcements that the node accepted.
    pub announced: u64,
    /// Announcements that failed.
    pub announce_failed: u64,
}
