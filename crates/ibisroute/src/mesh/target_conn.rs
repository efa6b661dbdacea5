//! A connection to the target beside this node: one request at a time.

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

use super::http1;
use super::http1::BodyReader;
use super::http1::ResponseHead;
use super::socket;
use crate::platform::headers;
use crate::types::Millis;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest answer; far above those of the services, it only bounds the memory of one request.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Time that a new connection to a target on the same host may take.
const CONNECT_LIMIT: Millis = Millis(400);

/// Idle time after which a connection is not used again when the target tells no limit.
const DEFAULT_IDLE: Millis = Millis(8_000);

/// Part of the idle time that the target tells within which a connection is used again. Later, the
/// target's close could cross a request.
const IDLE_SHARE: f64 = 0.7;

/// A whole answer of the target.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, derive_more::Display)]
pub enum ExchangeError {
    /// Nothing of the request was written.
    #[display("not sent: {_0}")]
    NotSent(io::Error),
    /// The request was written in part or whole, and the connection failed.
    #[display("no answer: {_0}")]
    Broken(io::Error),
    /// The answer is not one to this request, or is not whole.
    #[display("bad answer: {_0}")]
    BadAnswer(&'static str),
}

/// A connection to the target.
#[derive(Debug)]
pub struct TargetConn {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buf: BytesMut,
    idle_since: Instant,
    idle_limit: Millis,
    used: bool,
}

impl TargetConn {
    /// Connects; an error proves that nothing was sent.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream: TcpStream = socket::connect(address, CONNECT_LIMIT).await?;
        let (read, write) = stream.into_split();
        Ok(Self {
            read,
            write,
            buf: BytesMut::new(),
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE,
            used: false,
        })
    }

    /// Whether a request has used the connection before.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether the connection may take another request: not idle for too long, not closed by the
    /// target, and without bytes that belong to no request.
    pub fn is_fresh(&mut self) -> bool {
        if Millis::from(self.idle_since.elapsed()) > self.idle_limit || !self.buf.is_empty() {
            return false;
        }
        let mut probe = [0; 1];
        let read = self.read.try_read(&mut probe);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its whole answer. `written` becomes true when a byte may have left.
    /// The connection may be used again only when the second value is true.
    pub async fn exchange(
        &mut self,
        method: &str,
        request_id: &str,
        request: &[u8],
        body: &[u8],
        written: &Cell<bool>,
    ) -> Result<(TargetAnswer, bool), ExchangeError> {
        let reused = std::mem::replace(&mut self.used, true);
        let Self { read, write, buf, .. } = self;
        let mut sending = std::pin::pin!(async {
            written.set(true);
            if body.len() <= 16 * 1024 {
                let mut whole = BytesMut::with_capacity(request.len() + body.len());
                whole.extend_from_slice(request);
                whole.extend_from_slice(body);
                return write.write_all(&whole).await;
            }
            write.write_all(request).await?;
            write.write_all(body).await
        });
        let mut sent = false;
        let answer = {
            let answering = read_answer(read, buf, method, request_id, reused);
            let mut answering = std::pin::pin!(answering);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answering => break answer,
                    // After a failed write, the answer may have come before the target closed; the
                    // reader tells.
                    _ = &mut sending, if !sent => sent = true,
                }
            }
        }?;
        // An answer before the whole request was written leaves the rest of the body due; the
        // connection cannot carry another request.
        let reusable = sent && answer.head.keep_alive && self.buf.is_empty();
        if let Some(limit) = keep_alive_limit(&answer.head) {
            self.idle_limit = limit;
        }
        self.idle_since = Instant::now();
        Ok((answer, reusable))
    }
}

/// Idle time that the target allows, from `Keep-Alive: timeout=S`.
fn keep_alive_limit(head: &ResponseHead) -> Option<Millis> {
    let text = head.headers.text("keep-alive")?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let millis = seconds.trim().parse::<u64>().ok()?.saturating_mul(1000);
    Some(Millis((millis as f64 * IDLE_SHARE) as u64))
}

async fn read_answer(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    method: &str,
    request_id: &str,
    reused: bool,
) -> Result<TargetAnswer, ExchangeError> {
    loop {
        let answer = read_message(read, buf, method).await?;
        if matches!(answer.head.status, 100..=199) {
            continue;
        }
        match answer.head.headers.text(headers::REQUEST_ID) {
            Some(id) if id == request_id => return Ok(answer),
            // An extra answer to an earlier request may arrive late, where this one is expected.
            Some(_) => continue,
            None if !reused => return Ok(answer),
            None => return Err(ExchangeError::BadAnswer("an answer without a request id")),
        }
    }
}

async fn read_message(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    method: &str,
) -> Result<TargetAnswer, ExchangeError> {
    let head = loop {
        match http1::parse_response(buf, method, MAX_HEAD_BYTES) {
            Ok(Some((head, used))) => {
                let _ = buf.split_to(used);
                break head;
            }
            Ok(None) => {}
            Err(_) => return Err(ExchangeError::BadAnswer("not a response")),
        }
        if fill(read, buf).await? == 0 {
            return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    };
    let bad = |_| ExchangeError::BadAnswer("malformed body");
    let mut body = BodyReader::new(head.framing, MAX_ANSWER_BYTES).map_err(bad)?;
    while !body.take(buf).map_err(bad)? {
        if fill(read, buf).await? == 0 {
            if body.close() {
                break;
            }
            return Err(ExchangeError::BadAnswer("ended before it was whole"));
        }
    }
    Ok(TargetAnswer { head, body: body.into_body() })
}

async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> Result<usize, ExchangeError> {
    buf.reserve(4 * 1024);
    read.read_buf(buf).await.map_err(ExchangeError::Broken)
}
