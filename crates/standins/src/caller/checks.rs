//! Compares the outcomes that callers received with the requests that targets executed.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::target::record::ExecutedRequest;

use super::tally::CallLog;
use super::tally::Class;
use super::tally::Outcome;

/// Returns one line per violation of a guarantee of the system; empty when all hold. `records` must
/// contain the records of all targets, including the stopped and killed ones. Each line starts with
/// the number of the violated guarantee:
///
/// - P6: no call that was refused as "not run" is in the records.
/// - P7: each idempotency key is in the records at most once.
/// - P11: each upload that succeeded or was accepted is in the records with its complete body.
pub fn guarantee_violations(log: &[CallLog], records: &[ExecutedRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    let executed_calls: HashSet<&str> = records.iter().map(|record| record.call.as_str()).collect();
    for call in log.iter().filter(|call| matches!(call.outcome, Outcome::NotRun(_))) {
        if executed_calls.contains(call.call.as_str()) {
            violations.push(format!("P6: call {} was refused as \"not run\" but ran", call.call));
        }
    }
    let mut runs_by_key: HashMap<&str, u32> = HashMap::new();
    for key in records.iter().filter_map(|record| record.key.as_deref()) {
        *runs_by_key.entry(key).or_default() += 1;
    }
    for (key, count) in runs_by_key.into_iter().filter(|(_, count)| *count > 1) {
        violations.push(format!("P7: key {key} ran {count} times"));
    }
    let received_bodies: HashSet<(u64, u64)> = records
        .iter()
        .filter(|record| record.body_whole)
        .map(|record| (record.body_bytes, record.body_checksum))
        .collect();
    for call in log.iter().filter(|call| call.class == Class::Upload) {
        let acknowledged = matches!(call.outcome, Outcome::Ok | Outcome::Accepted);
        if acknowledged && !received_bodies.contains(&(call.body_bytes, call.body_checksum)) {
            violations.push(format!("P11: upload {} was acknowledged but lost", call.call));
        }
    }
    violations
}
