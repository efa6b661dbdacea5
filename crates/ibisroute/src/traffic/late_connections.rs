//! Refuses connections that arrive while the listener for callers stops.
//!
//! When the server stops, it drops the connections that it has not accepted yet. Their callers
//! would see a reset, which does not prove that the request did not run.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::headers;

/// Timeout for reading a request and writing its refusal, per connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a request head. A connection with a longer head is closed without a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;

type RefusalTasks = JoinSet<Result<(), Elapsed>>;

/// Refuses connections until `stop_rx` resolves, then the connections still in the accept queue,
/// and closes the listener.
pub(super) async fn refuse_connections(listener: TcpListener, stop_rx: oneshot::Receiver<()>) {
    let Ok(()) = listener.set_nonblocking(true) else { return };
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let mut stop_rx = std::pin::pin!(stop_rx);
    let mut refusal_tasks = RefusalTasks::new();
    loop {
        tokio::select! {
            // Connections in the accept queue are accepted before the stop is checked.
            biased;
            accepted = listener.accept() => {
                let Ok((io, _)) = accepted else { break };
                refusal_tasks.spawn_local(timeout(REFUSAL_TIMEOUT, refuse_connection(io)));
            }
            _ = &mut stop_rx => break,
        }
    }
    refuse_pending(listener, &mut refusal_tasks);
    refusal_tasks.join_all().await;
}

/// Refuses the connections in the accept queue and closes the listener. Calls the system's `accept`
/// directly, because the runtime sees a new connection only when it next polls for events.
fn refuse_pending(listener: tokio::net::TcpListener, refusal_tasks: &mut RefusalTasks) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((io, _)) = listener.accept() {
        if io.set_nonblocking(true).is_err() {
            continue;
        }
        if let Ok(io) = TcpStream::from_std(io) {
            refusal_tasks.spawn_local(timeout(REFUSAL_TIMEOUT, refuse_connection(io)));
        }
    }
}

/// Reads the head of one request and refuses the request as "not run".
async fn refuse_connection(mut io: TcpStream) {
    let mut buf = vec![0; MAX_HEAD_BYTES];
    let mut head_len = 0;
    while !buf[..head_len].windows(4).any(|w| w == b"\r\n\r\n") {
        match io.read(&mut buf[head_len..]).await {
            Ok(n) if n > 0 => head_len += n,
            _ => return,
        }
    }
    let body = json!({"outcome": "not-run", "reason": "the node is stopping", "request_id": null});
    let body = body.to_string();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{}: not-run\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        headers::OUTCOME,
        body.len(),
    );
    if io.write_all(response.as_bytes()).await.is_err() || io.shutdown().await.is_err() {
        return;
    }
    // Closing a socket with unread bytes sends a reset, which can discard the response before the
    // caller reads it.
    while io.read(&mut buf).await.is_ok_and(|n| n > 0) {}
}
