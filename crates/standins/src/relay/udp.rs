//! UDP relay with fault injection: lost, delayed and duplicated datagrams, silence by source IP.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::server::lock;

/// Largest UDP payload.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Faults of a relay, applied in both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UdpRules {
    /// Share of the datagrams, 0 to 1, that is lost.
    pub drop_share: f64,
    /// Share of the datagrams, 0 to 1, that is delivered twice.
    pub duplicate_share: f64,
    /// Shortest and longest delay in ms; datagrams can overtake one another.
    pub delay_ms: (u64, u64),
    /// Datagrams from these addresses and the responses to them are lost.
    pub silent_sources: HashSet<IpAddr>,
    /// Seed of the random losses, duplicates and delays.
    pub seed: u64,
}

/// Counters of a relay since its start, both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UdpCounters {
    /// Datagrams that arrived at the relay, including those that were then lost.
    pub received: u64,
    /// Datagrams forwarded, including duplicates.
    pub forwarded: u64,
    /// Bytes forwarded, including duplicates.
    pub bytes: u64,
    /// Datagrams dropped by a rule, or for lack of a destination or of a socket for the source.
    pub lost: u64,
}

struct RelayState {
    rules: UdpRules,
    rng: SmallRng,
    counters: UdpCounters,
    destination: Option<SocketAddr>,
}

type Shared = Arc<Mutex<RelayState>>;

/// A UDP relay in its own thread.
///
/// Each source gets its own socket towards the destination, bound to the source's IP address.
/// Datagrams that arrive there are forwarded to the source from the relay's address.
pub struct UdpRelay {
    addr: SocketAddr,
    shared: Shared,
    stop_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl UdpRelay {
    /// Starts a relay that listens on `listen`. Datagrams are dropped until a destination is set.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let socket = StdUdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        let addr = socket.local_addr()?;
        let shared = Arc::new(Mutex::new(RelayState {
            rules: UdpRules::default(),
            rng: SmallRng::seed_from_u64(0),
            counters: UdpCounters::default(),
            destination: None,
        }));
        let (stop_tx, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new().name(format!("udp-relay-{}", addr.port())).spawn(
            move || {
                runtime.block_on(async move {
                    tokio::select! {
                        _ = serve(socket, thread_shared) => {}
                        _ = stopped => {}
                    }
                });
            },
        )?;
        Ok(Self { addr, shared, stop_tx: Some(stop_tx), thread: Some(thread) })
    }

    /// Address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the destination of datagrams.
    pub fn set_destination(&self, destination: SocketAddr) {
        lock(&self.shared).destination = Some(destination);
    }

    /// Replaces the rules and seeds the random choices with the seed of the new rules.
    pub fn set_rules(&self, rules: UdpRules) {
        let mut state = lock(&self.shared);
        state.rng = SmallRng::seed_from_u64(rules.seed);
        state.rules = rules;
    }

    /// Changes the rules in effect without seeding the random choices again.
    pub fn change_rules(&self, f: impl FnOnce(&mut UdpRules)) {
        f(&mut lock(&self.shared).rules);
    }

    /// Counters since the start of the relay.
    pub fn counters(&self) -> UdpCounters {
        lock(&self.shared).counters
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(socket: StdUdpSocket, shared: Shared) -> io::Result<()> {
    let socket = Arc::new(UdpSocket::from_std(socket)?);
    let mut sessions: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The system reports here that an earlier datagram could not be delivered.
        let Ok((n, source)) = socket.recv_from(&mut buf).await else { continue };
        let Some(destination) = lock(&shared).destination else {
            let mut state = lock(&shared);
            state.counters.received += 1;
            state.counters.lost += 1;
            continue;
        };
        let session = match sessions.get(&source) {
            Some(session) => session.clone(),
            None => {
                let Ok(session) = UdpSocket::bind(SocketAddr::new(source.ip(), 0)).await else {
                    let mut state = lock(&shared);
                    state.counters.received += 1;
                    state.counters.lost += 1;
                    continue;
                };
                let session = Arc::new(session);
                sessions.insert(source, session.clone());
                tokio::spawn(forward_responses(
                    session.clone(),
                    socket.clone(),
                    source,
                    shared.clone(),
                ));
                session
            }
        };
        deliver(&shared, &session, destination, source.ip(), &buf[..n]).await;
    }
}

/// Forwards the datagrams that arrive on a session's socket to the source.
async fn forward_responses(
    session: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    shared: Shared,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((n, _)) = session.recv_from(&mut buf).await else { continue };
        deliver(&shared, &socket, source, source.ip(), &buf[..n]).await;
    }
}

/// Applies the rules to a datagram of the session of `source` and sends it to `to`.
async fn deliver(
    shared: &Shared,
    socket: &Arc<UdpSocket>,
    to: SocketAddr,
    source: IpAddr,
    data: &[u8],
) {
    let delays = lock(shared).copy_delays(source, data.len());
    for delay in delays {
        if delay.is_zero() {
            let _ = socket.send_to(data, to).await;
            continue;
        }
        let socket = socket.clone();
        let data = data.to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&data, to).await;
        });
    }
}

impl RelayState {
    /// Chooses by the rules how a datagram is delivered and counts it. Returns the delay of each
    /// copy; empty when the datagram is lost.
    fn copy_delays(&mut self, source: IpAddr, len: usize) -> Vec<Duration> {
        self.counters.received += 1;
        let is_silent = self.rules.silent_sources.contains(&source);
        if is_silent || self.random_chance(self.rules.drop_share) {
            self.counters.lost += 1;
            return Vec::new();
        }
        let copy_count = 1 + u64::from(self.random_chance(self.rules.duplicate_share));
        self.counters.forwarded += copy_count;
        self.counters.bytes += copy_count * len as u64;
        let (low, high) = self.rules.delay_ms;
        (0..copy_count)
            .map(|_| self.rng.random_range(low * 1000..=high.max(low) * 1000))
            .map(Duration::from_micros)
            .collect()
    }

    /// Returns true with the probability `share`.
    fn random_chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}
