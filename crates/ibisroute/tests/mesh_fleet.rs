//! End-to-end tests of real node processes, each next to a stand-in of a target, with a stand-in of the
//! store of the external platform.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use standins::http::Response;
use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::HOST;
use standins::mesh::fleet::MeshFleet;
use standins::mesh::fleet::MeshNode;
use standins::mesh::fleet::ORDER_PATH;
use standins::mesh::fleet::READ_PATH;
use standins::mesh::instance::Behaviour;
use standins::mesh::instance::response_body;
use standins::mesh::store::StoreFaults;
use standins::wait;

use crate::common::mesh::TempFolder;

/// Service time of a request at an instance.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time that a caller of a route with a long timeout waits for a response.
const LONG_CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Required maximum time to apply a configuration, a drain or a rollback.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Timeout of the wait for a log line of a node; it needs no network.
const WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Required maximum time until the running requests of a disconnected caller have released their slots
/// and its queued requests have left the queue.
const DISCONNECT_BOUND: Duration = Duration::from_millis(500);

/// Time within which each node has sent its status to the others; statuses are 500 ms apart.
const STATUS_EXCHANGE: Duration = Duration::from_secs(1);

/// Starts `count` nodes, each next to an instance; `name` is part of the path of the settings folder.
fn start_fleet(name: &str, count: usize) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(
        name,
        FleetOptions { count, service_time: SERVICE_TIME, ..FleetOptions::default() },
    )
}

/// Timeout below the service time: a request that fails shows that the configuration is in effect.
const SHORT_TIMEOUT_MS: u64 = 12;

/// Returns whether the short timeout is in effect on a node.
fn applies_short_timeout(node: &MeshNode) -> bool {
    let probe = node.request("GET", READ_PATH, "probe", CALLER_TIMEOUT);
    probe.is_some_and(|r| matches!(r.status, 503 | 504))
}

/// Checks that a response is complete and belongs to the request; returns the instance that it names.
fn verified_instance(response: &Response, id: &str) -> String {
    let signature = response.header("response-signature").expect("a signature");
    let instance = signature.strip_prefix("s.").expect("the signature of a stand-in").to_string();
    assert_eq!(String::from_utf8_lossy(&response.body), response_body(id, &instance));
    assert_eq!(response.header("request-id"), Some(id));
    instance
}

/// Guards against requests that do not reach an instance through another node, wrong headers at the
/// instance, and more concurrent requests than slots.
#[test]
fn requests_reach_all_instances() {
    let (fleet, _folder) = start_fleet("reach", 3);
    std::thread::scope(|scope| {
        for worker in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || {
                for n in 0..20 {
                    let id = format!("reach-{worker}-{n}");
                    let (method, path) =
                        if n % 3 == 0 { ("POST", ORDER_PATH) } else { ("GET", READ_PATH) };
                    let node = &fleet.nodes[worker % 3];
                    let response =
                        node.request(method, path, &id, CALLER_TIMEOUT).expect("a response");
                    assert_eq!(response.status, 200, "{id}");
                    verified_instance(&response, &id);
                    assert_eq!(fleet.execution_count(&id), 1, "{id}");
                }
            });
        }
    });
    for instance in &fleet.instances {
        let executions = instance.executions();
        assert!(!executions.is_empty(), "{} got nothing", instance.options().id);
        assert!(instance.peak_running() <= instance.options().slots);
        for execution in &executions {
            assert_eq!(execution.caller, "counter");
            let deadline_ms = execution.deadline_ms.expect("a deadline");
            assert!(
                deadline_ms <= CALLER_TIMEOUT.as_millis() as u64 && deadline_ms > 0,
                "{deadline_ms}"
            );
        }
    }
}

/// Guards against wrong statuses for an unknown route, a request without an id and a body above the
/// limit.
#[test]
fn invalid_requests_get_the_right_status() {
    let (fleet, _folder) = start_fleet("refusals", 1);
    let node = &fleet.nodes[0];
    let status = |path| node.request("GET", path, "x", CALLER_TIMEOUT).map(|r| r.status);
    assert_eq!(status("/nowhere/"), Some(404));
    let without_id =
        standins::http::Request::new("GET", format!("http://{}{READ_PATH}", node.callers))
            .header("Host", standins::mesh::fleet::HOST)
            .send()
            .expect("a response");
    assert_eq!(without_id.status, 400);
    let too_long =
        standins::http::Request::new("POST", format!("http://{}{ORDER_PATH}", node.callers))
            .header("Host", standins::mesh::fleet::HOST)
            .header("Request-Id", "long")
            .body(vec![0u8; 1_000_001])
            .send();
    assert_eq!(too_long.map(|r| r.status).ok(), Some(413));
}

/// Guards against a configuration that takes longer than [`APPLY_BOUND`] to take effect on some node.
#[test]
fn configuration_reaches_all_nodes_in_time() {
    let (mut fleet, _folder) = start_fleet("changes", 4);
    for _ in 0..5 {
        fleet.write_configuration(1_000);
    }
    let changed_at = Instant::now();
    fleet.write_configuration(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        let name = format!("{} to apply the change", node.name);
        wait::until_true(&name, APPLY_BOUND, || applies_short_timeout(node))
            .expect("in effect in time");
    }
    assert!(changed_at.elapsed() < APPLY_BOUND * 2);
}

/// Guards against a change that is too long to be pushed and does not reach the nodes that do not watch
/// the store. One node cannot connect to the store and must get the change from its peers.
#[test]
fn long_configuration_reaches_all_nodes() {
    let (mut fleet, _folder) = start_fleet("long", 4);
    fleet.nodes[3].store_relay.change_rules(|r| r.refuse_new = true);
    fleet.nodes[3].store_relay.reset_existing();
    for idle_route_count in [1_600, 800] {
        fleet.write_configuration_with_idle_routes(1_500, idle_route_count);
        let newest = fleet.config_version() as f64;
        for node in &fleet.nodes {
            let name = format!("{} to apply {idle_route_count} idle routes", node.name);
            wait::until_true(&name, APPLY_BOUND * 2, || {
                node.metric("ibis_config_version") == Some(newest)
            })
            .expect("in effect in time");
        }
    }
}

/// Guards against a node that reads a long row again for each peer that reports it, which saturates a
/// slow link for seconds.
#[test]
fn long_rows_are_read_once() {
    let (mut fleet, _folder) = start_fleet("rows", 5);
    // The first two nodes by name watch the store; this node reads it only when a peer reports a new
    // version.
    let reading_node = 4;
    fleet.nodes[reading_node].store_relay.change_rules(|r| r.latency_ms = (300, 300));
    let received = |fleet: &MeshFleet| {
        let name = "ibis_platform_bytes_total{direction=\"received\"}";
        fleet.nodes[reading_node].metric(name).unwrap_or(0.0)
    };
    let received_before = received(&fleet);
    fleet.write_configuration_with_idle_routes(1_500, 3_200);
    let newest = fleet.config_version() as f64;
    wait::until_true("the node to apply the change", APPLY_BOUND * 2, || {
        fleet.nodes[reading_node].metric("ibis_config_version") == Some(newest)
    })
    .expect("in effect in time");
    // In this time, the statuses of all peers arrive and report the row.
    std::thread::sleep(Duration::from_millis(1_500));
    let row_bytes = fleet.store.text("op", "config").expect("the row").len() as f64;
    let read_bytes = received(&fleet) - received_before;
    // The store encodes values in base64, which takes four bytes for three; a second read would double
    // the number of bytes.
    assert!(read_bytes < row_bytes * 1.5, "{read_bytes} bytes were read for a row of {row_bytes}");
}

/// Guards against large bodies that are truncated, mixed up, lost or sent twice when nodes forward many
/// of them concurrently.
#[test]
fn concurrent_uploads_arrive_complete() {
    let (fleet, _folder) = start_fleet("uploads", 3);
    std::thread::scope(|scope| {
        for worker in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || {
                let bytes = 100_000 + worker * 50_000;
                let id = format!("upload-{worker}");
                let node = &fleet.nodes[worker % 3];
                let response = node.upload(&id, bytes, CALLER_TIMEOUT * 3).expect("a response");
                assert_eq!(response.status, 200, "{id}");
                let executions = fleet.instances.iter().flat_map(|i| i.executions());
                let sizes: Vec<usize> =
                    executions.filter(|r| r.request_id == id).map(|r| r.body_bytes).collect();
                assert_eq!(sizes, [bytes], "{id}");
            });
        }
    });
}

/// Guards against unsafe requests that run twice, and against responses that are delivered to the wrong
/// request, when an instance does not send its responses, repeats or truncates them, rejects requests or
/// fails.
#[test]
fn unsafe_requests_run_at_most_once() {
    let (fleet, _folder) = start_fleet("once", 3);
    for (round, behaviour) in [
        Behaviour::LoseAnswer,
        Behaviour::Silent,
        Behaviour::ExtraAnswer,
        Behaviour::CutAnswer,
        Behaviour::Reject,
        Behaviour::Fail,
    ]
    .into_iter()
    .enumerate()
    {
        fleet.instances[0].set_behaviour(behaviour);
        for n in 0..12 {
            let id = format!("once-{round}-{n}");
            let node = &fleet.nodes[n % 3];
            let started_at = Instant::now();
            let response = node.request("POST", ORDER_PATH, &id, CALLER_TIMEOUT);
            assert!(
                started_at.elapsed() < CALLER_TIMEOUT + Duration::from_millis(500),
                "{behaviour:?}"
            );
            let execution_count = fleet.execution_count(&id);
            assert!(execution_count <= 1, "{behaviour:?} {id}: ran {execution_count} times");
            let response = response.expect("a response, not a closed connection");
            match response.status {
                200 => drop(verified_instance(&response, &id)),
                429 | 503 => {
                    assert_eq!(execution_count, 0, "{behaviour:?} {id} was refused as not run");
                }
                500 | 502 | 504 => {}
                status => panic!("{behaviour:?}: status {status}"),
            }
        }
        fleet.instances[0].set_behaviour(Behaviour::Healthy);
    }
}

/// Guards against safe requests that fail because one instance loses its responses, although the others
/// are healthy.
#[test]
fn safe_requests_find_healthy_instances() {
    let (fleet, _folder) = start_fleet("healthy", 3);
    fleet.instances[1].set_behaviour(Behaviour::LoseAnswer);
    let mut served = 0;
    for n in 0..60 {
        let id = format!("healthy-{n}");
        let response = fleet.nodes[n % 3].request("GET", READ_PATH, &id, CALLER_TIMEOUT);
        served += u32::from(response.is_some_and(|r| r.status == 200));
    }
    assert!(served >= 57, "{served} of 60 served");
}

/// Sends a safe request and returns the connection without reading the response.
fn send_without_reading(node: &MeshNode, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.callers).expect("the node accepts");
    let head = format!(
        "GET {READ_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1400\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    stream
}

/// Guards against slots that stay occupied by disconnected callers, and against queued requests that
/// reach an instance after their callers have disconnected.
#[test]
fn requests_of_disconnected_callers_end() {
    let (fleet, _folder) = start_fleet("leave", 2);
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Silent));
    let slots: u32 = fleet.instances.iter().map(|i| i.options().slots).sum();
    let send = |name: &str, count: u32| -> Vec<TcpStream> {
        (0..count)
            .map(|n| send_without_reading(&fleet.nodes[n as usize % 2], &format!("{name}-{n}")))
            .collect()
    };
    let running_calls = send("running", slots);
    let all_running = || (0..slots).all(|n| fleet.execution_count(&format!("running-{n}")) > 0);
    wait::until_true("all slots to be taken", Duration::from_millis(500), all_running)
        .expect("taken");
    let waiting_calls = send("waiting", slots);
    std::thread::sleep(Duration::from_millis(100));
    drop((running_calls, waiting_calls));
    let disconnected_at = Instant::now();
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Healthy));
    // The deadline of the running calls is 1.4 s, so a slot that is free earlier was freed by the
    // disconnect.
    wait::until_true("a slot to be free", DISCONNECT_BOUND, || {
        let after = fleet.nodes[0].request("GET", READ_PATH, "after", CALLER_TIMEOUT);
        after.is_some_and(|r| r.status == 200)
    })
    .expect("free in time");
    std::thread::sleep(CALLER_TIMEOUT);
    let executions = fleet.instances.iter().flat_map(|i| i.executions());
    let late_by: Vec<Duration> = executions
        .filter(|r| {
            r.request_id.starts_with("waiting") && r.started_at > disconnected_at + DISCONNECT_BOUND
        })
        .map(|r| r.started_at - disconnected_at)
        .collect();
    assert!(
        late_by.is_empty(),
        "requests reached an instance {late_by:?} after their callers had disconnected"
    );
}

/// Guards against requests to an instance after its drain was acknowledged, and against an instance that
/// a late heartbeat restores.
#[test]
fn drained_instance_gets_no_requests() {
    let (fleet, _folder) = start_fleet("drained", 3);
    let acknowledged_at = fleet.instances[2].drain().expect("an acknowledgement");
    for n in 0..60 {
        let id = format!("drained-{n}");
        let response = fleet.nodes[n % 3].request("GET", READ_PATH, &id, CALLER_TIMEOUT);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    let late_count = fleet.instances[2]
        .executions()
        .into_iter()
        .filter(|r| r.started_at > acknowledged_at + SERVICE_TIME)
        .count();
    assert_eq!(late_count, 0);
}

/// Guards against a graceful stop that aborts requests, also when callers send requests until the process
/// has ended, and against a process that is still running after its grace period.
#[test]
fn graceful_stop_aborts_no_requests() {
    let (mut fleet, _folder) = start_fleet("stop", 3);
    std::thread::scope(|scope| {
        let fleet = &fleet;
        for worker in 0..6 {
            scope.spawn(move || {
                let until = Instant::now() + Duration::from_millis(4_500);
                let mut n = 0;
                while Instant::now() < until {
                    n += 1;
                    let id = format!("stop-{worker}-{n}");
                    let node = &fleet.nodes[worker % 3];
                    let status =
                        node.request("POST", ORDER_PATH, &id, CALLER_TIMEOUT).map(|r| r.status);
                    match status {
                        Some(200) => {}
                        // The stopping node refuses the last requests, then closes its port.
                        Some(503) | None if worker % 3 == 1 => {
                            assert_eq!(fleet.execution_count(&id), 0, "{id}: {status:?}");
                        }
                        status => panic!("{id}: {status:?}"),
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        std::thread::sleep(Duration::from_millis(300));
        fleet.signal(1, "TERM").expect("SIGTERM");
    });
    let code = fleet
        .wait_ended(1, Duration::from_secs(4))
        .expect("the process ends within its grace period");
    assert_eq!(code, Some(0));
}

/// Guards against a node that ends in the middle of its grace period although callers still send to it.
/// The platform keeps sending callers to a stopping node while too few other nodes are ready.
#[test]
fn stopping_node_serves_callers_that_remain() {
    let (fleet, _folder) = start_fleet("remain", 2);
    std::thread::sleep(STATUS_EXCHANGE);
    fleet.signal(0, "TERM").expect("SIGTERM");
    let signalled_at = Instant::now();
    let mut n = 0;
    // The grace period is 6 s; the requests of these callers end within 1.2 s.
    while signalled_at.elapsed() < Duration::from_millis(4_000) {
        n += 1;
        let id = format!("remain-{n}");
        let status =
            fleet.nodes[0].request("GET", READ_PATH, &id, CALLER_TIMEOUT).map(|r| r.status);
        assert_eq!(status, Some(200), "{id} after {:?}", signalled_at.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a stopping node that accepts a request whose deadline is after the end of the grace
/// period, so that the request may be aborted.
#[test]
fn stopping_node_refuses_long_requests() {
    let (mut fleet, _folder) = start_fleet("long-stop", 2);
    fleet.write_configuration(LONG_CALLER_TIMEOUT.as_millis() as u64);
    let version = format!("\"version\":{}", fleet.config_version());
    wait::until_true("the configuration to take effect", APPLY_BOUND, || {
        fleet.nodes[0].log().iter().any(|l| l.contains(&version))
    })
    .expect("in effect");
    std::thread::sleep(STATUS_EXCHANGE);
    fleet.signal(0, "TERM").expect("SIGTERM");
    let signalled_at = Instant::now();
    let mut n = 0;
    let mut status_for_timeout = |caller_timeout| {
        n += 1;
        let response =
            fleet.nodes[0].request("GET", READ_PATH, &format!("long-stop-{n}"), caller_timeout);
        response.map(|r| r.status)
    };
    while signalled_at.elapsed() < Duration::from_millis(2_800) {
        assert_eq!(
            status_for_timeout(LONG_CALLER_TIMEOUT),
            Some(200),
            "in the first half of the grace period"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    while signalled_at.elapsed() < Duration::from_millis(3_200) {
        assert_eq!(
            status_for_timeout(CALLER_TIMEOUT),
            Some(200),
            "a request that ends within the grace period"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(status_for_timeout(LONG_CALLER_TIMEOUT), Some(503));
}

/// Guards against a request that a stopping node has sent to an instance and that ends without an answer,
/// because it runs longer than the process.
#[test]
fn stopping_node_answers_running_requests() {
    let (mut fleet, _folder) = start_fleet("running-stop", 2);
    let route_timeout = Duration::from_secs(8);
    fleet.write_configuration(route_timeout.as_millis() as u64);
    let version = fleet.config_version() as f64;
    wait::until_true("the configuration to take effect", APPLY_BOUND, || {
        fleet.nodes[0].metric("ibis_config_version") == Some(version)
    })
    .expect("in effect");
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Silent));
    fleet.signal(0, "TERM").expect("SIGTERM");
    let signalled_at = Instant::now();
    std::thread::scope(|scope| {
        for n in 0..4 {
            let fleet = &fleet;
            scope.spawn(move || {
                let id = format!("running-stop-{n}");
                let response = fleet.nodes[0].request("POST", ORDER_PATH, &id, route_timeout);
                assert_eq!(response.map(|r| r.status), Some(502), "{id}");
                assert_eq!(fleet.execution_count(&id), 1, "{id}");
            });
        }
    });
    let remaining = Duration::from_secs(6).saturating_sub(signalled_at.elapsed());
    fleet.wait_ended(0, remaining).expect("the process ends within its grace period");
}

/// Guards against a stopping node that gives up a request because its instance is silent for longer than
/// usual, although the instance is still at work and answers in time.
#[test]
fn stopping_node_waits_for_slow_instances() {
    let (fleet, _folder) = start_fleet("slow-stop", 2);
    // The nodes learn the usual response time.
    for n in 0..20 {
        let id = format!("slow-stop-usual-{n}");
        let (method, path) = if n % 2 == 0 { ("GET", READ_PATH) } else { ("POST", ORDER_PATH) };
        let response = fleet.nodes[0].request(method, path, &id, CALLER_TIMEOUT);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Slow));
    fleet.signal(0, "TERM").expect("SIGTERM");
    std::thread::scope(|scope| {
        for n in 0..4 {
            let fleet = &fleet;
            scope.spawn(move || {
                let id = format!("slow-stop-{n}");
                let (method, path) =
                    if n % 2 == 0 { ("GET", READ_PATH) } else { ("POST", ORDER_PATH) };
                let response = fleet.nodes[0].request(method, path, &id, CALLER_TIMEOUT);
                assert_eq!(response.map(|r| r.status), Some(200), "{method} {id}");
            });
        }
    });
}

/// Guards against a killed node that does not serve again after its restart, or has lost the
/// configuration.
#[test]
fn killed_node_serves_after_restart() {
    let (mut fleet, _folder) = start_fleet("killed", 3);
    fleet.kill(0).expect("killed");
    fleet.start_node(0).expect("started again");
    fleet.wait_serving(Duration::from_secs(5)).expect("serves again");
}

/// Returns the time of the first event with a given name in a node's log, in Unix milliseconds.
fn first_event(node: &MeshNode, name: &str) -> Option<u64> {
    let lines = node.log();
    let mut events = lines.iter().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    events.find(|e| e["event"] == name)?["unix_ms"].as_u64()
}

/// Guards against nodes that, after a restart of the whole fleet, wait for peers that have no
/// configuration either and refuse their callers meanwhile.
#[test]
fn restarted_fleet_reads_configuration_without_wait() {
    let (mut fleet, _folder) = start_fleet("restart", 4);
    for i in 0..fleet.nodes.len() {
        fleet.kill(i).expect("killed");
    }
    for i in 0..fleet.nodes.len() {
        fleet.start_node(i).expect("started again");
    }
    fleet.wait_serving(Duration::from_secs(8)).expect("all serve again");
    let node = &fleet.nodes[0];
    // A node writes its log lines in batches, so a line appears some time after its event.
    wait::until_true("the log", WAIT_TIMEOUT, || first_event(node, "config_in_force").is_some())
        .expect("the configuration in the log");
    let event = |name| first_event(node, name).expect("the event is in the log");
    let elapsed_ms = event("config_in_force") - event("mesh_started");
    // A starting node waits at most 400 ms for peers that may have the configuration. After a restart of
    // the whole fleet no peer has it, so the node must not wait.
    assert!(elapsed_ms < 400, "the configuration took effect {elapsed_ms} ms after the start");
}

/// Guards against requests that fail because of a store outage, and against a node that starts during
/// the outage and does not receive the configuration from its peers.
#[test]
fn store_outage_does_not_stop_requests() {
    let (mut fleet, _folder) = start_fleet("outage", 3);
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for n in 0..30 {
        let id = format!("outage-{n}");
        let response = fleet.nodes[n % 3].request("POST", ORDER_PATH, &id, CALLER_TIMEOUT);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    fleet.kill(1).expect("killed");
    fleet.start_node(1).expect("started again");
    fleet.wait_serving(Duration::from_secs(8)).expect("its peers send it the configuration");
    fleet.store.set_faults(StoreFaults::default());
    fleet.write_configuration(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        wait::until_true("the change to be applied", APPLY_BOUND, || applies_short_timeout(node))
            .expect("changes are applied again");
    }
}

/// Guards against a node that misses changes while it alone cannot connect to the store, and against a
/// watch that does not recover after the store has lost its history.
#[test]
fn node_without_store_gets_changes_from_peers() {
    let (mut fleet, _folder) = start_fleet("no-store", 3);
    // The first two nodes by name watch the store, so node 0 is one of the two.
    fleet.nodes[0].store_relay.change_rules(|r| r.refuse_new = true);
    fleet.nodes[0].store_relay.reset_existing();
    fleet.store.discard_history();
    fleet.write_configuration(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        wait::until_true(&format!("{} to apply", node.name), APPLY_BOUND * 2, || {
            applies_short_timeout(node)
        })
        .expect("in effect");
    }
}

/// Sends requests to all nodes until the rollout ends, for at most `duration`. Returns its final state;
/// `None` if it did not end in time.
fn run_rollout(fleet: &MeshFleet, duration: Duration) -> Option<String> {
    let has_ended = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for worker in 0..8 {
            let has_ended = &has_ended;
            scope.spawn(move || {
                let mut n = 0;
                while !has_ended.load(std::sync::atomic::Ordering::SeqCst) {
                    n += 1;
                    let id = format!("move-{worker}-{n}");
                    let node = &fleet.nodes[worker % fleet.nodes.len()];
                    let _ = node.request("GET", READ_PATH, &id, CALLER_TIMEOUT);
                }
            });
        }
        let result = wait::until("the move to end", duration, || {
            fleet.rollout_state().filter(|s| s != "running")
        });
        has_ended.store(true, std::sync::atomic::Ordering::SeqCst);
        result.ok()
    })
}

/// Guards against the rollout of a healthy version that does not complete in time.
#[test]
fn healthy_version_completes_in_time() {
    let (mut fleet, _folder) = start_fleet("good", 4);
    // Instances of the new version replace those of the first two nodes.
    for index in 0..2 {
        fleet.instances[index].drain().expect("an acknowledgement");
        fleet.start_instance(index, "v2", SERVICE_TIME).expect("the instance starts");
    }
    let duration = Duration::from_secs(8);
    fleet.request_rollout("v2", duration);
    assert_eq!(run_rollout(&fleet, duration).as_deref(), Some("completed"));
    let (old_instances, new_instances): (Vec<_>, Vec<_>) =
        fleet.instances.iter().partition(|i| i.options().version == "v1");
    let executions_before: usize = old_instances.iter().map(|i| i.executions().len()).sum();
    for n in 0..20 {
        let id = format!("after-{n}");
        let response = fleet.nodes[n % 4].request("GET", READ_PATH, &id, CALLER_TIMEOUT);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    assert_eq!(
        old_instances.iter().map(|i| i.executions().len()).sum::<usize>(),
        executions_before
    );
    for instance in new_instances {
        assert!(!instance.executions().is_empty(), "{} got nothing", instance.options().id);
    }
}

/// Guards against a faulty version that is not rolled back, or that receives too many requests before
/// its rollback, also when the store's responses to writes of the status row are lost.
#[test]
fn faulty_version_is_rolled_back() {
    let (mut fleet, _folder) = start_fleet("bad", 4);
    for index in 0..2 {
        fleet.instances[index].drain().expect("an acknowledgement");
        fleet.start_instance(index, "v2", SERVICE_TIME).expect("the instance starts");
    }
    for instance in fleet.instances.iter().filter(|i| i.options().version == "v2") {
        instance.set_behaviour(Behaviour::Fail);
    }
    fleet.store.set_faults(StoreFaults { lose_answers: true, ..StoreFaults::default() });
    let duration = Duration::from_secs(8);
    fleet.request_rollout("v2", duration);
    assert_eq!(run_rollout(&fleet, duration).as_deref(), Some("rolled_back"));
    let (new_instances, old_instances): (Vec<_>, Vec<_>) =
        fleet.instances.iter().partition(|i| i.options().version == "v2");
    let exposed: usize = new_instances.iter().map(|i| i.executions().len()).sum();
    let total: usize = exposed + old_instances.iter().map(|i| i.executions().len()).sum::<usize>();
    // Required bound: at most a tenth of all requests plus fifty reach the faulty version.
    assert!(exposed as f64 <= total as f64 * 0.1 + 50.0, "{exposed} of {total}");
}
