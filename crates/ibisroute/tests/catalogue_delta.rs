//! Tests of deltas, which nodes transfer, and of differences, which operators read.

#[path = "common/catalogues.rs"]
mod catalogues;

use catalogues::ArbitraryCatalogue;
use catalogues::seeded_quickcheck;
use ibisroute::catalogue::canonical_bytes;
use ibisroute::catalogue::delta;
use ibisroute::catalogue::delta::Delta;
use ibisroute::catalogue::delta::DeltaError;
use ibisroute::catalogue::diff::diff;

/// Guards against a delta whose result differs from the catalogue that it was computed for.
#[test]
fn applied_delta_yields_the_new_catalogue() {
    fn yields_new_catalogue(from: ArbitraryCatalogue, to: ArbitraryCatalogue) -> bool {
        let encoded_delta = delta::compute(&from.0, &to.0).to_bytes();
        let decoded_delta = Delta::from_bytes(&encoded_delta).expect("the delta decodes");
        let new_catalogue = delta::apply(&from.0, &decoded_delta).expect("the delta applies");
        new_catalogue == to.0 && canonical_bytes(&new_catalogue) == canonical_bytes(&to.0)
    }
    let property = yields_new_catalogue as fn(ArbitraryCatalogue, ArbitraryCatalogue) -> bool;
    seeded_quickcheck(500).quickcheck(property);
}

/// Guards against applying a delta to another catalogue than the one that it was computed from, and
/// against refusing the right one.
#[test]
fn delta_for_another_base_is_refused() {
    fn refuses_other_base(
        from: ArbitraryCatalogue,
        to: ArbitraryCatalogue,
        base: ArbitraryCatalogue,
    ) -> bool {
        let delta = delta::compute(&from.0, &to.0);
        match delta::apply(&base.0, &delta) {
            Ok(_) => base.0 == from.0,
            Err(DeltaError::OtherBase { .. }) => base.0 != from.0,
            Err(_) => false,
        }
    }
    let property = refuses_other_base
        as fn(ArbitraryCatalogue, ArbitraryCatalogue, ArbitraryCatalogue) -> bool;
    seeded_quickcheck(200).quickcheck(property);
}

/// Guards against a delta that is damaged in transit and still yields another catalogue.
#[test]
fn damaged_delta_is_refused() {
    fn damage_yields_no_other_catalogue(
        from: ArbitraryCatalogue,
        to: ArbitraryCatalogue,
        byte_index: usize,
        byte: u8,
    ) -> bool {
        let mut bytes = delta::compute(&from.0, &to.0).to_bytes();
        let byte_index = byte_index % bytes.len();
        bytes[byte_index] = byte;
        match Delta::from_bytes(&bytes).and_then(|d| delta::apply(&from.0, &d)) {
            Ok(new_catalogue) => new_catalogue == to.0,
            Err(_) => true,
        }
    }
    let property = damage_yields_no_other_catalogue
        as fn(ArbitraryCatalogue, ArbitraryCatalogue, usize, u8) -> bool;
    seeded_quickcheck(1000).quickcheck(property);
}

/// Guards against a change that is missing from the difference shown to the operator.
#[test]
fn difference_is_empty_only_for_equal_catalogues() {
    fn is_empty_only_if_equal(from: ArbitraryCatalogue, to: ArbitraryCatalogue) -> bool {
        diff(&from.0, &from.0).is_empty() && diff(&from.0, &to.0).is_empty() == (from.0 == to.0)
    }
    let property = is_empty_only_if_equal as fn(ArbitraryCatalogue, ArbitraryCatalogue) -> bool;
    seeded_quickcheck(300).quickcheck(property);
}

/// Guards against a difference without the changed field, its old value and its new value.
#[test]
fn difference_shows_field_and_values() {
    let json_text = r#"{"format":1,"name":"k","services":[{"name":"counter","owner":"o","version":"v1"}],
        "entries":[{"name":"sheet-search","owner":"o","class":"counter_query","service":"counter",
        "path":"/s","methods":["GET"],
        "limits":{"rate_per_s":20,"concurrency":6,"deadline_ms":800},
        "objective":{"success_percent":99.9,"latency_ms":250}}]}"#;
    let from = ibisroute::catalogue::parse(json_text.as_bytes()).expect("valid");
    let mut to = from.clone();
    to.entries[0].limits.deadline = ibisroute::types::Millis(900);
    let changes = diff(&from, &to);
    assert_eq!(changes.len(), 1);
    let expected = "~ entry sheet-search\n    limits.deadline_ms: 800 -> 900";
    assert_eq!(changes[0].to_string(), expected);
}
