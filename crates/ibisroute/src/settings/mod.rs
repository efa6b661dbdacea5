//! Settings of a node: one JSON file with a section for each module.
//!
//! Sections that may be omitted take their defaults; unknown fields are errors.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::claim_settings::ClaimSettings;
use crate::distribution::distribution_settings::DistributionSettings;
use crate::membership::membership_settings::MembershipSettings;
use crate::moves::move_settings::MoveSettings;
use crate::node::logging::LogSettings;
use crate::node::targets::TargetSettings;
use crate::peers::peer_settings::PeerSettings;
use crate::platform::platform_settings::PlatformSettings;
use crate::report::report_settings::ReportSettings;
use crate::traffic::traffic_settings::TrafficSettings;
use crate::types::DataCentre;
use crate::types::NodeId;
use crate::types::Region;
use crate::uploads::store::STORE_RETRY_PAUSE;
use crate::uploads::upload_settings::UploadSettings;

/// Contents of the settings file of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Id of the node: the name of its host.
    pub node: NodeId,
    pub data_centre: DataCentre,
    pub region: Region,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses announced to peers, where they differ from those listened on.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    #[serde(default)]
    pub log: LogSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Access to the table and the object store of the platform.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Membership, and the life cycle of targets.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Distribution of configuration versions.
    #[serde(default)]
    pub distribution: DistributionSettings,
    /// Routing and admission of calls.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// HTTP/2 connections between nodes.
    #[serde(default)]
    pub peers: PeerSettings,
    #[serde(default)]
    pub moves: MoveSettings,
    /// Health checks of the targets on the host of the node.
    #[serde(default)]
    pub targets: TargetSettings,
    /// Burn rates of the service-level objectives.
    #[serde(default)]
    pub report: ReportSettings,
    #[serde(default)]
    pub claims: ClaimSettings,
    #[serde(default)]
    pub uploads: UploadSettings,
}

/// Section `listen`: IP addresses and ports to listen on. With port 0 the system chooses a port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for control datagrams from peers (UDP).
    pub control: SocketAddr,
    /// Address for calls and control requests from peers (TCP, HTTP/2).
    pub peer: SocketAddr,
    /// Address for requests from callers (TCP, HTTP).
    pub caller: SocketAddr,
    /// Address for requests from operators (TCP, HTTP).
    pub admin: SocketAddr,
    /// Address for announcements of the targets on the host of the node (TCP, HTTP).
    pub targets: SocketAddr,
}

/// Section `advertise`: addresses announced to peers; `null` stands for the address listened on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// Address announced for control datagrams (UDP).
    pub control: Option<SocketAddr>,
    /// Address announced for calls and control requests (TCP, HTTP/2).
    pub peer: Option<SocketAddr>,
}

/// Section `drain`: the two phases of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time for peers and callers to stop sending before the listeners close, in milliseconds.
    pub announce_ms: u64,
    /// Longest time for calls in flight to finish, in milliseconds; should exceed the longest
    /// deadline.
    pub finish_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { announce_ms: 500, finish_ms: 60_000 }
    }
}

/// Reason why settings could not be loaded.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read: its path, and the cause.
    Unreadable(String, std::io::Error),
    /// A field is missing, unknown or invalid.
    Invalid {
        /// Path of the field, for example `listen.peer`.
        path: String,
        /// Description of the error, with the allowed values where they are known.
        problem: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file, e) => write!(f, "cannot read settings file {file}: {e}"),
            Self::Invalid { path, problem } => write!(f, "invalid settings at {path}: {problem}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl NodeSettings {
    /// Reads and validates a settings file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(file)
            .map_err(|e| SettingsError::Unreadable(file.display().to_string(), e))?;
        Self::parse(&bytes)
    }

    /// Parses and validates settings.
    pub fn parse(bytes: &[u8]) -> Result<Self, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_slice(bytes);
        let settings: Self = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
            SettingsError::Invalid { path: e.path().to_string(), problem: e.inner().to_string() }
        })?;
        deserializer.end().map_err(|e| SettingsError::Invalid {
            path: "end of file".to_string(),
            problem: e.to_string(),
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        self.check_timer_periods()?;
        require_at_least_one(self.claims.shards as usize, "claims.shards")?;
        require_at_least_one(self.claims.max_batch, "claims.max_batch")?;
        require_at_least_one(self.traffic.workers, "traffic.workers")?;
        require_at_least_one(self.traffic.max_attempts, "traffic.max_attempts")?;
        require_at_least_one(self.moves.evaluators, "moves.evaluators")?;
        // With a fan-out of zero no peer would acknowledge a head, and the head would never be
        // applied.
        require_at_least_one(self.distribution.push_fanout, "distribution.push_fanout")?;
        require_at_least_one(self.uploads.store_attempts as usize, "uploads.store_attempts")?;
        let (connect_timeout_ms, request_timeout_ms) =
            (self.platform.connect_timeout_ms, self.platform.request_timeout_ms);
        require(
            connect_timeout_ms < request_timeout_ms,
            "platform.connect_timeout_ms",
            "must be below platform.request_timeout_ms",
        )?;
        let writes_end_after_ms =
            u64::from(self.uploads.store_attempts) * (request_timeout_ms + STORE_RETRY_PAUSE.0);
        require(
            self.uploads.delivered_kept_ms > writes_end_after_ms,
            "uploads.delivered_kept_ms",
            "must exceed the duration of uploads.store_attempts writes to the platform",
        )?;
        require(
            (1024..=16 << 20).contains(&self.uploads.chunk_bytes),
            "uploads.chunk_bytes",
            "must be from 1024 to 16777216",
        )
    }

    /// Rejects timer periods of zero: such a timer would keep its thread busy all the time.
    fn check_timer_periods(&self) -> Result<(), SettingsError> {
        let timer_periods = [
            (self.membership.tick_period_ms, "membership.tick_period_ms"),
            (self.membership.probe_period_ms, "membership.probe_period_ms"),
            (self.distribution.tick_period_ms, "distribution.tick_period_ms"),
            (self.distribution.poll_min_ms, "distribution.poll_min_ms"),
            (self.targets.health_period_ms, "targets.health_period_ms"),
            (self.uploads.scan_period_ms, "uploads.scan_period_ms"),
            (self.traffic.count_interval.0, "traffic.count_interval"),
            (self.peers.ping_interval.0, "peers.ping_interval"),
        ];
        timer_periods
            .into_iter()
            .try_for_each(|(ms, path)| require(ms >= 1, path, "must be at least 1"))
    }
}

fn require_at_least_one(value: usize, path: &str) -> Result<(), SettingsError> {
    require(value >= 1, path, "must be at least 1")
}

/// Returns an error for the field at `path` unless `condition` is true.
pub(crate) fn require(condition: bool, path: &str, problem: &str) -> Result<(), SettingsError> {
    if condition {
        return Ok(());
    }
    Err(SettingsError::Invalid { path: path.to_string(), problem: problem.to_string() })
}
