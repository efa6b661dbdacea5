//! Start, service and graceful stop of a node.

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
use super::handle::ControlHandle;
use super::listeners::BoundAddresses;
use super::listeners::Listeners;
use super::targets::TargetsActor;
use super::view::RefuseCalls;
use super::view::ViewActor;
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
use crate::moves::actor::MovesContext;
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

/// Everything that the start-up of the control thread hands on.
#[derive(Clone)]
pub struct NodeContext {
    /// Settings.
    pub settings: Arc<NodeSettings>,
    /// Bound addresses.
    pub bound: BoundAddresses,
    /// Snapshot in effect.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Channel to the control thread.
    pub control: ControlHandle,
    /// Wakes the graceful stop.
    pub drain: Arc<Notify>,
    /// Start of the process; the first incarnation.
    pub started: UnixMillis,
    /// Seed of all random choices of the process.
    pub seed: u64,
}

impl NodeContext {
    /// This node's record, as peers are told.
    fn member_record(&self) -> MemberRecord {
        let cfg = &self.settings;
        MemberRecord {
            node: cfg.node.clone(),
            incarnation: self.started.0,
            revision: 0,
            status: Status::Alive,
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            addresses: Addresses {
                control: cfg.advertise.control.unwrap_or(self.bound.control),
                peer: cfg.advertise.peer.unwrap_or(self.bound.peer),
                caller: self.bound.caller,
                admin: self.bound.admin,
            },
            targets: Vec::new(),
        }
    }
}

/// What stops a node gracefully, beside `POST /drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// SIGTERM or SIGINT.
    Signal,
    /// A signal, or the end of standard input. A supervisor that holds the other end of the pipe
    /// leaves no node behind when it is killed.
    SignalOrStdinEnd,
}

/// Runs a node until it is told to stop and has drained. Blocks the thread, which becomes the control
/// thread.
pub fn run(settings: NodeSettings, stop: StopCause) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings.listen)?;
    let bound = listeners.addresses(settings.node.clone())?;
    let (control, work) = ControlHandle::new();
    let cx = NodeContext {
        settings: Arc::new(settings),
        bound,
        snapshot: Arc::default(),
        control,
        drain: Arc::new(Notify::new()),
        started: UnixMillis::now(),
        seed: rand::random(),
    };
    if stop == StopCause::SignalOrStdinEnd {
        drain_at_stdin_end(cx.drain.clone())?;
    }
    actix_rt::System::new().block_on(serve(cx, listeners, work))
}

/// Notifies when standard input ends.
pub(crate) fn drain_at_stdin_end(drain: Arc<Notify>) -> eyre::Result<()> {
    let wait = move || {
        // An unreadable standard input counts as ended.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        drain.notify_one();
    };
    std::thread::Builder::new().name("stdin".to_string()).spawn(wait).wrap_err("stdin thread")?;
    Ok(())
}

async fn serve(
    cx: NodeContext,
    listeners: Listeners,
    work: tokio::sync::mpsc::UnboundedReceiver<super::handle::ControlWork>,
) -> eyre::Result<()> {
    let Listeners { control: control_socket, peer, caller, admin, targets } = listeners;
    let threads = traffic::start(TrafficContext {
        node: cx.settings.node.clone(),
        data_centre: cx.settings.data_centre.clone(),
        callers: caller,
        peers: peer,
        snapshot: cx.snapshot.clone(),
        control: cx.control.clone(),
        traffic_settings: cx.settings.traffic,
        peer_settings: cx.settings.peers,
        seed: cx.seed,
    })?;
    let parts = Parts::new(&cx, control_socket)?;
    let (actors, view) = start_actors(&cx, &parts, &threads);
    let http = admin::Admin {
        cx: cx.clone(),
        actors: actors.control.clone(),
        burn: actors.burn.clone(),
        dispatch: threads.dispatch(),
    };
    let servers = admin::start(http, admin, targets)?;
    actix::spawn(receive(parts.socket.clone(), &actors.control));
    actix::spawn(actors.control.clone().run(work));
    announce(&cx)?;
    wait_for_stop(&cx).await?;
    stop(&cx, &actors.control.membership, &view, threads).await;
    servers.stop().await;
    Ok(())
}

/// Connections of the control thread to the outside.
struct Parts {
    platform: Rc<dyn Platform>,
    transport: Rc<dyn ControlTransport>,
    socket: Rc<ControlSocket>,
}

impl Parts {
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
    parts: &Parts,
    threads: &TrafficThreads,
) -> (Actors, Addr<ViewActor>) {
    let cfg = &cx.settings;
    let local = cx.member_record();
    let keep = Millis(cfg.membership.dead_keep_ms);
    let view = ViewActor::new(cx.snapshot.clone(), keep).start();
    let membership = MembershipActor::new(MembershipParts {
        local: local.clone(),
        settings: cfg.membership.clone(),
        seed: cx.seed,
        platform: parts.platform.clone(),
        transport: parts.transport.clone(),
        socket: parts.socket.clone(),
    })
    .start();
    let distribution = DistributionActor::new(DistributionParts {
        node: cfg.node.clone(),
        peer_addr: local.addresses.peer,
        control_addr: local.addresses.control,
        settings: cfg.distribution.clone(),
        seed: cx.seed,
        platform: parts.platform.clone(),
        transport: parts.transport.clone(),
        socket: parts.socket.clone(),
        functions: catalogue_functions(),
    })
    .start();
    let socket = parts.socket.clone();
    let moves = MovesActor::new(MovesContext {
        node: cfg.node.clone(),
        incarnation: cx.started.0,
        settings: cfg.moves.clone(),
        seed: cx.seed,
        platform: parts.platform.clone(),
        peers: parts.transport.clone(),
        send: Rc::new(move |to, datagram| socket.send(to, &datagram)),
        subscribers: vec![view.clone().recipient(), membership.clone().recipient()],
    })
    .start();
    let claims =
        ClaimsActor::new(cfg.claims.clone(), parts.platform.clone(), parts.transport.clone())
            .start();
    let uploads =
        UploadsActor::new(cfg.uploads.clone(), parts.platform.clone(), cx.bound.caller).start();
    let targets = TargetsActor::new(
        cfg.targets.clone(),
        &cfg.membership,
        threads.dispatch(),
        membership.clone().recipient(),
    )
    .start();
    let burn = BurnActor::new(cfg.report.clone()).start();
    membership.do_send(SubscribeMembership {
        members: vec![
            view.clone().recipient(),
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
            view.clone().recipient(),
            moves.clone().recipient(),
            burn.clone().recipient(),
        ],
        heads: vec![membership.clone().recipient()],
    });
    let counts = vec![moves.clone().recipient(), burn.clone().recipient()];
    let control =
        ControlActors { membership, distribution, moves, claims, uploads, targets, counts };
    (Actors { control, burn }, view)
}

/// The catalogue module's functions, as distribution uses them.
fn catalogue_functions() -> CatalogueFunctions {
    CatalogueFunctions {
        compile: Rc::new(|head, bytes| {
            catalogue::compile(head, bytes).map_err(|errors| errors.to_string())
        }),
        apply_delta: Rc::new(apply_delta),
        make_delta: Rc::new(make_delta),
    }
}

fn apply_delta(held: &CompiledCatalogue, delta: &[u8]) -> Result<Vec<u8>, String> {
    let delta = serde_json::from_slice(delta).map_err(|e| e.to_string())?;
    let result = catalogue::delta::apply(&held.catalogue, &delta).map_err(|e| e.to_string())?;
    Ok(catalogue::canonical_bytes(&result))
}

fn make_delta(from: &CompiledCatalogue, to: &CompiledCatalogue) -> Option<Vec<u8>> {
    let delta = catalogue::delta::make(&from.catalogue, &to.catalogue);
    let bytes = serde_json::to_vec(&delta).ok()?;
    (bytes.len() < to.bytes.len()).then_some(bytes)
}

fn receive(
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

/// Tells whoever started the process the bound addresses, as one JSON line on standard output.
fn announce(cx: &NodeContext) -> eyre::Result<()> {
    let line = serde_json::to_string(&cx.bound)?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).wrap_err("standard output")?;
    events::emit(&events::node::STARTED, format_args!("{line}"));
    Ok(())
}

async fn wait_for_stop(cx: &NodeContext) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = cx.drain.notified() => {}
    }
    Ok(())
}

/// Leaves, gives peers and callers time to notice, finishes the calls in flight, and ends.
async fn stop(
    cx: &NodeContext,
    membership: &Addr<MembershipActor>,
    view: &Addr<ViewActor>,
    threads: TrafficThreads,
) {
    let cfg = &cx.settings.drain;
    events::emit(&events::node::DRAINING, format_args!("at most {} ms", cfg.finish_ms));
    let announced = tokio::time::sleep(Millis(cfg.announce_ms).to_duration());
    // The actor ends only with the process, so its mailbox is open.
    let (_, ()) = tokio::join!(membership.send(Leave), announced);
    let _ = view.send(RefuseCalls).await;
    let finished = threads.drain(Millis(cfg.finish_ms)).await;
    threads.stop().await;
    let outcome = if finished { "all calls in flight finished" } else { "calls were cut" };
    events::emit(&events::node::STOPPED, format_args!("{outcome}"));
}
