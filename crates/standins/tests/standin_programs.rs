//! The stand-ins run as programs, and calls are made from a catalogue.

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

const BOUND: Duration = Duration::from_secs(20);

/// A running program, killed at the end of the test. Its pipe stays open, because a program that
/// prints to a closed one fails.
struct Program(Child, BufReader<ChildStdout>);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Program {
    /// Starts a program and reads the address that it prints.
    fn start(path: &str, args: &[&str]) -> (Self, SocketAddr) {
        let child = Command::new(path).args(args).stdout(Stdio::piped()).spawn();
        let mut child = child.expect("a process");
        let stdout = child.stdout.take().expect("a pipe");
        let mut program = Self(child, BufReader::new(stdout));
        let mut line = String::new();
        program.1.read_line(&mut line).expect("a line");
        let printed: Value = serde_json::from_str(&line).expect("JSON");
        let addr = printed["listen"].as_str().and_then(|addr| addr.parse().ok());
        (program, addr.expect("an address"))
    }

    /// Sends SIGTERM and returns the exit code.
    fn terminate(mut self) -> Option<i32> {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill").success());
        let ended = wait::until("the end", BOUND, || self.0.try_wait().expect("a status"));
        ended.expect("an end").code()
    }
}

/// Guards against a platform program that does not serve the protocol or ignores SIGTERM.
#[test]
fn platform_runs() {
    let path = env!("CARGO_BIN_EXE_platform-standin");
    let (program, addr) = Program::start(path, &["--listen", "127.0.0.1:0"]);
    let written = http::post(
        format!("http://{addr}/table/transact"),
        &json!({"conditions": [{"key": "k", "revision": null}], "puts": [{"key": "k", "value": 1}]}),
    );
    assert_eq!(written.expect("an answer").status, 200);
    let row = http::get(format!("http://{addr}/table/row?key=k")).expect("an answer").json();
    assert_eq!(row["value"], 1);
    assert_eq!(program.terminate(), Some(0));
}

/// Guards against a caller program that reports success after failed calls, or failure after good
/// ones.
#[test]
fn caller_runs() {
    let (target, addr) = Program::start(
        env!("CARGO_BIN_EXE_target-standin"),
        &["--service", "counter", "--version-name", "v7", "--instance", "c", "--slots", "100"],
    );
    let caller = Path::new(env!("CARGO_BIN_EXE_caller-standin"));
    let node = addr.to_string();
    let args = ["--node", &node, "--rate", "200", "--max-calls", "50", "--duration-ms", "10000"];
    let good = run(caller, &args, BOUND).expect("a run");
    assert_eq!(good.code, Some(0), "{}", good.stderr);
    let summary: Value = serde_json::from_str(&good.stdout).expect("JSON");
    assert_eq!(summary["total"]["ok"], 50);
    assert_eq!(summary["total"]["by_version"], json!({"v7": 50}));
    let faults = json!({"failing_share": 1.0});
    let set = http::post(format!("http://{addr}/standin/faults"), &faults).expect("an answer");
    assert_eq!(set.status, 200);
    let bad = run(caller, &args, BOUND).expect("a run");
    assert_eq!(bad.code, Some(1));
    let summary: Value = serde_json::from_str(&bad.stdout).expect("JSON");
    assert_eq!(summary["total"]["other_status"], json!({"500": 50}));
    assert_eq!(target.terminate(), Some(0));
}

/// Guards against an entry whose calls do not match it.
#[test]
fn calls_follow_entries() {
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
