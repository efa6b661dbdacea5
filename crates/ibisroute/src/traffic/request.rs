//! Requests of callers: checks, headers and body.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::header::TRANSFER_ENCODING;
use actix_web::web::Payload;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use smol_str::SmolStr;

use super::call::CallBody;
use super::call::body_stream;
use super::headers;
use super::refusal::Refusal;
use super::retry::BodyState;
use crate::catalogue::model::Entry;
use crate::peers::task::OwnedTask;
use crate::types::RequestId;

/// Maximum length of a request id set by a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn bad_request(reason: impl Into<String>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", reason)
}

/// Returns the caller's request id; `None` when it is absent or invalid.
pub(super) fn request_id(req: &HttpRequest) -> Option<RequestId> {
    let id = header_text(req, headers::REQUEST_ID)?;
    let is_valid =
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    is_valid.then(|| RequestId(SmolStr::new(id)))
}

/// Returns the deadline of the call: that of the caller, limited by the entry's deadline.
pub(super) fn deadline(req: &HttpRequest, entry: &Entry) -> Result<Instant, Refusal> {
    let max_deadline_ms = entry.limits.deadline.0;
    let deadline_ms = match req.headers().get(headers::DEADLINE) {
        None => max_deadline_ms,
        Some(_) => header_text(req, headers::DEADLINE)
            .and_then(|v| v.parse::<u64>().ok())
            .ok_or_else(|| bad_request("X-Ibis-Deadline-Ms is not a whole number"))?
            .min(max_deadline_ms),
    };
    if deadline_ms == 0 {
        let reason = "the deadline has passed";
        return Err(Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", reason));
    }
    Ok(Instant::now() + Duration::from_millis(deadline_ms))
}

/// Returns the depth of the call in its chain, 0 without the header; refuses a depth above
/// `max_depth`.
pub(super) fn depth(req: &HttpRequest, max_depth: u8) -> Result<u8, Refusal> {
    let Some(_) = req.headers().get(headers::DEPTH) else { return Ok(0) };
    let depth = header_text(req, headers::DEPTH)
        .and_then(|v| v.parse::<u32>().ok())
        .ok_or_else(|| bad_request("X-Ibis-Depth is not a whole number"))?;
    u8::try_from(depth).ok().filter(|d| *d <= max_depth).ok_or_else(|| {
        let reason = format!("the call chain is deeper than {max_depth}");
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "depth", reason)
    })
}

/// Returns the idempotency key, which a booking must carry in the header `name`.
pub(super) fn idempotency_key<'a>(req: &'a HttpRequest, name: &str) -> Result<&'a str, Refusal> {
    header_text(req, name)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| bad_request(format!("the header {name} is missing")))
}

/// Returns the headers that are forwarded to the target unchanged.
pub(super) fn end_to_end_headers(req: &HttpRequest) -> Vec<(SmolStr, Vec<u8>)> {
    let connection_options: Vec<&str> = header_text(req, "connection")
        .map(|v| v.split(',').map(str::trim).collect())
        .unwrap_or_default();
    req.headers()
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !headers::is_hop_by_hop(name)
                && !headers::is_own_request_header(name)
                && !connection_options.iter().any(|n| n.eq_ignore_ascii_case(name))
        })
        .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// Body of a caller's request.
pub(super) enum RequestBody {
    /// In memory; can be sent in several attempts.
    Whole(Bytes),
    /// Streamed from the caller.
    Stream(StreamedBody),
}

/// A body that is read from the caller only once the connection to a target is open.
pub(super) struct StreamedBody {
    /// `None` as soon as an attempt has started to read it.
    payload: Rc<RefCell<Option<Payload>>>,
    /// Value of `Content-Length`; `None` for a chunked body.
    len: Option<u64>,
    /// Maximum length in bytes, from the limits of the entry.
    max_bytes: u64,
    /// Set when the body exceeds `max_bytes` while it is copied.
    too_large: Rc<Cell<bool>>,
}

impl RequestBody {
    /// Checks the length of the body, and reads it into memory when it has at most `replay_limit`
    /// bytes.
    pub(super) async fn read(
        req: &HttpRequest,
        payload: Payload,
        entry: &Entry,
        replay_limit: u64,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let max_bytes = entry.limits.max_body.0;
        let len = match header_text(req, CONTENT_LENGTH.as_str()) {
            Some(v) => Some(v.parse::<u64>().map_err(|_| bad_request("bad Content-Length"))?),
            None if req.headers().contains_key(TRANSFER_ENCODING) => None,
            None => Some(0),
        };
        if len.is_some_and(|n| n > max_bytes) {
            return Err(Self::length_refusal(max_bytes));
        }
        if len.is_none_or(|n| n > replay_limit) {
            return Ok(Self::Stream(StreamedBody {
                payload: Rc::new(RefCell::new(Some(payload))),
                len,
                max_bytes,
                too_large: Rc::default(),
            }));
        }
        let whole_body = read_whole(payload, replay_limit);
        match tokio::time::timeout_at(deadline.into(), whole_body).await {
            Ok(Some(body)) => Ok(Self::Whole(body)),
            Ok(None) => Err(bad_request("the body ended early")),
            Err(_) => {
                let reason = "the body did not arrive before the deadline";
                Err(Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", reason))
            }
        }
    }

    /// Returns the refusal of a body that exceeds the limit and has not been sent to a target.
    fn length_refusal(max_bytes: u64) -> Refusal {
        let reason = format!("the body exceeds {max_bytes} bytes");
        Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body", reason)
    }

    /// Returns the refusal of a streamed body that exceeded the limit while it was sent; `None` for
    /// any other body.
    pub(super) fn too_large_refusal(&self) -> Option<Refusal> {
        match self {
            Self::Stream(s) if s.too_large.get() => Some(Refusal::may_have_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body",
                format!("the body exceeds {} bytes", s.max_bytes),
            )),
            _ => None,
        }
    }

    /// Returns the length in bytes; `None` for a chunked body, whose length is not known yet.
    pub(super) fn len(&self) -> Option<u64> {
        match self {
            Self::Whole(body) => Some(body.len() as u64),
            Self::Stream(s) => s.len,
        }
    }

    pub(super) fn body_state(&self) -> BodyState {
        match self {
            Self::Stream(s) if s.payload.borrow().is_none() => BodyState::Consumed,
            _ => BodyState::Replayable,
        }
    }

    /// Returns the body for one attempt, with the task that copies a streamed body. Dropping the
    /// task stops the copy.
    pub(super) fn body_for_attempt(&self) -> (CallBody, Option<OwnedTask>) {
        let stream = match self {
            Self::Whole(body) => return (CallBody::Whole(body.clone()), None),
            Self::Stream(stream) => stream,
        };
        let (writer, first_read_rx, reader) = body_stream();
        let (payload_cell, max_bytes) = (stream.payload.clone(), stream.max_bytes);
        let too_large = stream.too_large.clone();
        let copy_task = OwnedTask::spawn(async move {
            if first_read_rx.await.is_err() {
                return;
            }
            let Some(mut payload) = payload_cell.borrow_mut().take() else { return };
            let mut bytes_read = 0;
            while let Some(data) = payload.next().await {
                let Ok(data) = data else { return };
                bytes_read += data.len() as u64;
                if bytes_read > max_bytes {
                    return too_large.set(true);
                }
                if !writer.send(data).await {
                    return;
                }
            }
            writer.end().await;
        });
        (CallBody::Stream(reader), Some(copy_task))
    }
}

/// Reads a body into memory; `None` when it ends early or has more than `max_bytes` bytes.
async fn read_whole(mut payload: Payload, max_bytes: u64) -> Option<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(data) = payload.next().await {
        buf.extend_from_slice(&data.ok()?);
        if buf.len() as u64 > max_bytes {
            return None;
        }
    }
    Some(buf.freeze())
}
