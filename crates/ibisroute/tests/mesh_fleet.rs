//! The whole path with real node processes beside instances, on stand-ins of the users' platform.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use standins::http::Response;
use standins::mesh::fleet::HOST;
use standins::mesh::fleet::MeshFleet;
use standins::mesh::fleet::MeshNode;
use standins::mesh::fleet::ORDER_PATH;
use standins::mesh::fleet::READ_PATH;
use standins::mesh::instance::Behaviour;
use standins::mesh::instance::response_body;
use standins::mesh::store::StoreFaults;
use standins::wait;

/// Work of a request.
const WORK: Duration = Duration::from_millis(20);

/// What callers wait.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// What callers with a long way wait.
const LONG_PATIENCE: Duration = Duration::from_secs(4);

/// Bound of the users for a configuration, a drain and a roll-back.
const APPLY: Duration = Duration::from_secs(2);

/// Time in which something that needs no network is to be seen.
const SOON: Duration = Duration::from_secs(3);

/// Time after which nothing may happen for a caller that has left, by the users' page.
const LEFT_BOUND: Duration = Duration::from_millis(500);

/// Time in which each node has told the others of its target; statuses are 500 ms apart.
const STATUSES: Duration = Duration::from_secs(1);

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fleet(name: &str, count: usize) -> (MeshFleet, Folder) {
    let folder = std::env::temp_dir().join(format!("ibisroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let program = Path::new(env!("CARGO_BIN_EXE_ibisrouted"));
    let fleet = MeshFleet::start(program, &folder, count, WORK).expect("the fleet starts");
    (fleet, Folder(folder))
}

/// Time-out below the work: a request that is not served shows that the version is in force.
const SHORT_TIMEOUT_MS: u64 = 12;

/// Whether the short time-out is in force on a node.
fn applies_short_timeout(node: &MeshNode) -> bool {
    let probe = node.request("GET", READ_PATH, "probe", PATIENCE);
    probe.is_some_and(|r| matches!(r.status, 503 | 504))
}

/// The instance that an answer names, after a check that the answer is whole and belongs to the request.
fn instance_of(response: &Response, id: &str) -> String {
    let signature = response.header("response-signature").expect("a signature");
    let instance = signature.strip_prefix("s.").expect("a signature of the stand-in").to_string();
    assert_eq!(String::from_utf8_lossy(&response.body), response_body(id, &instance));
    assert_eq!(response.header("request-id"), Some(id));
    instance
}

/// Guards against a request that does not reach an instance through another node, wrong headers at the
/// instance, and more requests than slots.
#[test]
fn requests_reach_all() {
    let (fleet, _folder) = fleet("reach", 3);
    std::thread::scope(|scope| {
        for worker in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || {
                for n in 0..20 {
                    let id = format!("reach-{worker}-{n}");
                    let (method, path) =
                        if n % 3 == 0 { ("POST", ORDER_PATH) } else { ("GET", READ_PATH) };
                    let node = &fleet.nodes[worker % 3];
                    let response = node.request(method, path, &id, PATIENCE).expect("an answer");
                    assert_eq!(response.status, 200, "{id}");
                    instance_of(&response, &id);
                    assert_eq!(fleet.execution_count(&id), 1, "{id}");
                }
            });
        }
    });
    for instance in &fleet.instances {
        let ran = instance.executions();
        assert!(!ran.is_empty(), "{} got nothing", instance.options().id);
        assert!(instance.peak_running() <= instance.options().slots);
        for run in &ran {
            assert_eq!(run.caller, "counter");
            let told = run.deadline_ms.expect("a deadline");
            assert!(told <= PATIENCE.as_millis() as u64 && told > 0, "{told}");
        }
    }
}

/// Guards against answers to routes that do not exist, requests without an id, and a node that is ready
/// before it knows a configuration.
#[test]
fn refusals_are_exact() {
    let (fleet, _folder) = fleet("refusals", 1);
    let node = &fleet.nodes[0];
    let status = |path| node.request("GET", path, "x", PATIENCE).map(|r| r.status);
    assert_eq!(status("/nowhere/"), Some(404));
    let bare = standins::http::Request::new("GET", format!("http://{}{READ_PATH}", node.callers))
        .header("Host", standins::mesh::fleet::HOST)
        .send()
        .expect("an answer");
    assert_eq!(bare.status, 400);
    let long = standins::http::Request::new("POST", format!("http://{}{ORDER_PATH}", node.callers))
        .header("Host", standins::mesh::fleet::HOST)
        .header("Request-Id", "long")
        .body(vec![0u8; 1_000_001])
        .send();
    assert_eq!(long.map(|r| r.status).ok(), Some(413));
}

/// Guards against a configuration that takes longer than the bound to be in force on some node.
#[test]
fn changes_arrive_everywhere() {
    let (mut fleet, _folder) = fleet("changes", 4);
    for _ in 0..5 {
        fleet.configure(1_000);
    }
    let before = Instant::now();
    fleet.configure(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        let name = format!("{} to apply the change", node.name);
        wait::until_true(&name, APPLY, || applies_short_timeout(node)).expect("in force in time");
    }
    assert!(before.elapsed() < APPLY * 2);
}

/// Guards against a change that is too long to be pushed and does not arrive at nodes that do not watch,
/// with the store and, for a node that the store turns away, without it.
#[test]
fn long_changes_arrive() {
    let (mut fleet, _folder) = fleet("long", 4);
    fleet.nodes[3].store_relay.change_rules(|r| r.refuse_new = true);
    fleet.nodes[3].store_relay.reset_existing();
    for further in [1_600, 800] {
        fleet.configure_with_idle_routes(1_500, further);
        let newest = fleet.config_version() as f64;
        for node in &fleet.nodes {
            let name = format!("{} to apply {further} more routes", node.name);
            wait::until_true(&name, APPLY * 2, || {
                node.metric("ibis_config_version") == Some(newest)
            })
            .expect("in force in time");
        }
    }
}

/// Guards against a node that reads a long row again for each peer that tells of it, which fills a slow
/// link for seconds.
#[test]
fn long_rows_are_read_once() {
    let (mut fleet, _folder) = fleet("once", 5);
    // The first nodes by name watch the store; this one reads when it is told.
    let reader = 4;
    fleet.nodes[reader].store_relay.change_rules(|r| r.latency_ms = (300, 300));
    let received = |fleet: &MeshFleet| {
        let name = "ibis_platform_bytes_total{direction=\"received\"}";
        fleet.nodes[reader].metric(name).unwrap_or(0.0)
    };
    let before = received(&fleet);
    fleet.configure_with_idle_routes(1_500, 3_200);
    let newest = fleet.config_version() as f64;
    wait::until_true("the node to apply the change", APPLY * 2, || {
        fleet.nodes[reader].metric("ibis_config_version") == Some(newest)
    })
    .expect("in force in time");
    // Statuses of all peers arrive meanwhile.
    std::thread::sleep(Duration::from_millis(1_500));
    let row = fleet.store.text("op", "config").expect("the row").len() as f64;
    let read = received(&fleet) - before;
    // Values travel in base64, four bytes for three.
    assert!(read < row * 1.5, "{read} bytes were read for a row of {row}");
}

/// Guards against long bodies that are cut, mixed or lost when many cross between nodes at a time.
#[test]
fn uploads_arrive_whole() {
    let (fleet, _folder) = fleet("uploads", 3);
    std::thread::scope(|scope| {
        for worker in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || {
                let bytes = 100_000 + worker * 50_000;
                let id = format!("upload-{worker}");
                let node = &fleet.nodes[worker % 3];
                let response = node.upload(&id, bytes, PATIENCE * 3).expect("an answer");
                assert_eq!(response.status, 200, "{id}");
                let ran = fleet.instances.iter().flat_map(|i| i.executions());
                let sizes: Vec<usize> =
                    ran.filter(|r| r.request_id == id).map(|r| r.body_bytes).collect();
                assert_eq!(sizes, [bytes], "{id}");
            });
        }
    });
}

/// Guards against an order that runs twice, and answers that belong to nobody, when instances misbehave.
#[test]
fn orders_run_once() {
    let (fleet, _folder) = fleet("once", 3);
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
            let began = Instant::now();
            let response = node.request("POST", ORDER_PATH, &id, PATIENCE);
            assert!(began.elapsed() < PATIENCE + Duration::from_millis(500), "{behaviour:?}");
            let runs = fleet.execution_count(&id);
            assert!(runs <= 1, "{behaviour:?} {id}: {runs} runs");
            let response = response.expect("an answer, not a closed connection");
            match response.status {
                200 => drop(instance_of(&response, &id)),
                429 | 503 => assert_eq!(runs, 0, "{behaviour:?} {id} was said not to have run"),
                500 | 502 | 504 => {}
                status => panic!("{behaviour:?}: status {status}"),
            }
        }
        fleet.instances[0].set_behaviour(Behaviour::Healthy);
    }
}

/// Guards against a repeatable request that fails although another instance is sound.
#[test]
fn reads_find_sound_instances() {
    let (fleet, _folder) = fleet("sound", 3);
    fleet.instances[1].set_behaviour(Behaviour::LoseAnswer);
    let mut served = 0;
    for n in 0..60 {
        let id = format!("sound-{n}");
        let response = fleet.nodes[n % 3].request("GET", READ_PATH, &id, PATIENCE);
        served += u32::from(response.is_some_and(|r| r.status == 200));
    }
    assert!(served >= 57, "{served} of 60 served");
}

/// Sends a request of a caller that does not wait for the answer.
fn send_only(node: &MeshNode, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.callers).expect("the node accepts");
    let head = format!(
        "GET {READ_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1400\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    stream
}

/// Guards against slots that stay taken by callers who have left, and against requests that still reach
/// an instance after their callers have gone.
#[test]
fn callers_that_leave() {
    let (fleet, _folder) = fleet("leave", 2);
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Silent));
    let slots: u32 = fleet.instances.iter().map(|i| i.options().slots).sum();
    let send = |name: &str, count: u32| -> Vec<TcpStream> {
        (0..count)
            .map(|n| send_only(&fleet.nodes[n as usize % 2], &format!("{name}-{n}")))
            .collect()
    };
    let running = send("running", slots);
    let all_run = || (0..slots).all(|n| fleet.execution_count(&format!("running-{n}")) > 0);
    wait::until_true("all slots to be taken", Duration::from_millis(500), all_run).expect("taken");
    let waiting = send("waiting", slots);
    std::thread::sleep(Duration::from_millis(100));
    drop((running, waiting));
    let left = Instant::now();
    fleet.instances.iter().for_each(|i| i.set_behaviour(Behaviour::Healthy));
    // The users allow half a second; the calls themselves would last 1.4 s.
    wait::until_true("a slot to be free", LEFT_BOUND, || {
        let after = fleet.nodes[0].request("GET", READ_PATH, "after", PATIENCE);
        after.is_some_and(|r| r.status == 200)
    })
    .expect("free in time");
    std::thread::sleep(PATIENCE);
    let ran = fleet.instances.iter().flat_map(|i| i.executions());
    let late: Vec<Duration> = ran
        .filter(|r| r.request_id.starts_with("waiting") && r.at > left + LEFT_BOUND)
        .map(|r| r.at - left)
        .collect();
    assert!(late.is_empty(), "requests reached an instance {late:?} after their callers had left");
}

/// Guards against requests to an instance after its leaving was acknowledged, and against one that comes
/// back by a late heartbeat.
#[test]
fn drained_gets_nothing() {
    let (fleet, _folder) = fleet("drained", 3);
    let acknowledged = fleet.instances[2].drain().expect("an acknowledgement");
    for n in 0..60 {
        let id = format!("drained-{n}");
        let response = fleet.nodes[n % 3].request("GET", READ_PATH, &id, PATIENCE);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    let late =
        fleet.instances[2].executions().into_iter().filter(|r| r.at > acknowledged + WORK).count();
    assert_eq!(late, 0);
}

/// Guards against requests cut by a graceful stop, also those of callers that keep asking until the
/// process is gone, and a process that outlives its grace period.
#[test]
fn stop_cuts_nothing() {
    let (mut fleet, _folder) = fleet("stop", 3);
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
                    let status = node.request("POST", ORDER_PATH, &id, PATIENCE).map(|r| r.status);
                    match status {
                        Some(200) => {}
                        // The stopping node refuses its last callers, then its port is closed.
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
    let code = fleet.wait_ended(1, Duration::from_secs(4)).expect("the process ends in its grace");
    assert_eq!(code, Some(0));
}

/// Guards against a node that ends in the middle of its grace period although callers are still sent to
/// it, because too few nodes beside it are ready.
#[test]
fn stop_serves_who_comes() {
    let (fleet, _folder) = fleet("comes", 2);
    std::thread::sleep(STATUSES);
    fleet.signal(0, "TERM").expect("SIGTERM");
    let signalled = Instant::now();
    let mut n = 0;
    // The grace period is 6 s; a request of these callers is over after 1.2 s.
    while signalled.elapsed() < Duration::from_millis(4_000) {
        n += 1;
        let id = format!("comes-{n}");
        let status = fleet.nodes[0].request("GET", READ_PATH, &id, PATIENCE).map(|r| r.status);
        assert_eq!(status, Some(200), "{id} after {:?}", signalled.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a request that a stopping node takes although its end comes before the deadline, so
/// that it can be cut.
#[test]
fn stop_refuses_long_requests() {
    let (mut fleet, _folder) = fleet("long-stop", 2);
    fleet.configure(LONG_PATIENCE.as_millis() as u64);
    let version = format!("\"version\":{}", fleet.config_version());
    wait::until_true("the configuration in force", APPLY, || {
        fleet.nodes[0].log().iter().any(|l| l.contains(&version))
    })
    .expect("in force");
    std::thread::sleep(STATUSES);
    fleet.signal(0, "TERM").expect("SIGTERM");
    let signalled = Instant::now();
    let mut n = 0;
    let mut status = |patience| {
        n += 1;
        let response =
            fleet.nodes[0].request("GET", READ_PATH, &format!("long-stop-{n}"), patience);
        response.map(|r| r.status)
    };
    while signalled.elapsed() < Duration::from_millis(2_800) {
        assert_eq!(status(LONG_PATIENCE), Some(200), "in the first half of the grace period");
        std::thread::sleep(Duration::from_millis(100));
    }
    while signalled.elapsed() < Duration::from_millis(3_200) {
        assert_eq!(status(PATIENCE), Some(200), "it ends in time");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(status(LONG_PATIENCE), Some(503));
}

/// Guards against a killed node that does not come back, or forgets the configuration.
#[test]
fn killed_node_returns() {
    let (mut fleet, _folder) = fleet("killed", 3);
    fleet.kill(0).expect("killed");
    fleet.start_node(0).expect("started again");
    fleet.wait_serving(Duration::from_secs(5)).expect("serves again");
}

/// Time of the first event of a name in a node's log.
fn first_event(node: &MeshNode, name: &str) -> Option<u64> {
    let lines = node.log();
    let mut events = lines.iter().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    events.find(|e| e["event"] == name)?["unix_ms"].as_u64()
}

/// Guards against nodes that wait after a restart of all of them for peers that know no configuration
/// either, and refuse their callers meanwhile.
#[test]
fn all_restart_at_once() {
    let (mut fleet, _folder) = fleet("restart", 4);
    for i in 0..fleet.nodes.len() {
        fleet.kill(i).expect("killed");
    }
    for i in 0..fleet.nodes.len() {
        fleet.start_node(i).expect("started again");
    }
    fleet.wait_serving(Duration::from_secs(8)).expect("all serve again");
    let node = &fleet.nodes[0];
    // Lines are written in batches.
    wait::until_true("the log", SOON, || first_event(node, "config_in_force").is_some())
        .expect("the configuration in the log");
    let event = |name| first_event(node, name).expect("a line that was written before");
    let took = event("config_in_force") - event("mesh_started");
    // The wait for peers that may know the configuration is 400 ms.
    assert!(took < 400, "the configuration was in force {took} ms after the start");
}

/// Guards against a store outage that stops requests, and against a node that starts meanwhile and never
/// learns the configuration from its peers.
#[test]
fn store_outage_is_survived() {
    let (mut fleet, _folder) = fleet("outage", 3);
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for n in 0..30 {
        let id = format!("outage-{n}");
        let response = fleet.nodes[n % 3].request("POST", ORDER_PATH, &id, PATIENCE);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    fleet.kill(1).expect("killed");
    fleet.start_node(1).expect("started again");
    fleet.wait_serving(Duration::from_secs(8)).expect("its peers tell it the configuration");
    fleet.store.set_faults(StoreFaults::default());
    fleet.configure(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        wait::until_true("the store's return to be noticed", APPLY, || applies_short_timeout(node))
            .expect("changes flow again");
    }
}

/// Guards against nodes that miss changes while the store turns just them away, and against a lost
/// history that stops the watch.
#[test]
fn peers_carry_changes() {
    let (mut fleet, _folder) = fleet("carry", 3);
    // The first nodes by name are those that watch.
    fleet.nodes[0].store_relay.change_rules(|r| r.refuse_new = true);
    fleet.nodes[0].store_relay.reset_existing();
    fleet.store.forget_history();
    fleet.configure(SHORT_TIMEOUT_MS);
    for node in &fleet.nodes {
        wait::until_true(&format!("{} to apply", node.name), APPLY * 2, || {
            applies_short_timeout(node)
        })
        .expect("in force");
    }
}

fn play_move(fleet: &MeshFleet, duration: Duration) -> Option<String> {
    let over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for worker in 0..8 {
            let over = &over;
            scope.spawn(move || {
                let mut n = 0;
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    n += 1;
                    let id = format!("move-{worker}-{n}");
                    let node = &fleet.nodes[worker % fleet.nodes.len()];
                    let _ = node.request("GET", READ_PATH, &id, PATIENCE);
                }
            });
        }
        let ended = wait::until("the move to end", duration, || {
            fleet.rollout_state().filter(|s| s != "running")
        });
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        ended.ok()
    })
}

/// Guards against a good version that does not take over in time.
#[test]
fn good_version_takes_over() {
    let (mut fleet, _folder) = fleet("good", 4);
    // The instances of the first two nodes are replaced by those of the new version.
    for index in 0..2 {
        fleet.instances[index].drain().expect("an acknowledgement");
        fleet.start_instance(index, "v2", WORK).expect("a new run");
    }
    let duration = Duration::from_secs(8);
    fleet.request_rollout("v2", duration);
    assert_eq!(play_move(&fleet, duration).as_deref(), Some("completed"));
    let (old, new): (Vec<_>, Vec<_>) =
        fleet.instances.iter().partition(|i| i.options().version == "v1");
    let before: usize = old.iter().map(|i| i.executions().len()).sum();
    for n in 0..20 {
        let id = format!("after-{n}");
        let response = fleet.nodes[n % 4].request("GET", READ_PATH, &id, PATIENCE);
        assert_eq!(response.map(|r| r.status), Some(200), "{id}");
    }
    assert_eq!(old.iter().map(|i| i.executions().len()).sum::<usize>(), before);
    for instance in new {
        assert!(!instance.executions().is_empty(), "{} got nothing", instance.options().id);
    }
}

/// Guards against a bad version that stays, or that gets more than its small share, also when the answer
/// to the write of the status is lost.
#[test]
fn bad_version_is_withdrawn() {
    let (mut fleet, _folder) = fleet("bad", 4);
    for index in 0..2 {
        fleet.instances[index].drain().expect("an acknowledgement");
        fleet.start_instance(index, "v2", WORK).expect("a new run");
    }
    for instance in fleet.instances.iter().filter(|i| i.options().version == "v2") {
        instance.set_behaviour(Behaviour::Fail);
    }
    fleet.store.set_faults(StoreFaults { lose_answers: true, ..StoreFaults::default() });
    let duration = Duration::from_secs(8);
    fleet.request_rollout("v2", duration);
    assert_eq!(play_move(&fleet, duration).as_deref(), Some("rolled_back"));
    let (new, old): (Vec<_>, Vec<_>) =
        fleet.instances.iter().partition(|i| i.options().version == "v2");
    let exposed: usize = new.iter().map(|i| i.executions().len()).sum();
    let all: usize = exposed + old.iter().map(|i| i.executions().len()).sum::<usize>();
    // The users' bound: a tenth, and fifty.
    assert!(exposed as f64 <= all as f64 * 0.1 + 50.0, "{exposed} of {all}");
}
