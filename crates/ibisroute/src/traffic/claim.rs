//! Claims of the idempotency keys of bookings, made by the threads that serve callers.

use std::time::Instant;

use actix_web::http::StatusCode;
use smol_str::SmolStr;
use tokio::time::timeout_at;

use super::refusal::Refusal;
use super::request::RequestBody;
use super::worker::Worker;
use crate::catalogue::model::Entry;
use crate::node::control_handle::ControlHandle;
use crate::node::control_handle::ControlWork;
use crate::types::Digest;
use crate::types::Millis;
use crate::wire::ClaimReply;
use crate::wire::ClaimWire;
use crate::wire::RecordedResponse;

/// Outcome of a claim request that is not refused.
pub(super) enum ClaimOutcome {
    /// The request may be sent.
    Granted(ClaimGuard),
    /// The recorded response to an earlier request with the same key.
    Recorded(RecordedResponse),
}

/// A claim that is released when dropped, unless its request may have run.
pub(super) struct ClaimGuard {
    control: ControlHandle,
    /// `None` when there is nothing to release: the response was recorded, or the claim was not
    /// granted.
    claim: Option<ClaimWire>,
    may_have_run: bool,
}

impl ClaimGuard {
    /// Sets whether a target may have run the request.
    pub(super) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Records the response, which is returned to retries with the same key.
    pub(super) fn record(mut self, result: RecordedResponse) {
        if let Some(claim) = self.claim.take() {
            // Fails only when the node stops, after the end of the control thread.
            let _ = self.control.send(ControlWork::RecordResult { claim, result });
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take().filter(|_| !self.may_have_run) {
            // Fails only when the node stops, after the end of the control thread.
            let _ = self.control.send(ControlWork::ReleaseClaim(claim));
        }
    }
}

/// Claims the key of a booking within the deadline. `method_path_body` is the method, path and body
/// of the booking, which a retry with the same key must repeat.
pub(super) async fn claim_key(
    worker: &Worker,
    entry: &Entry,
    key: &str,
    method_path_body: (&str, &str, &RequestBody),
    deadline: Instant,
) -> Result<ClaimOutcome, Refusal> {
    let time_left = Millis::from(deadline.saturating_duration_since(Instant::now()));
    let claim = ClaimWire {
        row: format!("claim/{}/{}", entry.name, Digest::of(key.as_bytes())).into(),
        token: worker.random_id().0,
        fingerprint: fingerprint(method_path_body),
        deadline_ms: time_left.0,
    };
    let control = worker.shared.control.clone();
    // The guard is created before the reply arrives: if the deadline passes first, the guard
    // releases the claim by its token, even when it is granted later.
    let mut claim_guard =
        ClaimGuard { control: control.clone(), claim: Some(claim.clone()), may_have_run: false };
    let unavailable_refusal = |reason: &str| {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim", format!("no claim: {reason}"))
    };
    let reply = match timeout_at(deadline.into(), control.claim(claim)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) => return Err(unavailable_refusal(&e.to_string())),
        Err(_) => return Err(unavailable_refusal("not decided before the deadline")),
    };
    if reply == ClaimReply::Granted {
        return Ok(ClaimOutcome::Granted(claim_guard));
    }
    claim_guard.claim = None;
    match reply {
        ClaimReply::Granted | ClaimReply::Claimed => Err(Refusal::may_have_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "claimed",
            "an earlier request with this key has no recorded result",
        )),
        ClaimReply::Recorded(recorded) => Ok(ClaimOutcome::Recorded(recorded)),
        ClaimReply::Mismatch => Err(Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "mismatch",
            "the key was used for another request",
        )),
        ClaimReply::Unavailable(reason) => Err(unavailable_refusal(&reason)),
    }
}

/// Returns the digest of method, path and body, which detects a key that is reused for another
/// request. Of a streamed body it includes only the length, because the body has not been read yet.
fn fingerprint((method, path, request_body): (&str, &str, &RequestBody)) -> SmolStr {
    let body = match request_body {
        RequestBody::Whole(body) => Digest::of(body).to_string(),
        RequestBody::Stream(_) => format!("{:?}", request_body.len()),
    };
    Digest::of(format!("{method}\n{path}\n{body}").as_bytes()).to_string().into()
}
