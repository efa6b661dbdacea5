//! A fleet of real node processes on loopback addresses, each with an instance beside it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::OptionExt;
use eyre::WrapErr;
use serde_json::Value;
use serde_json::json;

use super::instance::InstanceOptions;
use super::instance::InstanceStandin;
use super::store::StoreStandin;
use crate::harness::process::Process;
use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::relay::TcpRelay;
use crate::wait;

/// Value of the `Host` header that all routes of the fleet match.
pub const HOST: &str = "mesh.example";

/// Path prefix of the route whose requests are safe to retry.
pub const READ_PATH: &str = "/read/";

/// Path prefix of the route whose requests run at most once.
pub const ORDER_PATH: &str = "/order/";

/// Time limit for each node of a new fleet to be ready and connected to all others.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A node process with its addresses and relays.
pub struct MeshNode {
    pub name: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the heartbeats of the instance.
    pub targets: SocketAddr,
    /// Listener for readiness checks.
    pub ready: SocketAddr,
    /// Listener that serves the metrics page.
    pub metrics: SocketAddr,
    /// Relay between this node and the store.
    pub store_relay: TcpRelay,
    /// Relay in front of the listener for other nodes.
    pub peer_relay: TcpRelay,
    settings_file: PathBuf,
    process: Option<Process>,
}

impl MeshNode {
    /// Largest resident memory of the process so far, in bytes; `None` when it has ended.
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.as_ref()?.id()));
        let status = status.ok()?;
        let peak_kib = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        Some(peak_kib.trim().strip_suffix(" kB")?.parse::<u64>().ok()? * 1024)
    }

    /// Whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| p.exit_status().is_none())
    }

    /// Whether the node's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        http::get(format!("http://{}/-/ready", self.ready)).is_ok_and(|r| r.status == 200)
    }

    /// Lines that the process has written to standard output so far.
    pub fn log(&self) -> Vec<String> {
        self.process.as_ref().map(|p| p.stdout.lines()).unwrap_or_default()
    }

    /// Sends a request as a caller does; `None` without a complete response.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> Option<Response> {
        let mut request = Request::new(method, format!("http://{}{path}", self.callers))
            .header("Host", HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", deadline.as_millis().to_string())
            .timeout(deadline + Duration::from_secs(3));
        if method == "POST" {
            request = request.body(vec![b'x'; 600]);
        }
        request.send().ok()
    }

    /// Sends a request with a body of `bytes` bytes to the order route.
    pub fn upload(&self, id: &str, bytes: usize, deadline: Duration) -> Option<Response> {
        Request::new("POST", format!("http://{}{ORDER_PATH}", self.callers))
            .header("Host", HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", deadline.as_millis().to_string())
            .body(vec![b'x'; bytes])
            .send()
            .ok()
    }
}

/// Size of a fleet and settings of its nodes and instances.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Number of nodes, each with an instance beside it.
    pub count: usize,
    /// Time that an instance takes for a request.
    pub service_time: Duration,
    /// Memory that each node may use, in megabytes.
    pub memory_limit_mb: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self { count: 2, service_time: Duration::from_millis(20), memory_limit_mb: 128 }
    }
}

/// A store, nodes and instances. Dropping the fleet kills its processes.
pub struct MeshFleet {
    pub store: StoreStandin,
    pub nodes: Vec<MeshNode>,
    /// The instances. The first ones are beside the nodes of the same index; later ones follow in
    /// order of start.
    pub instances: Vec<InstanceStandin>,
    program: PathBuf,
    version: u64,
    fleet_number: u8,
}

/// Number of fleets that this process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Largest number of nodes in a fleet. Their addresses differ only in the last byte.
const MAX_NODES: usize = 250;

/// Returns the loopback address of a node. It differs between fleets, so that nodes can bind fixed
/// ports: a port that was free when it was probed may be taken when a node binds it. Processes
/// whose ids are equal modulo 250 use the same addresses.
fn host_address(fleet: u8, index: usize) -> IpAddr {
    let process = 1 + (std::process::id() % 250) as u8;
    IpAddr::from([127, process, fleet, index as u8 + 1])
}

impl MeshFleet {
    /// Starts `count` nodes of the service `counter` and waits until all serve. Their settings are
    /// written to `folder`; `service_time` is that of the instances.
    pub fn start(
        program: &Path,
        folder: &Path,
        count: usize,
        service_time: Duration,
    ) -> eyre::Result<Self> {
        let options = FleetOptions { count, service_time, ..FleetOptions::default() };
        Self::start_with(program, folder, options)
    }

    /// Starts a fleet as [`MeshFleet::start`] does, with further options.
    pub fn start_with(program: &Path, folder: &Path, options: FleetOptions) -> eyre::Result<Self> {
        let store = StoreStandin::start().wrap_err("start the store")?;
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            instances: Vec::new(),
            program: program.to_path_buf(),
            version: 0,
            fleet_number: FLEET_COUNT.fetch_add(1, Ordering::SeqCst),
        };
        fleet.write_configuration(1_500);
        for i in 0..options.count {
            let node = fleet.make_node(folder, i, options.memory_limit_mb)?;
            fleet.nodes.push(node);
            fleet.start_node(i)?;
            fleet.start_instance(i, "v1", options.service_time)?;
        }
        fleet.wait_instances_registered(START_TIMEOUT)?;
        fleet.wait_serving(START_TIMEOUT)?;
        Ok(fleet)
    }

    /// Waits until every node has accepted a heartbeat of its instance. The first heartbeat is lost
    /// if the node does not listen yet, and the next one follows after the heartbeat interval.
    fn wait_instances_registered(&self, timeout: Duration) -> eyre::Result<()> {
        for node in &self.nodes {
            wait::until_true(&format!("{} to register its instance", node.name), timeout, || {
                node.log().iter().any(|line| line.contains("\"target_started\""))
            })?;
        }
        Ok(())
    }

    /// Writes a new configuration in which both routes have this timeout. Its version is 3 higher
    /// than the last one, so that the versions have gaps.
    pub fn write_configuration(&mut self, route_timeout_ms: u64) {
        self.write_configuration_with_idle_routes(route_timeout_ms, 0);
    }

    /// Writes a configuration as [`MeshFleet::write_configuration`] does, with `idle_routes`
    /// further routes that receive no requests.
    pub fn write_configuration_with_idle_routes(
        &mut self,
        route_timeout_ms: u64,
        idle_routes: usize,
    ) {
        self.version += 3;
        let route = |name: &str, prefix: &str, kind: &str, priority: u8| {
            json!({"resource_type": "routes", "metadata": {"name": name}, "spec": {
                "host": HOST, "prefix": prefix, "type": kind, "priority": priority,
                "timeout_s": route_timeout_ms as f64 / 1000.0, "target_latency_s": 0.5,
                "service": "counter", "max_attempts": 3}})
        };
        let mut resources = vec![
            route("read", READ_PATH, "safe", 2),
            route("order", ORDER_PATH, "unsafe", 1),
            json!({"resource_type": "services", "metadata": {"name": "counter"},
                "spec": {"health_check_path": "/health", "max_connections": 50}}),
            json!({"resource_type": "limits", "metadata": {}, "spec": {"max_header_bytes": 16384,
                "max_body_bytes": 1_000_000, "header_timeout_s": 3, "idle_timeout_s": 15}}),
        ];
        let idle_route = |n| route(&format!("idle-{n}"), &format!("/idle-{n}/"), "safe", 2);
        resources.extend((0..idle_routes).map(idle_route));
        let config = json!({"version": self.version, "resources": resources});
        self.store.put("op", "config", &config.to_string());
    }

    /// Writes a rollout request that moves the service to version `to`.
    pub fn request_rollout(&self, to: &str, duration: Duration) {
        self.request_rollout_of("counter", to, duration);
    }

    /// Writes a rollout request for any service.
    pub fn request_rollout_of(&self, service: &str, to: &str, duration: Duration) {
        let request = json!({"service": service, "to": to, "duration_s": duration.as_secs_f64()});
        self.store.put("op", &format!("rollout/{service}"), &request.to_string());
    }

    /// Version of the configuration that was written last.
    pub fn config_version(&self) -> u64 {
        self.version
    }

    /// State in the status row of the rollout; `None` while the row is absent.
    pub fn rollout_state(&self) -> Option<String> {
        let row: Value =
            serde_json::from_str(&self.store.text("status", "rollout/counter")?).ok()?;
        row["state"].as_str().map(str::to_string)
    }

    fn make_node(
        &self,
        folder: &Path,
        index: usize,
        memory_limit_mb: u64,
    ) -> eyre::Result<MeshNode> {
        let name = format!("host-{index}");
        let store_relay =
            TcpRelay::start(SocketAddr::from(([127, 0, 0, 1], 0))).wrap_err("start a relay")?;
        store_relay.set_destination(self.store.addr());
        let peer_relay =
            TcpRelay::start(SocketAddr::from(([127, 0, 0, 1], 0))).wrap_err("start a relay")?;
        eyre::ensure!(index < MAX_NODES, "a fleet has at most {MAX_NODES} nodes");
        let ip = host_address(self.fleet_number, index);
        let address = |port| SocketAddr::new(ip, port);
        let (callers, targets, ready, metrics) =
            (address(7001), address(7002), address(7003), address(7004));
        peer_relay.set_destination(address(7005));
        let settings = json!({
            "node": name, "data_centre": format!("dc-{}", index % 2), "service": "counter",
            "listen": {"callers": callers, "targets": targets, "ready": ready,
                "peers": address(7005), "peers_told": peer_relay.addr(), "metrics": metrics},
            "store": {"address": store_relay.addr(), "request_timeout_ms": 2200},
            "bounds": {"grace_s": 6.0}, "memory": {"limit_mb": memory_limit_mb},
        });
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).wrap_err("write settings")?;
        Ok(MeshNode {
            name,
            callers,
            targets,
            ready,
            metrics,
            store_relay,
            peer_relay,
            settings_file: file,
            process: None,
        })
    }

    /// Starts the process of a node.
    pub fn start_node(&mut self, index: usize) -> eyre::Result<()> {
        let node = &mut self.nodes[index];
        let file = node.settings_file.to_str().ok_or_eyre("the folder is not UTF-8")?;
        let args = ["--mesh", "--stop-on-stdin-end", "--settings", file];
        node.process = Some(Process::start(&self.program, &args)?);
        Ok(())
    }

    /// Starts an instance beside a node and appends it to `instances`.
    pub fn start_instance(
        &mut self,
        index: usize,
        version: &str,
        service_time: Duration,
    ) -> eyre::Result<()> {
        let number = self.instances.len();
        let options = InstanceOptions {
            id: format!("i-{number}"),
            service: "counter".to_string(),
            version: version.to_string(),
            zone: format!("dc-{}", index % 2),
            slots: 4,
            service_time,
            born: 1_000 + number as u64,
        };
        let instance = InstanceStandin::start(options, self.nodes[index].targets)
            .wrap_err("start an instance")?;
        self.instances.push(instance);
        Ok(())
    }

    /// Sends a signal to the process of a node.
    pub fn signal(&self, index: usize, signal: &str) -> eyre::Result<()> {
        let process = self.nodes[index].process.as_ref().ok_or_eyre("the node was not started")?;
        process.signal(signal)
    }

    /// Kills the process of a node and waits until it has ended.
    pub fn kill(&mut self, index: usize) -> eyre::Result<()> {
        let process = self.nodes[index].process.as_mut().ok_or_eyre("the node was not started")?;
        process.kill();
        process.wait(Duration::from_secs(5)).map(drop)
    }

    /// Waits until a node's process has ended and returns its exit code.
    pub fn wait_ended(&mut self, index: usize, timeout: Duration) -> eyre::Result<Option<i32>> {
        let process = self.nodes[index].process.as_mut().ok_or_eyre("the node was not started")?;
        Ok(process.wait(timeout)?.code())
    }

    /// Waits until every node is ready, serves a request and is connected to all other nodes. The
    /// nodes are checked one after the other, each with its own `timeout`.
    pub fn wait_serving(&self, timeout: Duration) -> eyre::Result<()> {
        for (i, node) in self.nodes.iter().enumerate() {
            wait::until_true(&format!("{} to serve", node.name), timeout, || {
                let id = format!("warm-{i}");
                let response = node.request("GET", READ_PATH, &id, Duration::from_millis(800));
                node.is_ready()
                    && response.is_some_and(|r| r.status == 200)
                    && node.peers() + 1 == self.nodes.len()
            })?;
        }
        Ok(())
    }

    /// Number of times that a request was executed, over all instances.
    pub fn execution_count(&self, request_id: &str) -> usize {
        let executions = self.instances.iter().flat_map(InstanceStandin::executions);
        executions.filter(|execution| execution.request_id == request_id).count()
    }
}

impl MeshNode {
    /// Number of peers that the node is connected to, from its metrics.
    pub fn peers(&self) -> usize {
        self.metric("ibis_peers_reached").unwrap_or(0.0) as usize
    }

    /// Value of a metric of the node; `None` when the node does not respond or lacks the metric.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = http::get(format!("http://{}/metrics", self.metrics)).ok()?;
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line?.parse().ok()
    }
}
