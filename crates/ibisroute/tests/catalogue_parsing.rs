//! Tests of the strict parsing and validation of catalogues.

#[path = "common/catalogues.rs"]
mod catalogues;

use catalogues::ArbitraryCatalogue;
use catalogues::seeded_quickcheck;
use ibisroute::catalogue;
use ibisroute::catalogue::CatalogueErrors;
use ibisroute::types::ConfigVersion;
use ibisroute::types::Digest;
use ibisroute::types::Head;
use serde_json::Value;
use serde_json::json;

fn valid_document() -> Value {
    json!({
        "format": 1,
        "name": "kuiseb",
        "services": [
            {"name": "counter", "owner": "desk@kuiseb.example", "version": "v1"},
            {"name": "plateroom", "owner": "plates@kuiseb.example", "version": "v7"}
        ],
        "entries": [
            {"name": "sheet-search", "owner": "desk@kuiseb.example", "class": "counter_query",
             "service": "counter", "path": "/counter/sheets", "methods": ["GET"],
             "limits": {"rate_per_s": 2000, "concurrency": 64, "deadline_ms": 800},
             "objective": {"success_percent": 99.9, "latency_ms": 250}},
            {"name": "print-order", "owner": "desk@kuiseb.example", "class": "booking",
             "service": "counter", "path": "/counter/orders", "methods": ["POST"],
             "limits": {"rate_per_s": 50, "concurrency": 16, "deadline_ms": 4000},
             "objective": {"success_percent": 99.95, "latency_ms": 1200}}
        ],
        "moves": [
            {"id": "counter-v2", "service": "counter", "from": "v1", "to": "v2",
             "start_unix_ms": 1_764_820_000_000_u64, "finish_by_unix_ms": 1_764_820_600_000_u64}
        ]
    })
}

/// Returns the errors of a document; panics when the document is valid.
fn errors_of(doc: &Value) -> CatalogueErrors {
    match catalogue::parse(doc.to_string().as_bytes()) {
        Ok(_) => panic!("invalid document accepted: {doc}"),
        Err(errors) => errors,
    }
}

/// Returns the paths in the errors of a document.
fn error_paths_of(doc: &Value) -> Vec<String> {
    errors_of(doc).0.into_iter().map(|e| e.path).collect()
}

/// Returns the valid document with the value at a JSON pointer replaced; the parent must exist.
fn with_value(pointer: &str, value: Value) -> Value {
    let mut doc = valid_document();
    let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
    match doc.pointer_mut(parent).expect("the parent exists") {
        Value::Object(fields) => drop(fields.insert(key.to_string(), value)),
        Value::Array(items) => items[key.parse::<usize>().expect("an index")] = value,
        other => panic!("not an object or a list: {other}"),
    }
    doc
}

/// Guards against missing defaults, and against defaults that differ from `docs/catalogue.md`.
#[test]
fn defaults_are_filled_in() {
    let parsed = catalogue::parse(valid_document().to_string().as_bytes()).expect("valid");
    let names: Vec<&str> = parsed.entries.iter().map(|e| e.name.as_str()).collect();
    assert_eq!(names, ["print-order", "sheet-search"]);
    let order = &parsed.entries[0];
    assert_eq!(order.idempotency_header.as_deref(), Some("Idempotency-Key"));
    assert_eq!(order.limits.retry.0, 10.0);
    assert_eq!(order.limits.max_body.0, 65_536);
    assert_eq!(parsed.services[0].withdrawal.as_str(), "balanced");
    assert_eq!(parsed.services[0].report_url, None);
}

/// Guards against a rule that is not enforced, and against an error with the wrong path.
#[test]
fn each_violated_rule_names_its_field() {
    let entry = |field: &str, value: Value| {
        let path = field.replace('/', ".");
        (format!("/entries/0/{field}"), value, format!("entries[0].{path}"))
    };
    let cases = [
        ("/format".to_string(), json!(2), "format".to_string()),
        ("/name".to_string(), json!("Kuiseb"), "name".to_string()),
        ("/colour".to_string(), json!(1), "colour".to_string()),
        ("/services/0/name".to_string(), json!("9lives"), "services[0].name".to_string()),
        ("/services/1/name".to_string(), json!("counter"), "services[1].name".to_string()),
        ("/services/0/owner".to_string(), json!(""), "services[0].owner".to_string()),
        ("/services/0/version".to_string(), json!(null), "services[0].version".to_string()),
        ("/services/0/report_url".to_string(), json!("ftp://x"), "services[0].report_url".into()),
        ("/services/0/withdrawal".to_string(), json!("fast"), "services[0].withdrawal".into()),
        ("/services/0/port".to_string(), json!(80), "services[0].port".to_string()),
        entry("name", json!("Sheets")),
        ("/entries/1/name".to_string(), json!("sheet-search"), "entries[1].name".to_string()),
        entry("class", json!("query")),
        entry("service", json!("bindery")),
        entry("path", json!("counter")),
        entry("path", json!("/a/../b")),
        entry("path", json!("/a?b")),
        entry("methods", json!([])),
        entry("idempotency_header", json!("X-Key")),
        entry("limits/rate_per_s", json!(0)),
        entry("limits/rate_per_s", json!(0.12345)),
        entry("limits/concurrency", json!(0)),
        entry("limits/concurrency", json!("64")),
        entry("limits/deadline_ms", json!(9)),
        entry("limits/deadline_ms", json!(600_001)),
        entry("limits/retry_percent", json!(100.5)),
        entry("limits/max_body_bytes", json!(-1)),
        entry("limits/burst", json!(1)),
        entry("objective/success_percent", json!(100)),
        entry("objective/latency_ms", json!(0)),
        ("/moves/0/service".to_string(), json!("bindery"), "moves[0].service".to_string()),
        ("/moves/0/from".to_string(), json!("v0"), "moves[0].from".to_string()),
        ("/moves/0/to".to_string(), json!("v1"), "moves[0].to".to_string()),
        ("/moves/0/finish_by_unix_ms".to_string(), json!(1), "moves[0].finish_by_unix_ms".into()),
    ];
    for (pointer, value, path) in cases {
        let errors = errors_of(&with_value(&pointer, value.clone()));
        let found: Vec<&str> = errors.0.iter().map(|e| e.path.as_str()).collect();
        assert!(found.contains(&path.as_str()), "{pointer} = {value}: {errors}");
    }
}

/// Guards against error messages that lack the value found or the allowed range.
#[test]
fn errors_state_value_and_range() {
    let errors = errors_of(&with_value("/entries/1/limits/deadline_ms", json!(700_000)));
    let expected = "entries[1].limits.deadline_ms: 700000 is not allowed: expected a whole number \
                    from 10 to 600000";
    assert_eq!(errors.to_string(), expected);
}

/// Guards against stopping at the first error, which would force operators to fix a file in many
/// rounds.
#[test]
fn all_errors_are_reported_together() {
    let mut doc = valid_document();
    doc["services"][0]["owner"] = json!(7);
    doc["entries"][0]["limits"]["deadline_ms"] = json!(1);
    doc["entries"][1]["service"] = json!("bindery");
    doc["entries"][1]["methods"] = json!(["FETCH"]);
    doc["moves"][0]["finish_by_unix_ms"] = json!(0);
    let expected = [
        "services[0].owner",
        "entries[0].limits.deadline_ms",
        "entries[1].service",
        "entries[1].methods[0]",
        "moves[0].finish_by_unix_ms",
    ];
    assert_eq!(error_paths_of(&doc), expected);
}

/// Guards against a duplicate key whose second value silently replaces the first.
#[test]
fn duplicate_keys_are_errors() {
    let json_text =
        valid_document().to_string().replacen("\"format\":1", "\"format\":1,\"format\":1", 1);
    let errors = catalogue::parse(json_text.as_bytes()).expect_err("a duplicate key is rejected");
    assert_eq!(errors.0[0].path, "format");
}

/// Guards against two entries that match the same calls.
#[test]
fn duplicate_routes_are_errors() {
    let mut doc = valid_document();
    doc["entries"][1]["path"] = json!("/counter/sheets");
    doc["entries"][1]["methods"] = json!(["POST", "GET"]);
    assert_eq!(error_paths_of(&doc), ["entries[1].path"]);
    doc["entries"][1]["methods"] = json!(["POST"]);
    catalogue::parse(doc.to_string().as_bytes()).expect("other methods may share a path");
}

/// Guards against a second move of the same service.
#[test]
fn second_move_of_a_service_is_an_error() {
    let mut doc = valid_document();
    let mut second_move = doc["moves"][0].clone();
    second_move["id"] = json!("counter-v3");
    doc["moves"].as_array_mut().expect("moves").push(second_move);
    assert_eq!(error_paths_of(&doc), ["moves[1].service"]);
}

/// Guards against compiling bytes whose digest differs from the one in the head, or bytes that are
/// not canonical.
#[test]
fn compile_verifies_the_digest() {
    let catalogue = catalogue::parse(valid_document().to_string().as_bytes()).expect("valid");
    let bytes = catalogue::canonical_bytes(&catalogue);
    let head = Head { version: ConfigVersion(3), digest: Digest::of(&bytes) };
    let compiled = catalogue::compile(head, &bytes).expect("compiles");
    assert_eq!(compiled.catalogue, catalogue);
    assert!(compiled.match_entry("GET", "/counter/sheets/12").is_some());
    let other_head = Head { digest: Digest::of(b"other"), ..head };
    assert!(catalogue::compile(other_head, &bytes).is_err());
    let non_canonical = valid_document().to_string().into_bytes();
    let non_canonical_head = Head { digest: Digest::of(&non_canonical), ..head };
    assert!(
        catalogue::compile(non_canonical_head, &non_canonical).is_err(),
        "bytes that are not canonical"
    );
}

/// Guards against a panic of the parser on bytes that are not a catalogue.
#[test]
fn arbitrary_bytes_never_panic() {
    fn parses_without_panic(bytes: Vec<u8>) -> bool {
        let _ = catalogue::parse(&bytes);
        true
    }
    seeded_quickcheck(2000).quickcheck(parses_without_panic as fn(Vec<u8>) -> bool);
}

/// Guards against a panic on almost valid documents, and against accepting a document whose entries
/// or moves refer to a missing service or version.
#[test]
fn accepted_mutations_have_no_dangling_references() {
    fn has_no_dangling_references(from: ArbitraryCatalogue, edits: Vec<(usize, u8)>) -> bool {
        let mut bytes = catalogue::canonical_bytes(&from.0);
        for (byte_index, byte) in edits.iter().take(4) {
            let byte_index = byte_index % bytes.len();
            match byte % 3 {
                0 => bytes[byte_index] = b"0123456789\"{}[],:ev-"[usize::from(*byte) % 20],
                1 => drop(bytes.remove(byte_index)),
                _ => bytes.insert(byte_index, b"0123456789\"{}[],:ev-"[usize::from(*byte) % 20]),
            }
        }
        let Ok(parsed) = catalogue::parse(&bytes) else { return true };
        let is_declared = |name| parsed.services.iter().any(|s| &s.name == name);
        parsed.entries.iter().all(|e| is_declared(&e.service))
            && parsed.moves.iter().all(|m| {
                parsed.services.iter().any(|s| s.name == m.service && s.version == m.from)
                    && m.to != m.from
                    && m.finish_by > m.start
            })
    }
    let property = has_no_dangling_references as fn(ArbitraryCatalogue, Vec<(usize, u8)>) -> bool;
    seeded_quickcheck(2000).quickcheck(property);
}

/// Guards against a digest that changes when a catalogue is parsed and encoded again.
#[test]
fn canonical_bytes_survive_a_round_trip() {
    fn reencodes_to_the_same_bytes(from: ArbitraryCatalogue) -> bool {
        let bytes = catalogue::canonical_bytes(&from.0);
        let parsed = catalogue::parse(&bytes).expect("canonical bytes are valid");
        parsed == from.0 && catalogue::canonical_bytes(&parsed) == bytes
    }
    seeded_quickcheck(500)
        .quickcheck(reencodes_to_the_same_bytes as fn(ArbitraryCatalogue) -> bool);
}

/// Collects the keys of all objects in `value`, at any depth.
fn collect_keys(value: &Value, keys: &mut Vec<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| {
            keys.push(key.clone());
            collect_keys(value, keys);
        }),
        Value::Array(items) => items.iter().for_each(|item| collect_keys(item, keys)),
        _ => {}
    }
}

/// Guards against a key of the document that is missing from the reference page
/// `docs/catalogue.md`.
#[test]
fn reference_page_lists_every_key() {
    let page_path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/catalogue.md");
    let page = std::fs::read_to_string(page_path).expect("the reference page");
    let parsed = catalogue::parse(valid_document().to_string().as_bytes()).expect("valid");
    let bytes = catalogue::canonical_bytes(&parsed);
    let mut keys = Vec::new();
    collect_keys(&serde_json::from_slice(&bytes).expect("JSON"), &mut keys);
    assert!(keys.len() > 20, "{keys:?}");
    let missing: Vec<&String> =
        keys.iter().filter(|key| !page.contains(&format!("| `{key}` |"))).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}
