//! Announces a target to the node beside it, each time before the lease of the last announcement
//! expires, and reports to the node that the target leaves.

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

/// Timeout of an announcement, after which it is retried.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a failed request to the node is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which a leaving target polls whether its calls in flight have ended.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

enum Command {
    AnnounceTo(SocketAddr),
    Pause,
    /// Timeout of the leave, and the channel that receives whether the node confirmed it.
    Leave(Duration, std_mpsc::Sender<bool>),
}

#[derive(Deserialize)]
struct AnnounceResponse {
    lease_ms: u64,
}

/// Handle of the announcing thread, which ends when the handle is dropped.
pub(super) struct Announcer {
    command_tx: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    /// Starts the thread. It announces nothing before [`Announcer::announce_to`].
    pub(super) fn start(shared: Shared, addr: SocketAddr) -> io::Result<Self> {
        let (tx, rx) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name(format!("announce-{}", addr.port()))
            .spawn(move || actix_rt::System::new().block_on(announce(shared, addr, rx)))?;
        Ok(Self { command_tx: Some(tx), thread: Some(thread) })
    }

    pub(super) fn announce_to(&self, node: SocketAddr) {
        self.send(Command::AnnounceTo(node));
    }

    pub(super) fn pause(&self) {
        self.send(Command::Pause);
    }

    /// Reports to the node that the target leaves. Returns whether the node confirmed within
    /// `timeout` that the calls in flight have ended; true for a target without a node.
    pub(super) fn leave(&self, timeout: Duration) -> bool {
        let (tx, rx) = std_mpsc::channel();
        self.send(Command::Leave(timeout, tx));
        rx.recv_timeout(timeout + ANNOUNCE_TIMEOUT).unwrap_or(false)
    }

    fn send(&self, command: Command) {
        if let Some(tx) = &self.command_tx {
            let _ = tx.send(command);
        }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.command_tx = None;
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
            Some(Command::Leave(timeout, reply)) => {
                let is_confirmed = match node.take() {
                    Some(node) => leave(&client, &shared, node, timeout).await,
                    None => true,
                };
                let _ = reply.send(is_confirmed);
            }
        }
    }
}

/// Announces once and returns the pause until the next announcement: a third of the lease, or
/// `RETRY_PAUSE` after a failure.
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
    let response = async {
        let request = client.post(format!("http://{node}/targets/announce"));
        let mut response = request.send_json(&announcement).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().await.ok()?;
        serde_json::from_slice::<AnnounceResponse>(&body).ok()
    }
    .await;
    let mut state = shared.lock();
    match response {
        Some(response) => {
            state.counters.announced += 1;
            Duration::from_millis((response.lease_ms / 3).max(10))
        }
        None => {
            state.counters.announce_failed += 1;
            RETRY_PAUSE
        }
    }
}

/// Reports that the target leaves, and repeats this until the node confirms that the calls in
/// flight have ended. Returns false after `timeout`.
async fn leave(client: &awc::Client, shared: &Shared, node: SocketAddr, timeout: Duration) -> bool {
    let instance = shared.lock().options.instance.clone();
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let request =
            client.post(format!("http://{node}/targets/leave")).timeout(remaining.max(RETRY_PAUSE));
        let status = request.send_json(&json!({"instance": instance})).await;
        let status = status.ok().map(|response| response.status().as_u16());
        if matches!(status, Some(200 | 202)) {
            let mut state = shared.lock();
            if state.left_unix_ms.is_none() {
                state.left_unix_ms = Some(unix_ms());
                state.record_snapshot();
            }
        }
        match status {
            // 404: the node no longer has this target.
            Some(200 | 404) => return true,
            Some(202) => tokio::time::sleep(LEAVE_POLL_INTERVAL).await,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
