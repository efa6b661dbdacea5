//! Records of the requests that a target ran, for later checks.

use serde::Deserialize;
use serde::Serialize;

/// How a request ended, as the target observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request is still running.
    Running,
    /// A response with this status was sent.
    Answered(u16),
    /// The caller disconnected before the response.
    Cancelled,
    /// The deadline passed before the response.
    DeadlinePassed,
    /// The target aborted the connection.
    Cut,
}

/// A request that the target ran. Shed requests did not run and are only counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// Sequence number in order of start, from 0.
    pub number: u64,
    /// Name of the call: the call header, or the request id when the call header is missing.
    pub call: String,
    /// Request id; empty when the request carried none.
    pub request_id: String,
    /// Idempotency key; `None` when the request carried none.
    pub key: Option<String>,
    pub method: String,
    /// Path of the request, including the query string.
    pub path: String,
    /// Length of the body received.
    pub body_bytes: u64,
    /// Checksum of the body received.
    pub body_checksum: u64,
    /// Whether the whole body was received.
    pub body_whole: bool,
    /// Remaining deadline that the request carried, in ms; `None` when it carried none.
    pub deadline_ms: Option<u64>,
    /// Unix time of the start, in ms.
    pub started_unix_ms: u64,
    /// Unix time of the end, in ms; 0 while the request is running.
    pub ended_unix_ms: u64,
    pub end: RequestOutcome,
    /// Whether the request started after the node had accepted that the target leaves.
    pub after_leave: bool,
}

impl ExecutedRequest {
    /// Whether the caller disconnected before the response.
    pub fn cancelled(&self) -> bool {
        self.end == RequestOutcome::Cancelled
    }
}

/// Counters of a target since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Requests that ran.
    pub ran: u64,
    /// Requests shed with status 503 because all slots were taken.
    pub shed: u64,
    /// Requests refused with status 504 because their deadline had passed on arrival.
    pub refused_late: u64,
    /// Largest number of requests in flight at the same time.
    pub peak_in_flight: u32,
    /// Announcements that the node accepted.
    pub announced: u64,
    /// Announcements that failed or that the node refused.
    pub announce_failed: u64,
}
