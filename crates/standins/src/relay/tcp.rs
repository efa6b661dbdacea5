//! TCP relay with fault injection: silent connections, silence by source IP, latency, resets and
//! refused connections.

use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::server::lock;

/// Largest size of a chunk, the unit that is read and delayed.
const CHUNK_BYTES: usize = 16 * 1024;

/// Largest number of delayed chunks in one direction of a connection; bounds memory under latency.
const CHUNKS_IN_TRANSIT: usize = 256;

/// Faults for all connections of a relay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TcpRules {
    /// Shortest and longest delay of a chunk, in ms; chunks stay in order.
    pub latency_ms: (u64, u64),
    /// New connections are reset immediately.
    pub refuse_new: bool,
    /// New connections are accepted and carry no data, even after the rule is lifted.
    pub silence_new: bool,
    /// Connections from these addresses carry no data until the rule is lifted, then continue.
    pub silent_sources: HashSet<IpAddr>,
    /// Seed of the delays.
    pub seed: u64,
}

/// How the relay treats a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionMode {
    /// Data is forwarded.
    Pass,
    /// The connection stays open without carrying data.
    Silent,
    /// The connection is to be reset.
    Reset,
}

#[derive(Default)]
struct RelayState {
    connections: Mutex<Vec<watch::Sender<ConnectionMode>>>,
    bytes: AtomicU64,
    accepted: AtomicU64,
}

impl RelayState {
    /// Changes the mode of the open connections from `from_mode` to `to_mode`; with `None`
    /// that of all.
    fn change_modes(&self, from_mode: Option<ConnectionMode>, to_mode: ConnectionMode) {
        let mut connections = lock(&self.connections);
        connections.retain(|conn| !conn.is_closed());
        for conn in connections.iter() {
            conn.send_if_modified(|mode| {
                let is_affected = from_mode.is_none_or(|from_mode| *mode == from_mode);
                if is_affected {
                    *mode = to_mode;
                }
                is_affected
            });
        }
    }
}

/// A TCP relay in its own thread. Dropping it closes its connections.
pub struct TcpRelay {
    addr: SocketAddr,
    shared: Arc<RelayState>,
    rules: watch::Sender<TcpRules>,
    destination: watch::Sender<Option<SocketAddr>>,
    stop_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TcpRelay {
    /// Starts a relay that listens on `listen`. Connections wait until a destination is set.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(RelayState::default());
        let (rules, rules_rx) = watch::channel(TcpRules::default());
        let (destination, destination_rx) = watch::channel(None);
        let (stop_tx, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new().name(format!("tcp-relay-{}", addr.port())).spawn(
            move || {
                runtime.block_on(async move {
                    tokio::select! {
                        _ = accept(listener, thread_shared, rules_rx, destination_rx) => {}
                        _ = stopped => {}
                    }
                });
            },
        )?;
        let stop_tx = Some(stop_tx);
        Ok(Self { addr, shared, rules, destination, stop_tx, thread: Some(thread) })
    }

    /// Address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the destination of new connections.
    pub fn set_destination(&self, destination: SocketAddr) {
        self.destination.send_replace(Some(destination));
    }

    /// Replaces the rules for existing and new connections.
    pub fn set_rules(&self, rules: TcpRules) {
        self.rules.send_replace(rules);
    }

    /// Changes the rules in effect.
    pub fn change_rules(&self, f: impl FnOnce(&mut TcpRules)) {
        self.rules.send_modify(f);
    }

    /// Makes existing connections silent: they stay open but carry no more data. New ones work.
    pub fn silence_existing(&self) {
        self.shared.change_modes(Some(ConnectionMode::Pass), ConnectionMode::Silent);
    }

    /// Resets all existing connections, including silent ones.
    pub fn reset_existing(&self) {
        self.shared.change_modes(None, ConnectionMode::Reset);
    }

    /// Number of bytes forwarded, both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Number of connections accepted, including those that were then reset.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// State that determines whether a connection may carry data.
#[derive(Clone)]
struct Gate {
    mode: watch::Receiver<ConnectionMode>,
    rules: watch::Receiver<TcpRules>,
    source: IpAddr,
}

impl Gate {
    /// Waits until the connection may carry data.
    async fn wait_until_open(&mut self) {
        loop {
            let mode = *self.mode.borrow_and_update();
            let source_silent =
                self.rules.borrow_and_update().silent_sources.contains(&self.source);
            if mode == ConnectionMode::Pass && !source_silent {
                return;
            }
            let change_result = tokio::select! {
                change_result = self.mode.changed() => change_result,
                change_result = self.rules.changed() => change_result,
            };
            if change_result.is_err() {
                // A closed channel means that the relay is being dropped.
                return std::future::pending().await;
            }
        }
    }

    /// Waits until the connection is to be reset.
    async fn wait_for_reset(&mut self) {
        if self.mode.wait_for(|mode| *mode == ConnectionMode::Reset).await.is_err() {
            std::future::pending().await
        }
    }
}

async fn accept(
    listener: std::net::TcpListener,
    shared: Arc<RelayState>,
    rules: watch::Receiver<TcpRules>,
    destination: watch::Receiver<Option<SocketAddr>>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (client, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                // The process may be out of file descriptors, which can become available again.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let connection_number = shared.accepted.fetch_add(1, Ordering::Relaxed);
        let (refuse, silence) = {
            let rules = rules.borrow();
            (rules.refuse_new, rules.silence_new)
        };
        if refuse {
            reset_on_close(&client);
            continue;
        }
        let (tx, mode) =
            watch::channel(if silence { ConnectionMode::Silent } else { ConnectionMode::Pass });
        {
            let mut connections = lock(&shared.connections);
            connections.retain(|conn| !conn.is_closed());
            connections.push(tx);
        }
        let gate = Gate { mode, rules: rules.clone(), source: source.ip() };
        tokio::spawn(relay(client, gate, destination.clone(), shared.clone(), connection_number));
    }
}

/// Makes the socket send a reset, instead of a normal end, when it is dropped.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay(
    mut client: TcpStream,
    mut gate: Gate,
    destination: watch::Receiver<Option<SocketAddr>>,
    shared: Arc<RelayState>,
    connection_number: u64,
) {
    let mut reset_gate = gate.clone();
    let connect_result = tokio::select! {
        connect_result = async {
            gate.wait_until_open().await;
            connect(gate.source, destination).await
        } => connect_result,
        () = reset_gate.wait_for_reset() => Err(io::Error::other("reset")),
    };
    let Ok(mut server) = connect_result else {
        reset_on_close(&client);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let ended_normally = {
        let (client_rx, client_tx) = client.split();
        let (server_rx, server_tx) = server.split();
        let to_server = forward(client_rx, server_tx, gate.clone(), &shared, connection_number * 2);
        let to_client = forward(server_rx, client_tx, gate, &shared, connection_number * 2 + 1);
        tokio::select! {
            result = async { tokio::try_join!(to_server, to_client) } => result.is_ok(),
            () = reset_gate.wait_for_reset() => false,
        }
    };
    if !ended_normally {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Connects from the source's IP address, so that the destination sees the same peer as without a
/// relay.
async fn connect(
    source: IpAddr,
    mut destination: watch::Receiver<Option<SocketAddr>>,
) -> io::Result<TcpStream> {
    let current_destination = destination.wait_for(Option::is_some).await;
    let destination = current_destination.ok().and_then(|addr| *addr);
    let destination = destination.ok_or_else(|| io::Error::other("no destination"))?;
    let socket = match destination {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(destination).await
}

/// Forwards one direction of a connection, with latency, until it ends.
async fn forward(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    gate: Gate,
    shared: &RelayState,
    direction_number: u64,
) -> io::Result<()> {
    let (tx, mut rx) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_IN_TRANSIT);
    let mut read_gate = gate.clone();
    let seed = gate.rules.borrow().seed;
    let mut rng =
        SmallRng::seed_from_u64(seed ^ direction_number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let read = async move {
        let mut buf = vec![0; CHUNK_BYTES];
        let mut last_send_time = Instant::now();
        loop {
            read_gate.wait_until_open().await;
            let n = reader.read(&mut buf).await?;
            // The end of the stream must not be forwarded during silence either.
            read_gate.wait_until_open().await;
            if n == 0 {
                return Ok::<_, io::Error>(());
            }
            let (low, high) = read_gate.rules.borrow().latency_ms;
            let micros = rng.random_range(low * 1000..=high.max(low) * 1000);
            last_send_time = last_send_time.max(Instant::now() + Duration::from_micros(micros));
            if tx.send((last_send_time, Bytes::copy_from_slice(&buf[..n]))).await.is_err() {
                return Ok(());
            }
        }
    };
    let mut write_gate = gate;
    let write = async move {
        while let Some((due, chunk)) = rx.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            write_gate.wait_until_open().await;
            writer.write_all(&chunk).await?;
            shared.bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
        writer.shutdown().await
    };
    tokio::try_join!(read, write).map(|_| ())
}
