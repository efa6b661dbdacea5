//! Settings of a node beside a target on the users' platform: one JSON file.
//!
//! `deploy/node.json` is the template that the platform fills in.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use super::picker::PickerSettings;
use super::retry_budget::BudgetSettings;
use super::rollout::RolloutSettings;
use super::slot_queue::QueueSettings;
use super::target_health::HealthSettings;
use crate::platform::platform_settings::PlatformSettings;
use crate::settings::SettingsError;
use crate::settings::require;
use crate::types::DataCentre;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::ServiceName;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Name of the host.
    pub node: NodeId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Service of the target beside the node.
    pub service: ServiceName,
    /// Addresses that the node listens on.
    pub listen: MeshListen,
    /// The store of rows.
    pub store: PlatformSettings,
    /// Bounds that the users agreed on.
    #[serde(default)]
    pub bounds: Bounds,
    /// Memory that the process may use.
    #[serde(default)]
    pub memory: MemorySettings,
    /// The host's network.
    #[serde(default)]
    pub link: LinkSettings,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Connections to other nodes.
    #[serde(default)]
    pub peers: MeshPeerSettings,
    /// Choice of targets.
    #[serde(default)]
    pub picker: PickerSettings,
    /// Queue in front of the target.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Judgement of the target by its answers.
    #[serde(default)]
    pub health: HealthSettings,
    /// Moves to another version.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Log lines.
    #[serde(default)]
    pub log: LineSettings,
}

/// Section `listen`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshListen {
    /// Callers on this host, the target included.
    pub callers: SocketAddr,
    /// Heartbeats of the target.
    pub targets: SocketAddr,
    /// Readiness checks of the platform.
    pub ready: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Address that other nodes are told, where it differs from `peers`.
    #[serde(default)]
    pub peers_told: Option<SocketAddr>,
    /// Counters and histograms.
    pub metrics: SocketAddr,
}

/// Section `bounds`: figures of the users' platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Sends beyond the first of each request, per request.
    pub retry_ratio: f64,
    /// Window in which repeats are counted, in seconds.
    pub retry_window_s: f64,
    /// Repeats of a window that are allowed besides, over all nodes.
    pub retry_slack: f64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

impl Default for Bounds {
    /// The figures of the first deployments.
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_window_s: 10.0, retry_slack: 50.0, grace_s: 6.0 }
    }
}

impl Bounds {
    /// Settings of the retry budget.
    pub fn budget(&self) -> BudgetSettings {
        BudgetSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Millis((self.retry_window_s * 1000.0) as u64),
            ..BudgetSettings::default()
        }
    }
}

/// Section `memory`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemorySettings {
    /// Memory of the process, in megabytes.
    pub limit_mb: u64,
    /// Share of it that bodies of requests may take; beyond it new bodies are refused.
    pub bodies_share: f64,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self { limit_mb: 128, bodies_share: 0.4 }
    }
}

/// Section `link`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Rate of the host's link, in megabits a second.
    pub mbps: f64,
    /// Megabits a second for each long body that may arrive at a time. Bodies beyond that would only
    /// delay each other, and the short calls between them.
    pub mbps_per_body: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { mbps: 1_000.0, mbps_per_body: 15.0 }
    }
}

impl LinkSettings {
    /// Long bodies that may arrive at a time.
    pub fn bodies(&self) -> usize {
        ((self.mbps / self.mbps_per_body) as usize).clamp(1, 64)
    }
}

/// Section `peers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeshPeerSettings {
    /// Longest time for a connection and its greeting.
    pub connect: Millis,
    /// Shortest interval of statuses.
    pub status: Millis,
    /// Interval added for each peer, so that the load of statuses is bounded on a large fleet.
    pub status_per_peer: Millis,
    /// Time without a frame after which a peer counts as lost, at least; three intervals of statuses if
    /// that is longer.
    pub silence: Millis,
    /// First pause between attempts to connect; doubled with each failure.
    pub retry_first: Millis,
    /// Longest pause between attempts to connect.
    pub retry_last: Millis,
    /// Nodes that watch the store for all.
    pub readers: usize,
    /// Longest wait of one watch call. A silent connection to the store shows after it.
    pub watch: Millis,
    /// Pause after changes were read, so that a quick succession of them is read at once.
    pub watch_pause: Millis,
}

impl Default for MeshPeerSettings {
    fn default() -> Self {
        Self {
            connect: Millis(800),
            status: Millis(500),
            status_per_peer: Millis(12),
            silence: Millis(2_000),
            retry_first: Millis(100),
            retry_last: Millis(2_000),
            readers: 2,
            watch: Millis(1_200),
            watch_pause: Millis(60),
        }
    }
}

/// Section `log`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LineSettings {
    /// Lines a second for requests that were served; more are dropped and counted.
    pub served_per_s: u32,
    /// Lines a second for everything else.
    pub other_per_s: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self { served_per_s: 50, other_per_s: 200 }
    }
}

impl MeshSettings {
    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(file)
            .map_err(|e| SettingsError::Unreadable(file.display().to_string(), e))?;
        Self::parse(&bytes)
    }

    /// Parses and checks settings.
    pub fn parse(bytes: &[u8]) -> Result<Self, SettingsError> {
        let mut de = serde_json::Deserializer::from_slice(bytes);
        let cfg: Self = serde_path_to_error::deserialize(&mut de).map_err(|e| {
            SettingsError::Invalid { path: e.path().to_string(), problem: e.inner().to_string() }
        })?;
        de.end().map_err(|e| SettingsError::Invalid {
            path: "end of file".to_string(),
            problem: e.to_string(),
        })?;
        cfg.check()?;
        Ok(cfg)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            (self.bounds.retry_window_s, "bounds.retry_window_s"),
            (self.bounds.grace_s, "bounds.grace_s"),
            (self.memory.bodies_share, "memory.bodies_share"),
            (self.link.mbps, "link.mbps"),
            (self.link.mbps_per_body, "link.mbps_per_body"),
            (self.queue.estimate_weight, "queue.estimate_weight"),
        ];
        for (value, path) in positive {
            require(value > 0.0 && value.is_finite(), path, "must be above 0")?;
        }
        let shares = [
            (self.bounds.retry_ratio, "bounds.retry_ratio"),
            (self.bounds.retry_slack, "bounds.retry_slack"),
        ];
        for (value, path) in shares {
            require(value >= 0.0 && value.is_finite(), path, "must not be below 0")?;
        }
        require(self.memory.limit_mb >= 16, "memory.limit_mb", "must be at least 16")?;
        require(self.picker.compared >= 2, "picker.compared", "must be at least 2")?;
        require(self.peers.readers >= 1, "peers.readers", "must be at least 1")?;
        let stages = &self.rollout.stages;
        let rising = stages.is_sorted_by(|a, b| a.from < b.from);
        let whole = stages.last().is_some_and(|s| s.share == 1.0 && s.from < 1.0);
        require(rising && whole, "rollout.stages", "must rise and end with a share of 1.0")?;
        let request = self.store.request_timeout_ms;
        require(
            self.peers.watch.0 < request,
            "peers.watch",
            "must be below store.request_timeout_ms",
        )
    }
}
