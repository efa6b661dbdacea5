//! Refusals that the node itself returns to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use derive_more::Display;
use serde::Serialize;

use super::headers;
use crate::types::RequestId;
use crate::wire::RefusalWire;

/// Whether a request without a response has run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request is proven not to have run.
    #[display("not-run")]
    NotRun,
    #[display("may-have-run")]
    MayHaveRun,
}

/// Outcome of a call that ends without a response from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: StatusCode,
    pub execution: Execution,
    /// Value of the `reason` label in metrics; must have few distinct values.
    pub kind: &'static str,
    /// Human-readable explanation.
    pub reason: String,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Execution,
    reason: &'a str,
    request_id: &'a str,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(status: StatusCode, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, execution: Execution::NotRun, kind, reason: reason.into() }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(status: StatusCode, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, execution: Execution::MayHaveRun, kind, reason: reason.into() }
    }

    /// Creates the refusal for the caller from one by the target's node, which proves that the
    /// request did not run.
    pub fn of_target(reason: RefusalWire) -> Self {
        let (status, kind) = match reason {
            RefusalWire::LimitReached => (StatusCode::TOO_MANY_REQUESTS, "limit"),
            RefusalWire::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overload"),
            RefusalWire::DeadlineTooShort => (StatusCode::SERVICE_UNAVAILABLE, "deadline"),
            RefusalWire::TargetGone | RefusalWire::Draining => {
                (StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            RefusalWire::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "unreachable"),
            RefusalWire::EntryUnknown => (StatusCode::SERVICE_UNAVAILABLE, "entry"),
        };
        Self::not_run(status, kind, reason.to_string())
    }

    /// Whether a connection failed, or the node or target behind it is leaving or has left.
    pub(super) fn is_connection_failure(&self) -> bool {
        matches!(self.kind, "peer" | "unreachable" | "leaving")
    }

    /// Builds the HTTP response to the caller and counts the refusal in the metrics. `retried` adds
    /// the header [`headers::RETRIED`].
    pub fn response(&self, id: &RequestId, retried: bool) -> HttpResponse {
        metrics::counter!("ibis_refusals_total", "reason" => self.kind).increment(1);
        let mut response = HttpResponse::build(self.status);
        response.insert_header((headers::REQUEST_ID, id.0.as_str()));
        response.insert_header((headers::OUTCOME, self.execution.to_string()));
        if retried {
            response.insert_header((headers::RETRIED, "1"));
        }
        response.json(RefusalBody {
            outcome: self.execution,
            reason: &self.reason,
            request_id: id.0.as_str(),
        })
    }
}
