//! Refusals as callers get them.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use derive_more::Display;
use serde::Serialize;

use super::headers;
use crate::types::RequestId;
use crate::wire::RefusalWire;

/// What is known about a request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// Proved: no target ran it.
    #[display("not-run")]
    NotRun,
    /// A target may have run it.
    #[display("may-have-run")]
    MayHaveRun,
}

/// A call that ends without a target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether it ran.
    pub ran: Ran,
    /// Label of the reason in metrics; few values.
    pub kind: &'static str,
    /// Why, for people.
    pub reason: String,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Ran,
    reason: &'a str,
    request_id: &'a str,
}

impl Refusal {
    /// A request that did not run.
    pub fn not_run(status: StatusCode, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, ran: Ran::NotRun, kind, reason: reason.into() }
    }

    /// A request that may have run.
    pub fn may_have_run(status: StatusCode, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, ran: Ran::MayHaveRun, kind, reason: reason.into() }
    }

    /// A refusal by the node beside the target.
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

    /// Whether a connection failed, or led to a node or target that is gone.
    pub(super) fn is_of_connection(&self) -> bool {
        matches!(self.kind, "peer" | "unreachable" | "leaving")
    }

    /// The HTTP response.
    pub fn response(&self, id: &RequestId, retried: bool) -> HttpResponse {
        metrics::counter!("ibis_refusals_total", "reason" => self.kind).increment(1);
        let mut response = HttpResponse::build(self.status);
        response.insert_header((headers::REQUEST_ID, id.0.as_str()));
        response.insert_header((headers::OUTCOME, self.ran.to_string()));
        if retried {
            response.insert_header((headers::RETRIED, "1"));
        }
        response.json(RefusalBody {
            outcome: self.ran,
            reason: &self.reason,
            request_id: id.0.as_str(),
        })
    }
}
