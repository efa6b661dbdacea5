//! Tests of the stand-in programs, and of the calls that are derived from a catalogue.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::caller::Class;
use standins::harness::run;
use standins::http;
use standins::programs;
use standins::wait;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running program, killed when dropped. Its output pipe stays open, because a program that
/// writes to a closed pipe fails.
struct Program {
    child: Child,
    stdout: BufReader<ChildStdout>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts a program and reads the address that it prints.
    fn start(path: &str, args: &[&str]) -> (Self, SocketAddr) {
        let child = Command::new(path).args(args).stdout(Stdio::piped()).spawn();
        let mut child = child.expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut program = Self { child, stdout: BufReader::new(stdout) };
        let mut line = String::new();
        program.stdout.read_line(&mut line).expect("the program prints a line");
        let printed: Value = serde_json::from_str(&line).expect("JSON");
        let addr = printed["listen"].as_str().and_then(|addr| addr.parse().ok());
        (program, addr.expect("the line contains an address"))
    }

    /// Sends SIGTERM and returns the exit code.
    fn terminate(mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
        let wait_result = wait::until("the program to end", WAIT_TIMEOUT, || {
            self.child.try_wait().expect("a status")
        });
        wait_result.expect("the program ends").code()
    }
}

/// Guards against a platform program that does not serve the protocol, or ignores SIGTERM.
#[test]
fn platform_program_serves_and_stops() {
    let path = env!("CARGO_BIN_EXE_platform-standin");
    let (program, addr) = Program::start(path, &["--listen", "127.0.0.1:0"]);
    let write_response = http::post(
        format!("http://{addr}/table/transact"),
        &json!({"conditions": [{"key": "k", "revision": null}], "puts": [{"key": "k", "value": 1}]}),
    );
    assert_eq!(write_response.expect("a response").status, 200);
    let row = http::get(format!("http://{addr}/table/row?key=k")).expect("a response").json();
    assert_eq!(row["value"], 1);
    assert_eq!(program.terminate(), Some(0));
}

/// Guards against a caller program that reports success after failed calls, or failure after
/// successful ones.
#[test]
fn caller_program_exit_code_reports_failed_calls() {
    let (target, addr) = Program::start(
        env!("CARGO_BIN_EXE_target-standin"),
        &["--service", "counter", "--version-name", "v7", "--instance", "c", "--slots", "100"],
    );
    let caller = Path::new(env!("CARGO_BIN_EXE_caller-standin"));
    let node = addr.to_string();
    // With fewer concurrent calls allowed, the open loop skips calls after a pause of its process.
    let limits = "--rate 200 --concurrency 50 --max-calls 50 --duration-ms 10000";
    let args: Vec<&str> = ["--node", &node].into_iter().chain(limits.split(' ')).collect();
    let successful_run = run(caller, &args, WAIT_TIMEOUT).expect("the caller runs");
    assert_eq!(successful_run.exit_code, Some(0), "{}", successful_run.stderr);
    let summary: Value = serde_json::from_str(&successful_run.stdout).expect("JSON");
    assert_eq!(summary["total"]["ok"], 50);
    assert_eq!(summary["skipped"], 0);
    assert_eq!(summary["total"]["by_version"], json!({"v7": 50}));
    let faults = json!({"failing_share": 1.0});
    let response =
        http::post(format!("http://{addr}/standin/faults"), &faults).expect("a response");
    assert_eq!(response.status, 200);
    let failed = run(caller, &args, WAIT_TIMEOUT).expect("the caller runs");
    assert_eq!(failed.exit_code, Some(1));
    let summary: Value = serde_json::from_str(&failed.stdout).expect("JSON");
    assert_eq!(summary["total"]["other_status"], json!({"500": 50}));
    assert_eq!(target.terminate(), Some(0));
}

/// Guards against calls that differ from their entry of the catalogue in class, method, deadline,
/// body size or idempotency header.
#[test]
fn calls_match_their_catalogue_entries() {
    let catalogue = json!({
        "services": [{"name": "counter", "version": "v1"}],
        "entries": [
            {"class": "counter_query", "path": "/counter/sheets", "methods": ["GET"],
             "limits": {"deadline_ms": 800, "max_body_bytes": 65536}},
            {"class": "booking", "path": "/counter/orders", "methods": ["POST"],
             "idempotency_header": "Order-Key",
             "limits": {"deadline_ms": 2000, "max_body_bytes": 100}},
        ],
    });
    let calls = programs::calls(&catalogue).expect("calls");
    assert_eq!(calls.len(), 2);
    assert_eq!((calls[0].class, calls[0].deadline_ms), (Class::CounterQuery, 800));
    assert_eq!((calls[0].method.as_str(), calls[0].body_bytes), ("GET", 0));
    assert_eq!((calls[1].class, calls[1].body_bytes), (Class::Booking, 100));
    assert_eq!(calls[1].idempotency_header, "Order-Key");
    let services = programs::services(&catalogue).expect("services");
    assert_eq!(services, [("counter".to_string(), "v1".to_string())]);
    assert!(programs::calls(&json!({})).is_err());
}
