//! Formats of the rows that the operator writes (the configuration and the rollout requests), and of the
//! status rows that nodes write and the operator reads.

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

/// Key of the configuration row in the operator's table.
pub const CONFIG_KEY: &str = "config";

/// Table in which nodes write the status of rollouts for the operator.
pub const STATUS_TABLE: &str = "status";

/// Key prefix of the rollout requests in the operator's table and of their status rows in the status
/// table; the name of the service follows.
pub const ROLLOUT_PREFIX: &str = "rollout/";

/// Reason why a row is rejected.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum RowError {
    /// The value does not have the format that the key requires.
    #[display("malformed row: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The name of a service or version is not valid.
    #[display("{_0}")]
    Name(#[error(not(source))] ParseError),
    /// A route refers to a service that the configuration does not define.
    #[display("route {route} refers to unknown service {service}")]
    UnknownService { route: SmolStr, service: SmolStr },
    /// The value of a route's field is outside its range.
    #[display("route {route}: {field} is out of range")]
    Range { route: SmolStr, field: &'static str },
}

#[derive(Deserialize)]
struct ConfigWire<'a> {
    version: u64,
    #[serde(borrow)]
    resources: Vec<ResourceWire<'a>>,
}

/// Element of `resources`, the list of routes, services and limits in a configuration.
#[derive(Deserialize)]
struct ResourceWire<'a> {
    resource_type: SmolStr,
    #[serde(default)]
    metadata: MetadataWire,
    /// Unparsed content; its format depends on `resource_type`. A tree of JSON values for thousands of
    /// routes would take megabytes.
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
    /// Whether requests may be retried: `safe`, `upload` or `unsafe`; any other value counts as `unsafe`.
    #[serde(rename = "type")]
    kind: SmolStr,
    timeout_s: f64,
    /// Latency objective: time within which a response should arrive, in seconds. `timeout_s` if absent.
    #[serde(default)]
    target_latency_s: Option<f64>,
    /// Priority of the route's requests; 0 is the highest.
    #[serde(default)]
    priority: u8,
    /// Service of all requests; used only if `traffic_split` is empty.
    #[serde(default)]
    service: Option<SmolStr>,
    #[serde(default)]
    traffic_split: Vec<TrafficSplitWire>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
}

fn default_max_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
struct TrafficSplitWire {
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

fn seconds_to_millis(seconds: f64) -> Millis {
    Millis((seconds.max(0.0) * 1000.0).round() as u64)
}

impl From<LimitsWire> for ClientLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            header_bytes: ByteSize(wire.max_header_bytes),
            body_bytes: ByteSize(wire.max_body_bytes),
            header_timeout: seconds_to_millis(wire.header_timeout_s),
            idle_timeout: seconds_to_millis(wire.idle_timeout_s),
        }
    }
}

fn decode_route(name: &SmolStr, wire: RouteWire) -> Result<Route, RowError> {
    let out_of_range = |field| RowError::Range { route: name.clone(), field };
    if !(wire.timeout_s > 0.0 && wire.timeout_s.is_finite()) {
        return Err(out_of_range("timeout_s"));
    }
    if wire.max_attempts == 0 {
        return Err(out_of_range("max_attempts"));
    }
    if !wire.prefix.starts_with('/') || !wire.prefix.ends_with('/') {
        return Err(out_of_range("prefix"));
    }
    let mut parts = Vec::new();
    for part in wire.traffic_split {
        if !(part.weight >= 0.0 && part.weight.is_finite()) {
            return Err(out_of_range("traffic_split"));
        }
        let service = part.service.try_into().map_err(RowError::Name)?;
        parts.push(SplitPart { service, weight: part.weight });
    }
    if let Some(service) = wire.service.filter(|_| parts.is_empty()) {
        let service = service.try_into().map_err(RowError::Name)?;
        parts.push(SplitPart { service, weight: 1.0 });
    }
    if parts.iter().all(|p| p.weight <= 0.0) {
        return Err(out_of_range("service"));
    }
    let timeout = seconds_to_millis(wire.timeout_s);
    let latency_objective = wire.target_latency_s.map_or(timeout, seconds_to_millis);
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
        objective: latency_objective.min(timeout),
        priority: wire.priority,
        parts,
        max_attempts: wire.max_attempts,
    })
}

/// Decodes the configuration; rejects it as a whole if any part is not valid.
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
                routes.push(decode_route(&name, wire)?);
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
            // Unknown resource types are ignored: those of later releases do not affect what this
            // release serves.
            _ => {}
        }
    }
    let unknown_service = routes.iter().find_map(|route: &Route| {
        let part = route.parts.iter().find(|p| !services.contains_key(&p.service))?;
        let service = SmolStr::from(part.service.clone());
        Some(RowError::UnknownService { route: route.name.clone(), service })
    });
    match unknown_service {
        Some(error) => Err(error),
        None => Ok(RouteTable::new(ConfigVersion(wire.version), routes, services, limits)),
    }
}

#[derive(Deserialize)]
struct RolloutRequestWire {
    service: SmolStr,
    to: SmolStr,
    duration_s: f64,
}

/// Decodes a request to move a service to another version.
pub fn decode_rollout_request(value: &[u8]) -> Result<RolloutRequest, RowError> {
    let wire: RolloutRequestWire =
        serde_json::from_slice(value).map_err(|e| RowError::Malformed(e.to_string()))?;
    Ok(RolloutRequest {
        service: wire.service.try_into().map_err(RowError::Name)?,
        to: wire.to.try_into().map_err(RowError::Name)?,
        duration: seconds_to_millis(wire.duration_s),
    })
}

#[derive(Deserialize, Serialize)]
struct RolloutStatusWire {
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

/// Decodes the status row of a service's rollout.
pub fn decode_rollout_status(value: &[u8]) -> Result<RolloutStatus, RowError> {
    let wire: RolloutStatusWire =
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

/// Encodes the status row of a service's rollout.
pub fn encode_rollout_status(status: &RolloutStatus) -> Vec<u8> {
    let wire = RolloutStatusWire {
        to: status.to.clone().into(),
        state: match status.verdict {
            Verdict::Running => VerdictWire::Running,
            Verdict::Completed => VerdictWire::Completed,
            Verdict::RolledBack => VerdictWire::RolledBack,
        },
    };
    serde_json::to_vec(&wire).unwrap_or_default()
}
