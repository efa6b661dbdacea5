//! Server side of the streams between nodes.

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
use super::client::window;
use super::frame;
use super::frame::FrameError;
use super::peer_settings::PeerSettings;
use super::task::OwnedTask;
use crate::node::handle::ControlHandle;
use crate::traffic::call::CallBody;
use crate::traffic::call::CallJob;
use crate::traffic::call::body_stream;
use crate::wire;
use crate::wire::CallHead;
use crate::wire::ControlRequest;
use crate::wire::MAX_CONTROL_BYTES;
use crate::wire::WireError;

/// Reset streams that a connection keeps track of. Callers that leave at once cancel many calls;
/// the library's default of 20 would then close the connection under the calls that remain.
pub(super) const RESET_STREAMS: usize = 1024;

/// Interval of pings to a peer; finds connections of hosts that are gone.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// A peer that does not answer a ping for this time is gone.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// What the server hands requests to.
#[derive(Clone)]
pub struct PeerServer {
    /// Settings.
    pub settings: PeerSettings,
    /// Takes control requests.
    pub control: ControlHandle,
    /// Takes calls, on the thread of the server.
    pub calls: Rc<dyn Fn(CallJob)>,
}

impl PeerServer {
    /// Accepts connections until `stop` turns true; then sends GOAWAY on each and returns when
    /// their streams have ended.
    pub async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((io, _)) => {
                    connections.spawn_local(self.clone().serve(io, stop.clone()));
                }
                // For example too many open files; ending connections make room.
                Err(_) => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn serve(self, io: TcpStream, mut stop: watch::Receiver<bool>) {
        let _ = io.set_nodelay(true);
        let settings = &self.settings;
        let handshake = h2::server::Builder::new()
            .initial_window_size(window(settings.stream_window.0))
            .initial_connection_window_size(window(settings.connection_window.0))
            .max_concurrent_streams(settings.max_streams)
            .max_header_list_size(16 * 1024)
            .max_send_buffer_size(512 * 1024)
            .max_concurrent_reset_streams(RESET_STREAMS)
            .max_pending_accept_reset_streams(RESET_STREAMS)
            .max_local_error_reset_streams(None)
            .handshake::<_, Bytes>(io);
        let Ok(Ok(mut connection)) = timeout(settings.head_timeout.to_duration(), handshake).await
        else {
            return;
        };
        // Streams end with their connection: their tasks see the reset of the stream.
        let mut stopping = false;
        let mut silent = std::pin::pin!(silence(connection.ping_pong()));
        loop {
            let accepted = tokio::select! {
                () = &mut silent => return,
                _ = stop.wait_for(|stop| *stop), if !stopping => {
                    stopping = true;
                    connection.graceful_shutdown();
                    continue;
                }
                accepted = connection.accept() => accepted,
            };
            let Some(Ok((request, respond))) = accepted else { return };
            actix_rt::spawn(self.clone().handle(request, respond));
        }
    }

    async fn handle(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let stream = request.into_body();
        match (method, path.as_str()) {
            (Method::POST, CONTROL_PATH) => self.control(stream, respond).await,
            (Method::POST, CALL_PATH) => self.call(stream, respond).await,
            (Method::POST, _) => reject(&mut respond, StatusCode::NOT_FOUND),
            _ => reject(&mut respond, StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn control(self, mut stream: RecvStream, mut respond: SendResponse<Bytes>) {
        let body = match self.within(frame::read_all(&mut stream, MAX_CONTROL_BYTES)).await {
            Ok(body) => body,
            Err(status) => return reject(&mut respond, status),
        };
        let Ok(request) = wire::decode::<ControlRequest>(&body, MAX_CONTROL_BYTES) else {
            return reject(&mut respond, StatusCode::BAD_REQUEST);
        };
        let reply = tokio::select! {
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
            reply = self.control.peer(request) => reply,
        };
        let buf = reply.ok().and_then(|reply| wire::encode(&reply, MAX_CONTROL_BYTES).ok());
        let Some(buf) = buf else {
            return reject(&mut respond, StatusCode::SERVICE_UNAVAILABLE);
        };
        if let Ok(mut out) = respond.send_response(Response::new(()), false) {
            frame::send_all(&mut out, buf.into(), true).await;
        }
    }

    async fn call(self, mut stream: RecvStream, mut respond: SendResponse<Bytes>) {
        let (head, rest) = match self.within(frame::read_head::<CallHead>(&mut stream)).await {
            Ok(read) => read,
            Err(status) => return reject(&mut respond, status),
        };
        let (body, begun, _receiving) = request_body(&head, rest, stream);
        let (reply, mut replied) = oneshot::channel();
        (self.calls)(CallJob { head, body, reply });
        let mut out = None;
        let mut begun = begun;
        let reply = loop {
            tokio::select! {
                biased;
                reply = &mut replied => break reply,
                _ = poll_reset(&mut respond, &mut out) => return,
                Some(()) = wait_begun(&mut begun), if begun.is_some() => {
                    begun = None;
                    let Some(started) = start(&mut respond, true) else { return };
                    out = Some(started);
                }
            }
        };
        let out = out.or_else(|| start(&mut respond, false));
        let Some(mut out) = out else { return };
        let Ok((reply, buf)) = reply
            .map_err(drop)
            .and_then(|r| frame::encode_head(&r.head).map(|b| (r, b)).map_err(drop))
        else {
            return out.send_reset(Reason::INTERNAL_ERROR);
        };
        let Some(mut body) = reply.body else {
            frame::send_all(&mut out, buf.freeze(), true).await;
            return;
        };
        let whole = frame::send_all(&mut out, buf.freeze(), false).await
            && frame::send_body(&mut out, &mut body).await;
        if !whole {
            out.send_reset(Reason::CANCEL);
        }
    }

    async fn within<T>(
        &self,
        read: impl Future<Output = Result<T, FrameError>>,
    ) -> Result<T, StatusCode> {
        match timeout(self.settings.head_timeout.to_duration(), read).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(FrameError::Malformed(WireError::TooLong(..)))) => {
                Err(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
            Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        }
    }
}

/// The body of a call. Bodies that arrived with the head need no stream.
fn request_body(
    head: &CallHead,
    rest: Bytes,
    stream: RecvStream,
) -> (CallBody, Option<oneshot::Receiver<()>>, Option<OwnedTask>) {
    if head.body_bytes == Some(rest.len() as u64) {
        return (CallBody::Whole(rest), None, None);
    }
    let (writer, begun, reader) = body_stream();
    let receiving = OwnedTask::spawn(frame::receive_body(stream, rest, head.body_bytes, writer));
    (CallBody::Stream(reader), Some(begun), Some(receiving))
}

/// Ends when the peer does not answer pings.
async fn silence(ping: Option<PingPong>) {
    let Some(mut ping) = ping else { return std::future::pending().await };
    loop {
        actix_rt::time::sleep(PING_INTERVAL).await;
        let pong = timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return;
        }
    }
}

async fn wait_begun(begun: &mut Option<oneshot::Receiver<()>>) -> Option<()> {
    begun.as_mut()?.await.ok()
}

async fn poll_reset(respond: &mut SendResponse<Bytes>, out: &mut Option<SendStream<Bytes>>) {
    poll_fn(|cx| match out {
        Some(out) => out.poll_reset(cx).map(drop),
        None => respond.poll_reset(cx).map(drop),
    })
    .await;
}

/// Starts the response; `admitted` tells the peer to send the streamed body.
fn start(respond: &mut SendResponse<Bytes>, admitted: bool) -> Option<SendStream<Bytes>> {
    let mut response = Response::new(());
    if admitted {
        response.headers_mut().insert(ADMITTED_HEADER, http::HeaderValue::from_static("1"));
    }
    respond.send_response(response, false).ok()
}

fn reject(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // The peer is gone when this fails.
    let _ = respond.send_response(response, true);
}
