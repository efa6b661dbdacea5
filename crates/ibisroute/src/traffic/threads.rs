//! Start, drain and stop of the traffic threads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_web::dev::ServerHandle;
use arc_swap::ArcSwap;
use eyre::WrapErr;
use eyre::eyre;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use super::dispatch::DispatchHandle;
use super::dispatch::DispatchWork;
use super::dispatch::Dispatcher;
use super::ingress;
use super::late_connections;
use super::traffic_settings::TrafficSettings;
use super::worker::CallsInFlight;
use super::worker::SharedState;
use crate::events;
use crate::events::traffic;
use crate::node::control_handle::ControlHandle;
use crate::peers::peer_settings::PeerSettings;
use crate::peers::server::PeerServer;
use crate::snapshot::Snapshot;
use crate::types::DataCentre;
use crate::types::Millis;
use crate::types::NodeId;

/// Time during a drain in which calls on open connections are refused with `Connection: close`
/// before the server stops. When the server stops, it closes idle connections and drops those that
/// its threads have not accepted yet; a caller in the middle of a request cannot distinguish that
/// from a call that ran.
const DRAIN_REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// Dependencies and settings of the traffic threads.
#[derive(Debug)]
pub struct TrafficContext {
    pub node: NodeId,
    pub data_centre: DataCentre,
    /// Bound listener for callers.
    pub caller_listener: TcpListener,
    /// Bound listener for peers.
    pub peer_listener: TcpListener,
    /// Current configuration, endpoints and moves.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub control: ControlHandle,
    pub traffic_settings: TrafficSettings,
    pub peer_settings: PeerSettings,
    /// Seed of all random choices.
    pub seed: u64,
}

/// The running traffic threads.
#[derive(Debug)]
pub struct TrafficThreads {
    dispatch: DispatchHandle,
    caller_server: ServerHandle,
    /// Duplicate of the listener for callers. The drain takes it to refuse late connections and
    /// then closes it, because the socket closes only with its last descriptor.
    caller_listener: RefCell<Option<TcpListener>>,
    /// Stops the refusal of late connections when dropped.
    late_refusals_stop_tx: RefCell<Option<oneshot::Sender<()>>>,
    /// Set to true to stop the peer server gracefully.
    peer_server_stop_tx: watch::Sender<bool>,
    /// Becomes true when all streams of the peer server have ended.
    peer_server_ended_rx: watch::Receiver<bool>,
    in_flight: Arc<CallsInFlight>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts the traffic threads. They accept calls when this returns.
pub fn start(cx: TrafficContext) -> eyre::Result<TrafficThreads> {
    let (tx, rx) = mpsc::unbounded_channel();
    let dispatch = DispatchHandle { tx };
    let (peer_server_stop_tx, peer_stop_rx) = watch::channel(false);
    let (peer_ended_tx, peer_server_ended_rx) = watch::channel(false);
    let in_flight = Arc::new(CallsInFlight::default());
    cx.peer_listener.set_nonblocking(true).wrap_err("peer listener")?;
    let peer_listener = cx.peer_listener;
    let (control, snapshot) = (cx.control.clone(), cx.snapshot.clone());
    let (traffic_settings, peer_settings) = (cx.traffic_settings, cx.peer_settings);
    let dispatch_thread = spawn("dispatch", move |ready_tx| async move {
        let listener = match tokio::net::TcpListener::from_std(peer_listener) {
            Ok(listener) => listener,
            Err(e) => return drop(ready_tx.send(Err(eyre!(e).wrap_err("peer listener")))),
        };
        let dispatcher = Dispatcher::new(traffic_settings, snapshot, control.clone());
        let call_dispatcher = dispatcher.clone();
        let server = PeerServer {
            settings: peer_settings,
            control,
            on_call: std::rc::Rc::new(move |job| call_dispatcher.clone().start_call(job)),
        };
        let _ = ready_tx.send(Ok(()));
        actix_rt::spawn(async move {
            server.run(listener, peer_stop_rx).await;
            // Fails when the node stops without a drain, because nothing waits for the end then.
            let _ = peer_ended_tx.send(true);
        });
        dispatcher.run(rx).await;
    })?;
    let shared = Arc::new(SharedState {
        node: cx.node,
        data_centre: cx.data_centre,
        snapshot: cx.snapshot,
        control: cx.control,
        dispatch: dispatch.clone(),
        settings: cx.traffic_settings,
        peer_settings: cx.peer_settings,
        stopped_moves: ArcSwap::from_pointee(BTreeMap::new()),
        in_flight: in_flight.clone(),
        started_at: Instant::now(),
        seed: cx.seed,
    });
    let caller_listener = cx.caller_listener.try_clone().wrap_err("caller listener")?;
    let caller_listener = RefCell::new(Some(caller_listener));
    let (handle_tx, handle_rx) = std::sync::mpsc::channel();
    let listener = cx.caller_listener;
    let caller_thread = spawn("callers", move |ready_tx| async move {
        match ingress::serve(shared, listener) {
            Ok(server) => {
                let _ = handle_tx.send(server.handle());
                let _ = ready_tx.send(Ok(()));
                // Ends when the handle stops the server; an error at that point has no consequence.
                let _ = server.await;
            }
            Err(e) => drop(ready_tx.send(Err(eyre!(e).wrap_err("caller listener")))),
        }
    })?;
    let caller_server = handle_rx.recv().wrap_err("caller thread ended during startup")?;
    let threads = vec![dispatch_thread, caller_thread];
    Ok(TrafficThreads {
        dispatch,
        caller_server,
        caller_listener,
        late_refusals_stop_tx: RefCell::default(),
        peer_server_stop_tx,
        peer_server_ended_rx,
        in_flight,
        threads,
    })
}

/// Starts a thread that runs `f` in an actix system. Waits until `f` sends whether its startup
/// succeeded.
fn spawn<F, Fut>(name: &str, f: F) -> eyre::Result<JoinHandle<()>>
where
    F: FnOnce(std::sync::mpsc::Sender<eyre::Result<()>>) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let (tx, rx) = std::sync::mpsc::channel();
    let thread = thread::Builder::new()
        .name(name.to_string())
        .spawn(move || actix_rt::System::new().block_on(f(tx)))
        .wrap_err("failed to start thread")?;
    rx.recv().wrap_err("thread ended during startup")??;
    Ok(thread)
}

impl TrafficThreads {
    /// Returns the handle that adds, drains and removes local targets.
    pub fn dispatch(&self) -> DispatchHandle {
        self.dispatch.clone()
    }

    /// Refuses new calls and waits, at most for `max_wait`, until those in flight have ended.
    /// Returns whether all have ended. The threads keep running until [`TrafficThreads::stop`].
    pub async fn drain(&self, max_wait: Millis) -> bool {
        self.in_flight.start_drain();
        let (late_refusals_stop_tx, refusals_stop_rx) = oneshot::channel();
        self.late_refusals_stop_tx.replace(Some(late_refusals_stop_tx));
        let drain_future = timeout(max_wait.to_duration(), async {
            let listener = self.caller_listener.take();
            let refusal_task = listener.map(|l| {
                actix_rt::spawn(late_connections::refuse_connections(l, refusals_stop_rx))
            });
            self.caller_server.pause().await;
            tokio::time::sleep(DRAIN_REFUSAL_PERIOD).await;
            self.in_flight.wait_idle().await;
            self.dispatch.send(DispatchWork::DrainAll);
            // Fails only when the dispatch thread has ended.
            let _ = self.peer_server_stop_tx.send(true);
            let (tx, rx) = oneshot::channel();
            self.dispatch.send(DispatchWork::Idle(tx));
            let _ = rx.await;
            // Replies to peers may still be in transmission after the last call has ended.
            let _ = self.peer_server_ended_rx.clone().wait_for(|ended| *ended).await;
            // No call is in flight, so the graceful stop only writes the rest of buffered
            // responses.
            self.caller_server.stop(true).await;
            self.late_refusals_stop_tx.take();
            if let Some(refusal_task) = refusal_task {
                let _ = refusal_task.await;
            }
        });
        let drained = drain_future.await.is_ok();
        if !drained {
            events::emit(&traffic::DRAIN_CUT, format_args!("not drained within {max_wait}"));
        }
        drained
    }

    /// Stops the threads at once and waits for them to end. Calls in flight are aborted.
    pub async fn stop(self) {
        self.in_flight.start_drain();
        self.caller_server.stop(false).await;
        self.dispatch.send(DispatchWork::Stop);
        let join_task = tokio::task::spawn_blocking(move || {
            for thread in self.threads {
                // An error means that the thread panicked; its panic has already been printed.
                let _ = thread.join();
            }
        });
        let _ = join_task.await;
    }
}
