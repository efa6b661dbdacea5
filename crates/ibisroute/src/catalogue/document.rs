//! The JSON form of the catalogue. The order of the fields here is their order in the canonical
//! bytes.

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

/// Value of the field `format` that this release reads and writes.
pub const FORMAT: u64 = 1;

/// Top level of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub format: u64,
    pub name: SmolStr,
    pub services: Vec<ServiceDocument>,
    pub entries: Vec<EntryDocument>,
    #[serde(default)]
    pub moves: Vec<MoveDocument>,
}

/// JSON form of a [`Service`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    pub name: SmolStr,
    pub owner: SmolStr,
    /// Version that receives the calls, except those that a move sends to its new version.
    pub version: SmolStr,
    /// HTTP URL that receives a report when a move ends.
    #[serde(default)]
    pub report_url: Option<SmolStr>,
    /// How much evidence is needed to judge a new version faulty: `cautious`, `balanced` or
    /// `tolerant`.
    pub withdrawal: SmolStr,
}

/// JSON form of an [`Entry`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryDocument {
    pub name: SmolStr,
    pub owner: SmolStr,
    /// `booking`, `counter_query`, `internal_query` or `upload`.
    pub class: SmolStr,
    pub service: SmolStr,
    /// Path prefix of the calls that the entry matches.
    pub path: SmolStr,
    pub methods: Vec<SmolStr>,
    /// Header that carries the idempotency key; bookings only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_header: Option<SmolStr>,
    pub limits: LimitsDocument,
    pub objective: ObjectiveDocument,
}

/// JSON form of [`Limits`](super::model::Limits).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsDocument {
    /// Highest number of calls per second in the whole fleet.
    #[serde(serialize_with = "serialize_decimal")]
    pub rate_per_s: f64,
    /// Highest number of calls in flight in the whole fleet.
    pub concurrency: u32,
    /// Default deadline of a call, and the longest one that a caller may request, in milliseconds.
    pub deadline_ms: u64,
    /// Largest number of retries, as a percentage of successful calls.
    #[serde(serialize_with = "serialize_decimal")]
    pub retry_percent: f64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
}

/// JSON form of [`Objective`](super::model::Objective).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveDocument {
    /// Required percentage of calls that succeed within `latency_ms`.
    #[serde(serialize_with = "serialize_decimal")]
    pub success_percent: f64,
    /// Highest latency of a call that meets the objective, in milliseconds.
    pub latency_ms: u64,
}

/// JSON form of a [`Move`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveDocument {
    pub id: SmolStr,
    pub service: SmolStr,
    /// Version that serves the traffic before the move.
    pub from: SmolStr,
    /// Version that takes over the traffic.
    pub to: SmolStr,
    /// Earliest time of a call to the new version, in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// Time by which the move has finished or is withdrawn, in milliseconds since the Unix epoch.
    pub finish_by_unix_ms: u64,
}

/// Serializes a whole number without `.0`, so that each value has a single representation in the
/// canonical bytes.
fn serialize_decimal<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
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
                success_percent: entry.objective.min_success.0,
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

    /// Runs every check of [`parse`], because a document built in memory may be invalid too.
    fn try_from(doc: &Document) -> Result<Self, CatalogueErrors> {
        let bytes = serde_json::to_vec(doc).map_err(|e| {
            CatalogueErrors::from_single_error("$", e.to_string(), "a JSON document")
        })?;
        parse(&bytes)
    }
}
