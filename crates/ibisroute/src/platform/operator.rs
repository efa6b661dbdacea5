//! The operator's rows: the configuration and the orders to move a service to another version.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::mesh::rollout::RolloutRequest;
use crate::mesh::rollout::RolloutStatus;
use crate::mesh::rollout::Verdict;
use crate::mesh::routes::ClientLimits;
use crate::mesh::routes::Route;
use crate::mesh::routes::RouteKind;
use crate::mesh::routes::RouteTable;
use crate::mesh::routes::SplitPart;
use crate::types::ByteSize;
use crate::types::ConfigVersion;
use crate::types::Millis;
use crate::types::ParseError;

/// Table that only the operator writes.
pub const OPERATOR_TABLE: &str = "op";

/// Key of the configuration in the operator's table.
pub const CONFIG_KEY: &str = "config";

/// Table that the operator reads.
pub const STATUS_TABLE: &str = "status";

/// Prefix of orders in the operator's table and of their outcomes in the status table.
pub const ROLLOUT_PREFIX: &str = "rollout/";

/// Why a row of the operator cannot be used.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum RowError {
    /// The bytes are not what the key promises.
    #[display("malformed row: {_0}")]
    Malformed(#[error(not(source))] String),
    /// A name is not valid.
    #[display("{_0}")]
    Name(#[error(not(source))] ParseError),
    /// A route refers to a service that the configuration lacks.
    #[display("route {route} refers to unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: SmolStr,
        /// Service that it refers to.
        service: SmolStr,
    },
    /// A value is outside its range.
    #[display("route {route}: {field} is out of range")]
    Range {
        /// Name of the route.
        route: SmolStr,
        /// The field.
        field: &'static str,
    },
}

#[derive(Deserialize)]
struct ConfigWire<'a> {
    version: u64,
    #[serde(borrow)]
    resources: Vec<ResourceWire<'a>>,
}

/// One entry of the list that holds everything the operator configures.
#[derive(Deserialize)]
struct ResourceWire<'a> {
    resource_type: SmolStr,
    #[serde(default)]
    metadata: MetadataWire,
    /// Parsed by the type; a tree of values for thousands of routes would take megabytes.
    #[serde(borrow)]
    spec: &'a RawValue,
}

#[derive(Default, Deserialize)]
struct MetadataWire {
    #[serde(default)]
    name: SmolStr,
}

#[derive(Deserialize)]
struct RouteWire {
    host: SmolStr,
    prefix: SmolStr,
    /// What may be repeated; an unknown word counts as `unsafe`.
    #[serde(rename = "type")]
    kind: SmolStr,
    timeout_s: f64,
    /// Time within which an answer earns its full credit.
    #[serde(default)]
    target_latency_s: Option<f64>,
    /// 0 is the most urgent.
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<SmolStr>,
    #[serde(default)]
    traffic_split: Vec<PartWire>,
    #[serde(default = "one")]
    max_attempts: u32,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
struct PartWire {
    service: SmolStr,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceWire {
    #[serde(default)]
    max_connections: Option<u32>,
}

#[derive(Deserialize)]
struct LimitsWire {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

fn millis(seconds: f64) -> Millis {
    Millis((seconds.max(0.0) * 1000.0).round() as u64)
}

impl From<LimitsWire> for ClientLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            header_bytes: ByteSize(wire.max_header_bytes),
            body_bytes: ByteSize(wire.max_body_bytes),
            header_timeout: millis(wire.header_timeout_s),
            idle_timeout: millis(wire.idle_timeout_s),
        }
    }
}

fn route(name: &SmolStr, wire: RouteWire) -> Result<Route, RowError> {
    let range = |field| RowError::Range { route: name.clone(), field };
    if !(wire.timeout_s > 0.0 && wire.timeout_s.is_finite()) {
        return Err(range("timeout_s"));
    }
    if wire.max_attempts == 0 {
        return Err(range("max_attempts"));
    }
    if !wire.prefix.starts_with('/') || !wire.prefix.ends_with('/') {
        return Err(range("prefix"));
    }
    let mut parts = Vec::new();
    for part in wire.traffic_split {
        if !(part.weight >= 0.0 && part.weight.is_finite()) {
            return Err(range("traffic_split"));
        }
        let service = part.service.try_into().map_err(RowError::Name)?;
        parts.push(SplitPart { service, weight: part.weight });
    }
    if let Some(service) = wire.service.filter(|_| parts.is_empty()) {
        let service = service.try_into().map_err(RowError::Name)?;
        parts.push(SplitPart { service, weight: 1.0 });
    }
    if parts.iter().all(|p| p.weight <= 0.0) {
        return Err(range("service"));
    }
    let timeout = millis(wire.timeout_s);
    let aim = wire.target_latency_s.map_or(timeout, millis);
    Ok(Route {
        name: name.clone(),
        host: SmolStr::new(wire.host.to_ascii_lowercase()),
        prefix: wire.prefix,
        kind: match wire.kind.as_str() {
            "safe" => RouteKind::Safe,
            "upload" => RouteKind::Upload,
            _ => RouteKind::Unsafe,
        },
        timeout,
        objective: aim.min(timeout),
        priority: wire.priority,
        parts,
        max_attempts: wire.max_attempts,
    })
}

/// Decodes the configuration, whole or not at all.
pub fn decode_config(value: &[u8]) -> Result<RouteTable, RowError> {
    let malformed = |e: serde_json::Error| RowError::Malformed(e.to_string());
    let wire: ConfigWire = serde_json::from_slice(value).map_err(malformed)?;
    let mut routes = Vec::new();
    let mut services = BTreeMap::new();
    let mut limits = ClientLimits::default();
    for resource in wire.resources {
        let name = resource.metadata.name;
        match resource.resource_type.as_str() {
            "routes" => {
                let wire = serde_json::from_str(resource.spec.get()).map_err(malformed)?;
                routes.push(route(&name, wire)?);
            }
            "services" => {
                let wire: ServiceWire =
                    serde_json::from_str(resource.spec.get()).map_err(malformed)?;
                let name = name.try_into().map_err(RowError::Name)?;
                services.insert(name, wire.max_connections);
            }
            "limits" => {
                let wire: LimitsWire =
                    serde_json::from_str(resource.spec.get()).map_err(malformed)?;
                limits = wire.into();
            }
            // Later kinds of entries do not change what this version of the program serves.
            _ => {}
        }
    }
    let unknown = routes.iter().find_map(|route: &Route| {
        let part = route.parts.iter().find(|p| !services.contains_key(&p.service))?;
        let service = SmolStr::from(part.service.clone());
        Some(RowError::UnknownService { route: route.name.clone(), service })
    });
    match unknown {
        Some(error) => Err(error),
        None => Ok(RouteTable::new(ConfigVersion(wire.version), routes, services, limits)),
    }
}

#[derive(Deserialize)]
struct OrderWire {
    service: SmolStr,
    to: SmolStr,
    duration_s: f64,
}

/// Decodes an order to move a service to another version.
pub fn decode_order(value: &[u8]) -> Result<RolloutRequest, RowError> {
    let wire: OrderWire =
        serde_json::from_slice(value).map_err(|e| RowError::Malformed(e.to_string()))?;
    Ok(RolloutRequest {
        service: wire.service.try_into().map_err(RowError::Name)?,
        to: wire.to.try_into().map_err(RowError::Name)?,
        duration: millis(wire.duration_s),
    })
}

#[derive(Deserialize, Serialize)]
struct ProgressWire {
    state: VerdictWire,
    to: SmolStr,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum VerdictWire {
    Running,
    Completed,
    RolledBack,
}

/// Decodes the status row of a service's roll-out.
pub fn decode_progress(value: &[u8]) -> Result<RolloutStatus, RowError> {
    let wire: ProgressWire =
        serde_json::from_slice(value).map_err(|e| RowError::Malformed(e.to_string()))?;
    Ok(RolloutStatus {
        to: wire.to.try_into().map_err(RowError::Name)?,
        verdict: match wire.state {
            VerdictWire::Running => Verdict::Running,
            VerdictWire::Completed => Verdict::Completed,
            VerdictWire::RolledBack => Verdict::RolledBack,
        },
    })
}

/// Encodes the status row of a service's roll-out.
pub fn encode_progress(progress: &RolloutStatus) -> Vec<u8> {
    let wire = ProgressWire {
        to: progress.to.clone().into(),
        state: match progress.verdict {
            Verdict::Running => VerdictWire::Running,
            Verdict::Completed => VerdictWire::Completed,
            Verdict::RolledBack => VerdictWire::RolledBack,
        },
    };
    serde_json::to_vec(&wire).unwrap_or_default()
}
