//! The catalogue document as it is written in JSON. Field order here is the canonical order.

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use smol_str::SmolStr;

use super::CatalogueErrors;
use super::model::Catalogue;
use super::model::Entry;
use super::model::Move;
use super::model::Service;
use super::parse;

/// The format number that this release reads and writes.
pub const FORMAT: u64 = 1;

/// A whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format number.
    pub format: u64,
    /// Name of the catalogue.
    pub name: SmolStr,
    /// Services.
    pub services: Vec<ServiceDocument>,
    /// Entries.
    pub entries: Vec<EntryDocument>,
    /// Declared moves.
    #[serde(default)]
    pub moves: Vec<MoveDocument>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Name.
    pub name: SmolStr,
    /// Owner.
    pub owner: SmolStr,
    /// Version that has the traffic.
    pub version: SmolStr,
    /// HTTP address for reports.
    #[serde(default)]
    pub report_url: Option<SmolStr>,
    /// `cautious`, `balanced` or `tolerant`.
    pub withdrawal: SmolStr,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryDocument {
    /// Name.
    pub name: SmolStr,
    /// Owner.
    pub owner: SmolStr,
    /// Class of traffic.
    pub class: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Path prefix.
    pub path: SmolStr,
    /// HTTP methods.
    pub methods: Vec<SmolStr>,
    /// Header with the idempotency key; only for bookings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_header: Option<SmolStr>,
    /// Limits.
    pub limits: LimitsDocument,
    /// Objective.
    pub objective: ObjectiveDocument,
}

/// Limits of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsDocument {
    /// Calls a second.
    #[serde(serialize_with = "shortest_number")]
    pub rate_per_s: f64,
    /// Calls in flight.
    pub concurrency: u32,
    /// Deadline.
    pub deadline_ms: u64,
    /// Retries, percent of successes.
    #[serde(serialize_with = "shortest_number")]
    pub retry_percent: f64,
    /// Largest request body.
    pub max_body_bytes: u64,
}

/// Objective of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveDocument {
    /// Share of good calls.
    #[serde(serialize_with = "shortest_number")]
    pub success_percent: f64,
    /// A slower call is not good.
    pub latency_ms: u64,
}

/// A declared move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveDocument {
    /// Id.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Version that has the traffic.
    pub from: SmolStr,
    /// Version that takes it over.
    pub to: SmolStr,
    /// Start.
    pub start_unix_ms: u64,
    /// End.
    pub finish_by_unix_ms: u64,
}

/// Writes whole numbers without a fraction, so that one value has one spelling.
fn shortest_number<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    if value.fract() == 0.0 && (0.0..1e15).contains(value) {
        return serializer.serialize_u64(*value as u64);
    }
    serializer.serialize_f64(*value)
}

impl From<&Catalogue> for Document {
    fn from(catalogue: &Catalogue) -> Self {
        Self {
            format: FORMAT,
            name: catalogue.name.clone(),
            services: catalogue.services.iter().map(ServiceDocument::from).collect(),
            entries: catalogue.entries.iter().map(EntryDocument::from).collect(),
            moves: catalogue.moves.iter().map(MoveDocument::from).collect(),
        }
    }
}

impl From<&Service> for ServiceDocument {
    fn from(service: &Service) -> Self {
        Self {
            name: service.name.clone().into(),
            owner: service.owner.clone(),
            version: service.version.clone().into(),
            report_url: service.report_url.clone(),
            withdrawal: SmolStr::new_static(service.withdrawal.as_str()),
        }
    }
}

impl From<&Entry> for EntryDocument {
    fn from(entry: &Entry) -> Self {
        Self {
            name: entry.name.clone().into(),
            owner: entry.owner.clone(),
            class: SmolStr::new_static(entry.class.as_str()),
            service: entry.service.clone().into(),
            path: entry.path.clone(),
            methods: entry.methods.clone(),
            idempotency_header: entry.idempotency_header.clone(),
            limits: LimitsDocument {
                rate_per_s: entry.limits.rate.0,
                concurrency: entry.limits.concurrency,
                deadline_ms: entry.limits.deadline.0,
                retry_percent: entry.limits.retry.0,
                max_body_bytes: entry.limits.max_body.0,
            },
            objective: ObjectiveDocument {
                success_percent: entry.objective.success.0,
                latency_ms: entry.objective.latency.0,
            },
        }
    }
}

impl From<&Move> for MoveDocument {
    fn from(m: &Move) -> Self {
        Self {
            id: m.id.clone().into(),
            service: m.service.clone().into(),
            from: m.from.clone().into(),
            to: m.to.clone().into(),
            start_unix_ms: m.start.0,
            finish_by_unix_ms: m.finish_by.0,
        }
    }
}

impl TryFrom<&Document> for Catalogue {
    type Error = CatalogueErrors;

    /// Runs every check of [`parse`]; a document that was built in memory is not trusted either.
    fn try_from(doc: &Document) -> Result<Self, CatalogueErrors> {
        let bytes = serde_json::to_vec(doc)
            .map_err(|e| CatalogueErrors::one("$", e.to_string(), "a JSON document"))?;
        parse(&bytes)
    }
}
