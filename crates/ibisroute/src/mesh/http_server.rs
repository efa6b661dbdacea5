//! HTTP/1.1 server. A connection carries one request at a time, whose body is read completely before the
//! request is handled.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::byte_budget::ByteBudget;
use super::byte_budget::ByteReservation;
use super::http1;
use super::http1::BodyReader;
use super::http1::Framing;
use super::http1::HttpError;
use super::http1::RequestHead;
use super::routes::ClientLimits;
use crate::types::Millis;

/// Initial size of a connection's buffer. Most heads are shorter.
const BUFFER_BYTES: usize = 2 * 1024;

/// Buffer space reserved for a read of a long body. Also the maximum number of bytes that are read ahead
/// when a caller pipelines requests.
const READ_BYTES: usize = 16 * 1024;

/// Pause after a failed accept, for example when the process has no free file descriptors. Other
/// connections may end during the pause and free some descriptors.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Longest time for which unread bytes of a request are read and discarded before the close. A close with
/// unread bytes resets the connection, and the reset can overtake the response.
const LINGER_TIMEOUT: Millis = Millis(500);

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Bytes,
    /// Time at which the head was complete.
    pub arrived: Instant,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    /// Headers without `Content-Length` and `Connection`.
    pub headers: Vec<(SmolStr, Bytes)>,
    pub body: Bytes,
    /// Whether this is the response to HEAD, which has no body and no length.
    pub head_only: bool,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// Creates a response without headers and body.
    pub fn status(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Bytes::new(), head_only: false, close: false }
    }

    /// Appends a header to the response.
    pub fn with_header(mut self, name: &'static str, value: impl Into<Bytes>) -> Self {
        self.headers.push((SmolStr::new_static(name), value.into()));
        self
    }
}

/// Serves the requests of a listener.
pub trait Handler {
    /// Returns the size limits and timeouts for the requests of callers.
    fn limits(&self) -> ClientLimits;

    /// Returns the refusal of a request, by its head and before its body is read; `None` when the request
    /// may proceed.
    fn refuse_early(&self, head: &RequestHead) -> Option<Response>;

    /// Responds to a request. The future is dropped when the caller closes the connection.
    fn handle(self: Rc<Self>, req: Request) -> impl Future<Output = Response>;

    /// Returns whether connections are closed after their next response.
    fn is_closing(&self) -> bool;

    /// Called when a caller closed the connection before the response to its request.
    fn on_caller_closed(&self) {}

    /// Returns the budget of the bodies in memory; `None` when they are not limited together.
    fn body_budget(&self) -> Option<&ByteBudget> {
        None
    }

    /// Returns the time after the head within which a body has to be complete; `None` for no limit but the
    /// idle timeout.
    fn body_timeout(&self, _head: &RequestHead) -> Option<Millis> {
        None
    }

    /// Returns the refusal of a request whose body exceeds the budget.
    fn refuse_body(&self, _head: &RequestHead) -> Response {
        Response::status(503)
    }

    /// Returns the counter in which the server counts the requests whose response is not yet written;
    /// `None` when they are not counted.
    fn open_requests(&self) -> Option<&Cell<usize>> {
        None
    }
}

/// Guard that counts a request as open from the receipt of its head until its response is written.
struct OpenRequest<'a>(Option<&'a Cell<usize>>);

impl<'a> OpenRequest<'a> {
    fn new(count: Option<&'a Cell<usize>>) -> Self {
        if let Some(count) = count {
            count.set(count.get() + 1);
        }
        Self(count)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.0 {
            count.set(count.get() - 1);
        }
    }
}

/// Accepts connections until the future is dropped.
pub async fn serve<H: Handler + 'static>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                actix_rt::spawn(async move {
                    // When the connection fails, there is no caller left to receive the error.
                    let _ = Connection::new(stream).run(handler).await;
                });
            }
            Err(_) => sleep(ACCEPT_PAUSE.to_duration()).await,
        }
    }
}

struct Connection {
    stream: TcpStream,
    buf: BytesMut,
}

/// Result of reading a head.
enum HeadResult {
    Head(Box<RequestHead>),
    /// The caller closed the connection or exceeded the idle timeout.
    Ended,
    Refused(Response),
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        // Nagle's algorithm would delay short responses.
        let _ = stream.set_nodelay(true);
        Self { stream, buf: BytesMut::with_capacity(BUFFER_BYTES) }
    }

    async fn run<H: Handler>(mut self, handler: Rc<H>) -> io::Result<()> {
        loop {
            let limits = handler.limits();
            let head = match self.read_head(&limits).await? {
                HeadResult::Head(head) => head,
                HeadResult::Ended => return Ok(()),
                HeadResult::Refused(response) => return self.refuse(response).await,
            };
            let arrived = Instant::now();
            if let Some(response) = handler.refuse_early(&head) {
                if head.framing == Framing::Empty {
                    let close = response.close || !head.keep_alive || handler.is_closing();
                    self.respond(response, close).await?;
                    if close {
                        return self.linger().await;
                    }
                    continue;
                }
                return self.refuse(response).await;
            }
            let _open_request = OpenRequest::new(handler.open_requests());
            let mut reservation = handler.body_budget().map(ByteBudget::reservation);
            let refuse_body = || handler.refuse_body(&head);
            let read = self.read_body(&head, &limits, &mut reservation, refuse_body);
            let read = match handler.body_timeout(&head) {
                Some(t) => timeout(t.to_duration(), read).await,
                None => Ok(read.await),
            };
            let body = match read.unwrap_or_else(|_| Ok(Err(Response::status(408))))? {
                Ok(body) => body,
                Err(response) => return self.refuse(response).await,
            };
            let keep_alive = head.keep_alive;
            let request = Request { head: *head, body, arrived };
            let response = {
                let handling = std::pin::pin!(handler.clone().handle(request));
                tokio::select! {
                    biased;
                    response = handling => Some(response),
                    _ = wait_for_close(&mut self.stream, &mut self.buf) => None,
                }
            };
            let Some(response) = response else {
                handler.on_caller_closed();
                return Ok(());
            };
            let close = response.close || !keep_alive || handler.is_closing();
            self.respond(response, close).await?;
            if close {
                return self.linger().await;
            }
        }
    }

    async fn read_head(&mut self, limits: &ClientLimits) -> io::Result<HeadResult> {
        let max_head_bytes = limits.header_bytes.0 as usize;
        let mut first_byte_at: Option<Instant> = None;
        loop {
            // Some callers send an empty line between requests.
            while self.buf.starts_with(b"\r\n") {
                let _ = self.buf.split_to(2);
            }
            match http1::parse_request(&self.buf, max_head_bytes) {
                Ok(Some((head, head_bytes))) => {
                    let _ = self.buf.split_to(head_bytes);
                    return Ok(HeadResult::Head(Box::new(head)));
                }
                Ok(None) => {}
                Err(HttpError::HeadTooLong) => {
                    return Ok(HeadResult::Refused(Response::status(431)));
                }
                Err(_) => return Ok(HeadResult::Refused(Response::status(400))),
            }
            if !self.buf.is_empty() && first_byte_at.is_none() {
                first_byte_at = Some(Instant::now());
            }
            let read_timeout = match first_byte_at {
                Some(at) => limits.header_timeout.to_duration().saturating_sub(at.elapsed()),
                None => limits.idle_timeout.to_duration(),
            };
            self.buf.reserve(BUFFER_BYTES);
            match timeout(read_timeout, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(0)) => return Ok(HeadResult::Ended),
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return Err(e),
                Err(_) if first_byte_at.is_some() => {
                    return Ok(HeadResult::Refused(Response::status(408)));
                }
                Err(_) => return Ok(HeadResult::Ended),
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &ClientLimits,
        reservation: &mut Option<ByteReservation>,
        refuse_body: impl FnOnce() -> Response,
    ) -> io::Result<Result<Bytes, Response>> {
        let refusal_of = |e: HttpError| match e {
            HttpError::BodyTooLong => Response::status(413),
            _ => Response::status(400),
        };
        let mut body = match BodyReader::new(head.framing, limits.body_bytes.0) {
            Ok(body) => body,
            Err(e) => return Ok(Err(refusal_of(e))),
        };
        let declared_bytes = match head.framing {
            Framing::Length(n) => n as usize,
            _ => 0,
        };
        let mut has_room = |bytes| reservation.as_mut().is_none_or(|r| r.grow_to(bytes));
        if !has_room(declared_bytes) {
            return Ok(Err(refuse_body()));
        }
        if head.headers.has_token("expect", "100-continue") && head.framing != Framing::Empty {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        loop {
            match body.consume(&mut self.buf) {
                Ok(true) => return Ok(Ok(body.into_body())),
                Ok(false) => {}
                Err(e) => return Ok(Err(refusal_of(e))),
            }
            if !has_room(body.len()) {
                return Ok(Err(refuse_body()));
            }
            self.buf.reserve(if body.is_empty() { BUFFER_BYTES } else { READ_BYTES });
            let idle_timeout = limits.idle_timeout.to_duration();
            match timeout(idle_timeout, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return Err(e),
                Err(_) => return Ok(Err(Response::status(408))),
            }
        }
    }

    async fn respond(&mut self, response: Response, close: bool) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(512 + response.body.len());
        let headers = response.headers.iter().map(|(n, v)| (n.as_str(), &v[..]));
        let close_token: &[u8] = b"close";
        let connection = close.then_some(("Connection", close_token));
        let bodyless = response.head_only || matches!(response.status, 100..=199 | 204 | 304);
        let length = (!bodyless).then_some(response.body.len());
        http1::write_response(&mut out, response.status, headers.chain(connection), length);
        out.extend_from_slice(&response.body);
        self.stream.write_all(&out).await?;
        if self.buf.is_empty() && self.buf.capacity() > 2 * BUFFER_BYTES {
            // An idle connection does not keep the memory of a long body.
            self.buf = BytesMut::new();
        }
        Ok(())
    }

    /// Responds to a request whose body was not read completely, and closes the connection.
    async fn refuse(mut self, response: Response) -> io::Result<()> {
        self.respond(response, true).await?;
        self.linger().await
    }

    /// Closes the writing side, then reads and discards bytes of the caller for at most
    /// [`LINGER_TIMEOUT`].
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let discard = async {
            let mut buf = BytesMut::with_capacity(BUFFER_BYTES);
            while self.stream.read_buf(&mut buf).await? > 0 {
                buf.clear();
            }
            Ok(())
        };
        timeout(LINGER_TIMEOUT.to_duration(), discard).await.unwrap_or(Ok(()))
    }
}

/// Waits until the caller closes the connection. Bytes of its next request stay in the buffer.
async fn wait_for_close(stream: &mut TcpStream, buf: &mut BytesMut) {
    loop {
        buf.reserve(BUFFER_BYTES);
        if buf.len() > READ_BYTES {
            // The buffer holds more than [`READ_BYTES`] of the caller's next requests; no more is
            // read until the response to the current request is written.
            return std::future::pending().await;
        }
        match stream.read_buf(buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
