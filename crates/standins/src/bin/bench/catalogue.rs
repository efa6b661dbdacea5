//! Builds catalogues with as many services and entries as the system is designed for, and writes
//! them to the platform.
//!
//! Nodes accept canonical bytes only, so the fields are declared in canonical order, and services
//! and entries are sorted by name.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use standins::harness::Cluster;
use standins::platform::table::Condition;
use standins::platform::table::Put;
use standins::platform::table::Transaction;

use crate::SERVICE;

/// Number of services that the system is designed for.
const SERVICES: u32 = 110;

/// Name suffix, class and path of the entries of each service, sorted by suffix.
const ENTRY_KINDS: [(&str, &str, &str); 3] = [
    ("booking", "booking", "orders"),
    ("internal", "internal_query", "internal"),
    ("query", "counter_query", "sheets"),
];

#[derive(Serialize)]
struct CatalogueDocument {
    format: u64,
    name: String,
    services: Vec<Service>,
    entries: Vec<Entry>,
    moves: [(); 0],
}

#[derive(Serialize)]
struct Service {
    name: String,
    owner: String,
    version: String,
    report_url: Option<String>,
    withdrawal: String,
}

#[derive(Serialize)]
struct Entry {
    name: String,
    owner: String,
    class: String,
    service: String,
    path: String,
    methods: [&'static str; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotency_header: Option<&'static str>,
    limits: Limits,
    objective: Objective,
}

#[derive(Serialize)]
struct Limits {
    rate_per_s: u64,
    concurrency: u64,
    deadline_ms: u64,
    retry_percent: u64,
    max_body_bytes: u64,
}

#[derive(Serialize)]
struct Objective {
    success_percent: f64,
    latency_ms: u64,
}

/// Returns the names of all [`SERVICES`] services, sorted; the first is [`SERVICE`].
pub(crate) fn services() -> impl Iterator<Item = String> + Clone {
    let numbered_names = (1..SERVICES).map(|n| format!("service-{n:03}"));
    std::iter::once(SERVICE.to_string()).chain(numbered_names)
}

/// Returns the canonical bytes of a catalogue with [`SERVICES`] services, whose limits the
/// benchmarks never reach. Each number `change` gives a different catalogue: the number selects an
/// entry and is added to its rate limit, as a typical edit by an operator changes one limit.
pub(crate) fn bytes(change: u64) -> eyre::Result<Vec<u8>> {
    let mut entries: Vec<Entry> = services().flat_map(|name| entries(&name)).collect();
    let index = usize::try_from(change)? % entries.len();
    entries[index].limits.rate_per_s += change;
    let services = services().map(|name| Service {
        owner: format!("{name}-desk@kuiseb.example"),
        name,
        version: "v1".to_string(),
        report_url: None,
        withdrawal: "balanced".to_string(),
    });
    let document = CatalogueDocument {
        format: 1,
        name: "bench".to_string(),
        services: services.collect(),
        entries,
        moves: [],
    };
    Ok(serde_json::to_vec(&document)?)
}

fn entries(service: &str) -> Vec<Entry> {
    let entry = |(kind, class, path): &(&str, &str, &str)| {
        let is_booking = *class == "booking";
        Entry {
            name: format!("{service}-{kind}"),
            owner: format!("{service}-desk@kuiseb.example"),
            class: (*class).to_string(),
            service: service.to_string(),
            path: format!("/{service}/{path}"),
            methods: [if is_booking { "POST" } else { "GET" }],
            idempotency_header: is_booking.then_some("Idempotency-Key"),
            limits: Limits {
                rate_per_s: 100_000,
                concurrency: 1000,
                deadline_ms: 2000,
                retry_percent: 10,
                max_body_bytes: 65_536,
            },
            objective: Objective { success_percent: 99.9, latency_ms: 250 },
        }
    };
    ENTRY_KINDS.iter().map(entry).collect()
}

/// Returns the wall-clock time in Unix ms, the clock that the events of the nodes use.
pub(crate) fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Version whose head row the platform accepted, and the time of acceptance.
#[derive(Clone, Copy)]
pub(crate) struct AcceptedVersion {
    pub(crate) version: u64,
    pub(crate) unix_ms: f64,
}

/// Writes the next version into the store of the platform stand-in, bypassing its faults and
/// counters, so that the time of acceptance is exact and only requests of nodes are counted.
pub(crate) fn publish(cluster: &Cluster, bytes: Vec<u8>) -> eyre::Result<AcceptedVersion> {
    let digest: String = Sha256::digest(&bytes).iter().map(|b| format!("{b:02x}")).collect();
    cluster.platform().with_store(|store| {
        store.put_object(&format!("catalogue/{digest}"), bytes.into());
        let head = store.row("head");
        let version = head.as_ref().and_then(|row| row.value["version"].as_u64()).unwrap_or(0) + 1;
        let put = |key: String| Put {
            key,
            value: json!({"version": version, "digest": digest, "author": "bench",
                          "token": format!("bench-{version}")}),
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: "head".to_string(),
                revision: head.map(|row| row.revision),
            }],
            puts: vec![put("head".to_string()), put(format!("history/{version:012}"))],
            deletes: Vec::new(),
        };
        let unix_ms = unix_ms();
        store.transact(transaction).map_err(|_| eyre::eyre!("the head row changed"))?;
        Ok(AcceptedVersion { version, unix_ms })
    })
}
