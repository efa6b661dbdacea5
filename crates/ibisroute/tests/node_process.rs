//! Tests of the program `ibisrouted`: arguments, exit codes, and shutdown with its parent process.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::wait;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ibisrouted");

/// A settings file that is deleted on drop.
struct SettingsFile(std::path::PathBuf);

impl SettingsFile {
    fn new(name: &str, settings: &Value) -> Self {
        let file = format!("ibisroute-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string()).expect("the folder is writable");
        Self(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn settings() -> Value {
    let any = "127.0.0.1:0";
    json!({"node": "erongo-1-01", "data_centre": "erongo-1", "region": "erongo",
        "listen": {"control": any, "peer": any, "caller": any, "admin": any, "targets": any}})
}

/// Guards against nodes that keep running after their parent process has been killed.
#[test]
fn ends_with_its_parent() {
    let file = SettingsFile::new("parent", &settings());
    let mut child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&file.0)
        .arg("--stop-on-stdin-end")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts");
    let stdout = child.stdout.take().expect("standard output is a pipe");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("the node prints its addresses");
    let bound: Value = serde_json::from_str(&line).expect("the addresses are JSON");
    assert_eq!(bound["node"], "erongo-1-01");
    drop(child.stdin.take());
    let ended = wait::until("the node to end", Duration::from_secs(10), || {
        child.try_wait().expect("the child can be waited for")
    });
    if ended.is_err() {
        child.kill().expect("the node can be killed");
    }
    assert!(ended.expect("the node ends with its input").success());
}

/// Guards against invalid settings that are detected only after the node has joined the fleet, and
/// against an exit code that does not distinguish them from other failures.
#[test]
fn wrong_settings_end_with_3() {
    let mut wrong = settings();
    wrong["listen"]["peer"] = json!("somewhere");
    let file = SettingsFile::new("wrong", &wrong);
    let output = Command::new(PROGRAM).arg("--settings").arg(&file.0).output().expect("it runs");
    assert_eq!(output.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("listen.peer"), "{stderr}");
}

/// Guards against `--check` starting a node or omitting the defaults.
#[test]
fn check_prints_defaults() {
    let file = SettingsFile::new("check", &settings());
    let output = Command::new(PROGRAM).arg("--settings").arg(&file.0).arg("--check").output();
    let output = output.expect("it runs");
    assert_eq!(output.status.code(), Some(0));
    let all: Value = serde_json::from_slice(&output.stdout).expect("the settings are JSON");
    assert_eq!(all["claims"]["shards"], 8);
}
