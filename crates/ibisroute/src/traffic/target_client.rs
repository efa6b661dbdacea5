//! HTTP/1.1 connections to one target, on `awc`.
//!
//! Each connection has its own `awc` client, because the client hides two facts that the outcome of
//! a call depends on: whether a byte was written before a failure, and whether a chunked body ended
//! by its last chunk or because the target closed the connection.

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

use super::call::BodyBroken;
use super::call::CallBody;
use super::headers::is_hop_by_hop;
use super::traffic_settings::TrafficSettings;
use crate::wire::CallHead;

/// What happened on a connection since the current call began.
#[derive(Debug, Default)]
struct Watch {
    written: Cell<bool>,
    closed: Cell<bool>,
}

/// A TCP stream that notes writes and the end of input.
#[derive(Debug)]
struct WatchedStream {
    io: TcpStream,
    watch: Rc<Watch>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) && buf.filled().len() == before {
            self.watch.closed.set(true);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if matches!(polled, Poll::Ready(Ok(n)) if n > 0) {
            self.watch.written.set(true);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}

struct Lane {
    client: Client,
    watch: Rc<Watch>,
}

/// Why a target gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SendFailure {
    /// Whether a byte was written; `false` proves that the request did not run.
    pub(super) written: bool,
    /// Details for people.
    pub(super) reason: String,
}

/// Connections to one target. The caller holds as many calls at a time as the target has slots.
pub(super) struct TargetClient {
    address: SocketAddr,
    settings: TrafficSettings,
    idle: RefCell<Vec<Lane>>,
}

/// Head of a target's answer, and its body.
pub(super) struct TargetAnswer {
    /// HTTP status.
    pub(super) status: u16,
    /// End-to-end headers.
    pub(super) headers: Vec<(SmolStr, Vec<u8>)>,
    /// Length of the body when it is known.
    pub(super) body_bytes: Option<u64>,
    /// The body.
    pub(super) body: TargetBody,
}

impl TargetClient {
    /// Makes a client without connections.
    pub(super) fn new(address: SocketAddr, settings: TrafficSettings) -> Self {
        Self { address, settings, idle: RefCell::default() }
    }

    /// Sends a request and waits for the head of the answer. Dropping the future closes the
    /// connection.
    pub(super) async fn send(
        self: &Rc<Self>,
        head: &CallHead,
        extra: &[(&str, String)],
        body: CallBody,
        written: &Cell<bool>,
    ) -> Result<TargetAnswer, SendFailure> {
        let failure = |reason: String| SendFailure { written: false, reason };
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(head.path.as_str())
            .build()
            .map_err(|e| failure(e.to_string()))?;
        let method =
            Method::from_bytes(head.method.as_bytes()).map_err(|e| failure(e.to_string()))?;
        let idle = self.take_idle(head.new_connection);
        let mut unanswered = Unanswered { client: self, armed: idle.is_some() };
        let lane = idle.unwrap_or_else(|| self.open_lane());
        lane.watch.written.set(false);
        lane.watch.closed.set(false);
        let mut request = lane.client.request(method.clone(), uri);
        for (name, value) in &head.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) else { continue };
            request = request.append_header((name, value));
        }
        for (name, value) in extra {
            request = request.insert_header((*name, value.as_str()));
        }
        let sent = match body {
            CallBody::Whole(b) if b.is_empty() && is_bodyless(&method) => request.send(),
            CallBody::Whole(b) => request.send_body(b),
            CallBody::Stream(b) => match head.body_bytes {
                Some(len) => request.send_body(SizedStream::new(len, b)),
                None => request.send_body(BodyStream::new(b)),
            },
        };
        let mut sent = std::pin::pin!(sent);
        let watch = lane.watch.clone();
        let response = std::future::poll_fn(|cx| {
            let polled = sent.as_mut().poll(cx);
            written.set(watch.written.get());
            polled
        })
        .await
        .map_err(|e| SendFailure { written: watch.written.get(), reason: e.to_string() })?;
        unanswered.armed = false;
        Ok(self.answer(&method, response, lane))
    }

    fn answer(
        self: &Rc<Self>,
        method: &Method,
        response: ClientResponse,
        lane: Lane,
    ) -> TargetAnswer {
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| !is_hop_by_hop(name.as_str()) && *name != CONTENT_LENGTH)
            .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
            .collect();
        let length = response
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<u64>().ok());
        let bodyless = method == Method::HEAD || matches!(status, 100..=199 | 204 | 304);
        let chunked = response.headers().contains_key(TRANSFER_ENCODING);
        let body = TargetBody {
            remaining: if bodyless { Some(0) } else { length.filter(|_| !chunked) },
            chunked,
            response: Some(response),
            lane: Some(lane),
            client: self.clone(),
        };
        let body_bytes = body.remaining;
        TargetAnswer { status, headers, body_bytes, body }
    }

    /// An idle connection for a call that may use one. For any other call the oldest one is closed, so
    /// that the new connection does not add to those that the target has.
    fn take_idle(&self, new_connection: bool) -> Option<Lane> {
        let mut idle = self.idle.borrow_mut();
        if !new_connection {
            return idle.pop();
        }
        if !idle.is_empty() {
            idle.remove(0);
        }
        None
    }

    fn open_lane(&self) -> Lane {
        let watch = Rc::new(Watch::default());
        let address = self.address;
        let connect_watch = watch.clone();
        let service = fn_service::<_, _, _, _, _, ()>(move |info: ConnectInfo<Uri>| {
            let watch = connect_watch.clone();
            async move {
                let io = TcpStream::connect(address).await.map_err(ConnectError::Io)?;
                let _ = io.set_nodelay(true);
                // The check of an idle connection may have seen the end of an older one.
                watch.closed.set(false);
                Ok(Connection::new(info.request().clone(), WatchedStream { io, watch }))
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
        Lane { client, watch }
    }
}

/// Closes the idle connections when a call on one of them gets no answer: if it went silent, the others
/// probably did too.
struct Unanswered<'a> {
    client: &'a TargetClient,
    armed: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.client.idle.borrow_mut().clear();
        }
    }
}

fn is_bodyless(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

/// Body of a target's answer. Dropping it before its end closes the connection.
pub(super) struct TargetBody {
    remaining: Option<u64>,
    chunked: bool,
    // Dropped before the lane, whose client owns the pool of the connection.
    response: Option<ClientResponse>,
    lane: Option<Lane>,
    client: Rc<TargetClient>,
}

impl TargetBody {
    /// The next chunk; `None` when the body is whole.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        let response = self.response.as_mut()?;
        match response.next().await {
            Some(Ok(data)) => {
                if let Some(remaining) = self.remaining.as_mut() {
                    let Some(left) = remaining.checked_sub(data.len() as u64) else {
                        return Some(Err(BodyBroken));
                    };
                    *remaining = left;
                }
                Some(Ok(data))
            }
            Some(Err(_)) => Some(Err(BodyBroken)),
            None => self.end(),
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        self.response = None;
        let lane = self.lane.take()?;
        let cut = match self.remaining {
            Some(remaining) => remaining > 0,
            None => self.chunked && lane.watch.closed.get(),
        };
        if cut {
            return Some(Err(BodyBroken));
        }
        self.client.idle.borrow_mut().push(lane);
        None
    }
}
