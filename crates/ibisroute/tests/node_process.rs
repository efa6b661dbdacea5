//! Tests of the program `ibisrouted`: arguments, exit codes, and shutdown with its parent process.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::wait;

const IBISROUTED_PATH: &str = env!("CARGO_BIN_EXE_ibisrouted");

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

/// Returns settings without optional sections, with listeners on free ports.
fn settings() -> Value {
    let free_port_addr = "127.0.0.1:0";
    json!({"node": "erongo-1-01", "data_centre": "erongo-1", "region": "erongo",
        "listen": {"control": free_port_addr, "peer": free_port_addr, "caller": free_port_addr,
            "admin": free_port_addr, "targets": free_port_addr}})
}

/// Guards against nodes that keep running after their parent process has been killed.
#[test]
fn node_stops_when_its_parent_ends() {
    let file = SettingsFile::new("parent", &settings());
    let mut child = Command::new(IBISROUTED_PATH)
        .arg("--settings")
        .arg(&file.0)
        .arg("--stop-on-stdin-end")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts");
    let stdout = child.stdout.take().expect("standard output is a pipe");
    let mut address_line = String::new();
    BufReader::new(stdout).read_line(&mut address_line).expect("the node prints its addresses");
    let bound_addresses: Value =
        serde_json::from_str(&address_line).expect("the addresses are JSON");
    assert_eq!(bound_addresses["node"], "erongo-1-01");
    drop(child.stdin.take());
    let exit_status = wait::until("the node to end", Duration::from_secs(10), || {
        child.try_wait().expect("the child can be waited for")
    });
    if exit_status.is_err() {
        child.kill().expect("the node can be killed");
    }
    assert!(exit_status.expect("the node ends with its standard input").success());
}

/// Guards against invalid settings that are detected only after the node has joined the fleet, and
/// against an exit code that does not distinguish them from other failures.
#[test]
fn invalid_settings_exit_3() {
    let mut invalid_settings = settings();
    invalid_settings["listen"]["peer"] = json!("somewhere");
    let file = SettingsFile::new("invalid", &invalid_settings);
    let output = Command::new(IBISROUTED_PATH)
        .arg("--settings")
        .arg(&file.0)
        .output()
        .expect("ibisrouted runs");
    assert_eq!(output.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("listen.peer"), "{stderr}");
}

/// Guards against `--check` starting a node or omitting the defaults.
#[test]
fn check_option_prints_defaults() {
    let file = SettingsFile::new("check", &settings());
    let output =
        Command::new(IBISROUTED_PATH).arg("--settings").arg(&file.0).arg("--check").output();
    let output = output.expect("ibisrouted runs");
    assert_eq!(output.status.code(), Some(0));
    let printed_settings: Value =
        serde_json::from_slice(&output.stdout).expect("the settings are JSON");
    assert_eq!(printed_settings["claims"]["shards"], 8);
}
