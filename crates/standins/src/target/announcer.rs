//! Announces a target to the node beside it within its lease, and takes its leave.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::Shared;
use super::unix_ms;

/// A node that does not answer within this time is asked again.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after an announcement that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause between questions whether the calls in flight have ended.
const LEAVE_POLL: Duration = Duration::from_millis(20);

enum Command {
    AnnounceTo(SocketAddr),
    Pause,
    Leave(Duration, std_mpsc::Sender<bool>),
}

#[derive(Deserialize)]
struct Lease {
    lease_ms: u64,
}

/// Handle of the announcing thread, which ends with the handle.
pub(super) struct Announcer {
    tx: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    /// Starts the thread; it announces nothing until it is given a node.
    pub(super) fn start(shared: Shared, addr: SocketAddr) -> io::Result<Self> {
        let (tx, rx) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name(format!("announce-{}", addr.port()))
            .spawn(move || actix_rt::System::new().block_on(announce(shared, addr, rx)))?;
        Ok(Self { tx: Some(tx), thread: Some(thread) })
    }

    pub(super) fn announce_to(&self, node: SocketAddr) {
        self.send(Command::AnnounceTo(node));
    }

    pub(super) fn pause(&self) {
        self.send(Command::Pause);
    }

    /// Leaves; returns whether the node said within `bound` that the calls in flight have ended.
    /// A target without a node has nothing to leave.
    pub(super) fn leave(&self, bound: Duration) -> bool {
        let (tx, rx) = std_mpsc::channel();
        self.send(Command::Leave(bound, tx));
        rx.recv_timeout(bound + ANNOUNCE_TIMEOUT).unwrap_or(false)
    }

    fn send(&self, command: Command) {
        if let Some(tx) = &self.tx {
            let _ = tx.send(command);
        }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.tx = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn announce(shared: Shared, addr: SocketAddr, mut rx: mpsc::UnboundedReceiver<Command>) {
    let client = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let mut node: Option<SocketAddr> = None;
    loop {
        let command = match node {
            None => rx.recv().await,
            Some(node) => {
                let pause = announce_once(&client, &shared, addr, node).await;
                match tokio::time::timeout(pause, rx.recv()).await {
                    Ok(command) => command,
                    Err(_) => continue,
                }
            }
        };
        match command {
            None => return,
            Some(Command::AnnounceTo(to)) => node = Some(to),
            Some(Command::Pause) => node = None,
            Some(Command::Leave(bound, reply)) => {
                let left = match node.take() {
                    Some(node) => leave(&client, &shared, node, bound).await,
                    None => true,
                };
                let _ = reply.send(left);
            }
        }
    }
}

/// Announces once and returns the pause until the next time, a third of the lease.
async fn announce_once(
    client: &awc::Client,
    shared: &Shared,
    addr: SocketAddr,
    node: SocketAddr,
) -> Duration {
    let announcement = {
        let state = shared.lock();
        let options = &state.options;
        json!({
            "service": options.service,
            "version": options.version,
            "instance": options.instance,
            "address": options.announced_address.unwrap_or(addr),
            "slots": options.slots,
            "connections": options.connections,
        })
    };
    let lease = async {
        let request = client.post(format!("http://{node}/targets/announce"));
        let mut response = request.send_json(&announcement).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().await.ok()?;
        serde_json::from_slice::<Lease>(&body).ok()
    }
    .await;
    let mut state = shared.lock();
    match lease {
        Some(lease) => {
            state.counters.announced += 1;
            Duration::from_millis((lease.lease_ms / 3).max(10))
        }
        None => {
            state.counters.announce_failed += 1;
            RETRY_PAUSE
        }
    }
}

/// Asks the node to send no more work until it confirms that the calls in flight have ended.
async fn leave(client: &awc::Client, shared: &Shared, node: SocketAddr, bound: Duration) -> bool {
    let instance = shared.lock().options.instance.clone();
    let until = Instant::now() + bound;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let request =
            client.post(format!("http://{node}/targets/leave")).timeout(left.max(RETRY_PAUSE));
        let status = request.send_json(&json!({"instance": instance})).await;
        let status = status.ok().map(|response| response.status().as_u16());
        if matches!(status, Some(200 | 202)) {
            let mut state = shared.lock();
            if state.left_unix_ms.is_none() {
                state.left_unix_ms = Some(unix_ms());
                state.remember();
            }
        }
        match status {
            // 404: the node has no such target any more.
            Some(200 | 404) => return true,
            Some(202) => tokio::time::sleep(LEAVE_POLL).await,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
