//! Settings of a node: one JSON file with a section for each module.
//!
//! Sections that are left out take their defaults; unknown fields are errors.

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
use crate::uploads::upload_settings::UploadSettings;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Identity of the node: the name of its host.
    pub node: NodeId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// Addresses that peers are told, where they differ from the ones listened on.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Graceful stop.
    #[serde(default)]
    pub drain: DrainSettings,
    /// The platform's table and object store.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Membership and the life cycle of targets.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Distribution of the configuration.
    #[serde(default)]
    pub distribution: DistributionSettings,
    /// Calls.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Streams between nodes.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Moves.
    #[serde(default)]
    pub moves: MoveSettings,
    /// Targets beside the node.
    #[serde(default)]
    pub targets: TargetSettings,
    /// Service-level burn report.
    #[serde(default)]
    pub report: ReportSettings,
    /// Claims.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Stored uploads.
    #[serde(default)]
    pub uploads: UploadSettings,
}

/// Section `listen`: IP addresses with ports; port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Control datagrams of peers (UDP).
    pub control: SocketAddr,
    /// Calls and control requests of peers (TCP, h2).
    pub peer: SocketAddr,
    /// Callers (TCP, HTTP).
    pub caller: SocketAddr,
    /// Operators (TCP, HTTP).
    pub admin: SocketAddr,
    /// The targets beside the node (TCP, HTTP).
    pub targets: SocketAddr,
}

/// Section `advertise`: addresses that peers are told; `null` means the one listened on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// Control datagrams.
    pub control: Option<SocketAddr>,
    /// Calls and control requests.
    pub peer: Option<SocketAddr>,
}

/// Section `drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time for peers and callers to stop sending before the listeners close, in milliseconds.
    pub announce_ms: u64,
    /// Longest time for calls in flight, in milliseconds; longer than the longest deadline.
    pub finish_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { announce_ms: 500, finish_ms: 60_000 }
    }
}

/// Why settings were refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(String, std::io::Error),
    /// A field is wrong.
    Invalid {
        /// Path of the field, for example `listen.peer`.
        path: String,
        /// What is wrong and what is allowed.
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
        self.check_periods()?;
        at_least_one(self.claims.shards as usize, "claims.shards")?;
        at_least_one(self.claims.max_batch, "claims.max_batch")?;
        at_least_one(self.traffic.workers, "traffic.workers")?;
        at_least_one(self.traffic.max_attempts, "traffic.max_attempts")?;
        at_least_one(self.moves.evaluators, "moves.evaluators")?;
        // Without a push no peer acknowledges a head, and it is never applied.
        at_least_one(self.distribution.push_fanout, "distribution.push_fanout")?;
        at_least_one(self.uploads.store_attempts as usize, "uploads.store_attempts")?;
        let (connect, request) =
            (self.platform.connect_timeout_ms, self.platform.request_timeout_ms);
        require(
            connect < request,
            "platform.connect_timeout_ms",
            "must be below platform.request_timeout_ms",
        )?;
        require(
            (1024..=16 << 20).contains(&self.uploads.chunk_bytes),
            "uploads.chunk_bytes",
            "must be from 1024 to 16777216",
        )
    }

    /// A period of zero would keep the control thread busy without end.
    fn check_periods(&self) -> Result<(), SettingsError> {
        let periods = [
            (self.membership.tick_period_ms, "membership.tick_period_ms"),
            (self.membership.probe_period_ms, "membership.probe_period_ms"),
            (self.distribution.tick_period_ms, "distribution.tick_period_ms"),
            (self.distribution.poll_min_ms, "distribution.poll_min_ms"),
            (self.targets.health_period_ms, "targets.health_period_ms"),
            (self.uploads.scan_period_ms, "uploads.scan_period_ms"),
            (self.traffic.count_interval.0, "traffic.count_interval"),
            (self.peers.ping_interval.0, "peers.ping_interval"),
        ];
        periods.into_iter().try_for_each(|(ms, path)| require(ms >= 1, path, "must be at least 1"))
    }
}

fn at_least_one(n: usize, path: &str) -> Result<(), SettingsError> {
    require(n >= 1, path, "must be at least 1")
}

pub(crate) fn require(holds: bool, path: &str, problem: &str) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError::Invalid { path: path.to_string(), problem: problem.to_string() })
}
