//! HTTP/1.1 client for one target, built on `awc`.
//!
//! Each connection has its own `awc` client, because `awc` does not expose two facts that determine
//! the outcome of a call: whether a byte was written before a failure, and whether a chunked body
//! ended with its last chunk or because the target closed the connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_web::dev::fn_service;
use awc::Client;
use awc::ClientBuilder;
use awc::ClientResponse;
use awc::Connector;
use awc::body::BodyStream;
use awc::body::SizedStream;
use awc::http::Method;
use awc::http::Uri;
use awc::http::header::CONTENT_LENGTH;
use awc::http::header::HeaderName;
use awc::http::header::HeaderValue;
use awc::http::header::TRANSFER_ENCODING;
use bytes::Bytes;
use futures_util::StreamExt;
use smol_str::SmolStr;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::call::BodyTruncated;
use super::call::CallBody;
use super::headers::is_hop_by_hop;
use super::traffic_settings::TrafficSettings;
use crate::wire::CallHead;

/// Events on a connection since the start of the current call.
#[derive(Debug, Default)]
struct ConnectionState {
    /// Whether a byte has been written.
    request_written: Cell<bool>,
    /// Whether the end of input has been read.
    closed: Cell<bool>,
}

/// A TCP stream that records writes and the end of input.
#[derive(Debug)]
struct TrackedStream {
    io: TcpStream,
    state: Rc<ConnectionState>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let poll_result = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(poll_result, Poll::Ready(Ok(()))) && buf.filled().len() == filled_before {
            self.state.closed.set(true);
        }
        poll_result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll_result = Pin::new(&mut self.io).poll_write(cx, buf);
        if matches!(poll_result, Poll::Ready(Ok(n)) if n > 0) {
            self.state.request_written.set(true);
        }
        poll_result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}

/// An `awc` client that is limited to a single connection to the target.
struct TargetConnection {
    client: Client,
    state: Rc<ConnectionState>,
}

/// Error of a request to which the target did not respond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SendFailure {
    /// Whether a byte was written. `false` proves that the request did not run.
    pub(super) request_written: bool,
    /// Human-readable details.
    pub(super) reason: String,
}

/// Connections to one target. The dispatcher limits the number of concurrent calls to the
/// slots of the target.
pub(super) struct TargetClient {
    address: SocketAddr,
    settings: TrafficSettings,
    idle_connections: RefCell<Vec<TargetConnection>>,
}

/// Response of a target; its body has not been read yet.
pub(super) struct TargetResponse {
    pub(super) status: u16,
    pub(super) headers: Vec<(SmolStr, Vec<u8>)>,
    /// Length of the body in bytes; `None` if the response does not state it.
    pub(super) body_bytes: Option<u64>,
    pub(super) body: TargetBody,
}

impl TargetClient {
    pub(super) fn new(address: SocketAddr, settings: TrafficSettings) -> Self {
        Self { address, settings, idle_connections: RefCell::default() }
    }

    /// Sends a request and waits for the head of the response. `request_written` is set as soon as
    /// a byte has been written. Dropping the future closes the connection.
    pub(super) async fn send(
        self: &Rc<Self>,
        head: &CallHead,
        extra_headers: &[(&str, String)],
        body: CallBody,
        request_written: &Cell<bool>,
    ) -> Result<TargetResponse, SendFailure> {
        let unsent_failure = |reason: String| SendFailure { request_written: false, reason };
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(head.path.as_str())
            .build()
            .map_err(|e| unsent_failure(e.to_string()))?;
        let method = Method::from_bytes(head.method.as_bytes())
            .map_err(|e| unsent_failure(e.to_string()))?;
        let idle_connection = self.take_idle_connection(head.new_connection);
        let mut idle_guard =
            IdleCloseGuard { client: self, closes_idle: idle_connection.is_some() };
        let connection = idle_connection.unwrap_or_else(|| self.open_connection());
        connection.state.request_written.set(false);
        connection.state.closed.set(false);
        let mut request = connection.client.request(method.clone(), uri);
        for (name, value) in &head.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) else { continue };
            request = request.append_header((name, value));
        }
        for (name, value) in extra_headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let response_future = match body {
            CallBody::Whole(bytes) if bytes.is_empty() && omits_empty_body(&method) => {
                request.send()
            }
            CallBody::Whole(bytes) => request.send_body(bytes),
            CallBody::Stream(reader) => match head.body_bytes {
                Some(len) => request.send_body(SizedStream::new(len, reader)),
                None => request.send_body(BodyStream::new(reader)),
            },
        };
        let mut response_future = std::pin::pin!(response_future);
        let state = connection.state.clone();
        let response = std::future::poll_fn(|cx| {
            let poll_result = response_future.as_mut().poll(cx);
            request_written.set(state.request_written.get());
            poll_result
        })
        .await
        .map_err(|e| SendFailure {
            request_written: state.request_written.get(),
            reason: e.to_string(),
        })?;
        idle_guard.closes_idle = false;
        Ok(self.target_response(&method, response, connection))
    }

    fn target_response(
        self: &Rc<Self>,
        method: &Method,
        response: ClientResponse,
        connection: TargetConnection,
    ) -> TargetResponse {
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| !is_hop_by_hop(name.as_str()) && *name != CONTENT_LENGTH)
            .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
            .collect();
        let content_length = response
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<u64>().ok());
        let bodyless = method == Method::HEAD || matches!(status, 100..=199 | 204 | 304);
        let chunked = response.headers().contains_key(TRANSFER_ENCODING);
        let body = TargetBody {
            unread_bytes: if bodyless { Some(0) } else { content_length.filter(|_| !chunked) },
            chunked,
            response: Some(response),
            connection: Some(connection),
            client: self.clone(),
        };
        let body_bytes = body.unread_bytes;
        TargetResponse { status, headers, body_bytes, body }
    }

    /// Returns an idle connection, unless the call needs a new one. In that case the oldest idle
    /// connection is closed, so that the number of connections to the target does not grow.
    fn take_idle_connection(&self, new_connection: bool) -> Option<TargetConnection> {
        let mut idle_connections = self.idle_connections.borrow_mut();
        if !new_connection {
            return idle_connections.pop();
        }
        if !idle_connections.is_empty() {
            idle_connections.remove(0);
        }
        None
    }

    fn open_connection(&self) -> TargetConnection {
        let state = Rc::new(ConnectionState::default());
        let address = self.address;
        let connect_state = state.clone();
        let service = fn_service::<_, _, _, _, _, ()>(move |info: ConnectInfo<Uri>| {
            let state = connect_state.clone();
            async move {
                let io = TcpStream::connect(address).await.map_err(ConnectError::Io)?;
                let _ = io.set_nodelay(true);
                // `awc` may have read the end of the previous connection while checking it for
                // reuse.
                state.closed.set(false);
                Ok(Connection::new(info.request().clone(), TrackedStream { io, state }))
            }
        });
        let connector = Connector::new()
            .connector(service)
            .timeout(self.settings.target_connect.to_duration())
            .conn_keep_alive(self.settings.target_idle.to_duration())
            .limit(1);
        let client = ClientBuilder::new()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        TargetConnection { client, state }
    }
}

/// Closes all idle connections when a call on one of them gets no response: if the used connection
/// has become unresponsive, the others probably have too.
struct IdleCloseGuard<'a> {
    client: &'a TargetClient,
    /// Whether the idle connections are closed on drop; cleared when the response head arrives.
    closes_idle: bool,
}

impl Drop for IdleCloseGuard<'_> {
    fn drop(&mut self) {
        if self.closes_idle {
            self.client.idle_connections.borrow_mut().clear();
        }
    }
}

/// Whether an empty body is sent as no body, without `Content-Length`.
fn omits_empty_body(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

/// Body of a target's response. Dropping it before its end closes the connection.
pub(super) struct TargetBody {
    /// Number of bytes not read yet; `None` if the response does not state a length.
    unread_bytes: Option<u64>,
    chunked: bool,
    // Declared before `connection` so that it is dropped first: the client in `connection` owns the
    // connection pool.
    response: Option<ClientResponse>,
    connection: Option<TargetConnection>,
    client: Rc<TargetClient>,
}

impl TargetBody {
    /// Returns the next chunk; `None` when the body is complete.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, BodyTruncated>> {
        let response = self.response.as_mut()?;
        match response.next().await {
            Some(Ok(data)) => {
                if let Some(unread_bytes) = self.unread_bytes.as_mut() {
                    let Some(unread_after) = unread_bytes.checked_sub(data.len() as u64) else {
                        return Some(Err(BodyTruncated));
                    };
                    *unread_bytes = unread_after;
                }
                Some(Ok(data))
            }
            Some(Err(_)) => Some(Err(BodyTruncated)),
            None => self.finish_body(),
        }
    }

    /// Handles the end of the body: keeps the connection as idle, or reports that the body is
    /// truncated.
    fn finish_body(&mut self) -> Option<Result<Bytes, BodyTruncated>> {
        self.response = None;
        let connection = self.connection.take()?;
        let truncated = match self.unread_bytes {
            Some(unread_bytes) => unread_bytes > 0,
            None => self.chunked && connection.state.closed.get(),
        };
        if truncated {
            return Some(Err(BodyTruncated));
        }
        self.client.idle_connections.borrow_mut().push(connection);
        None
    }
}
