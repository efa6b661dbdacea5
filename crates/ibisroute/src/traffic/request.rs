//! What a caller sent: checks, headers and body.

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

/// Longest request id that is taken from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn bad_request(reason: impl Into<String>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", reason)
}

/// The caller's request id, when it sent a usable one.
pub(super) fn request_id(req: &HttpRequest) -> Option<RequestId> {
    let id = text(req, headers::REQUEST_ID)?;
    let usable =
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    usable.then(|| RequestId(SmolStr::new(id)))
}

/// The point at which the call is of no use any more, never later than the entry allows.
pub(super) fn deadline(req: &HttpRequest, entry: &Entry) -> Result<Instant, Refusal> {
    let limit = entry.limits.deadline.0;
    let millis = match req.headers().get(headers::DEADLINE) {
        None => limit,
        Some(_) => text(req, headers::DEADLINE)
            .and_then(|v| v.parse::<u64>().ok())
            .ok_or_else(|| bad_request("X-Ibis-Deadline-Ms is not a whole number"))?
            .min(limit),
    };
    if millis == 0 {
        let reason = "the deadline has passed";
        return Err(Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", reason));
    }
    Ok(Instant::now() + Duration::from_millis(millis))
}

/// The depth of the call in its chain.
pub(super) fn depth(req: &HttpRequest, max: u8) -> Result<u8, Refusal> {
    let Some(_) = req.headers().get(headers::DEPTH) else { return Ok(0) };
    let depth = text(req, headers::DEPTH)
        .and_then(|v| v.parse::<u32>().ok())
        .ok_or_else(|| bad_request("X-Ibis-Depth is not a whole number"))?;
    u8::try_from(depth).ok().filter(|d| *d <= max).ok_or_else(|| {
        let reason = format!("the call chain is deeper than {max}");
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "depth", reason)
    })
}

/// The key that a booking must carry.
pub(super) fn idempotency_key<'a>(req: &'a HttpRequest, name: &str) -> Result<&'a str, Refusal> {
    text(req, name)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| bad_request(format!("the header {name} is missing")))
}

/// Headers that the target gets as they are.
pub(super) fn end_to_end_headers(req: &HttpRequest) -> Vec<(SmolStr, Vec<u8>)> {
    let listed: Vec<&str> =
        text(req, "connection").map(|v| v.split(',').map(str::trim).collect()).unwrap_or_default();
    req.headers()
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !headers::is_hop_by_hop(name)
                && !headers::is_own_request_header(name)
                && !listed.iter().any(|n| n.eq_ignore_ascii_case(name))
        })
        .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// The request body.
pub(super) enum Source {
    /// Held in memory; can be sent again.
    Whole(Bytes),
    /// Streamed from the caller.
    Stream(StreamSource),
}

/// A body that is read from the caller only when a target is connected.
pub(super) struct StreamSource {
    payload: Rc<RefCell<Option<Payload>>>,
    len: Option<u64>,
    limit: u64,
    too_large: Rc<Cell<bool>>,
}

impl Source {
    /// Checks the length of the body, and reads it when it is small.
    pub(super) async fn read(
        req: &HttpRequest,
        payload: Payload,
        entry: &Entry,
        replay: u64,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let limit = entry.limits.max_body.0;
        let len = match text(req, CONTENT_LENGTH.as_str()) {
            Some(v) => Some(v.parse::<u64>().map_err(|_| bad_request("bad Content-Length"))?),
            None if req.headers().contains_key(TRANSFER_ENCODING) => None,
            None => Some(0),
        };
        if len.is_some_and(|n| n > limit) {
            return Err(Self::too_large(limit));
        }
        if len.is_none_or(|n| n > replay) {
            return Ok(Self::Stream(StreamSource {
                payload: Rc::new(RefCell::new(Some(payload))),
                len,
                limit,
                too_large: Rc::default(),
            }));
        }
        let reading = read_whole(payload, replay);
        match tokio::time::timeout_at(deadline.into(), reading).await {
            Ok(Some(body)) => Ok(Self::Whole(body)),
            Ok(None) => Err(bad_request("the body ended early")),
            Err(_) => {
                let reason = "the body did not arrive before the deadline";
                Err(Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", reason))
            }
        }
    }

    /// The refusal of a body above the limit, before it was sent to a target.
    fn too_large(limit: u64) -> Refusal {
        let reason = format!("the body exceeds {limit} bytes");
        Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body", reason)
    }

    /// The refusal to give when a streamed body turned out to be above the limit.
    pub(super) fn overrun(&self) -> Option<Refusal> {
        match self {
            Self::Stream(s) if s.too_large.get() => Some(Refusal::may_have_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body",
                format!("the body exceeds {} bytes", s.limit),
            )),
            _ => None,
        }
    }

    /// Length when it is known.
    pub(super) fn len(&self) -> Option<u64> {
        match self {
            Self::Whole(body) => Some(body.len() as u64),
            Self::Stream(s) => s.len,
        }
    }

    /// Whether the body can be sent.
    pub(super) fn state(&self) -> BodyState {
        match self {
            Self::Stream(s) if s.payload.borrow().is_none() => BodyState::Consumed,
            _ => BodyState::Whole,
        }
    }

    /// The body for one attempt. The task copies a streamed body until it is dropped.
    pub(super) fn open(&self) -> (CallBody, Option<OwnedTask>) {
        let source = match self {
            Self::Whole(body) => return (CallBody::Whole(body.clone()), None),
            Self::Stream(source) => source,
        };
        let (writer, begun, reader) = body_stream();
        let (slot, limit) = (source.payload.clone(), source.limit);
        let too_large = source.too_large.clone();
        let task = OwnedTask::spawn(async move {
            if begun.await.is_err() {
                return;
            }
            let Some(mut payload) = slot.borrow_mut().take() else { return };
            let mut sent = 0;
            while let Some(data) = payload.next().await {
                let Ok(data) = data else { return };
                sent += data.len() as u64;
                if sent > limit {
                    return too_large.set(true);
                }
                if !writer.send(data).await {
                    return;
                }
            }
            writer.end().await;
        });
        (CallBody::Stream(reader), Some(task))
    }
}

async fn read_whole(mut payload: Payload, limit: u64) -> Option<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(data) = payload.next().await {
        buf.extend_from_slice(&data.ok()?);
        if buf.len() as u64 > limit {
            return None;
        }
    }
    Some(buf.freeze())
}
