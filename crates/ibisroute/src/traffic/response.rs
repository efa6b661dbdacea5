//! Responses to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderName;
use actix_web::http::header::HeaderValue;
use bytes::Bytes;
use futures_util::Stream;
use smol_str::SmolStr;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use super::call::BodyReader;
use super::call::BodyTruncated;
use super::claim::ClaimGuard;
use super::headers;
use super::worker::Attempt;
use super::worker::AttemptEnd;
use super::worker::Worker;
use crate::catalogue::model::Entry;
use crate::types::EntryName;
use crate::types::Percent;
use crate::types::RequestId;
use crate::wire::LoadWire;
use crate::wire::RecordedResponse;

/// Longest response body that is recorded for retries of a booking, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Response to an attempt; its body has not been read yet.
pub(super) struct AttemptResponse {
    pub(super) status: u16,
    pub(super) headers: Vec<(SmolStr, Vec<u8>)>,
    /// Length of the body; `None` if the target did not state it.
    pub(super) body_bytes: Option<u64>,
    pub(super) body: Option<BodyReader>,
    pub(super) load: LoadWire,
    pub(super) attempt: Attempt,
}

impl AttemptResponse {
    /// Returns the value of a header; `None` when it is absent or not UTF-8.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// Returns the time until the head of the target's response, as measured by the target's node.
    pub(super) fn service_time(&self) -> Option<Duration> {
        self.header(headers::SERVICE_MICROS)?.parse().ok().map(Duration::from_micros)
    }

    /// Returns how the attempt counts if its body is complete.
    pub(super) fn attempt_end(&self) -> AttemptEnd {
        if self.status >= 500 { AttemptEnd::Failed } else { AttemptEnd::Completed }
    }

    /// Whether the failure may be transient: 502, 503 or 504 without a retry further down the call
    /// chain.
    pub(super) fn is_transient(&self) -> bool {
        matches!(self.status, 502..=504) && !self.is_retried()
    }

    /// Whether the call was retried further down the call chain.
    pub(super) fn is_retried(&self) -> bool {
        self.header(headers::RETRIED) == Some("1")
    }

    /// Drops a response that is not returned to the caller, and counts its attempt.
    pub(super) fn discard(self) {
        let end = self.attempt_end();
        self.attempt.finish(end, Some(self.load));
    }
}

/// Copies a response while it is forwarded, and records it under its claim when it is complete.
struct ResponseRecorder {
    claim: ClaimGuard,
    response: RecordedResponse,
    /// Whether the body exceeds [`MAX_RECORDED_BYTES`] and is not recorded.
    body_too_long: bool,
}

/// Streams the body of a response. An error breaks the connection to the caller, so that a
/// truncated body is never mistaken for a complete one.
struct ResponseBody {
    reader: Option<BodyReader>,
    body_size: BodySize,
    /// Bytes of the body forwarded so far.
    forwarded_bytes: u64,
    deadline: Pin<Box<Sleep>>,
    /// Attempt to finish when the body ends, how it counts if the body is complete, and the load
    /// that the target's node reported.
    unfinished_attempt: Option<(Attempt, AttemptEnd, LoadWire)>,
    recorder: Option<ResponseRecorder>,
    /// Credit to the entry's retry budget that a successful call earns.
    retry_budget_credit: Option<(Rc<Worker>, EntryName, Percent)>,
}

impl ResponseBody {
    /// Counts the attempt, and records the response if it is complete. Has no effect when called
    /// again.
    fn finish(&mut self, complete: bool) {
        self.reader = None;
        if let Some((attempt, end, load)) = self.unfinished_attempt.take() {
            let end = if complete { end } else { AttemptEnd::Failed };
            attempt.finish(end, Some(load));
            if let Some((worker, entry, retry_share)) =
                self.retry_budget_credit.take().filter(|_| end == AttemptEnd::Completed)
            {
                worker.credit_retry_budget(&entry, retry_share);
            }
        }
        if let Some(recorder) = self.recorder.take().filter(|r| complete && !r.body_too_long) {
            recorder.claim.record(recorder.response);
        }
    }
}

impl MessageBody for ResponseBody {
    type Error = BodyTruncated;

    fn size(&self) -> BodySize {
        self.body_size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        let this = &mut *self;
        let Some(reader) = this.reader.as_mut() else { return Poll::Ready(None) };
        let chunk = match Pin::new(reader).poll_next(cx) {
            Poll::Ready(chunk) => chunk,
            Poll::Pending if this.deadline.as_mut().poll(cx).is_ready() => Some(Err(BodyTruncated)),
            Poll::Pending => return Poll::Pending,
        };
        match &chunk {
            Some(Ok(data)) => {
                if let Some(recorder) = this.recorder.as_mut() {
                    let recorded_len = recorder.response.body.len() + data.len();
                    recorder.body_too_long |= recorded_len > MAX_RECORDED_BYTES;
                    if !recorder.body_too_long {
                        recorder.response.body.extend_from_slice(data);
                    }
                }
                this.forwarded_bytes += data.len() as u64;
                // The caller may disconnect right after the last byte, before the end is polled.
                if matches!(this.body_size, BodySize::Sized(n) if n == this.forwarded_bytes) {
                    this.finish(true);
                }
            }
            Some(Err(_)) => this.finish(false),
            None => this.finish(true),
        }
        Poll::Ready(chunk)
    }
}

/// Properties of a call that determine how its response is forwarded.
pub(super) struct ResponseCx<'a> {
    pub(super) worker: &'a Rc<Worker>,
    pub(super) entry: &'a Entry,
    pub(super) id: &'a RequestId,
    /// Whether the request is a HEAD, whose response has no body.
    pub(super) is_head_request: bool,
    pub(super) deadline: Instant,
    /// Whether this node has retried the call.
    pub(super) retried: bool,
}

/// Builds the response that forwards a target's response to the caller.
pub(super) fn forward_response(
    cx: &ResponseCx<'_>,
    target_response: AttemptResponse,
    claim: Option<ClaimGuard>,
) -> HttpResponse {
    let end = target_response.attempt_end();
    let retried = cx.retried || target_response.is_retried();
    let body_size = match target_response.body_bytes {
        _ if cx.is_head_request || matches!(target_response.status, 204 | 304) => BodySize::None,
        Some(n) => BodySize::Sized(n),
        None => BodySize::Stream,
    };
    let forwarded_headers: Vec<(SmolStr, Vec<u8>)> = target_response
        .headers
        .into_iter()
        .filter(|(name, _)| {
            !name.eq_ignore_ascii_case(headers::SERVICE_MICROS)
                && !name.eq_ignore_ascii_case(headers::RETRIED)
                && !name.eq_ignore_ascii_case(headers::REQUEST_ID)
        })
        .collect();
    let recorder = claim.map(|claim| ResponseRecorder {
        claim,
        response: RecordedResponse {
            status: target_response.status,
            headers: forwarded_headers
                .iter()
                .filter_map(|(n, v)| Some((n.clone(), SmolStr::new(std::str::from_utf8(v).ok()?))))
                .collect(),
            body: Vec::new(),
        },
        body_too_long: false,
    });
    let mut body = ResponseBody {
        reader: target_response.body,
        body_size,
        forwarded_bytes: 0,
        deadline: Box::pin(sleep_until(cx.deadline.into())),
        unfinished_attempt: Some((target_response.attempt, end, target_response.load)),
        recorder,
        retry_budget_credit: Some((
            cx.worker.clone(),
            cx.entry.name.clone(),
            cx.entry.limits.retry,
        )),
    };
    if matches!(body_size, BodySize::None | BodySize::Sized(0)) {
        // The server does not poll an empty body, so its end is handled here.
        body.finish(true);
    }
    let mut response = response_builder(cx.id, target_response.status, retried);
    for (name, value) in forwarded_headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) else { continue };
        response.append_header((name, value));
    }
    response.body(body)
}

/// Builds the response to a retried booking from the recorded one.
pub(super) fn recorded_response(id: &RequestId, recorded: RecordedResponse) -> HttpResponse {
    let mut response = response_builder(id, recorded.status, false);
    for (name, value) in recorded.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.body(recorded.body)
}

fn response_builder(id: &RequestId, status: u16, retried: bool) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((headers::REQUEST_ID, id.0.as_str()));
    if retried {
        response.insert_header((headers::RETRIED, "1"));
    }
    response
}
