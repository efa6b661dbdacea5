//! Refuses connections that arrive while the listener for callers stops.
//!
//! The server drops connections that it has not yet accepted when it stops, and the caller of such a
//! connection sees a reset, which does not prove that its request did not run.

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

/// Longest time for one connection.
const LIMIT: Duration = Duration::from_secs(1);

/// Longest head that is read before the refusal.
const MAX_HEAD_BYTES: usize = 16 * 1024;

type Refusing = JoinSet<Result<(), Elapsed>>;

/// Refuses connections until `stop`, then those that wait already, and closes the listener.
pub(super) async fn refuse_until(listener: TcpListener, stop: oneshot::Receiver<()>) {
    let Ok(()) = listener.set_nonblocking(true) else { return };
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let mut stop = std::pin::pin!(stop);
    let mut refusing = Refusing::new();
    loop {
        tokio::select! {
            // Connections that wait come before the stop.
            biased;
            accepted = listener.accept() => {
                let Ok((io, _)) = accepted else { break };
                refusing.spawn_local(timeout(LIMIT, refuse(io)));
            }
            _ = &mut stop => break,
        }
    }
    refuse_waiting(listener, &mut refusing);
    refusing.join_all().await;
}

/// Takes the connections that wait and closes the listener. Asks the system directly, because the
/// runtime learns of a connection only when it next polls its events.
fn refuse_waiting(listener: tokio::net::TcpListener, refusing: &mut Refusing) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((io, _)) = listener.accept() {
        if io.set_nonblocking(true).is_err() {
            continue;
        }
        if let Ok(io) = TcpStream::from_std(io) {
            refusing.spawn_local(timeout(LIMIT, refuse(io)));
        }
    }
}

/// Answers one request as "not run" without running it.
async fn refuse(mut io: TcpStream) {
    let mut buf = vec![0; MAX_HEAD_BYTES];
    let mut len = 0;
    while !buf[..len].windows(4).any(|w| w == b"\r\n\r\n") {
        match io.read(&mut buf[len..]).await {
            Ok(n) if n > 0 => len += n,
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
    // Unread bytes at the close would make the caller lose the response to a reset.
    while io.read(&mut buf).await.is_ok_and(|n| n > 0) {}
}
