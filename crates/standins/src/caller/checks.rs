//! Compares what callers were told with what targets ran.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::target::record::RanRequest;

use super::tally::CallLog;
use super::tally::Class;
use super::tally::Outcome;

/// Broken promises, one sentence each; empty when all hold. `records` must be those of all targets,
/// the stopped and killed ones included.
///
/// - P6: no call that was refused as "not run" is in the records.
/// - P7: each idempotency key is in the records at most once.
/// - P11: each upload that was answered well, or accepted, is in the records with its whole body.
pub fn broken_promises(log: &[CallLog], records: &[RanRequest]) -> Vec<String> {
    let mut broken = Vec::new();
    let ran: HashSet<&str> = records.iter().map(|record| record.call.as_str()).collect();
    for call in log.iter().filter(|call| matches!(call.outcome, Outcome::NotRun(_))) {
        if ran.contains(call.call.as_str()) {
            broken.push(format!("P6: call {} was refused as not run and ran", call.call));
        }
    }
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for key in records.iter().filter_map(|record| record.key.as_deref()) {
        *runs.entry(key).or_default() += 1;
    }
    for (key, count) in runs.into_iter().filter(|(_, count)| *count > 1) {
        broken.push(format!("P7: key {key} ran {count} times"));
    }
    let received: HashSet<(u64, u64)> = records
        .iter()
        .filter(|record| record.body_whole)
        .map(|record| (record.body_bytes, record.body_checksum))
        .collect();
    for call in log.iter().filter(|call| call.class == Class::Upload) {
        let acknowledged = matches!(call.outcome, Outcome::Ok | Outcome::Accepted);
        if acknowledged && !received.contains(&(call.body_bytes, call.body_checksum)) {
            broken.push(format!("P11: upload {} was acknowledged and is lost", call.call));
        }
    }
    broken
}
