//! Randomized soak test of a fleet of real node processes: injects faults and checks the guarantees
//! of the mesh from what callers and instances observe.

use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fleet::HOST;
use super::fleet::MeshFleet;
use super::fleet::ORDER_PATH;
use super::fleet::READ_PATH;
use super::instance::Behaviour;
use super::instance::InstanceStandin;
use super::instance::response_body;
use super::kept_connection::KeptConnection;
use super::kept_connection::KeptResponse;
use super::store::StoreFaults;
use crate::http::Request;
use crate::server::lock;
use crate::wait;

/// Deadline of the callers' requests.
const REQUEST_DEADLINE: Duration = Duration::from_millis(1_000);

/// Time after its deadline within which a caller must have its response: half a second, as
/// required.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Time after a fault during which the affected node need not meet the time limits: 3 s, as
/// required.
const DISTURBANCE_WINDOW: Duration = Duration::from_secs(3);

/// Time from SIGTERM within which a process must end, as required.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Time for which an instance may still receive requests after its node has acknowledged that it
/// drains.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);

/// Time after the last fault within which the fleet must serve again: 15 s, as required.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Kinds of faults that are planned work: stops of nodes, reloads, departures of instances and changes of the
/// configuration.
const PLANNED_KINDS: [u32; 5] = [1, 1, 3, 11, 13];

/// Size, duration and seed of a soak test.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Number of callers.
    pub callers: usize,
    /// Whether only planned work is done: stops and starts of nodes, reloads, changes of the configuration
    /// and departures of instances. No request may be lost then.
    pub planned_only: bool,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 5,
            fault_duration: Duration::from_secs(10),
            callers: 10,
            planned_only: false,
        }
    }
}

/// Result of a soak test.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests with status 200, that is, a response of an instance.
    pub served: u64,
    /// Requests refused as "not run".
    pub refused: u64,
    /// Injected faults and restarts, in order.
    pub faults: Vec<String>,
    /// Descriptions of violated guarantees; empty when the test passed.
    pub violations: Vec<String>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} sent, {} served, {} refused", self.sent, self.served, self.refused)?;
        writeln!(f, "faults: {}", self.faults.join("; "))?;
        self.violations.iter().try_for_each(|v| writeln!(f, "BROKEN {v}"))
    }
}

/// Result of an order, as far as its caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderResult {
    /// The order was refused as "not run".
    NotRun,
    /// Any other result: the order may have run.
    MayHaveRun,
}

/// What callers observe, and the violations found so far.
struct Monitor {
    /// For each node, the end of the last known disturbance.
    disturbed_until: Vec<Mutex<Instant>>,
    /// Result of each order, by request id.
    orders: Mutex<HashMap<String, OrderResult>>,
    /// Requests on kept connections that ended without an answer, with the node and the time since they
    /// were sent.
    unanswered: Mutex<Vec<(String, usize, Duration)>>,
    violations: Mutex<Vec<String>>,
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    finished: AtomicBool,
}

impl Monitor {
    fn report_violation(&self, description: String) {
        lock(&self.violations).push(description);
    }

    fn record_disturbance(&self, node: usize) {
        self.record_disturbance_for(node, Duration::ZERO);
    }

    /// Records that a fault disturbs the node from now on for `duration`.
    fn record_disturbance_for(&self, node: usize, duration: Duration) {
        let mut disturbed_until = lock(&self.disturbed_until[node]);
        *disturbed_until = (*disturbed_until).max(Instant::now() + duration);
    }

    /// Whether the last disturbance of the node ended more than [`DISTURBANCE_WINDOW`] before
    /// `since`.
    fn is_undisturbed(&self, node: usize, since: Instant) -> bool {
        let disturbed_until = *lock(&self.disturbed_until[node]);
        disturbed_until + DISTURBANCE_WINDOW < since
    }
}

/// Runs a soak test with the given node program. Settings are written to `folder`, and after a
/// violation also the logs of the nodes.
pub fn run(program: &Path, folder: &Path, options: &SoakOptions) -> eyre::Result<SoakReport> {
    let service_time = Duration::from_millis(15);
    let mut fleet = MeshFleet::start(program, folder, options.nodes, service_time)?;
    // A disturbance that ended this long ago lets each node count as undisturbed from the start.
    let undisturbed = Instant::now() - DISTURBANCE_WINDOW;
    let monitor = Monitor {
        disturbed_until: (0..options.nodes).map(|_| Mutex::new(undisturbed)).collect(),
        orders: Mutex::default(),
        unanswered: Mutex::default(),
        violations: Mutex::default(),
        sent: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        finished: AtomicBool::new(false),
    };
    let addresses: Vec<_> = fleet.nodes.iter().map(|n| n.callers).collect();
    let metrics: Vec<_> = fleet.nodes.iter().map(|n| n.metrics).collect();
    let mut injector = FaultInjector::new(options, service_time);
    thread::scope(|scope| -> eyre::Result<()> {
        for caller in 0..options.callers {
            let (monitor, addresses) = (&monitor, &addresses);
            let seed = options.seed.wrapping_mul(1_000).wrapping_add(caller as u64);
            scope.spawn(move || run_caller(monitor, addresses, caller, seed));
            scope.spawn(move || {
                let node = caller % addresses.len();
                run_keeping_caller(monitor, addresses[node], node, caller, !seed)
            });
        }
        scope.spawn(|| check_versions(&monitor, &metrics));
        let injection_result =
            inject_faults(&mut fleet, &mut injector, &monitor, options.fault_duration);
        let recovery_result =
            injection_result.and_then(|()| recover(&mut fleet, &monitor, &mut injector));
        monitor.finished.store(true, Ordering::SeqCst);
        recovery_result
    })?;
    check_executions(&fleet, &monitor, &injector);
    if options.planned_only {
        check_unanswered(&fleet, &monitor);
    }
    let report = SoakReport {
        sent: monitor.sent.load(Ordering::SeqCst),
        served: monitor.served.load(Ordering::SeqCst),
        refused: monitor.refused.load(Ordering::SeqCst),
        faults: injector.fault_log,
        violations: std::mem::take(&mut *lock(&monitor.violations)),
    };
    if !report.violations.is_empty() {
        for node in &fleet.nodes {
            let log = folder.join(format!("{}.log", node.name));
            std::fs::write(log, node.log().join("\n"))?;
        }
    }
    Ok(report)
}

fn run_caller(monitor: &Monitor, addresses: &[std::net::SocketAddr], caller: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sent_requests = 0;
    while !monitor.finished.load(Ordering::SeqCst) {
        sent_requests += 1;
        let node = rng.random_range(0..addresses.len());
        let is_order = rng.random_bool(0.4);
        let id = format!("s{caller}-{sent_requests}");
        let (method, path) = if is_order { ("POST", ORDER_PATH) } else { ("GET", READ_PATH) };
        let sent_at = Instant::now();
        monitor.sent.fetch_add(1, Ordering::SeqCst);
        let mut request = Request::new(method, format!("http://{}{path}", addresses[node]))
            .header("Host", HOST)
            .header("Request-Id", id.clone())
            .header("Deadline-Ms", REQUEST_DEADLINE.as_millis().to_string())
            .timeout(REQUEST_DEADLINE + Duration::from_secs(2));
        if is_order {
            let bytes = if rng.random_bool(0.1) { 60_000 } else { 500 };
            request = request.body(vec![b'x'; bytes]);
        }
        let response = request.send();
        let elapsed = sent_at.elapsed();
        let mut result = OrderResult::MayHaveRun;
        match &response {
            Ok(r) if r.status == 200 => {
                monitor.served.fetch_add(1, Ordering::SeqCst);
                let instance = r.header("response-signature").and_then(|s| s.strip_prefix("s."));
                let expected = instance.map(|i| response_body(&id, i));
                if expected.as_deref().map(str::as_bytes) != Some(&r.body[..]) {
                    monitor.report_violation(format!("{id}: response of another request: {r:?}"));
                }
            }
            Ok(r) if matches!(r.status, 408 | 421 | 429 | 503) => {
                monitor.refused.fetch_add(1, Ordering::SeqCst);
                result = OrderResult::NotRun;
            }
            Ok(r) if matches!(r.status, 500 | 502 | 504) => {}
            Ok(r) => monitor.report_violation(format!("{id}: unexpected status {}", r.status)),
            Err(e) if monitor.is_undisturbed(node, sent_at) => {
                monitor
                    .report_violation(format!("{id}: no response of undisturbed host-{node}: {e}"));
            }
            Err(_) => {}
        }
        if elapsed > REQUEST_DEADLINE + RESPONSE_SLACK && monitor.is_undisturbed(node, sent_at) {
            monitor.report_violation(format!(
                "{id}: response after {} ms at undisturbed host-{node}",
                elapsed.as_millis()
            ));
        }
        if is_order {
            lock(&monitor.orders).insert(id, result);
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..20)));
    }
}

/// Sends requests to one node on connections that it uses until the node closes them.
fn run_keeping_caller(
    monitor: &Monitor,
    address: std::net::SocketAddr,
    node: usize,
    caller: usize,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sent_requests = 0;
    let mut conn: Option<KeptConnection> = None;
    while !monitor.finished.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.random_range(0..40)));
        let Some(open_conn) = conn.as_mut() else {
            conn = KeptConnection::open(address, REQUEST_DEADLINE + RESPONSE_SLACK).ok();
            continue;
        };
        sent_requests += 1;
        let id = format!("k{caller}-{sent_requests}");
        let body_bytes = match rng.random_range(0..10) {
            0..6 => None,
            6..9 => Some(500),
            _ => Some(60_000),
        };
        let (method, path) =
            if body_bytes.is_some() { ("POST", ORDER_PATH) } else { ("GET", READ_PATH) };
        let deadline_ms = REQUEST_DEADLINE.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
             Content-Length: {}\r\n\r\n",
            body_bytes.unwrap_or(0)
        );
        let sent_at = Instant::now();
        monitor.sent.fetch_add(1, Ordering::SeqCst);
        let mut result = OrderResult::MayHaveRun;
        match open_conn.exchange(&head, &vec![b'x'; body_bytes.unwrap_or(0)]) {
            Ok(KeptResponse { status, closes }) => {
                match status {
                    200 => drop(monitor.served.fetch_add(1, Ordering::SeqCst)),
                    408 | 421 | 429 | 503 => {
                        monitor.refused.fetch_add(1, Ordering::SeqCst);
                        result = OrderResult::NotRun;
                    }
                    _ => {}
                }
                if closes {
                    conn = None;
                }
            }
            Err(_) => {
                conn = None;
                lock(&monitor.unanswered).push((id.clone(), node, sent_at.elapsed()));
            }
        }
        if body_bytes.is_some() {
            lock(&monitor.orders).insert(id, result);
        }
    }
}

/// Checks that no request was executed and then ended without an answer.
fn check_unanswered(fleet: &MeshFleet, monitor: &Monitor) {
    for (id, node, elapsed) in lock(&monitor.unanswered).iter() {
        if fleet.execution_count(id) > 0 {
            monitor.report_violation(format!(
                "{id}: executed, but host-{node} ended its connection without an answer after {} ms",
                elapsed.as_millis()
            ));
        }
    }
}

/// Checks that no node returns to an older configuration within the lifetime of its process.
fn check_versions(monitor: &Monitor, metrics: &[std::net::SocketAddr]) {
    let mut last_versions = vec![(0.0, 0.0); metrics.len()];
    while !monitor.finished.load(Ordering::SeqCst) {
        for (node, address) in metrics.iter().enumerate() {
            let request = Request::new("GET", format!("http://{address}/metrics"));
            let Ok(page) = request.timeout(Duration::from_millis(500)).send() else { continue };
            let text = String::from_utf8_lossy(&page.body).into_owned();
            let value = |name: &str| -> Option<f64> {
                text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?.parse().ok()
            };
            let Some(version) = value("ibis_config_version") else { continue };
            let started_unix_ms = value("ibis_started_unix_ms").unwrap_or(0.0);
            let (previous_version, previous_start) = last_versions[node];
            if started_unix_ms == previous_start && version < previous_version {
                monitor.report_violation(format!("host-{node}: configuration version went back from {previous_version} to {version}"));
            }
            last_versions[node] = (version, started_unix_ms);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Injects faults and keeps the state that their ends and the final checks need.
struct FaultInjector {
    rng: SmallRng,
    nodes: usize,
    service_time: Duration,
    planned_only: bool,
    fault_log: Vec<String>,
    /// Draining instances, with the time at which their node acknowledged the draining.
    drained_instances: Vec<(usize, Instant)>,
    /// Index of the current instance of each node.
    instance_of_node: Vec<usize>,
    /// Whether each node is down, paused or stopping. Such a node gets no further signal, because
    /// the signal would test nothing.
    unavailable_nodes: Vec<bool>,
}

impl FaultInjector {
    fn new(options: &SoakOptions, service_time: Duration) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed);
        let nodes = options.nodes;
        let (fault_log, drained_instances) = (Vec::new(), Vec::new());
        Self {
            rng,
            nodes,
            service_time,
            planned_only: options.planned_only,
            fault_log,
            drained_instances,
            instance_of_node: (0..nodes).collect(),
            unavailable_nodes: vec![false; nodes],
        }
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes)
    }
}

/// Action that ends an injected fault; the number is the index of the node or instance.
enum FaultEnd {
    StartNode(usize),
    ResumeNode(usize),
    ResetRelays(usize),
    RestoreStore,
    RestoreInstance(usize),
}

fn inject_faults(
    fleet: &mut MeshFleet,
    injector: &mut FaultInjector,
    monitor: &Monitor,
    duration: Duration,
) -> eyre::Result<()> {
    let end = Instant::now() + duration;
    let mut pending_ends: Vec<(Instant, FaultEnd)> = Vec::new();
    while Instant::now() < end {
        for i in (0..pending_ends.len()).rev() {
            if pending_ends[i].0 <= Instant::now() {
                let (due_at, action) = pending_ends.swap_remove(i);
                end_fault(fleet, injector, monitor, action, due_at)?;
            }
        }
        // Faults overlap: the next one does not wait for the end of the previous one.
        if let Some((duration, action)) = inject_random_fault(fleet, injector, monitor)? {
            pending_ends.push((Instant::now() + duration, action));
        }
        let pause_ms = injector.rng.random_range(100..900);
        thread::sleep(Duration::from_millis(pause_ms));
    }
    // A node that is down counts as disturbed only for a while, so none waits for a later end.
    pending_ends.sort_by_key(|(due_at, _)| *due_at);
    pending_ends
        .into_iter()
        .try_for_each(|(due_at, action)| end_fault(fleet, injector, monitor, action, due_at))
}

/// Injects one random fault. Returns the action that ends it and the time after which it is due;
/// `None` if nothing has to be ended.
fn inject_random_fault(
    fleet: &mut MeshFleet,
    injector: &mut FaultInjector,
    monitor: &Monitor,
) -> eyre::Result<Option<(Duration, FaultEnd)>> {
    let node = injector.random_node();
    let fault_duration = Duration::from_millis(injector.rng.random_range(200..3_000));
    let fault_kind = if injector.planned_only {
        PLANNED_KINDS[injector.rng.random_range(0..PLANNED_KINDS.len())]
    } else {
        injector.rng.random_range(0..14)
    };
    let mut log = |text: String| injector.fault_log.push(text);
    let is_available = !injector.unavailable_nodes[node];
    Ok(match fault_kind {
        0 if is_available => {
            log(format!("kill host-{node}"));
            injector.unavailable_nodes[node] = true;
            monitor.record_disturbance_for(node, fault_duration);
            fleet.kill(node)?;
            Some((fault_duration / 3, FaultEnd::StartNode(node)))
        }
        1 if is_available => {
            log(format!("SIGTERM host-{node}"));
            injector.unavailable_nodes[node] = true;
            monitor.record_disturbance_for(node, GRACE_PERIOD);
            fleet.signal(node, "TERM")?;
            Some((GRACE_PERIOD, FaultEnd::StartNode(node)))
        }
        2 if is_available => {
            log(format!("pause host-{node}"));
            injector.unavailable_nodes[node] = true;
            monitor.record_disturbance_for(node, fault_duration);
            fleet.signal(node, "STOP")?;
            Some((fault_duration, FaultEnd::ResumeNode(node)))
        }
        3 if is_available => {
            log(format!("SIGHUP host-{node}"));
            fleet.signal(node, "HUP")?;
            None
        }
        4 => {
            log(format!("store refuses host-{node}"));
            fleet.nodes[node].store_relay.change_rules(|r| r.refuse_new = true);
            fleet.nodes[node].store_relay.reset_existing();
            Some((fault_duration, FaultEnd::ResetRelays(node)))
        }
        5 => {
            log(format!("store silent for host-{node}"));
            fleet.nodes[node].store_relay.silence_existing();
            None
        }
        6 => {
            log(format!("peers of host-{node} reset"));
            (0..injector.nodes).for_each(|n| monitor.record_disturbance(n));
            fleet.nodes[node].peer_relay.reset_existing();
            None
        }
        7 => {
            log(format!("peers of host-{node} silent"));
            (0..injector.nodes).for_each(|n| monitor.record_disturbance(n));
            fleet.nodes[node].peer_relay.silence_existing();
            None
        }
        8 => {
            log(format!("peers of host-{node} slow"));
            (0..injector.nodes).for_each(|n| monitor.record_disturbance(n));
            fleet.nodes[node].peer_relay.change_rules(|r| r.latency_ms = (5, 60));
            Some((fault_duration, FaultEnd::ResetRelays(node)))
        }
        9 => {
            let instance = injector.instance_of_node[node];
            log(format!("connections of i-{instance} silent"));
            monitor.record_disturbance(node);
            fleet.instances[instance].relay.silence_existing();
            None
        }
        10 => {
            let faulty_behaviours = [
                Behaviour::LoseAnswer,
                Behaviour::Silent,
                Behaviour::ExtraAnswer,
                Behaviour::CutAnswer,
                Behaviour::Reject,
                Behaviour::Fail,
            ];
            let behaviour =
                faulty_behaviours[injector.rng.random_range(0..faulty_behaviours.len())];
            let instance = injector.instance_of_node[node];
            injector.fault_log.push(format!("i-{instance} {behaviour:?}"));
            fleet.instances[instance].set_behaviour(behaviour);
            Some((fault_duration, FaultEnd::RestoreInstance(instance)))
        }
        11 => {
            let instance = injector.instance_of_node[node];
            if !injector.planned_only && injector.rng.random_bool(0.5) {
                injector.fault_log.push(format!("i-{instance} crashes"));
                fleet.instances[instance].crash();
            } else {
                injector.fault_log.push(format!("i-{instance} leaves"));
                if let Some(acknowledged_at) = fleet.instances[instance].drain() {
                    injector.drained_instances.push((instance, acknowledged_at));
                }
            }
            injector.instance_of_node[node] = fleet.instances.len();
            fleet.start_instance(node, "v1", injector.service_time)?;
            None
        }
        12 => {
            let lose_answers = injector.rng.random_bool(0.5);
            injector.fault_log.push(format!("store lose_answers={lose_answers}"));
            fleet.store.set_faults(StoreFaults { down: !lose_answers, lose_answers });
            fleet.store.discard_history();
            Some((fault_duration, FaultEnd::RestoreStore))
        }
        13 => {
            for _ in 0..injector.rng.random_range(1..6) {
                fleet.write_configuration(1_500);
                thread::sleep(Duration::from_millis(30));
            }
            injector.fault_log.push(format!("configuration {}", fleet.config_version()));
            None
        }
        _ => None,
    })
}

/// Performs the action that ends a fault. `due_at` is the time at which the fault was to end.
fn end_fault(
    fleet: &mut MeshFleet,
    injector: &mut FaultInjector,
    monitor: &Monitor,
    action: FaultEnd,
    due_at: Instant,
) -> eyre::Result<()> {
    match action {
        FaultEnd::StartNode(node) => {
            monitor.record_disturbance(node);
            if fleet.nodes[node].is_running() {
                // The fault injection may end before the grace period does.
                let remaining = due_at.saturating_duration_since(Instant::now());
                if fleet.wait_ended(node, remaining + Duration::from_millis(500)).is_err() {
                    monitor.report_violation(format!(
                        "host-{node} did not end within its grace period"
                    ));
                    fleet.kill(node)?;
                }
            }
            fleet.start_node(node)?;
            injector.unavailable_nodes[node] = false;
            monitor.record_disturbance(node);
            injector.fault_log.push(format!("start host-{node}"));
        }
        FaultEnd::ResumeNode(node) => {
            monitor.record_disturbance(node);
            injector.unavailable_nodes[node] = false;
            fleet.signal(node, "CONT")?;
        }
        FaultEnd::ResetRelays(node) => {
            fleet.nodes[node].store_relay.set_rules(Default::default());
            fleet.nodes[node].peer_relay.set_rules(Default::default());
        }
        FaultEnd::RestoreStore => fleet.store.set_faults(StoreFaults::default()),
        FaultEnd::RestoreInstance(instance) => {
            fleet.instances[instance].set_behaviour(Behaviour::Healthy)
        }
    }
    Ok(())
}

/// Restarts nodes that are down, then checks that the fleet serves and that every node applies a
/// new configuration.
fn recover(
    fleet: &mut MeshFleet,
    monitor: &Monitor,
    injector: &mut FaultInjector,
) -> eyre::Result<()> {
    for node in 0..injector.nodes {
        if !fleet.nodes[node].is_running() {
            fleet.start_node(node)?;
        }
    }
    if let Err(e) = fleet.wait_serving(RECOVERY_TIMEOUT) {
        monitor.report_violation(format!("the fleet did not recover: {e}"));
    }
    fleet.write_configuration(1_500);
    let newest = fleet.config_version() as f64;
    for node in &fleet.nodes {
        let name = format!("{} to apply version {newest}", node.name);
        let apply_result = wait::until_true(&name, Duration::from_secs(2), || {
            node.metric("ibis_config_version") == Some(newest)
        });
        if let Err(e) = apply_result {
            monitor.report_violation(e.to_string());
        }
    }
    Ok(())
}

/// Checks the executions of the instances against the responses to the callers.
fn check_executions(fleet: &MeshFleet, monitor: &Monitor, injector: &FaultInjector) {
    let mut execution_counts: HashMap<String, usize> = HashMap::new();
    for execution in fleet.instances.iter().flat_map(InstanceStandin::executions) {
        *execution_counts.entry(execution.request_id).or_default() += 1;
    }
    for (id, result) in lock(&monitor.orders).iter() {
        let executions = execution_counts.get(id).copied().unwrap_or(0);
        if executions > 1 {
            monitor.report_violation(format!("{id} ran {executions} times"));
        }
        if executions > 0 && *result == OrderResult::NotRun {
            monitor.report_violation(format!("{id} ran, but was refused as \"not run\""));
        }
    }
    for (instance, acknowledged_at) in &injector.drained_instances {
        let late = fleet.instances[*instance]
            .executions()
            .into_iter()
            .filter(|execution| execution.started_at > *acknowledged_at + DRAIN_PERIOD);
        let late_count = late.count();
        if late_count > 0 {
            monitor.report_violation(format!(
                "i-{instance} received {late_count} requests after it had drained"
            ));
        }
    }
}
