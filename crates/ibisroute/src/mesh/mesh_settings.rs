//! Settings of a node of the service mesh, read from one JSON file.
//!
//! `deploy/node.json` is the template that the platform fills in.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use super::dissemination::DisseminationSettings;
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

/// Settings of a node of the service mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Name of the host, which is the name of the node.
    pub node: NodeId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Service of the target next to the node.
    pub service: ServiceName,
    pub listen: MeshListen,
    /// Address, timeouts and size limits of the row store.
    pub store: PlatformSettings,
    /// Retry budget and grace period, which are the same on the whole platform.
    #[serde(default)]
    pub bounds: BoundsSettings,
    /// Memory that the process may use.
    #[serde(default)]
    pub memory: MemorySettings,
    /// Network link of the host.
    #[serde(default)]
    pub link: LinkSettings,
    /// Whether the whole system starts for the first time, with an empty table of nodes.
    #[serde(default)]
    pub first_start: bool,
    /// Connections to other nodes.
    #[serde(default)]
    pub peers: MeshPeerSettings,
    /// Target selection.
    #[serde(default)]
    pub picker: PickerSettings,
    /// Queue in front of the target.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Health evaluation of the target from the outcomes of its requests.
    #[serde(default)]
    pub health: HealthSettings,
    /// Moves of services to another version.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Rate limits of the log.
    #[serde(default)]
    pub log: LogRateSettings,
}

/// Section `listen`: the addresses on which a node accepts connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshListen {
    /// Address for requests of callers on this host, including the target.
    pub callers: SocketAddr,
    /// Address for heartbeats of the target.
    pub targets: SocketAddr,
    /// Address for readiness checks of the platform.
    pub ready: SocketAddr,
    /// Address for connections of other nodes.
    pub peers: SocketAddr,
    /// Address announced to other nodes, if it differs from `peers`.
    #[serde(default)]
    pub peers_told: Option<SocketAddr>,
    /// Address from which Prometheus scrapes the metrics.
    pub metrics: SocketAddr,
}

/// Section `bounds`: the retry budget and the grace period of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundsSettings {
    /// Retries allowed in a window, as a fraction of the requests in it.
    pub retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Retries that all nodes together may make in a window beyond those of `retry_ratio`.
    pub retry_slack: f64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

impl Default for BoundsSettings {
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_window_s: 10.0, retry_slack: 50.0, grace_s: 6.0 }
    }
}

impl BoundsSettings {
    /// Returns the settings of the retry budget.
    pub fn budget(&self) -> BudgetSettings {
        BudgetSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Millis((self.retry_window_s * 1000.0) as u64),
            ..BudgetSettings::default()
        }
    }
}

/// Section `memory`: limits on the memory of the process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemorySettings {
    /// Memory of the process, in megabytes.
    pub limit_mb: u64,
    /// Share of `limit_mb` for request bodies, 0.0 to 1.0; requests whose bodies would exceed it are
    /// refused.
    pub bodies_share: f64,
    /// Share of `limit_mb` for the responses that arrive from the target, 0.0 to 1.0; a response that
    /// would take more than half of what is left counts as failed.
    pub responses_share: f64,
}

impl MemorySettings {
    /// Returns the maximum total size of the callers' request bodies in memory, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.share_bytes(self.bodies_share)
    }

    /// Returns the maximum total size of the target's responses in memory, in bytes.
    pub fn max_response_bytes(&self) -> usize {
        self.share_bytes(self.responses_share)
    }

    fn share_bytes(&self, share: f64) -> usize {
        (self.limit_mb as f64 * 1024.0 * 1024.0 * share) as usize
    }
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self { limit_mb: 128, bodies_share: 0.4, responses_share: 0.2 }
    }
}

/// Section `link`: capacity of the host's network link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Bandwidth of the link, in megabits per second.
    pub mbps: f64,
    /// Bandwidth per long body, in megabits per second; `mbps` divided by it limits how many long bodies
    /// are received concurrently. More of them would only delay each other and short calls.
    pub mbps_per_body: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { mbps: 1_000.0, mbps_per_body: 15.0 }
    }
}

impl LinkSettings {
    /// Returns the number of long bodies that may be received concurrently, from 1 to 64.
    pub fn max_concurrent_bodies(&self) -> usize {
        ((self.mbps / self.mbps_per_body) as usize).clamp(1, 64)
    }
}

/// Section `peers`: connections to other nodes, and the watch of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeshPeerSettings {
    /// Timeout of opening a connection, the greeting included.
    pub connect: Millis,
    /// Minimum interval between periodic statuses. A change is sent without waiting for the interval.
    pub status: Millis,
    /// Interval between statuses for each known peer: with 100 peers, the interval is at least 100 times
    /// this value. Bounds the traffic of statuses in a large fleet.
    pub status_per_peer: Millis,
    /// Time without a frame after which a peer counts as lost. The effective time is never shorter than
    /// three intervals between periodic statuses.
    pub silence: Millis,
    /// Initial pause between attempts to connect; doubled with each failure.
    pub retry_first: Millis,
    /// Upper bound of the pause between attempts to connect.
    pub retry_last: Millis,
    /// Number of nodes that watch the store and send its changes to all others.
    pub readers: usize,
    /// Maximum duration of one watch call; bounds the time until a broken connection to the store is
    /// detected.
    pub watch: Millis,
    /// Pause after changes, so that further changes in quick succession are read together.
    pub watch_pause: Millis,
    /// Which peers receive a status.
    pub dissemination: DisseminationSettings,
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
            dissemination: DisseminationSettings::default(),
        }
    }
}

/// Section `log`: rate limits of log lines; lines above them are dropped and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogRateSettings {
    /// Lines per second for requests that were served.
    pub served_per_s: u32,
    /// Lines per second for all other events.
    pub other_per_s: u32,
}

impl Default for LogRateSettings {
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
        let positive_settings = [
            (self.bounds.retry_window_s, "bounds.retry_window_s"),
            (self.bounds.grace_s, "bounds.grace_s"),
            (self.memory.bodies_share, "memory.bodies_share"),
            (self.memory.responses_share, "memory.responses_share"),
            (self.link.mbps, "link.mbps"),
            (self.link.mbps_per_body, "link.mbps_per_body"),
            (self.queue.estimate_weight, "queue.estimate_weight"),
        ];
        for (value, path) in positive_settings {
            require(value > 0.0 && value.is_finite(), path, "must be above 0")?;
        }
        let non_negative_settings = [
            (self.bounds.retry_ratio, "bounds.retry_ratio"),
            (self.bounds.retry_slack, "bounds.retry_slack"),
        ];
        for (value, path) in non_negative_settings {
            require(value >= 0.0 && value.is_finite(), path, "must not be below 0")?;
        }
        require(self.memory.limit_mb >= 16, "memory.limit_mb", "must be at least 16")?;
        require(
            self.memory.bodies_share + self.memory.responses_share <= 1.0,
            "memory.responses_share",
            "must leave room for memory.bodies_share",
        )?;
        require(self.picker.compared >= 2, "picker.compared", "must be at least 2")?;
        require(self.peers.readers >= 1, "peers.readers", "must be at least 1")?;
        require(
            self.peers.dissemination.evaluators >= 1,
            "peers.dissemination.evaluators",
            "must be at least 1",
        )?;
        let stages = &self.rollout.stages;
        let is_rising = stages.is_sorted_by(|a, b| a.from < b.from);
        let is_complete = stages.last().is_some_and(|s| s.share == 1.0 && s.from < 1.0);
        require(
            is_rising && is_complete,
            "rollout.stages",
            "must rise and end with a share of 1.0",
        )?;
        let request_timeout = self.store.request_timeout_ms;
        require(
            self.peers.watch.0 < request_timeout,
            "peers.watch",
            "must be below store.request_timeout_ms",
        )
    }
}
