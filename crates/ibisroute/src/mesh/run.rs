//! Start, settings reload and graceful stop of a node.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use eyre::WrapErr;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::decision_log::DecisionLog;
use super::decision_log::LineClass;
use super::frames::NodeDescriptor;
use super::graceful_stop::GracefulStop;
use super::http_server;
use super::link;
use super::listeners::Heartbeats;
use super::listeners::Metrics;
use super::listeners::Readiness;
use super::mesh_settings::MeshSettings;
use super::node::Node;
use super::proxy::Proxy;
use super::socket;
use crate::events::mesh as codes;
use crate::node::run::StopTrigger;
use crate::node::run::drain_on_stdin_eof;
use crate::platform::client::HttpPlatform;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Minimum time for which the node keeps serving after the stop signal; half of the grace period if that
/// is shorter. The platform stops sending callers to a node after two failed readiness checks, one per
/// second.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);

/// Time without a request after which a stopping node assumes that no caller will send another one.
/// Failed readiness checks do not mean that callers have stopped: the platform keeps routing callers to
/// nodes that are not ready while too few nodes of the data centre are ready.
const NO_CALLERS_AFTER: Millis = Millis(500);

/// Time for which a stopping node that has become idle refuses requests before it exits. A request that
/// arrives just before the exit is then refused instead of interrupted.
const FINAL_REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Interval at which a stopping node checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a stopping node checks whether the responses to the requests that it has given up are
/// written.
const RESPONSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which the settings file is checked for changes; it may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bounds of the buckets of the latency histogram, in seconds. They span the latency objectives of
/// all routes.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Runs a node until SIGTERM or SIGINT, or until the end of stdin if `stop_trigger` includes it.
pub fn run(file: &Path, cfg: MeshSettings, stop_trigger: StopTrigger) -> eyre::Result<()> {
    let stdin_end = Arc::new(Notify::new());
    if stop_trigger == StopTrigger::SignalOrStdinEnd {
        drain_on_stdin_eof(stdin_end.clone())?;
    }
    actix_rt::System::new().block_on(serve(file.to_path_buf(), cfg, stdin_end))
}

async fn serve(file: PathBuf, cfg: MeshSettings, stdin_end: Arc<Notify>) -> eyre::Result<()> {
    let log = DecisionLog::start(cfg.log);
    let latency = Matcher::Full("ibis_request_seconds".to_string());
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(latency, &LATENCY_BUCKETS)
        .wrap_err("metrics buckets")?
        .install_recorder()
        .wrap_err("metrics recorder")?;
    let store = Rc::new(HttpPlatform::new(cfg.store.clone()));
    let listen = cfg.listen.clone();
    let grace = Duration::from_secs_f64(cfg.bounds.grace_s);
    let node = Node::new(cfg, store, log, rand::random());
    let callers = bind(listen.callers, "callers")?;
    let targets = bind(listen.targets, "targets")?;
    let ready = bind(listen.ready, "ready")?;
    let peers = bind(listen.peers, "peers")?;
    let metrics = bind(listen.metrics, "metrics")?;
    let fields = [
        ("node", node.descriptor.node.as_str().into()),
        ("service", node.cfg.service.as_str().into()),
        ("callers", listen.callers.to_string().into()),
        ("peers", listen.peers.to_string().into()),
        ("program", env!("CARGO_PKG_VERSION").into()),
    ];
    node.log.line(node.clock.now(), LineClass::Other, &codes::STARTED, &fields);
    metrics::gauge!("ibis_started_unix_ms").set(UnixMillis::now().0 as f64);
    let proxy = Rc::new(Proxy { node: node.clone() });
    let heartbeats = Rc::new(Heartbeats { node: node.clone() });
    let readiness = Rc::new(Readiness { node: node.clone() });
    let metrics_handler = Rc::new(Metrics { recorder, node: node.clone() });
    actix_rt::spawn(http_server::serve(callers, proxy));
    actix_rt::spawn(http_server::serve(targets, heartbeats));
    actix_rt::spawn(http_server::serve(ready, readiness));
    actix_rt::spawn(http_server::serve(metrics, metrics_handler));
    actix_rt::spawn(accept_peers(peers, node.clone()));
    actix_rt::spawn(node.clone().follow_store());
    actix_rt::spawn(node.clone().send_statuses());
    actix_rt::spawn(node.clone().drive_moves());
    let target = node.target.clone();
    actix_rt::spawn(async move { target.watch_queue().await });
    actix_rt::spawn(watch_settings(file, node.clone()));
    let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = stdin_end.notified() => {}
    }
    stop_gracefully(&node, grace).await;
    Ok(())
}

fn bind(address: std::net::SocketAddr, name: &str) -> eyre::Result<TcpListener> {
    socket::listen(address).wrap_err_with(|| format!("listen.{name}: {address}"))
}

async fn accept_peers(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when the process has no free file descriptors. The retry waits for other
            // connections to close, which frees some.
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let node = node.clone();
        actix_rt::spawn(async move {
            let handler = node.clone();
            let on_hello = |peer: &NodeDescriptor, known_count: usize| {
                node.discover_peer(peer);
                node.sent_status.borrow_mut().forget_peer(&peer.node);
                node.greeting(known_count)
            };
            // Twice the peer timeout, because a peer that knows more nodes sends its status less
            // frequently than this node expects.
            let silence_timeout = Millis(2 * node.peer_timeout().0);
            // The error is ignored: after a connection failure, the peer connects again and decides on
            // retries of the calls in flight.
            let _ =
                link::accept(stream, node.descriptor.clone(), on_hello, handler, silence_timeout)
                    .await;
        });
    }
}

/// Stops sending requests to the target at once, but serves callers at least until the platform has seen
/// failed readiness checks.
async fn stop_gracefully(node: &Rc<Node>, grace: Duration) {
    let began = Instant::now();
    let requests_before = node.request_count.get();
    let stop = GracefulStop::new(node.clock.now(), grace.into());
    node.graceful_stop.set(Some(stop));
    node.leaving.set(true);
    node.target.stop();
    node.status_changed.notify_one();
    let fields = [("in_flight", node.in_flight.get().into())];
    node.log.line(node.clock.now(), LineClass::Other, &codes::STOPPING, &fields);
    let readiness_delay_end = began + READINESS_DELAY.min(grace / 2);
    sleep_until(readiness_delay_end).await;
    let is_idle = || {
        let no_callers = node.clock.now().since(node.last_request_at.get()) >= NO_CALLERS_AFTER;
        no_callers && node.in_flight.get() == 0 && node.target.open_calls() == 0
    };
    let mut exit_at = None;
    while node.clock.now() < stop.end() {
        let now = Instant::now();
        if !is_idle() {
            exit_at = None;
        } else if now >= *exit_at.get_or_insert(now + FINAL_REFUSAL_TIME) {
            break;
        }
        node.refusing_requests.set(exit_at.is_some());
        sleep(IDLE_CHECK_INTERVAL).await;
    }
    let fields = [
        ("cut_requests", node.in_flight.get().into()),
        ("cut_calls", node.target.open_calls().into()),
        ("requests_since_stop", (node.request_count.get() - requests_before).into()),
    ];
    node.refusing_requests.set(true);
    node.give_up_requests();
    while node.in_flight.get() > 0 && node.clock.now() < stop.exit_by() {
        sleep(RESPONSE_CHECK_INTERVAL).await;
    }
    node.log.line(node.clock.now(), LineClass::Other, &codes::STOPPED, &fields);
    node.log.stop();
}

/// Reloads the settings after SIGHUP and when the file changes. Invalid settings are rejected as a whole.
/// Only the retry budget takes effect at once, see [`Node::apply_reloaded_settings`]; after a change of
/// addresses or names, the platform restarts the node.
async fn watch_settings(file: PathBuf, node: Rc<Node>) {
    let Ok(mut hup) = signal(SignalKind::hangup()) else { return };
    let mut last_modified = modification_time(&file);
    loop {
        let signalled = tokio::select! {
            received = hup.recv() => received.is_some(),
            () = sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let modified = modification_time(&file);
        if modified == last_modified && !signalled {
            continue;
        }
        last_modified = modified;
        match MeshSettings::load(&file) {
            Ok(cfg) => {
                let fields = [
                    ("signal", signalled.into()),
                    ("restart_needed", (cfg.listen != node.cfg.listen).into()),
                ];
                node.apply_reloaded_settings(cfg);
                node.log.line(node.clock.now(), LineClass::Other, &codes::RELOADED, &fields);
            }
            Err(e) => {
                let fields = [("error", e.to_string().into())];
                node.log.line(node.clock.now(), LineClass::Other, &codes::RELOAD_REFUSED, &fields);
            }
        }
    }
}

fn modification_time(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
