//! Tests of `ibisctl` as a process: outputs, written rows and exit codes.

#[path = "common/http_fakes.rs"]
mod http_fakes;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;

use http_fakes::HttpPlatformFake;
use http_fakes::NodeFake;
use http_fakes::member;
use http_fakes::status;
use serde_json::Value;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"))
}

fn ibisctl_command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibisctl"));
    command.args(args).stdin(Stdio::null());
    command
}

fn run_ibisctl(args: &[&str]) -> Output {
    ibisctl_command(args).output().expect("ibisctl runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs `ibisctl` and checks the exit code; returns the output for further checks.
fn run_and_expect_exit(exit_code: i32, args: &[&str]) -> Output {
    let output = run_ibisctl(args);
    let (out, err) = (stdout(&output), stderr(&output));
    assert_eq!(output.status.code(), Some(exit_code), "{args:?}\nstdout: {out}\nstderr: {err}");
    output
}

/// A fake platform and its address for `--platform`.
struct PlatformFixture {
    platform: HttpPlatformFake,
    addr: String,
}

impl PlatformFixture {
    fn new() -> Self {
        let platform = HttpPlatformFake::start();
        let addr = platform.addr.to_string();
        Self { platform, addr }
    }

    fn run_and_expect_exit(&self, exit_code: i32, args: &[&str]) -> Output {
        let global_args = ["--platform", &self.addr, "--retry-s", "1"];
        run_and_expect_exit(exit_code, &[&global_args, args].concat())
    }

    /// Applies a file with `--base` and checks the exit code.
    fn apply(&self, exit_code: i32, file: &str, base: &str) -> Output {
        self.run_and_expect_exit(
            exit_code,
            &["catalogue", "apply", file, "--author", "ana", "--base", base],
        )
    }

    /// Returns the catalogue of the current head as JSON.
    fn head_document(&self) -> Value {
        let output = self.run_and_expect_exit(0, &["--output", "json", "catalogue", "show"]);
        serde_json::from_slice(&output.stdout).expect("a document")
    }
}

/// Writes a file to the temporary folder of the tests; returns the path.
fn scratch_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("a scratch file");
    path
}

/// Writes the example catalogue with two invalid fields; returns the path.
fn invalid_catalogue_file() -> String {
    let json_text = std::fs::read_to_string(example_path("kuiseb")).expect("the example");
    let json_text = json_text.replace("\"deadline_ms\": 800", "\"deadline_ms\": 0");
    let json_text = json_text.replace("\"class\": \"upload\"", "\"class\": \"scan\"");
    scratch_file("invalid.json", &json_text).display().to_string()
}

/// A port that refuses connections. It stays bound without listening, so that no other server can
/// use it.
struct ClosedPort {
    addr: SocketAddr,
    _socket: Socket,
}

fn closed_port() -> ClosedPort {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("an address");
    ClosedPort { addr, _socket: socket }
}

/// Guards against example catalogues that the parser rejects.
#[test]
fn example_catalogues_are_valid() {
    for name in ["kuiseb", "koperasi"] {
        let output = run_and_expect_exit(0, &["catalogue", "check", &example_path(name)]);
        assert!(stdout(&output).contains("2 services, 5 entries, 0 moves"), "{}", stdout(&output));
    }
}

/// Guards against a command without examples in its help.
#[test]
fn every_command_has_examples_in_its_help() {
    let commands: [&[&str]; 17] = [
        &[],
        &["catalogue"],
        &["catalogue", "check"],
        &["catalogue", "diff"],
        &["catalogue", "apply"],
        &["catalogue", "show"],
        &["catalogue", "history"],
        &["move"],
        &["move", "declare"],
        &["move", "list"],
        &["move", "show"],
        &["move", "watch"],
        &["status"],
        &["report"],
        &["report", "burn"],
        &["events"],
        &["completions"],
    ];
    for path in commands {
        let output = run_and_expect_exit(0, &[path, &["--help"]].concat());
        assert!(stdout(&output).contains("Examples:\n  ibisctl "), "{path:?}");
    }
    let output = run_and_expect_exit(0, &["completions", "bash"]);
    assert!(stdout(&output).contains("declare"));
}

/// Guards against a wrong command line that ends with the exit code of another failure or writes
/// rows.
#[test]
fn usage_errors_exit_2() {
    let file = example_path("kuiseb");
    run_and_expect_exit(2, &[]);
    run_and_expect_exit(2, &["catalogue", "publish"]);
    run_and_expect_exit(2, &["--platform", "localhost", "catalogue", "history"]);
    run_and_expect_exit(2, &["catalogue", "history"]);
    run_and_expect_exit(2, &["status"]);
    run_and_expect_exit(2, &["catalogue", "apply", &file]);
    run_and_expect_exit(2, &["catalogue", "show", "18446744073709551615"]);
    let fixture = PlatformFixture::new();
    fixture.run_and_expect_exit(2, &["catalogue", "apply", &file, "--author", "ana", "--wait"]);
    let declare = ["move", "declare", "--service", "counter", "--to", "v2", "--id", "counter-v2"];
    let time_args = ["--start", "soon", "--finish-by", "+20m", "--author", "ana"];
    fixture.run_and_expect_exit(2, &[&declare[..], &time_args].concat());
    assert!(fixture.platform.keys().is_empty());
}

/// Guards against writing an invalid catalogue, and against reporting only the first error.
#[test]
fn invalid_catalogue_exits_3() {
    let file = invalid_catalogue_file();
    let fixture = PlatformFixture::new();
    let output = fixture.apply(3, &file, "0");
    let errors = stderr(&output);
    assert!(errors.contains("entries[0].limits.deadline_ms: 0 is not allowed"), "{errors}");
    assert!(errors.contains("entries[3].class: \"scan\" is not allowed"), "{errors}");
    assert!(fixture.platform.keys().is_empty());
    let output = run_and_expect_exit(3, &["--output", "json", "catalogue", "check", &file]);
    let value: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(value["errors"][1]["path"], "entries[3].class");
}

/// Guards against an unreadable file, an unreachable node or a missing version that is reported
/// with the exit code of a usage error or an unavailable platform.
#[test]
fn other_failures_exit_1() {
    run_and_expect_exit(1, &["catalogue", "check", "/no/such/file.json"]);
    let closed = closed_port();
    run_and_expect_exit(1, &["--node", &closed.addr.to_string(), "status"]);
    let fixture = PlatformFixture::new();
    fixture.run_and_expect_exit(1, &["catalogue", "show"]);
    fixture.run_and_expect_exit(1, &["catalogue", "show", "7"]);
}

/// Guards against a version that differs from the applied file when it is read back.
#[test]
fn applied_version_reads_back_unchanged() {
    let fixture = PlatformFixture::new();
    let output = fixture.apply(0, &example_path("kuiseb"), "0");
    assert_eq!(stdout(&output), "accepted as version 1\n");
    fixture.apply(0, &example_path("koperasi"), "1");
    let output = fixture.run_and_expect_exit(0, &["catalogue", "show", "1"]);
    let shown_file = scratch_file("shown.json", &stdout(&output)).display().to_string();
    let output =
        fixture.run_and_expect_exit(0, &["catalogue", "diff", &shown_file, "--against", "1"]);
    assert_eq!(stdout(&output), "no difference\n");
    let output = fixture.run_and_expect_exit(0, &["catalogue", "diff", &shown_file]);
    assert!(stdout(&output).contains("+ service counter"), "{}", stdout(&output));
    let output = fixture.run_and_expect_exit(0, &["catalogue", "history"]);
    assert_eq!(stdout(&output).lines().count(), 3, "{}", stdout(&output));
}

/// Guards against a conflict that overwrites the accepted version or the local file, or that does
/// not print the difference.
#[test]
fn conflict_exits_4() {
    let fixture = PlatformFixture::new();
    fixture.apply(0, &example_path("kuiseb"), "0");
    let json_text = std::fs::read_to_string(example_path("kuiseb")).expect("the example");
    let json_text = json_text.replace("\"deadline_ms\": 800", "\"deadline_ms\": 900");
    let file = scratch_file("loser.json", &json_text);
    let output = fixture.apply(4, &file.display().to_string(), "0");
    assert!(stderr(&output).contains("the head is version 1 by ana"), "{}", stderr(&output));
    assert!(stdout(&output).contains("limits.deadline_ms: 800 -> 900"), "{}", stdout(&output));
    assert_eq!(std::fs::read_to_string(&file).expect("the file"), json_text);
    assert_eq!(fixture.platform.keys(), ["head", "history/000000000001"]);
}

/// Guards against reporting success to both of two operators who change the same base concurrently.
#[test]
fn racing_processes_have_one_winner() {
    for _ in 0..5 {
        let fixture = PlatformFixture::new();
        let start_apply = |name: &str| {
            let args = ["--platform", &fixture.addr, "catalogue", "apply", &example_path(name)];
            let version_args = ["--author", name, "--base", "0"];
            ibisctl_command(&[&args[..], &version_args].concat())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .expect("ibisctl starts")
        };
        let children = [start_apply("kuiseb"), start_apply("koperasi")];
        let mut exit_codes =
            children.map(|mut child| child.wait().expect("ibisctl ends").code().unwrap_or(-1));
        exit_codes.sort_unstable();
        assert_eq!(exit_codes, [0, 4]);
        assert_eq!(fixture.platform.keys(), ["head", "history/000000000001"]);
    }
}

/// Guards against a lost response that is reported as a conflict, or whose write is applied twice.
#[test]
fn write_with_lost_response_is_accepted_once() {
    let fixture = PlatformFixture::new();
    fixture.platform.lose_responses(1);
    fixture.apply(0, &example_path("kuiseb"), "0");
    assert_eq!(fixture.platform.keys(), ["head", "history/000000000001"]);
}

/// Guards against an outage that is reported as success, and against an unknown outcome that is
/// reported as not applied.
#[test]
fn unavailable_platform_exits_6() {
    let fixture = PlatformFixture::new();
    fixture.platform.lose_responses(1);
    fixture.platform.go_down_after_transaction();
    let output = fixture.apply(6, &example_path("kuiseb"), "0");
    assert!(stderr(&output).contains("it is unknown whether version 1"), "{}", stderr(&output));
    let fixture = PlatformFixture::new();
    fixture.platform.go_down();
    let output = fixture.apply(6, &example_path("kuiseb"), "0");
    assert!(stderr(&output).contains("nothing was applied"), "{}", stderr(&output));
    let closed = closed_port();
    let addr = closed.addr.to_string();
    run_and_expect_exit(6, &["--platform", &addr, "--retry-s", "0", "catalogue", "history"]);
}

/// Returns two live nodes; the first one lists both and a dead third node as members.
fn two_live_nodes() -> [NodeFake; 2] {
    let nodes = [NodeFake::start(), NodeFake::start()];
    let members = json!({"local": "node-a", "members": [
        member("node-a", "Alive", nodes[0].addr),
        member("node-b", "Suspect", nodes[1].addr),
        member("node-c", "Dead", nodes[0].addr),
    ]});
    nodes[0].set_documents("/members", vec![members]);
    nodes[0].set_documents("/status", vec![status("node-a", 1)]);
    nodes
}

/// Applies the example catalogue with `--wait` through a node and checks the exit code.
fn apply_and_wait(node: &NodeFake, timeout_s: &str, exit_code: i32) -> Output {
    let fixture = PlatformFixture::new();
    let node = node.addr.to_string();
    let file = example_path("kuiseb");
    let args = ["--node", &node, "catalogue", "apply", &file, "--author", "ana", "--wait"];
    fixture.run_and_expect_exit(exit_code, &[&args[..], &["--timeout-s", timeout_s]].concat())
}

/// Guards against returning before every live node has the version, and against waiting for dead
/// nodes.
#[test]
fn wait_ends_when_every_live_node_has_the_version() {
    let nodes = two_live_nodes();
    let status_sequence = vec![status("node-b", 0), status("node-b", 0), status("node-b", 1)];
    nodes[1].set_documents("/status", status_sequence);
    let output = apply_and_wait(&nodes[0], "60", 0);
    let expected_progress =
        "version 1 is in force on 1 of 2 nodes\nversion 1 is in force on 2 of 2 nodes\n";
    assert_eq!(stderr(&output), expected_progress);
}

/// Guards against an error that does not name the nodes without the version and the reasons.
#[test]
fn missing_nodes_exit_5() {
    let nodes = two_live_nodes();
    nodes[1].set_documents("/status", vec![status("node-b", 0)]);
    let output = apply_and_wait(&nodes[0], "2", 5);
    let error_message = stderr(&output);
    assert!(
        error_message.contains("missing 1 of 2 nodes:\n  node-b: has version 0"),
        "{error_message}"
    );
    let mut rejecting_status = status("node-b", 0);
    rejecting_status["rejected"] = json!({"version": 1, "reason": "unknown class"});
    nodes[1].set_documents("/status", vec![rejecting_status]);
    let output = apply_and_wait(&nodes[0], "2", 5);
    assert!(stderr(&output).contains("node-b: rejected it: unknown class"));
}

/// Declares a move of the counter service and checks the exit code.
fn declare(fixture: &PlatformFixture, exit_code: i32, id: &str, to: &str) -> Output {
    let args = ["move", "declare", "--service", "counter", "--to", to, "--id", id];
    let time_args = ["--start", "now", "--finish-by", "+20m", "--author", "ana"];
    fixture.run_and_expect_exit(exit_code, &[&args[..], &time_args].concat())
}

/// Guards against a move that replaces one without a recorded outcome, and against a service that
/// keeps its old version after a finished move.
#[test]
fn next_move_requires_recorded_outcome() {
    let fixture = PlatformFixture::new();
    fixture.apply(0, &example_path("kuiseb"), "0");
    declare(&fixture, 0, "counter-v2", "v2");
    let output = declare(&fixture, 1, "counter-v3", "v3");
    assert!(stderr(&output).contains("neither finished nor been withdrawn"), "{output:?}");
    let outcome = json!({"outcome": "finished", "reason": "", "unix_ms": 1, "by": "node-a"});
    fixture.platform.put_row("move/counter-v2/outcome", outcome);
    declare(&fixture, 0, "counter-v3", "v3");
    let doc = fixture.head_document();
    assert_eq!(doc["services"][0]["version"], "v2");
    assert_eq!(doc["moves"].as_array().map(Vec::len), Some(1));
    assert_eq!(
        (&doc["moves"][0]["id"], &doc["moves"][0]["from"]),
        (&json!("counter-v3"), &json!("v2"))
    );
    let outcome = json!({"outcome": "taken_back", "reason": "5xx", "unix_ms": 1, "by": "node-a"});
    fixture.platform.put_row("move/counter-v3/outcome", outcome);
    declare(&fixture, 0, "counter-v4", "v4");
    let doc = fixture.head_document();
    assert_eq!(doc["services"][0]["version"], "v2");
    assert_eq!(
        (&doc["moves"][0]["id"], &doc["moves"][0]["from"]),
        (&json!("counter-v4"), &json!("v2"))
    );
}

/// Guards against reusing the id of a move, since the recorded outcome of the old move would decide
/// the new one, and against a move to the version that already has the traffic.
#[test]
fn invalid_declarations_write_nothing() {
    let fixture = PlatformFixture::new();
    fixture.apply(0, &example_path("kuiseb"), "0");
    let outcome = json!({"outcome": "taken_back", "reason": "", "unix_ms": 1, "by": "node-a"});
    fixture.platform.put_row("move/counter-v2/outcome", outcome);
    let output = declare(&fixture, 1, "counter-v2", "v2");
    assert!(stderr(&output).contains("was used before"), "{}", stderr(&output));
    let output = declare(&fixture, 3, "counter-v1", "v1");
    assert!(stderr(&output).contains("moves[0].to"), "{}", stderr(&output));
    assert!(!fixture.platform.keys().contains(&"history/000000000002".to_string()));
}

/// Returns a burn report whose calls are all in one bucket of the latency histogram.
fn burn_document(calls: u64, bad: u64, latency_bucket: usize) -> Value {
    let mut buckets = vec![0; 40];
    buckets[latency_bucket] = calls;
    let window = json!({"calls": calls, "bad": bad});
    json!({"entries": [{"entry": "sheet-query", "owner": "o", "calls": calls, "failures": bad,
        "refused": 1, "slow": 0, "success_objective_percent": 99.0, "latency_objective_ms": 250,
        "budget_left_percent": 1.0, "burn_5m": 9.0, "burn_1h": 9.0, "burn_30m": 9.0,
        "burn_6h": 9.0, "p50_ms": 1.0, "p99_ms": 1.0, "alert": null,
        "windows": {"5m": window, "1h": window, "30m": window, "6h": window},
        "latency_buckets": buckets}]})
}

/// Guards against averaging the rates and quantiles of nodes with unequal load.
#[test]
fn burn_report_merges_counts() {
    let nodes = two_live_nodes();
    nodes[0].set_documents("/report/burn", vec![burn_document(100, 80, 20)]);
    nodes[1].set_documents("/report/burn", vec![burn_document(300, 0, 4)]);
    let addr = nodes[0].addr.to_string();
    let output = run_and_expect_exit(0, &["--node", &addr, "--output", "json", "report", "burn"]);
    let value: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let entry = &value["entries"][0];
    assert_eq!(
        (&entry["calls"], &entry["failures"], &entry["refused"]),
        (&json!(400), &json!(80), &json!(2))
    );
    let burn_rate = entry["burn_5m"].as_f64().expect("a rate");
    assert!((burn_rate - 20.0).abs() < 1e-9, "80 of 400 calls with a budget of 1%: {burn_rate}");
    assert_eq!(entry["alert"], "page");
    for (quantile, expected) in [("p50_ms", 1.0), ("p99_ms", 256.0)] {
        let ms = entry[quantile].as_f64().expect("a quantile");
        assert!((ms - expected).abs() < 1e-6, "{quantile}: {ms}");
    }
    nodes[1].set_documents("/report/burn", vec![json!("broken")]);
    let output = run_and_expect_exit(0, &["--node", &addr, "report", "burn"]);
    assert!(stderr(&output).contains("the report lacks node-b"), "{}", stderr(&output));
}

fn move_document(stage: u8, finished: bool) -> Value {
    let phase = if finished { "finished" } else { "moving" };
    json!({"moves": [{"id": "counter-v2", "service": "counter", "from": "v1", "to": "v2",
        "start_unix_ms": 1_764_820_000_000_u64, "finish_by_unix_ms": 1_764_820_600_000_u64,
        "phase": phase, "stage": stage, "share_percent": 25.0, "stopped_here": false,
        "reason": "", "evaluators": ["node-a"], "evaluating": true, "new_calls": 40,
        "all_calls": 160, "outcome": null, "reported": false}]})
}

/// Guards against commands that cannot parse the JSON documents of the admin interface.
#[test]
fn admin_documents_are_parsed_and_printed() {
    let node = NodeFake::start();
    let addr = node.addr.to_string();
    node.set_documents("/status", vec![status("node-a", 12)]);
    let output = run_and_expect_exit(0, &["--node", &addr, "status"]);
    assert!(stdout(&output).contains("counter-1  counter  v1       ready  3 of 10"), "{output:?}");

    node.set_documents("/moves", vec![move_document(3, false)]);
    let output = run_and_expect_exit(0, &["--node", &addr, "move", "list"]);
    assert!(
        stdout(&output).contains("25%    40         running  2025-12-04T03:56:40Z"),
        "{output:?}"
    );
    run_and_expect_exit(0, &["--node", &addr, "move", "show", "counter-v2"]);
    run_and_expect_exit(1, &["--node", &addr, "move", "show", "counter-v9"]);

    let event = json!({"sequence": 8, "unix_ms": 0, "number": 8001, "name": "n", "level": "error",
        "detail": "d"});
    node.set_documents("/events?after=7", vec![json!({"events": [event]})]);
    let output = run_and_expect_exit(0, &["--node", &addr, "events", "--after", "7"]);
    assert_eq!(stdout(&output), "8 1970-01-01T00:00:00Z error [8001] n: d\n");
}

/// Guards against `move watch` that keeps running after the move has ended, or that omits a change.
#[test]
fn watch_prints_changes_until_the_move_ends() {
    let node = NodeFake::start();
    let move_documents =
        vec![move_document(1, false), move_document(1, false), move_document(5, true)];
    node.set_documents("/moves", move_documents);
    let addr = node.addr.to_string();
    let watch = thread::spawn(move || {
        run_and_expect_exit(0, &["--node", &addr, "move", "watch", "counter-v2"])
    });
    let output = watch.join().expect("watch ends");
    let lines: Vec<String> = stdout(&output).lines().map(String::from).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[1].contains("finished"), "{lines:?}");
}
