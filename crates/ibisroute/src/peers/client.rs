//! Client of the HTTP/2 streams between nodes; each thread has its own client.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::LocalBoxFuture;
use h2::Ping;
use h2::PingPong;
use h2::Reason;
use h2::SendStream;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::ADMITTED_HEADER;
use super::CALL_PATH;
use super::CONTROL_PATH;
use super::ControlTransport;
use super::PeerError;
use super::frame;
use super::peer_settings::PeerSettings;
use super::server::MAX_RESET_STREAMS;
use super::task::OwnedTask;
use crate::traffic::call::CallBody;
use crate::traffic::call::CallReply;
use crate::traffic::call::body_stream;
use crate::types::Millis;
use crate::wire;
use crate::wire::CallHead;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;
use crate::wire::MAX_CONTROL_BYTES;
use crate::wire::ReplyHead;

/// Connections without streams are closed after this time, so that a large fleet does not keep one
/// connection for each pair of nodes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a call got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum CallError {
    /// The peer provably did not process the call.
    #[display("call not sent: {_0}")]
    NotSent(PeerError),
    /// The peer reset the stream, but the connection still works. The call may have run.
    #[display("call reset: {_0}")]
    Reset(PeerError),
    /// The connection broke or did not respond to pings. The call may have run.
    #[display("call failed: {_0}")]
    Failed(PeerError),
}

impl std::error::Error for CallError {}

/// Client that uses one HTTP/2 connection per peer. Clones are cheap and share the connections; not
/// `Send`.
#[derive(Clone)]
pub struct PeerClient {
    inner: Rc<ClientState>,
}

/// Settings and connections that clones of a client share.
struct ClientState {
    settings: PeerSettings,
    peers: RefCell<HashMap<SocketAddr, Rc<Mutex<PeerState>>>>,
}

/// State of the connection to one peer.
#[derive(Default)]
struct PeerState {
    connection: Option<Rc<Connection>>,
    /// Time and error of the last failed attempt to connect.
    last_connect_failure: Option<(Instant, PeerError)>,
}

struct Connection {
    sender: SendRequest<Bytes>,
    state: Rc<ConnectionState>,
}

/// State of a connection, shared by its streams and the task that monitors it.
#[derive(Default)]
struct ConnectionState {
    /// Whether the connection can open no more streams.
    closed: Cell<bool>,
    /// Number of open streams.
    open_streams: Cell<usize>,
    /// Notified when a stream is opened.
    stream_opened: Notify,
}

/// Counts an open stream of a connection; pings are sent only while there are open streams.
struct StreamGuard(Rc<ConnectionState>);

impl StreamGuard {
    fn new(state: Rc<ConnectionState>) -> Self {
        state.open_streams.set(state.open_streams.get() + 1);
        state.stream_opened.notify_one();
        Self(state)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get().saturating_sub(1));
    }
}

impl PeerClient {
    /// Creates a client without connections. Its use requires a running actix system on the thread.
    pub fn new(settings: PeerSettings) -> Self {
        Self { inner: Rc::new(ClientState { settings, peers: RefCell::default() }) }
    }

    /// Sends a call and returns the reply. Dropping the future or the body of the reply resets the
    /// stream.
    pub async fn call(
        &self,
        addr: SocketAddr,
        head: &CallHead,
        body: CallBody,
    ) -> Result<CallReply, CallError> {
        let mut buf = frame::encode_head(head)
            .map_err(|e| CallError::NotSent(PeerError::Protocol(addr, e.to_string())))?;
        let (response, mut stream, stream_guard) =
            self.open_stream(addr, CALL_PATH).await.map_err(CallError::NotSent)?;
        let reader = match body {
            CallBody::Whole(body) => {
                buf.extend_from_slice(&body);
                None
            }
            CallBody::Stream(reader) => Some(reader),
        };
        // The head and a body in memory are small; h2 buffers them until the peer's flow-control
        // window has room.
        stream
            .send_data(buf.freeze(), reader.is_none())
            .map_err(|e| CallError::NotSent(stream_broken_error(addr, e)))?;
        let response = response.await.map_err(|e| classify_failure(addr, e))?;
        if response.status() != StatusCode::OK {
            let error = PeerError::Protocol(addr, format!("status {}", response.status()));
            return Err(CallError::NotSent(error));
        }
        let admitted = response.headers().contains_key(ADMITTED_HEADER);
        let body_task = match reader {
            Some(mut reader) if admitted => Some(OwnedTask::spawn(async move {
                if !frame::send_body(&mut stream, &mut reader).await {
                    stream.send_reset(Reason::CANCEL);
                }
            })),
            _ => None,
        };
        let mut recv_stream = response.into_body();
        let (reply, body_start) =
            frame::read_head::<ReplyHead>(&mut recv_stream).await.map_err(|e| match e {
                frame::FrameError::Reset(e) => CallError::Reset(PeerError::Broken(addr, e)),
                e => CallError::Failed(PeerError::Broken(addr, e.to_string())),
            })?;
        let ReplyHead::Answer { body_bytes, .. } = reply else {
            return Ok(CallReply { head: reply, body: None });
        };
        let (writer, _, reader) = body_stream();
        actix_rt::spawn(async move {
            let _stream_guard = stream_guard;
            let _body_task = body_task;
            frame::receive_body(recv_stream, body_start, body_bytes, writer).await;
        });
        Ok(CallReply { head: reply, body: Some(reader) })
    }

    /// Sends a control request and waits for the reply, without a timeout.
    async fn send_control(
        &self,
        addr: SocketAddr,
        request: ControlRequest,
    ) -> Result<ControlReply, PeerError> {
        let protocol_error = |e: String| PeerError::Protocol(addr, e);
        let buf =
            wire::encode(&request, MAX_CONTROL_BYTES).map_err(|e| protocol_error(e.to_string()))?;
        let (response, mut stream, _stream_guard) = self.open_stream(addr, CONTROL_PATH).await?;
        if !frame::send_all(&mut stream, buf.into(), true).await {
            return Err(PeerError::Broken(addr, "the request could not be sent".to_string()));
        }
        let response = response.await.map_err(|e| stream_broken_error(addr, e))?;
        if response.status() != StatusCode::OK {
            return Err(protocol_error(format!("status {}", response.status())));
        }
        let body = frame::read_all(&mut response.into_body(), MAX_CONTROL_BYTES)
            .await
            .map_err(|e| PeerError::Broken(addr, e.to_string()))?;
        wire::decode(&body, MAX_CONTROL_BYTES).map_err(|e| protocol_error(e.to_string()))
    }

    /// Opens a stream, connecting if necessary. An error proves that nothing was sent.
    async fn open_stream(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<(ResponseFuture, SendStream<Bytes>, StreamGuard), PeerError> {
        let mut last_error = None;
        // Tries twice, because the peer may have closed a connection that this client still regards
        // as open.
        for _ in 0..2 {
            let connection = self.get_or_connect(addr).await?;
            let stream_guard = StreamGuard::new(connection.state.clone());
            let request = Request::post(format!("http://{addr}{path}"))
                .body(())
                .map_err(|e| PeerError::Protocol(addr, e.to_string()))?;
            let open_result = match connection.sender.clone().ready().await {
                Ok(mut sender) => sender.send_request(request, false),
                Err(e) => Err(e),
            };
            match open_result {
                Ok((response, stream)) => return Ok((response, stream, stream_guard)),
                Err(e) => {
                    connection.state.closed.set(true);
                    last_error = Some(PeerError::Unreachable(addr, e.to_string()));
                }
            }
        }
        Err(last_error.unwrap_or_else(|| PeerError::Unreachable(addr, "closed".to_string())))
    }

    /// Returns the open connection to a peer, or connects to it.
    async fn get_or_connect(&self, addr: SocketAddr) -> Result<Rc<Connection>, PeerError> {
        let requested_at = Instant::now();
        let peer = self.inner.peers.borrow_mut().entry(addr).or_default().clone();
        let mut peer = peer.lock().await;
        if let Some(connection) = peer.connection.as_ref().filter(|c| !c.state.closed.get()) {
            return Ok(connection.clone());
        }
        // Tasks that waited for a failed attempt to connect share its error and do not try again.
        if let Some((_, error)) =
            peer.last_connect_failure.as_ref().filter(|(failed_at, _)| *failed_at >= requested_at)
        {
            return Err(error.clone());
        }
        peer.connection = None;
        match self.connect(addr).await {
            Ok(connection) => {
                let connection = Rc::new(connection);
                peer.connection = Some(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                peer.last_connect_failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        let settings = self.inner.settings;
        let connect_future = async {
            let io = open_socket(addr, &settings).await.map_err(|e| e.to_string())?;
            h2::client::Builder::new()
                .initial_window_size(clamp_window(settings.stream_window.0))
                .initial_connection_window_size(clamp_window(settings.connection_window.0))
                .max_send_buffer_size(512 * 1024)
                .enable_push(false)
                .max_concurrent_reset_streams(MAX_RESET_STREAMS)
                .max_local_error_reset_streams(None)
                .handshake::<_, Bytes>(io)
                .await
                .map_err(|e| e.to_string())
        };
        let (sender, mut connection) = timeout(settings.connect.to_duration(), connect_future)
            .await
            .unwrap_or_else(|_| Err(format!("no connection within {}", settings.connect)))
            .map_err(|e| PeerError::Unreachable(addr, e))?;
        let state = Rc::new(ConnectionState::default());
        let monitored_state = state.clone();
        let ping = connection.ping_pong();
        actix_rt::spawn(async move {
            // Dropping the connection fails its streams immediately.
            tokio::select! {
                _ = connection => {}
                () = monitor_connection(ping, &monitored_state, settings) => {}
            }
            monitored_state.closed.set(true);
        });
        Ok(Connection { sender, state })
    }
}

impl ControlTransport for PeerClient {
    fn request(
        &self,
        addr: SocketAddr,
        request: ControlRequest,
        request_timeout: Millis,
    ) -> LocalBoxFuture<'static, Result<ControlReply, PeerError>> {
        let client = self.clone();
        Box::pin(async move {
            timeout(request_timeout.to_duration(), client.send_control(addr, request))
                .await
                .unwrap_or(Err(PeerError::TimedOut(addr, request_timeout)))
        })
    }
}

/// Returns when the connection does not respond to pings while it has streams, or has had none for
/// [`IDLE_TIMEOUT`].
async fn monitor_connection(
    ping: Option<PingPong>,
    state: &ConnectionState,
    settings: PeerSettings,
) {
    let Some(mut ping) = ping else { return };
    loop {
        while state.open_streams.get() == 0 {
            let is_idle = timeout(IDLE_TIMEOUT, state.stream_opened.notified()).await.is_err();
            if is_idle && state.open_streams.get() == 0 {
                state.closed.set(true);
                return;
            }
        }
        let ping_result =
            timeout(settings.ping_timeout.to_duration(), ping.ping(Ping::opaque())).await;
        if !matches!(ping_result, Ok(Ok(_))) {
            metrics::counter!("ibis_peer_connections_silent_total").increment(1);
            return;
        }
        actix_rt::time::sleep(settings.ping_interval.to_duration()).await;
    }
}

async fn open_socket(addr: SocketAddr, settings: &PeerSettings) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(bind) = settings.bind {
        socket.bind(SocketAddr::new(bind, 0))?;
    }
    let io = socket.connect(addr).await?;
    io.set_nodelay(true)?;
    Ok(io)
}

/// Clamps a flow-control window to the range that HTTP/2 allows.
pub(super) fn clamp_window(bytes: u64) -> u32 {
    u32::try_from(bytes.clamp(65_535, (1 << 31) - 1)).unwrap_or(65_535)
}

fn stream_broken_error(addr: SocketAddr, e: h2::Error) -> PeerError {
    PeerError::Broken(addr, e.to_string())
}

/// Classifies the failure of a response. A refused stream was not processed by the peer (RFC 7540,
/// section 8.1.4).
fn classify_failure(addr: SocketAddr, e: h2::Error) -> CallError {
    if !(e.is_reset() && e.is_remote()) {
        return CallError::Failed(stream_broken_error(addr, e));
    }
    match e.reason() {
        Some(Reason::REFUSED_STREAM) => CallError::NotSent(stream_broken_error(addr, e)),
        _ => CallError::Reset(stream_broken_error(addr, e)),
    }
}
