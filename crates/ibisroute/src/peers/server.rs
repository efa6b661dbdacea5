//! Server of the HTTP/2 streams between nodes.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::Ping;
use h2::PingPong;
use h2::Reason;
use h2::RecvStream;
use h2::SendStream;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::ADMITTED_HEADER;
use super::CALL_PATH;
use super::CONTROL_PATH;
use super::client::clamp_window;
use super::frame;
use super::frame::FrameError;
use super::peer_settings::PeerSettings;
use super::task::OwnedTask;
use crate::node::control_handle::ControlHandle;
use crate::traffic::call::CallBody;
use crate::traffic::call::CallJob;
use crate::traffic::call::body_stream;
use crate::wire;
use crate::wire::CallHead;
use crate::wire::ControlRequest;
use crate::wire::MAX_CONTROL_BYTES;
use crate::wire::WireError;

/// Maximum number of reset streams that a connection tracks. When many callers disconnect at once,
/// many calls are cancelled; with the library's default of 20, the connection would then be closed
/// and the remaining calls would fail.
pub(super) const MAX_RESET_STREAMS: usize = 1024;

/// Pause between the pings that detect whether the host of a peer has failed.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Timeout for the response to a ping. When it expires, the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Server for control requests and calls of peers.
#[derive(Clone)]
pub struct PeerServer {
    pub settings: PeerSettings,
    /// Handles control requests.
    pub control: ControlHandle,
    /// Receives the calls of peers, on the thread of the server.
    pub on_call: Rc<dyn Fn(CallJob)>,
}

impl PeerServer {
    /// Accepts connections until `stop_rx` becomes true, then sends GOAWAY on each connection.
    /// Returns when the streams of all connections have ended.
    pub async fn run(self, listener: TcpListener, mut stop_rx: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                _ = stop_rx.wait_for(|stop| *stop) => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((io, _)) => {
                    connections.spawn_local(self.clone().serve_connection(io, stop_rx.clone()));
                }
                // Accepting can fail until other connections are closed, for example because too
                // many files are open.
                Err(_) => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn serve_connection(self, io: TcpStream, mut stop_rx: watch::Receiver<bool>) {
        let _ = io.set_nodelay(true);
        let settings = &self.settings;
        let handshake = h2::server::Builder::new()
            .initial_window_size(clamp_window(settings.stream_window.0))
            .initial_connection_window_size(clamp_window(settings.connection_window.0))
            .max_concurrent_streams(settings.max_streams)
            .max_header_list_size(16 * 1024)
            .max_send_buffer_size(512 * 1024)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
            .max_local_error_reset_streams(None)
            .handshake::<_, Bytes>(io);
        let Ok(Ok(mut connection)) = timeout(settings.head_timeout.to_duration(), handshake).await
        else {
            return;
        };
        // The tasks of streams end with their connection, because their streams are then reset.
        let mut is_stopping = false;
        let mut unresponsive_wait = std::pin::pin!(wait_unresponsive(connection.ping_pong()));
        loop {
            let accepted = tokio::select! {
                () = &mut unresponsive_wait => return,
                _ = stop_rx.wait_for(|stop| *stop), if !is_stopping => {
                    is_stopping = true;
                    connection.graceful_shutdown();
                    continue;
                }
                accepted = connection.accept() => accepted,
            };
            let Some(Ok((request, responder))) = accepted else { return };
            actix_rt::spawn(self.clone().handle_stream(request, responder));
        }
    }

    async fn handle_stream(self, request: Request<RecvStream>, mut responder: SendResponse<Bytes>) {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let stream = request.into_body();
        match (method, path.as_str()) {
            (Method::POST, CONTROL_PATH) => self.handle_control(stream, responder).await,
            (Method::POST, CALL_PATH) => self.handle_call(stream, responder).await,
            (Method::POST, _) => reject(&mut responder, StatusCode::NOT_FOUND),
            _ => reject(&mut responder, StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn handle_control(self, mut stream: RecvStream, mut responder: SendResponse<Bytes>) {
        let body =
            match self.read_with_timeout(frame::read_all(&mut stream, MAX_CONTROL_BYTES)).await {
                Ok(body) => body,
                Err(status) => return reject(&mut responder, status),
            };
        let Ok(request) = wire::decode::<ControlRequest>(&body, MAX_CONTROL_BYTES) else {
            return reject(&mut responder, StatusCode::BAD_REQUEST);
        };
        let reply = tokio::select! {
            _ = poll_fn(|cx| responder.poll_reset(cx)) => return,
            reply = self.control.forward_peer_request(request) => reply,
        };
        let buf = reply.ok().and_then(|reply| wire::encode(&reply, MAX_CONTROL_BYTES).ok());
        let Some(buf) = buf else {
            return reject(&mut responder, StatusCode::SERVICE_UNAVAILABLE);
        };
        if let Ok(mut response_stream) = responder.send_response(Response::new(()), false) {
            frame::send_all(&mut response_stream, buf.into(), true).await;
        }
    }

    async fn handle_call(self, mut stream: RecvStream, mut responder: SendResponse<Bytes>) {
        let (head, body_start) =
            match self.read_with_timeout(frame::read_head::<CallHead>(&mut stream)).await {
                Ok(read) => read,
                Err(status) => return reject(&mut responder, status),
            };
        let (body, first_read_rx, _receive_task) = request_body(&head, body_start, stream);
        let (reply_tx, mut reply_rx) = oneshot::channel();
        (self.on_call)(CallJob { head, body, reply_tx });
        let mut response_stream = None;
        let mut first_read_rx = first_read_rx;
        let reply = loop {
            tokio::select! {
                biased;
                reply = &mut reply_rx => break reply,
                _ = wait_reset(&mut responder, &mut response_stream) => return,
                Some(()) = wait_first_read(&mut first_read_rx), if first_read_rx.is_some() => {
                    first_read_rx = None;
                    let Some(stream) = start_response(&mut responder, true) else { return };
                    response_stream = Some(stream);
                }
            }
        };
        let response_stream = response_stream.or_else(|| start_response(&mut responder, false));
        let Some(mut response_stream) = response_stream else { return };
        let Ok((reply, buf)) = reply
            .map_err(drop)
            .and_then(|r| frame::encode_head(&r.head).map(|buf| (r, buf)).map_err(drop))
        else {
            return response_stream.send_reset(Reason::INTERNAL_ERROR);
        };
        let Some(mut body) = reply.body else {
            frame::send_all(&mut response_stream, buf.freeze(), true).await;
            return;
        };
        let fully_sent = frame::send_all(&mut response_stream, buf.freeze(), false).await
            && frame::send_body(&mut response_stream, &mut body).await;
        if !fully_sent {
            response_stream.send_reset(Reason::CANCEL);
        }
    }

    /// Limits a read to `head_timeout`, and maps its errors to HTTP statuses.
    async fn read_with_timeout<T>(
        &self,
        read_future: impl Future<Output = Result<T, FrameError>>,
    ) -> Result<T, StatusCode> {
        match timeout(self.settings.head_timeout.to_duration(), read_future).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(FrameError::Malformed(WireError::TooLong(..)))) => {
                Err(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
            Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        }
    }
}

/// Returns the body of a call, a receiver that resolves when the body is first read, and the task
/// that receives the body. The receiver and the task are `None` for a body that arrived completely
/// with the head, which is held in memory.
fn request_body(
    head: &CallHead,
    body_start: Bytes,
    stream: RecvStream,
) -> (CallBody, Option<oneshot::Receiver<()>>, Option<OwnedTask>) {
    if head.body_bytes == Some(body_start.len() as u64) {
        return (CallBody::Whole(body_start), None, None);
    }
    let (writer, first_read_rx, reader) = body_stream();
    let receive_task =
        OwnedTask::spawn(frame::receive_body(stream, body_start, head.body_bytes, writer));
    (CallBody::Stream(reader), Some(first_read_rx), Some(receive_task))
}

/// Returns when the peer does not respond to a ping in time.
async fn wait_unresponsive(ping: Option<PingPong>) {
    let Some(mut ping) = ping else { return std::future::pending().await };
    loop {
        actix_rt::time::sleep(PING_INTERVAL).await;
        let ping_result = timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await;
        if !matches!(ping_result, Ok(Ok(_))) {
            return;
        }
    }
}

/// Waits for the first read of the body; `None` if the body is dropped unread.
async fn wait_first_read(first_read_rx: &mut Option<oneshot::Receiver<()>>) -> Option<()> {
    first_read_rx.as_mut()?.await.ok()
}

/// Waits until the peer resets the stream. `response_stream` is `None` before the response has been
/// started.
async fn wait_reset(
    responder: &mut SendResponse<Bytes>,
    response_stream: &mut Option<SendStream<Bytes>>,
) {
    poll_fn(|cx| match response_stream {
        Some(stream) => stream.poll_reset(cx).map(drop),
        None => responder.poll_reset(cx).map(drop),
    })
    .await;
}

/// Sends the headers of the response; `admitted` makes the peer send the streamed body. `None` if
/// the peer has closed the stream.
fn start_response(
    responder: &mut SendResponse<Bytes>,
    admitted: bool,
) -> Option<SendStream<Bytes>> {
    let mut response = Response::new(());
    if admitted {
        response.headers_mut().insert(ADMITTED_HEADER, http::HeaderValue::from_static("1"));
    }
    responder.send_response(response, false).ok()
}

fn reject(responder: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // Fails only when the peer has closed the stream.
    let _ = responder.send_response(response, true);
}
