//! Start-up, operation and graceful shutdown of a node.

use std::io::Write as _;
use std::rc::Rc;
use std::sync::Arc;

use actix::Actor;
use actix::Addr;
use arc_swap::ArcSwap;
use eyre::WrapErr;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;

use super::admin;
use super::control::ControlActors;
use super::control_handle::ControlHandle;
use super::listeners::BoundAddresses;
use super::listeners::Listeners;
use super::snapshot_actor::RefuseCalls;
use super::snapshot_actor::SnapshotActor;
use super::targets::TargetsActor;
use crate::catalogue;
use crate::claims::actor::ClaimsActor;
use crate::distribution::actor::DistributionActor;
use crate::distribution::actor::DistributionParts;
use crate::distribution::actor::SubscribeDistribution;
use crate::distribution::body::CatalogueFunctions;
use crate::events;
use crate::membership::actor::Leave;
use crate::membership::actor::MembershipActor;
use crate::membership::actor::MembershipParts;
use crate::membership::actor::SubscribeMembership;
use crate::membership::record::Addresses;
use crate::membership::record::MemberRecord;
use crate::membership::record::Status;
use crate::moves::actor::MovesActor;
use crate::moves::actor::MovesParts;
use crate::peers::ControlTransport;
use crate::peers::client::PeerClient;
use crate::peers::datagram::ControlSocket;
use crate::peers::datagram::DatagramRoutes;
use crate::platform::Platform;
use crate::platform::client::HttpPlatform;
use crate::report::actor::BurnActor;
use crate::settings::NodeSettings;
use crate::snapshot::CompiledCatalogue;
use crate::snapshot::Snapshot;
use crate::traffic;
use crate::traffic::TrafficContext;
use crate::traffic::TrafficThreads;
use crate::types::Millis;
use crate::types::UnixMillis;
use crate::uploads::actor::UploadsActor;

/// Settings, handles and shared state of the node, used by the control thread and the HTTP servers.
#[derive(Clone)]
pub struct NodeContext {
    pub settings: Arc<NodeSettings>,
    /// Addresses that the listeners are bound to.
    pub bound_addresses: BoundAddresses,
    /// Current snapshot, which the traffic threads read.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Channel to the control thread.
    pub control: ControlHandle,
    /// Notified to start the graceful shutdown.
    pub drain: Arc<Notify>,
    /// Start of the process; also the initial incarnation number of the node.
    pub start_time: UnixMillis,
    /// Seed of the random number generators of the process.
    pub seed: u64,
}

impl NodeContext {
    /// Returns this node's initial member record, which membership announces to peers.
    fn member_record(&self) -> MemberRecord {
        let cfg = &self.settings;
        MemberRecord {
            node: cfg.node.clone(),
            incarnation: self.start_time.0,
            revision: 0,
            status: Status::Alive,
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            addresses: Addresses {
                control: cfg.advertise.control.unwrap_or(self.bound_addresses.control),
                peer: cfg.advertise.peer.unwrap_or(self.bound_addresses.peer),
                caller: self.bound_addresses.caller,
                admin: self.bound_addresses.admin,
            },
            targets: Vec::new(),
        }
    }
}

/// What starts a graceful shutdown, in addition to `POST /drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopTrigger {
    /// SIGTERM or SIGINT.
    Signal,
    /// SIGTERM, SIGINT, or the end of standard input. When standard input is a pipe from a parent
    /// process, the node stops even if the parent is killed.
    SignalOrStdinEnd,
}

/// Runs a node until its graceful shutdown has ended. Blocks the calling thread, which becomes the
/// control thread.
pub fn run(settings: NodeSettings, stop_trigger: StopTrigger) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings.listen)?;
    let bound_addresses = listeners.addresses(settings.node.clone())?;
    let (control, work_rx) = ControlHandle::new();
    let cx = NodeContext {
        settings: Arc::new(settings),
        bound_addresses,
        snapshot: Arc::default(),
        control,
        drain: Arc::new(Notify::new()),
        start_time: UnixMillis::now(),
        seed: rand::random(),
    };
    if stop_trigger == StopTrigger::SignalOrStdinEnd {
        drain_on_stdin_eof(cx.drain.clone())?;
    }
    actix_rt::System::new().block_on(serve(cx, listeners, work_rx))
}

/// Starts a thread that notifies `drain` when standard input reaches its end.
pub(crate) fn drain_on_stdin_eof(drain: Arc<Notify>) -> eyre::Result<()> {
    let read_to_end = move || {
        // A read error on standard input counts as its end.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        drain.notify_one();
    };
    std::thread::Builder::new()
        .name("stdin".to_string())
        .spawn(read_to_end)
        .wrap_err("stdin thread")?;
    Ok(())
}

async fn serve(
    cx: NodeContext,
    listeners: Listeners,
    work_rx: tokio::sync::mpsc::UnboundedReceiver<super::control_handle::ControlWork>,
) -> eyre::Result<()> {
    let Listeners {
        control: control_socket,
        peer: peer_listener,
        caller: caller_listener,
        admin: admin_listener,
        targets: target_listener,
    } = listeners;
    let traffic_threads = traffic::start(TrafficContext {
        node: cx.settings.node.clone(),
        data_centre: cx.settings.data_centre.clone(),
        caller_listener,
        peer_listener,
        snapshot: cx.snapshot.clone(),
        control: cx.control.clone(),
        traffic_settings: cx.settings.traffic,
        peer_settings: cx.settings.peers,
        seed: cx.seed,
    })?;
    let control_io = ControlIo::new(&cx, control_socket)?;
    let (actors, snapshot_actor) = start_actors(&cx, &control_io, &traffic_threads);
    let admin_state = admin::AdminState {
        cx: cx.clone(),
        actors: actors.control.clone(),
        burn: actors.burn.clone(),
        dispatch: traffic_threads.dispatch(),
    };
    let servers = admin::start(admin_state, admin_listener, target_listener)?;
    actix::spawn(receive_datagrams(control_io.socket.clone(), &actors.control));
    actix::spawn(actors.control.clone().run(work_rx));
    print_addresses(&cx)?;
    wait_for_stop_trigger(&cx).await?;
    shut_down(&cx, &actors.control.membership, &snapshot_actor, traffic_threads).await;
    servers.stop().await;
    Ok(())
}

/// Network clients and sockets of the control thread.
struct ControlIo {
    platform: Rc<dyn Platform>,
    transport: Rc<dyn ControlTransport>,
    socket: Rc<ControlSocket>,
}

impl ControlIo {
    fn new(cx: &NodeContext, control_socket: std::net::UdpSocket) -> eyre::Result<Self> {
        Ok(Self {
            platform: Rc::new(HttpPlatform::new(cx.settings.platform.clone())),
            transport: Rc::new(PeerClient::new(cx.settings.peers)),
            socket: Rc::new(ControlSocket::new(control_socket).wrap_err("control socket")?),
        })
    }
}

struct Actors {
    control: ControlActors,
    burn: Addr<BurnActor>,
}

fn start_actors(
    cx: &NodeContext,
    io: &ControlIo,
    traffic_threads: &TrafficThreads,
) -> (Actors, Addr<SnapshotActor>) {
    let cfg = &cx.settings;
    let local_record = cx.member_record();
    let target_retention = Millis(cfg.membership.dead_keep_ms);
    let snapshot_actor = SnapshotActor::new(cx.snapshot.clone(), target_retention).start();
    let membership = MembershipActor::new(MembershipParts {
        local: local_record.clone(),
        settings: cfg.membership.clone(),
        seed: cx.seed,
        platform: io.platform.clone(),
        transport: io.transport.clone(),
        socket: io.socket.clone(),
    })
    .start();
    let distribution = DistributionActor::new(DistributionParts {
        node: cfg.node.clone(),
        peer_addr: local_record.addresses.peer,
        control_addr: local_record.addresses.control,
        settings: cfg.distribution.clone(),
        seed: cx.seed,
        platform: io.platform.clone(),
        transport: io.transport.clone(),
        socket: io.socket.clone(),
        functions: catalogue_functions(),
    })
    .start();
    let socket = io.socket.clone();
    let moves = MovesActor::new(MovesParts {
        node: cfg.node.clone(),
        incarnation: cx.start_time.0,
        settings: cfg.moves.clone(),
        seed: cx.seed,
        platform: io.platform.clone(),
        transport: io.transport.clone(),
        send: Rc::new(move |to, datagram| socket.send(to, &datagram)),
        subscribers: vec![snapshot_actor.clone().recipient(), membership.clone().recipient()],
    })
    .start();
    let claims =
        ClaimsActor::new(cfg.claims.clone(), io.platform.clone(), io.transport.clone()).start();
    let uploads =
        UploadsActor::new(cfg.uploads.clone(), io.platform.clone(), cx.bound_addresses.caller)
            .start();
    let targets = TargetsActor::new(
        cfg.targets.clone(),
        &cfg.membership,
        traffic_threads.dispatch(),
        membership.clone().recipient(),
    )
    .start();
    let burn = BurnActor::new(cfg.report.clone()).start();
    membership.do_send(SubscribeMembership {
        members: vec![
            snapshot_actor.clone().recipient(),
            distribution.clone().recipient(),
            moves.clone().recipient(),
            claims.clone().recipient(),
            uploads.clone().recipient(),
        ],
        heads: vec![distribution.clone().recipient()],
        moves: vec![moves.clone().recipient()],
    });
    distribution.do_send(SubscribeDistribution {
        applied: vec![
            snapshot_actor.clone().recipient(),
            moves.clone().recipient(),
            burn.clone().recipient(),
        ],
        heads: vec![membership.clone().recipient()],
    });
    let count_subscribers = vec![moves.clone().recipient(), burn.clone().recipient()];
    let control = ControlActors {
        membership,
        distribution,
        moves,
        claims,
        uploads,
        targets,
        count_subscribers,
    };
    (Actors { control, burn }, snapshot_actor)
}

/// Returns the functions of the catalogue module that distribution calls.
fn catalogue_functions() -> CatalogueFunctions {
    CatalogueFunctions {
        compile: Rc::new(|head, bytes| {
            catalogue::compile(head, bytes).map_err(|errors| errors.to_string())
        }),
        apply_delta: Rc::new(apply_delta),
        make_delta: Rc::new(make_delta),
    }
}

/// Returns the canonical bytes of the catalogue that results from applying an encoded delta.
fn apply_delta(base: &CompiledCatalogue, delta: &[u8]) -> Result<Vec<u8>, String> {
    let delta = serde_json::from_slice(delta).map_err(|e| e.to_string())?;
    let result = catalogue::delta::apply(&base.catalogue, &delta).map_err(|e| e.to_string())?;
    Ok(catalogue::canonical_bytes(&result))
}

/// Returns the encoded delta, or `None` when it is not smaller than the whole catalogue.
fn make_delta(from: &CompiledCatalogue, to: &CompiledCatalogue) -> Option<Vec<u8>> {
    let delta = catalogue::delta::compute(&from.catalogue, &to.catalogue);
    let bytes = serde_json::to_vec(&delta).ok()?;
    (bytes.len() < to.bytes.len()).then_some(bytes)
}

fn receive_datagrams(
    socket: Rc<ControlSocket>,
    actors: &ControlActors,
) -> impl Future<Output = ()> + 'static {
    let routes = DatagramRoutes {
        membership: actors.membership.clone().recipient(),
        distribution: actors.distribution.clone().recipient(),
        moves: actors.moves.clone().recipient(),
    };
    async move { socket.receive(routes).await }
}

/// Prints the bound addresses as one JSON line on standard output, for the parent process.
fn print_addresses(cx: &NodeContext) -> eyre::Result<()> {
    let addresses_json = serde_json::to_string(&cx.bound_addresses)?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{addresses_json}")
        .and_then(|()| stdout.flush())
        .wrap_err("standard output")?;
    events::emit(&events::node::NODE_STARTED, format_args!("{addresses_json}"));
    Ok(())
}

async fn wait_for_stop_trigger(cx: &NodeContext) -> eyre::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
        () = cx.drain.notified() => {}
    }
    Ok(())
}

/// Leaves the membership and waits `drain.announce_ms`, so that peers and callers stop sending.
/// Then refuses new calls, waits for the calls in flight and stops the traffic threads.
async fn shut_down(
    cx: &NodeContext,
    membership: &Addr<MembershipActor>,
    snapshot_actor: &Addr<SnapshotActor>,
    traffic_threads: TrafficThreads,
) {
    let cfg = &cx.settings.drain;
    events::emit(
        &events::node::NODE_DRAINING,
        format_args!("waits at most {} ms for calls in flight", cfg.finish_ms),
    );
    let announce_pause = tokio::time::sleep(Millis(cfg.announce_ms).to_duration());
    // The results are ignored: the actor ends only with the process, so its mailbox is open.
    let (_, ()) = tokio::join!(membership.send(Leave), announce_pause);
    let _ = snapshot_actor.send(RefuseCalls).await;
    let all_calls_finished = traffic_threads.drain(Millis(cfg.finish_ms)).await;
    traffic_threads.stop().await;
    let outcome = if all_calls_finished {
        "all calls in flight finished"
    } else {
        "calls in flight were aborted"
    };
    events::emit(&events::node::NODE_STOPPED, format_args!("{outcome}"));
}
