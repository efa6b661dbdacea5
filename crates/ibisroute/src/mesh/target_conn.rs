//! A connection to the target next to this node. It carries one request at a time.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use super::byte_budget::ByteBudget;
use super::http1;
use super::http1::BodyReader;
use super::http1::Framing;
use super::http1::ResponseHead;
use super::socket;
use crate::platform::headers;
use crate::types::Millis;

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Size in bytes up to which the body of a response takes nothing of the budget, so that short responses
/// arrive also when long ones have used it up.
const UNCOUNTED_BODY_BYTES: usize = 16 * 1024;

/// Maximum number of responses that are skipped before the one to the request. A target sends few
/// informational or duplicate responses; a faulty one may send them without an end.
const MAX_SKIPPED_RESPONSES: usize = 16;

/// Timeout of a new connection to the target, which runs on the same host.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Idle time after which a connection is not reused when the target announces no limit.
const DEFAULT_IDLE_LIMIT: Millis = Millis(8_000);

/// Fraction of the target's announced idle limit after which a connection is not reused. Closer to the
/// limit, the target could close it while a request is on the way.
const REUSE_FRACTION: f64 = 0.7;

/// A request as it is sent to the target.
#[derive(Clone, Copy, Debug)]
pub struct RequestMessage<'a> {
    pub method: &'a str,
    pub request_id: &'a str,
    /// Encoded request line and headers.
    pub head: &'a [u8],
    pub body: &'a [u8],
}

/// A response of the target with its complete body.
#[derive(Debug)]
pub struct TargetResponse {
    pub head: ResponseHead,
    pub body: Bytes,
}

/// Reason why an exchange with the target gave no valid response.
#[derive(Debug, derive_more::Display)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[display("not sent: {_0}")]
    NotSent(io::Error),
    /// The connection failed after the request was written partly or completely.
    #[display("no answer: {_0}")]
    Broken(io::Error),
    /// The response does not belong to this request, or is malformed or truncated.
    #[display("bad answer: {_0}")]
    BadAnswer(&'static str),
}

/// A keep-alive connection to the target, for one request at a time.
#[derive(Debug)]
pub struct TargetConn {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buf: BytesMut,
    /// End of the last exchange, or the time of connecting if there was no exchange.
    idle_since: Instant,
    /// Idle time after which the connection is not reused.
    idle_limit: Millis,
    /// Whether the connection has carried a request.
    was_used: bool,
}

impl TargetConn {
    /// Connects to the target. An error proves that nothing was sent.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream: TcpStream = socket::connect_target(address, CONNECT_TIMEOUT).await?;
        let (read, write) = stream.into_split();
        Ok(Self {
            read,
            write,
            buf: BytesMut::new(),
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            was_used: false,
        })
    }

    /// Returns whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.was_used
    }

    /// Returns whether the connection can carry another request: it was not idle for too long, the target
    /// has not closed it, and there are no bytes that belong to no request.
    pub fn is_reusable(&mut self) -> bool {
        if Millis::from(self.idle_since.elapsed()) > self.idle_limit || !self.buf.is_empty() {
            return false;
        }
        let mut probe = [0; 1];
        let read = self.read.try_read(&mut probe);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response, whose body takes memory of `budget`. Sets
    /// `written` before the first byte is sent. The connection may be reused only if the returned flag is
    /// true.
    pub async fn exchange(
        &mut self,
        request: RequestMessage<'_>,
        budget: &ByteBudget,
        written: &Cell<bool>,
    ) -> Result<(TargetResponse, bool), ExchangeError> {
        let is_reused = std::mem::replace(&mut self.was_used, true);
        let Self { read, write, buf, .. } = self;
        let mut sending = std::pin::pin!(async {
            written.set(true);
            // A short body is sent together with the head, in one write.
            if request.body.len() <= 16 * 1024 {
                let mut message = BytesMut::with_capacity(request.head.len() + request.body.len());
                message.extend_from_slice(request.head);
                message.extend_from_slice(request.body);
                return write.write_all(&message).await;
            }
            write.write_all(request.head).await?;
            write.write_all(request.body).await
        });
        let mut sent = false;
        let response = {
            let receiving = read_response(read, buf, request, budget, is_reused);
            let mut receiving = std::pin::pin!(receiving);
            loop {
                tokio::select! {
                    biased;
                    response = &mut receiving => break response,
                    // A failed write is not an error here: the target may have sent the response before
                    // it closed the connection, and reading the response fails if the connection is
                    // broken.
                    _ = &mut sending, if !sent => sent = true,
                }
            }
        }?;
        // When the response arrives before the whole request is written, the rest of the body would still
        // have to be sent, so the connection cannot carry another request.
        let reusable = sent && response.head.keep_alive && self.buf.is_empty();
        if let Some(limit) = keep_alive_limit(&response.head) {
            self.idle_limit = limit;
        }
        self.idle_since = Instant::now();
        Ok((response, reusable))
    }
}

/// Returns the idle time within which a connection is reused, from the header `Keep-Alive: timeout=S`
/// with S in seconds; `None` without the header.
fn keep_alive_limit(head: &ResponseHead) -> Option<Millis> {
    let text = head.headers.text("keep-alive")?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let millis = seconds.trim().parse::<u64>().ok()?.saturating_mul(1000);
    Some(Millis((millis as f64 * REUSE_FRACTION) as u64))
}

/// Reads the response to a request; skips informational responses and those to earlier requests.
async fn read_response(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    request: RequestMessage<'_>,
    budget: &ByteBudget,
    is_reused: bool,
) -> Result<TargetResponse, ExchangeError> {
    for _ in 0..=MAX_SKIPPED_RESPONSES {
        let response = read_message(read, buf, request.method, budget).await?;
        if matches!(response.head.status, 100..=199) {
            continue;
        }
        match response.head.headers.text(headers::REQUEST_ID) {
            Some(id) if id == request.request_id => return Ok(response),
            // A duplicate response to an earlier request can arrive before the expected response.
            Some(_) => continue,
            None if !is_reused => return Ok(response),
            None => return Err(ExchangeError::BadAnswer("response without a request id")),
        }
    }
    Err(ExchangeError::BadAnswer("responses to other requests"))
}

async fn read_message(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    method: &str,
    budget: &ByteBudget,
) -> Result<TargetResponse, ExchangeError> {
    let head = loop {
        match http1::parse_response(buf, method, MAX_HEAD_BYTES) {
            Ok(Some((head, head_bytes))) => {
                let _ = buf.split_to(head_bytes);
                break head;
            }
            Ok(None) => {}
            Err(_) => return Err(ExchangeError::BadAnswer("not a response")),
        }
        if read_more(read, buf).await? == 0 {
            return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    };
    let malformed_body = |_| ExchangeError::BadAnswer("malformed body");
    let too_long = || ExchangeError::BadAnswer("response too long");
    let mut reservation = budget.reservation();
    if let Framing::Length(length) = head.framing
        && !reservation.permits_fairly(counted_bytes(length as usize))
    {
        return Err(too_long());
    }
    let mut body = BodyReader::new(head.framing, u64::MAX).map_err(malformed_body)?;
    while !body.consume(buf).map_err(malformed_body)? {
        if !reservation.grow_fairly_to(counted_bytes(body.len())) {
            return Err(too_long());
        }
        if read_more(read, buf).await? == 0 {
            if body.on_close() {
                break;
            }
            return Err(ExchangeError::BadAnswer("response truncated"));
        }
    }
    Ok(TargetResponse { head, body: reservation.hold(body.into_body()) })
}

/// Returns how many of the `body_bytes` bytes of a response take memory of the budget.
fn counted_bytes(body_bytes: usize) -> usize {
    body_bytes.saturating_sub(UNCOUNTED_BODY_BYTES)
}

async fn read_more(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> Result<usize, ExchangeError> {
    buf.reserve(4 * 1024);
    read.read_buf(buf).await.map_err(ExchangeError::Broken)
}
