//! Small clusters of real node processes for integration tests.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::Class;
use standins::harness::Builder;
use standins::harness::Cluster;
use standins::harness::Output;
use standins::target::TargetOptions;

/// Default timeout of waits that normally take well under a second.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Specified time limit for a configuration to take effect on every node, and for a restarted node
/// to serve again.
pub(crate) const CONVERGENCE_BOUND: Duration = Duration::from_secs(3);

/// Returns a cluster builder that uses the binaries under test.
pub(crate) fn builder() -> Builder {
    Cluster::builder(env!("CARGO_BIN_EXE_ibisrouted")).ibisctl(env!("CARGO_BIN_EXE_ibisctl"))
}

fn limits(deadline_ms: u64, max_body_bytes: u64) -> Value {
    json!({"rate_per_s": 5000, "concurrency": 512, "deadline_ms": deadline_ms, "retry_percent": 10,
           "max_body_bytes": max_body_bytes})
}

fn entry(name: &str, class: &str, service: &str, path: &str, method: &str) -> Value {
    let (deadline_ms, max_body_bytes) = match class {
        "upload" => (20_000, 128 << 20),
        _ => (2000, 65_536),
    };
    json!({"name": name, "owner": "desk@kuiseb.example", "class": class, "service": service,
           "path": path, "methods": [method], "limits": limits(deadline_ms, max_body_bytes),
           "objective": {"success_percent": 99.0, "latency_ms": 250}})
}

/// Returns a catalogue with two services and entries of all four classes.
pub(crate) fn catalogue() -> Value {
    json!({
        "format": 1,
        "name": "kuiseb-test",
        "services": [
            {"name": "counter", "owner": "desk@kuiseb.example", "version": "v1",
             "report_url": null, "withdrawal": "balanced"},
            {"name": "plateroom", "owner": "plates@kuiseb.example", "version": "v1",
             "report_url": null, "withdrawal": "balanced"}
        ],
        "entries": [
            entry("sheet-search", "counter_query", "counter", "/counter/sheets", "GET"),
            entry("print-order", "booking", "counter", "/counter/orders", "POST"),
            entry("plate-scan", "upload", "plateroom", "/plateroom/scans", "PUT"),
            entry("plate-availability", "internal_query", "plateroom", "/plateroom/plates", "GET")
        ],
        "moves": []
    })
}

/// Returns calls of all four classes to the entries of [`catalogue`].
pub(crate) fn all_calls() -> Vec<CallSpec> {
    let call = |class, method: &str, path: &str, body_bytes, weight| CallSpec {
        class,
        method: method.to_string(),
        path: path.to_string(),
        body_bytes,
        weight,
        deadline_ms: 2000,
        ..CallSpec::default()
    };
    vec![
        call(Class::CounterQuery, "GET", "/counter/sheets", 0, 6),
        call(Class::Booking, "POST", "/counter/orders", 200, 2),
        call(Class::Upload, "PUT", "/plateroom/scans", 40_000, 1),
        call(Class::InternalQuery, "GET", "/plateroom/plates", 0, 3),
    ]
}

/// Returns caller options for [`all_calls`] to every node of the cluster.
pub(crate) fn mixed_call_options(cluster: &Cluster) -> CallerOptions {
    CallerOptions {
        nodes: cluster.callers(),
        calls: all_calls(),
        keep_log: true,
        ..CallerOptions::default()
    }
}

/// Starts targets with [`start_targets`], applies [`catalogue`] and waits until it is in effect on
/// every node. Returns its version.
pub(crate) fn start_serving(cluster: &mut Cluster) -> u64 {
    start_targets(cluster);
    let version = apply(cluster, &catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("all nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    version
}

/// Starts one target beside each node, of the service `counter` for nodes with an even index and of
/// `plateroom` for the others. Waits until every node lists all targets as ready.
pub(crate) fn start_targets(cluster: &mut Cluster) {
    let node_count = cluster.nodes().len();
    for node in 0..node_count {
        let service = if node % 2 == 0 { "counter" } else { "plateroom" };
        let options = TargetOptions {
            service: service.to_string(),
            instance: format!("{service}-{node}"),
            ..TargetOptions::default()
        };
        cluster.start_target(node, options).expect("a target starts");
    }
    cluster.wait_targets(node_count, WAIT_TIMEOUT).expect("targets become ready");
}

/// Applies a catalogue with `ibisctl` and returns its version.
pub(crate) fn apply(cluster: &Cluster, document: &Value) -> u64 {
    let output = try_apply_catalogue(cluster, document);
    assert_eq!(output.exit_code, Some(0), "{} {}", output.stdout, output.stderr);
    let response: Value = serde_json::from_str(&output.stdout).expect("ibisctl prints JSON");
    response["version"].as_u64().expect("ibisctl prints the version")
}

/// Applies a catalogue with `ibisctl` without checking the exit code.
pub(crate) fn try_apply_catalogue(cluster: &Cluster, document: &Value) -> Output {
    let file = cluster.folder().join("catalogue.json");
    std::fs::write(&file, document.to_string()).expect("the folder is writable");
    let file = file.to_string_lossy();
    ctl(cluster, &["catalogue", "apply", &file, "--author", "test"])
}

/// Runs `ibisctl` with JSON output and the addresses of the platform and of the first node.
pub(crate) fn ctl(cluster: &Cluster, args: &[&str]) -> Output {
    let platform = cluster.platform().addr().to_string();
    let node = cluster.node(0).addresses().expect("the first node has started").admin.to_string();
    let mut all_args = vec!["--platform", &platform, "--node", &node, "--output", "json"];
    all_args.extend(args);
    cluster.ctl(&all_args).expect("ibisctl runs")
}
