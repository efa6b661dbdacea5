//! The response to a caller.

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

use super::call::BodyBroken;
use super::call::BodyReader;
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

/// Longest body that is recorded for repeats of a booking.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// An answer of a target whose body has not been read.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: Vec<(SmolStr, Vec<u8>)>,
    pub(super) body_bytes: Option<u64>,
    pub(super) body: Option<BodyReader>,
    pub(super) load: LoadWire,
    pub(super) attempt: Attempt,
}

impl Answer {
    /// A header's value as text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// Time of the target until the head of its answer, as the node beside it measured it.
    pub(super) fn service_time(&self) -> Option<Duration> {
        self.header(headers::SERVICE_MICROS)?.parse().ok().map(Duration::from_micros)
    }

    /// How the attempt counts when its body is whole.
    pub(super) fn end(&self) -> AttemptEnd {
        if self.status >= 500 { AttemptEnd::Failed } else { AttemptEnd::Answered }
    }

    /// Whether the answer may be tried again: 502, 503 or 504 without a retry further down.
    pub(super) fn is_transient(&self) -> bool {
        matches!(self.status, 502..=504) && !self.is_retried()
    }

    /// Whether a retry was spent further down the call chain.
    pub(super) fn is_retried(&self) -> bool {
        self.header(headers::RETRIED) == Some("1")
    }

    /// Ends the attempt of an answer that the caller does not get.
    pub(super) fn discard(self) {
        let end = self.end();
        self.attempt.finish(end, Some(self.load));
    }
}

struct Recorder {
    claim: ClaimGuard,
    answer: RecordedResponse,
    overrun: bool,
}

/// Streams the answer's body; an error breaks the connection to the caller, so that a cut body is
/// never taken for a whole one.
struct AnswerBody {
    reader: Option<BodyReader>,
    size: BodySize,
    received: u64,
    deadline: Pin<Box<Sleep>>,
    attempt: Option<(Attempt, AttemptEnd, LoadWire)>,
    recorder: Option<Recorder>,
    success: Option<(Rc<Worker>, EntryName, Percent)>,
}

impl AnswerBody {
    fn finish(&mut self, whole: bool) {
        self.reader = None;
        if let Some((attempt, end, load)) = self.attempt.take() {
            let end = if whole { end } else { AttemptEnd::Failed };
            attempt.finish(end, Some(load));
            if let Some((worker, entry, share)) =
                self.success.take().filter(|_| end == AttemptEnd::Answered)
            {
                worker.earn_retry(&entry, share);
            }
        }
        if let Some(recorder) = self.recorder.take().filter(|r| whole && !r.overrun) {
            recorder.claim.record(recorder.answer);
        }
    }
}

impl MessageBody for AnswerBody {
    type Error = BodyBroken;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyBroken>>> {
        let this = &mut *self;
        let Some(reader) = this.reader.as_mut() else { return Poll::Ready(None) };
        let part = match Pin::new(reader).poll_next(cx) {
            Poll::Ready(part) => part,
            Poll::Pending if this.deadline.as_mut().poll(cx).is_ready() => Some(Err(BodyBroken)),
            Poll::Pending => return Poll::Pending,
        };
        match &part {
            Some(Ok(data)) => {
                if let Some(recorder) = this.recorder.as_mut() {
                    let len = recorder.answer.body.len() + data.len();
                    recorder.overrun |= len > MAX_RECORDED_BYTES;
                    if !recorder.overrun {
                        recorder.answer.body.extend_from_slice(data);
                    }
                }
                this.received += data.len() as u64;
                // The caller may leave right after the last byte, before the end is read.
                if matches!(this.size, BodySize::Sized(n) if n == this.received) {
                    this.finish(true);
                }
            }
            Some(Err(_)) => this.finish(false),
            None => this.finish(true),
        }
        Poll::Ready(part)
    }
}

/// Context of a response.
pub(super) struct ResponseCx<'a> {
    pub(super) worker: &'a Rc<Worker>,
    pub(super) entry: &'a Entry,
    pub(super) id: &'a RequestId,
    pub(super) head_only: bool,
    pub(super) deadline: Instant,
    pub(super) retried: bool,
}

/// The response that carries a target's answer.
pub(super) fn answer_response(
    cx: &ResponseCx<'_>,
    answer: Answer,
    claim: Option<ClaimGuard>,
) -> HttpResponse {
    let end = answer.end();
    let retried = cx.retried || answer.is_retried();
    let size = match answer.body_bytes {
        _ if cx.head_only || matches!(answer.status, 204 | 304) => BodySize::None,
        Some(n) => BodySize::Sized(n),
        None => BodySize::Stream,
    };
    let forwarded: Vec<(SmolStr, Vec<u8>)> = answer
        .headers
        .into_iter()
        .filter(|(name, _)| {
            !name.eq_ignore_ascii_case(headers::SERVICE_MICROS)
                && !name.eq_ignore_ascii_case(headers::RETRIED)
                && !name.eq_ignore_ascii_case(headers::REQUEST_ID)
        })
        .collect();
    let recorder = claim.map(|claim| Recorder {
        claim,
        answer: RecordedResponse {
            status: answer.status,
            headers: forwarded
                .iter()
                .filter_map(|(n, v)| Some((n.clone(), SmolStr::new(std::str::from_utf8(v).ok()?))))
                .collect(),
            body: Vec::new(),
        },
        overrun: false,
    });
    let mut body = AnswerBody {
        reader: answer.body,
        size,
        received: 0,
        deadline: Box::pin(sleep_until(cx.deadline.into())),
        attempt: Some((answer.attempt, end, answer.load)),
        recorder,
        success: Some((cx.worker.clone(), cx.entry.name.clone(), cx.entry.limits.retry)),
    };
    if matches!(size, BodySize::None | BodySize::Sized(0)) {
        // Nothing is read of such a body, so that its end would not be noticed.
        body.finish(true);
    }
    let mut response = head(cx.id, answer.status, retried);
    for (name, value) in forwarded {
        let name = HeaderName::from_bytes(name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) else { continue };
        response.append_header((name, value));
    }
    response.body(body)
}

/// The response that repeats a recorded answer.
pub(super) fn recorded_response(id: &RequestId, answer: RecordedResponse) -> HttpResponse {
    let mut response = head(id, answer.status, false);
    for (name, value) in answer.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.body(answer.body)
}

fn head(id: &RequestId, status: u16, retried: bool) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((headers::REQUEST_ID, id.0.as_str()));
    if retried {
        response.insert_header((headers::RETRIED, "1"));
    }
    response
}
