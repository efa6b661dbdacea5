//! A cluster of node processes on loopback addresses.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::OptionExt;
use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;
use crate::platform::PlatformStandin;
use crate::relay::TcpRelay;
use crate::relay::UdpRelay;
use crate::target::TargetOptions;
use crate::target::TargetStandin;
use crate::wait;

use super::process::Log;
use super::process::Output;
use super::process::Process;
use super::process::run;

/// Time within which a node must print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a killed process must have ended.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which an `ibisctl` command must end.
const CTL_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of requests to the admin interface.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of lines of each node's output that [`Cluster::print_logs`] prints.
const MAX_PRINTED_LINES: usize = 100;

/// Listener addresses that a node prints at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// UDP listener for control datagrams.
    pub control: SocketAddr,
    /// TCP listener for peers.
    pub peer: SocketAddr,
    /// HTTP listener for callers.
    pub caller: SocketAddr,
    /// HTTP listener for operators.
    pub admin: SocketAddr,
    /// HTTP listener for the targets beside the node.
    pub targets: SocketAddr,
}

/// Identity, address and additional settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Name of the node, unique in the cluster.
    pub name: String,
    pub data_centre: String,
    pub region: String,
    /// Address of all its listeners.
    pub ip: Ipv4Addr,
    /// Additional sections of its settings, which override those of the builder.
    pub sections: Map<String, Value>,
}

/// Builder of a [`Cluster`].
pub struct Builder {
    ibisrouted: PathBuf,
    ibisctl: Option<PathBuf>,
    nodes: Vec<NodeSpec>,
    data_centres: u8,
    relays: bool,
    sections: Map<String, Value>,
    log_level: String,
}

impl Builder {
    /// Sets the path of the `ibisctl` binary, which [`Cluster::ctl`] needs.
    #[must_use]
    pub fn ibisctl(mut self, path: impl Into<PathBuf>) -> Self {
        self.ibisctl = Some(path.into());
        self
    }

    /// Adds a data centre with `nodes` nodes named `<data centre>-01` and so on. The nodes of the
    /// first data centre bind to 127.0.1.1, 127.0.1.2, ..., those of the second to 127.0.2.1, ...
    #[must_use]
    pub fn data_centre(mut self, name: &str, region: &str, nodes: u8) -> Self {
        self.data_centres += 1;
        for n in 1..=nodes {
            self.nodes.push(NodeSpec {
                name: format!("{name}-{n:02}"),
                data_centre: name.to_string(),
                region: region.to_string(),
                ip: Ipv4Addr::new(127, 0, self.data_centres, n),
                sections: Map::new(),
            });
        }
        self
    }

    /// Adds a node with an explicit name, data centre, address and settings.
    #[must_use]
    pub fn node(mut self, spec: NodeSpec) -> Self {
        self.nodes.push(spec);
        self
    }

    /// Adds relays in front of the control and peer addresses of each node, and between the nodes
    /// and the platform.
    #[must_use]
    pub fn relays(mut self) -> Self {
        self.relays = true;
        self
    }

    /// Sets a section of every node's settings, for example `membership`.
    #[must_use]
    pub fn section(mut self, name: &str, settings: Value) -> Self {
        self.sections.insert(name.to_string(), settings);
        self
    }

    /// Sets the log level of the nodes, `info` by default.
    #[must_use]
    pub fn log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_string();
        self
    }

    /// Starts the platform, the relays and all nodes, and waits until each node has printed its
    /// addresses, but not until it is ready.
    pub fn start(self) -> eyre::Result<Cluster> {
        static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("ibisroute-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).wrap_err_with(|| format!("create {}", folder.display()))?;
        let platform = PlatformStandin::start(any_port(Ipv4Addr::LOCALHOST))?;
        let platform_relay = if self.relays {
            let relay = TcpRelay::start(any_port(Ipv4Addr::LOCALHOST))?;
            relay.set_destination(platform.addr());
            Some(relay)
        } else {
            None
        };
        let platform_addr = platform_relay.as_ref().map_or(platform.addr(), TcpRelay::addr);
        let mut nodes = Vec::new();
        for spec in self.nodes {
            let mut sections = self.sections.clone();
            sections.extend(spec.sections.clone());
            sections.insert("platform".to_string(), platform_section(&sections, platform_addr));
            sections.entry("log").or_insert_with(|| json!({"level": self.log_level}));
            let relays = if self.relays {
                Some((UdpRelay::start(any_port(spec.ip))?, TcpRelay::start(any_port(spec.ip))?))
            } else {
                None
            };
            let settings_file = folder.join(format!("{}.json", spec.name));
            nodes.push(Node {
                spec,
                settings_file,
                sections,
                relays,
                addresses: None,
                process: None,
                previous_output: Log::default(),
                paused: false,
            });
        }
        let mut cluster = Cluster {
            ibisrouted: self.ibisrouted,
            ibisctl: self.ibisctl,
            nodes,
            targets: Vec::new(),
            platform,
            platform_relay,
            folder,
        };
        let all_nodes: Vec<_> = (0..cluster.nodes.len()).collect();
        cluster.start_nodes(&all_nodes)?;
        Ok(cluster)
    }
}

/// Returns an address with port 0, for which the system chooses a free port.
fn any_port(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), 0)
}

/// Returns the `platform` section of the settings, with its address replaced by that of the
/// stand-in.
fn platform_section(sections: &Map<String, Value>, addr: SocketAddr) -> Value {
    let mut section = sections.get("platform").cloned().unwrap_or_else(|| json!({}));
    section["address"] = json!(addr);
    section
}

/// A node of a cluster; its process may be down.
pub struct Node {
    spec: NodeSpec,
    settings_file: PathBuf,
    sections: Map<String, Value>,
    relays: Option<(UdpRelay, TcpRelay)>,
    addresses: Option<NodeAddresses>,
    process: Option<Process>,
    /// Output of the earlier processes of the node.
    previous_output: Log,
    paused: bool,
}

impl Node {
    /// Specification that the node was built from.
    pub fn spec(&self) -> &NodeSpec {
        &self.spec
    }

    /// The listener addresses, which the node chooses at its first start and keeps across restarts.
    pub fn addresses(&self) -> eyre::Result<NodeAddresses> {
        self.addresses.ok_or_eyre("the node has not printed its addresses")
    }

    /// Process id; `None` while the process is down.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// Relay in front of the node's UDP control address, if the cluster has relays.
    pub fn udp_relay(&self) -> Option<&UdpRelay> {
        self.relays.as_ref().map(|(udp, _)| udp)
    }

    /// Relay in front of the node's TCP peer address, if the cluster has relays.
    pub fn tcp_relay(&self) -> Option<&TcpRelay> {
        self.relays.as_ref().map(|(_, tcp)| tcp)
    }

    /// Sends a GET request to the node's admin interface; `None` without a complete response within
    /// 1 s.
    pub fn admin(&self, path: &str) -> Option<http::Response> {
        let admin = self.addresses?.admin;
        Request::new("GET", format!("http://{admin}{path}")).timeout(ADMIN_TIMEOUT).send().ok()
    }

    /// Whether the node reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.admin("/ready").is_some_and(|response| response.status == 200)
    }

    /// Configuration version in effect; `None` when there is none or the node does not respond.
    pub fn version(&self) -> Option<u64> {
        let status = self.admin("/status")?.json();
        status["version"].as_u64().or_else(|| status["version_in_effect"].as_u64())
    }

    /// Number of members that the node does not list as dead, itself included; `None` without a
    /// response.
    pub fn members(&self) -> Option<usize> {
        let body = self.admin("/members")?.json();
        let members = body["members"].as_array().or_else(|| body.as_array())?;
        let dead = |m: &Value| m["status"].as_str().is_some_and(|s| s.eq_ignore_ascii_case("dead"));
        Some(members.iter().filter(|member| !dead(member)).count())
    }

    /// The last lines that the node printed since the cluster started: at most 20,000 lines of its
    /// earlier processes, and at most 20,000 of each output stream of the current process.
    pub fn log(&self) -> Vec<String> {
        let mut lines = self.previous_output.lines();
        if let Some(process) = &self.process {
            lines.extend(process.stdout.lines());
            lines.extend(process.stderr.lines());
        }
        lines
    }

    fn write_settings(&self) -> eyre::Result<()> {
        let any_port_addr = any_port(self.spec.ip);
        let listen = match self.addresses {
            Some(addresses) => json!(addresses),
            None => {
                json!({"control": any_port_addr, "peer": any_port_addr, "caller": any_port_addr,
                           "admin": any_port_addr, "targets": any_port_addr})
            }
        };
        let advertise = json!({
            "control": self.udp_relay().map(UdpRelay::addr),
            "peer": self.tcp_relay().map(TcpRelay::addr),
        });
        let mut settings = json!({
            "node": self.spec.name,
            "data_centre": self.spec.data_centre,
            "region": self.spec.region,
            "listen": listen,
            "advertise": advertise,
        });
        for (name, section) in &self.sections {
            settings[name] = section.clone();
        }
        fs::write(&self.settings_file, serde_json::to_vec_pretty(&settings)?)
            .wrap_err_with(|| format!("write {}", self.settings_file.display()))
    }

    fn start(&mut self, program: &Path) -> eyre::Result<()> {
        eyre::ensure!(self.process.is_none(), "node {} is already running", self.spec.name);
        self.write_settings()?;
        let settings =
            self.settings_file.to_str().ok_or_eyre("the temporary folder is not UTF-8")?;
        let args = ["--settings", settings, "--stop-on-stdin-end"];
        self.process = Some(Process::start(program, &args)?);
        self.paused = false;
        Ok(())
    }

    /// Waits for the line with the addresses and sets them as the destinations of the relays.
    fn wait_addresses(&mut self) -> eyre::Result<()> {
        let Some(process) = &mut self.process else { eyre::bail!("the node is not running") };
        let description = format!("node {} to print its addresses", self.spec.name);
        let result = wait::until(&description, START_TIMEOUT, || {
            let exit_status = process.exit_status();
            if exit_status.is_some() {
                process.wait_output();
            }
            let lines = process.stdout.lines();
            let printed_addresses = lines.iter().find_map(|line| serde_json::from_str(line).ok());
            match printed_addresses {
                Some(addresses) => Some(Ok::<NodeAddresses, _>(addresses)),
                None => exit_status.map(Err),
            }
        });
        let addresses = match result {
            Ok(Ok(addresses)) => addresses,
            Ok(Err(status)) => {
                let log = self.log().join("\n");
                eyre::bail!("node {} exited during its start, {status}:\n{log}", self.spec.name);
            }
            Err(e) => eyre::bail!("{e}\n{}", self.log().join("\n")),
        };
        self.addresses = Some(addresses);
        if let Some((udp, tcp)) = &self.relays {
            udp.set_destination(addresses.control);
            tcp.set_destination(addresses.peer);
        }
        Ok(())
    }

    /// Removes a process that has ended, and keeps its output.
    fn collect_output(&mut self) {
        let Some(process) = self.process.take() else { return };
        process.wait_output();
        let elapsed = process.started.elapsed().as_millis();
        for line in process.stdout.lines().into_iter().chain(process.stderr.lines()) {
            self.previous_output.push(line);
        }
        self.previous_output
            .push(format!("--- process {} ended after {elapsed} ms ---", process.id()));
    }

    fn signal(&self, signal: &str) -> eyre::Result<()> {
        match &self.process {
            Some(process) => process.signal(signal),
            None => eyre::bail!("node {} is not running", self.spec.name),
        }
    }
}

/// Nodes with their platform, relays and targets. Dropping the cluster stops everything; during a
/// panic the last lines of each node are printed first.
pub struct Cluster {
    nodes: Vec<Node>,
    targets: Vec<(usize, TargetStandin)>,
    platform: PlatformStandin,
    platform_relay: Option<TcpRelay>,
    ibisrouted: PathBuf,
    ibisctl: Option<PathBuf>,
    folder: PathBuf,
}

impl Cluster {
    /// Returns a builder of a cluster whose nodes run this `ibisrouted` binary.
    pub fn builder(ibisrouted: impl Into<PathBuf>) -> Builder {
        Builder {
            ibisrouted: ibisrouted.into(),
            ibisctl: None,
            nodes: Vec::new(),
            data_centres: 0,
            relays: false,
            sections: Map::new(),
            log_level: "info".to_string(),
        }
    }

    /// The platform stand-in.
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Relay between the nodes and the platform, if the cluster has relays.
    pub fn platform_relay(&self) -> Option<&TcpRelay> {
        self.platform_relay.as_ref()
    }

    /// All nodes, including those that are down.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The node with this index.
    pub fn node(&self, index: usize) -> &Node {
        &self.nodes[index]
    }

    /// Folder of the nodes' settings. Tests may add files. The folder is removed when the cluster
    /// is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Indices of the nodes in a data centre.
    pub fn in_data_centre(&self, name: &str) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].spec.data_centre == name).collect()
    }

    /// Caller addresses of the running nodes.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|node| node.process.is_some());
        running.filter_map(|node| node.addresses).map(|addresses| addresses.caller).collect()
    }

    /// The targets, each with the index of the node beside it.
    pub fn targets(&self) -> impl Iterator<Item = (usize, &TargetStandin)> {
        self.targets.iter().map(|(node, target)| (*node, target))
    }

    /// Starts a target beside a node, on the node's IP address. Overrides `listen`, `node` and
    /// `chain_node` of the options.
    pub fn start_target(
        &mut self,
        node: usize,
        options: TargetOptions,
    ) -> eyre::Result<&TargetStandin> {
        let local_node = &self.nodes[node];
        let addresses = local_node.addresses()?;
        let target = TargetStandin::start(TargetOptions {
            listen: any_port(local_node.spec.ip),
            node: Some(addresses.targets),
            chain_node: Some(addresses.caller),
            ..options
        })?;
        self.targets.push((node, target));
        self.targets.last().map(|(_, target)| target).ok_or_eyre("the target was just added")
    }

    /// Removes a target from the cluster and returns it, so that it can be stopped or killed.
    pub fn take_target(&mut self, instance: &str) -> Option<TargetStandin> {
        let index = self.targets.iter().position(|(_, t)| t.options().instance == instance)?;
        Some(self.targets.remove(index).1)
    }

    /// Starts nodes that are down, all at once and on their previous addresses, and waits until
    /// each has printed its addresses.
    pub fn start_nodes(&mut self, indices: &[usize]) -> eyre::Result<()> {
        for index in indices {
            self.nodes[*index].start(&self.ibisrouted)?;
        }
        for index in indices {
            self.nodes[*index].wait_addresses()?;
        }
        Ok(())
    }

    /// Kills nodes with SIGKILL, all at once, and waits until they have ended.
    pub fn kill_nodes(&mut self, indices: &[usize]) -> eyre::Result<()> {
        for index in indices {
            if let Some(process) = &mut self.nodes[*index].process {
                process.kill();
            }
        }
        for index in indices {
            let node = &mut self.nodes[*index];
            if let Some(process) = &mut node.process {
                process.wait(KILL_TIMEOUT)?;
            }
            node.collect_output();
        }
        Ok(())
    }

    /// Kills nodes with SIGKILL and starts them again on the same addresses.
    pub fn restart_nodes(&mut self, indices: &[usize]) -> eyre::Result<()> {
        self.kill_nodes(indices)?;
        self.start_nodes(indices)
    }

    /// Pauses a node with SIGSTOP.
    pub fn pause_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].signal("STOP")?;
        self.nodes[index].paused = true;
        Ok(())
    }

    /// Resumes a paused node with SIGCONT.
    pub fn resume_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].signal("CONT")?;
        self.nodes[index].paused = false;
        Ok(())
    }

    /// Sends SIGTERM to a node without waiting for its end.
    pub fn terminate_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].signal("TERM")
    }

    /// Waits until a node has ended and returns its exit code; `None` when a signal ended it.
    pub fn wait_ended(&mut self, index: usize, timeout: Duration) -> eyre::Result<Option<i32>> {
        let node = &mut self.nodes[index];
        let Some(process) = &mut node.process else { eyre::bail!("the node is not running") };
        let status = process.wait(timeout)?;
        node.collect_output();
        Ok(status.code())
    }

    /// Sends SIGTERM to a node, waits until it has ended and returns its exit code.
    pub fn stop_node(&mut self, index: usize, timeout: Duration) -> eyre::Result<Option<i32>> {
        self.terminate_node(index)?;
        self.wait_ended(index, timeout)
    }

    /// Silences all traffic between the nodes of two data centres in both directions. Needs relays.
    pub fn partition_data_centres(&self, first: &str, second: &str) -> eyre::Result<()> {
        for (from, to) in [(first, second), (second, first)] {
            let source_ips: Vec<IpAddr> =
                self.in_data_centre(from).iter().map(|i| self.nodes[*i].spec.ip.into()).collect();
            for index in self.in_data_centre(to) {
                let Some((udp, tcp)) = &self.nodes[index].relays else {
                    eyre::bail!("a partition needs a cluster with relays");
                };
                udp.change_rules(|rules| rules.silent_sources.extend(&source_ips));
                tcp.change_rules(|rules| rules.silent_sources.extend(&source_ips));
            }
        }
        Ok(())
    }

    /// Silences all traffic between the nodes of a data centre and the platform. Needs relays.
    pub fn partition_from_platform(&self, data_centre: &str) -> eyre::Result<()> {
        let relay = self.platform_relay.as_ref();
        let relay = relay.ok_or_eyre("a partition needs a cluster with relays")?;
        let indices = self.in_data_centre(data_centre);
        let source_ips = indices.iter().map(|i| IpAddr::from(self.nodes[*i].spec.ip));
        relay.change_rules(|rules| rules.silent_sources.extend(source_ips));
        Ok(())
    }

    /// Ends all partitions between data centres and from the platform.
    pub fn heal_partitions(&self) {
        for (udp, tcp) in self.nodes.iter().filter_map(|node| node.relays.as_ref()) {
            udp.change_rules(|rules| rules.silent_sources.clear());
            tcp.change_rules(|rules| rules.silent_sources.clear());
        }
        if let Some(relay) = &self.platform_relay {
            relay.change_rules(|rules| rules.silent_sources.clear());
        }
    }

    /// The nodes that run and are not paused.
    fn active_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.process.is_some() && !node.paused)
    }

    /// Waits until `f` is true for every node that runs and is not paused. The error after
    /// `timeout` contains `description` and the status of these nodes.
    pub fn wait_all(
        &self,
        description: &str,
        timeout: Duration,
        mut f: impl FnMut(&Node) -> bool,
    ) -> eyre::Result<()> {
        let result = wait::until_true(description, timeout, || self.active_nodes().all(&mut f));
        result.map_err(|e| {
            let status: Vec<_> = self
                .active_nodes()
                .map(|node| {
                    let status = node.admin("/status").map(|response| response.json());
                    let status = status.map_or("no response".to_string(), |json| json.to_string());
                    format!("{}: {status}", node.spec.name)
                })
                .collect();
            eyre::eyre!("{e}\n{}", status.join("\n"))
        })
    }

    /// Waits until all nodes that run and are not paused are ready.
    pub fn wait_ready(&self, timeout: Duration) -> eyre::Result<()> {
        self.wait_all("ready nodes", timeout, Node::is_ready)
    }

    /// Waits until all nodes that run and are not paused have at least this version in effect.
    pub fn wait_version(&self, version: u64, timeout: Duration) -> eyre::Result<()> {
        let description = format!("version {version}");
        self.wait_all(&description, timeout, |node| node.version().is_some_and(|v| v >= version))
    }

    /// Waits until all nodes that run and are not paused have exactly this many members that are
    /// not dead.
    pub fn wait_members(&self, count: usize, timeout: Duration) -> eyre::Result<()> {
        let description = format!("{count} members");
        self.wait_all(&description, timeout, |node| node.members() == Some(count))
    }

    /// Applies a catalogue without `ibisctl` and returns its version.
    pub fn apply(&self, document: &Value) -> eyre::Result<u64> {
        super::apply_catalogue(self.platform.addr(), "harness", document)
    }

    /// Runs `ibisctl` with these arguments.
    pub fn ctl(&self, args: &[&str]) -> eyre::Result<Output> {
        let program = self.ibisctl.as_ref().ok_or_eyre("the builder was given no ibisctl")?;
        run(program, args, CTL_TIMEOUT)
    }

    /// Prints the last lines of each node to standard error.
    pub fn print_logs(&self) {
        for node in &self.nodes {
            let lines = node.log();
            eprintln!("=== {} ({} lines) ===", node.spec.name, lines.len());
            for line in lines.iter().rev().take(MAX_PRINTED_LINES).rev() {
                eprintln!("{line}");
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        for node in &mut self.nodes {
            if let Some(process) = &mut node.process {
                process.kill();
            }
        }
        // Ends the nodes before the targets: a running node would detect the loss of its targets.
        for node in &mut self.nodes {
            node.process = None;
        }
        self.targets.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
