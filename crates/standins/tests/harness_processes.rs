//! Tests that the harness starts, signals and ends node processes, with scripts as stand-ins.

use std::fs;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::harness::Cluster;
use standins::harness::apply_catalogue;
use standins::harness::run;
use standins::platform::PlatformStandin;
use standins::platform::faults::PlatformFaults;
use standins::wait;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the path of a script that stands in for a program. The scripts are files of the
/// repository because a file that a test has just written can still be open in a child process of
/// another test, and then cannot be executed.
fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/programs").join(name)
}

fn settings(cluster: &Cluster, node: &str) -> Value {
    let bytes = fs::read(cluster.folder().join(format!("{node}.json"))).expect("settings");
    serde_json::from_slice(&bytes).expect("JSON")
}

/// Whether a process exists and is not a zombie.
fn is_alive(id: u32) -> bool {
    process_state(id).is_some_and(|state| state != 'Z')
}

/// State letter of a process in `/proc`; `None` when it does not exist.
fn process_state(id: u32) -> Option<char> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit(')').next()?.trim().chars().next()
}

/// Guards against settings that lack a field, and against a restart on other addresses.
#[test]
fn settings_are_complete_and_keep_addresses_on_restart() {
    let program = program("node.sh");
    let mut cluster = Cluster::builder(&program)
        .data_centre("erongo-1", "erongo", 2)
        .relays()
        .section("membership", json!({"period_ms": 200}))
        .start()
        .expect("a cluster");
    let first_settings = settings(&cluster, "erongo-1-01");
    assert_eq!(first_settings["node"], "erongo-1-01");
    assert_eq!(first_settings["data_centre"], "erongo-1");
    assert_eq!(first_settings["region"], "erongo");
    assert_eq!(first_settings["listen"]["control"], "127.0.1.1:0");
    assert_eq!(first_settings["membership"], json!({"period_ms": 200}));
    assert_eq!(first_settings["log"], json!({"level": "info"}));
    let relay = cluster.platform_relay().expect("a relay").addr();
    assert_eq!(first_settings["platform"]["address"], relay.to_string());
    let node = cluster.node(0);
    let advertised = node.udp_relay().expect("a relay").addr().to_string();
    assert_eq!(first_settings["advertise"]["control"], advertised);
    assert_eq!(node.addresses().expect("addresses").caller.port(), 5003);
    assert_eq!(cluster.callers().len(), 2);

    cluster.restart_nodes(&[0]).expect("a restart");
    let second_settings = settings(&cluster, "erongo-1-01");
    assert_eq!(second_settings["listen"]["control"], "127.0.1.1:5001");
    assert_eq!(second_settings["listen"]["targets"], "127.0.1.1:5005");
    assert_eq!(second_settings["advertise"], first_settings["advertise"]);
}

/// Guards against processes that survive a kill, the drop of the cluster or a panic.
#[test]
fn processes_end_on_kill_drop_and_panic() {
    let program = program("node.sh");
    let start = || Cluster::builder(&program).data_centre("a", "r", 3).start().expect("a cluster");
    let process_ids_of = |cluster: &Cluster| -> Vec<u32> {
        cluster.nodes().iter().filter_map(|node| node.process_id()).collect()
    };
    let mut cluster = start();
    let process_ids = process_ids_of(&cluster);
    assert_eq!(process_ids.len(), 3);
    cluster.kill_nodes(&[0, 2]).expect("a kill");
    assert_eq!(
        process_ids.iter().map(|id| is_alive(*id)).collect::<Vec<_>>(),
        [false, true, false]
    );
    assert_eq!(cluster.callers().len(), 1);
    let folder = cluster.folder().to_path_buf();
    drop(cluster);
    assert!(!is_alive(process_ids[1]));
    assert!(!folder.exists());

    let cluster = start();
    let process_ids = process_ids_of(&cluster);
    let panicked = std::panic::catch_unwind(AssertUnwindSafe(move || {
        let _cluster = cluster;
        panic!("injected panic: the cluster must not outlive a failed test");
    }));
    assert!(panicked.is_err());
    assert!(process_ids.iter().all(|id| !is_alive(*id)));
}

/// Guards against signals that do not reach the process, and against lost exit codes.
#[test]
fn pause_resume_and_stop_signals_reach_the_process() {
    let program = program("stopping_node.sh");
    let mut cluster =
        Cluster::builder(&program).data_centre("a", "r", 1).start().expect("a cluster");
    let id = cluster.node(0).process_id().expect("a process");
    cluster.pause_node(0).expect("a signal");
    wait::until_true("the pause", WAIT_TIMEOUT, || process_state(id) == Some('T'))
        .expect("a paused process");
    cluster.resume_node(0).expect("a signal");
    wait::until_true("the end of the pause", WAIT_TIMEOUT, || process_state(id) != Some('T'))
        .expect("resumed");
    assert_eq!(cluster.stop_node(0, WAIT_TIMEOUT).expect("an end"), Some(7));
    assert!(cluster.node(0).process_id().is_none());
    assert!(cluster.node(0).log().iter().any(|line| line == "stopping"));
}

/// Guards against a failed start whose error does not contain the output of the process.
#[test]
fn error_of_a_failed_start_contains_output() {
    let program = program("failing_node.sh");
    let error = Cluster::builder(&program).data_centre("a", "r", 1).start().err();
    let error = error.expect("an error").to_string();
    assert!(error.contains("the port is taken"), "{error}");
}

/// Guards against a lost exit code or output of `ibisctl`, and against a run without timeout.
#[test]
fn run_returns_exit_code_and_output() {
    let output = run(&program("ctl.sh"), &["a", "b"], WAIT_TIMEOUT).expect("a run");
    assert_eq!(output.exit_code, Some(4));
    assert_eq!((output.stdout.as_str(), output.stderr.as_str()), ("out a b\n", "err\n"));
    assert!(run(&program("sleeper.sh"), &[], Duration::from_millis(200)).is_err());
}

/// Guards against a catalogue without history row or with a wrong digest, and against a version
/// that is written twice because the first response was lost.
#[test]
fn catalogues_are_applied_once() {
    let platform = PlatformStandin::start(([127, 0, 0, 1], 0).into()).expect("a free port");
    let document = json!({"format": 1, "name": "kuiseb"});
    assert_eq!(apply_catalogue(platform.addr(), "test", &document).expect("applied"), 1);
    platform.set_faults(PlatformFaults { lose_next: 2, ..Default::default() });
    let changed = json!({"format": 1, "name": "koperasi"});
    assert_eq!(apply_catalogue(platform.addr(), "test", &changed).expect("applied"), 2);
    let head = platform.row("head").expect("a head").value;
    assert_eq!(head["version"], 2);
    let history = platform.rows("history/");
    assert_eq!(history.len(), 2);
    assert_eq!(history[1].key, "history/000000000002");
    assert_eq!(history[1].value["digest"], head["digest"]);
    let name = format!("catalogue/{}", head["digest"].as_str().unwrap_or_default());
    let bytes = platform.with_store(|store| store.object(&name)).expect("an object");
    assert_eq!(serde_json::from_slice::<Value>(&bytes).expect("JSON"), changed);
}
