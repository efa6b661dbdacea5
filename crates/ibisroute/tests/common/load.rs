//! Load from callers, and checks of the responses that they received.

use serde_json::Value;
use standins::caller::CallLog;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::caller::guarantee_violations;
use standins::harness::Cluster;
use standins::target::record::ExecutedRequest;
use standins::wait;

use super::cluster;
use super::cluster::WAIT_TIMEOUT;

/// Tolerated scheduling delay of a caller thread, in ms. Responses that arrive more than this after
/// the deadline count as late.
const SCHEDULING_TOLERANCE_MS: u64 = 100;

/// Returns options for 300 calls per second of all classes to all nodes, where 30 % of the bookings
/// retry an earlier one with the same key. Prints the seed.
pub(crate) fn mixed_class_options(cluster: &Cluster, seed: u64) -> CallerOptions {
    println!("seed {seed}");
    CallerOptions {
        repeat_share: 0.3,
        seed,
        grace_ms: SCHEDULING_TOLERANCE_MS,
        rate_per_s: Some(300.0),
        concurrency: 200,
        ..cluster::mixed_call_options(cluster)
    }
}

/// Returns the options of [`mixed_class_options`], restricted to calls of `classes`.
pub(crate) fn options_for_classes(
    cluster: &Cluster,
    seed: u64,
    classes: &[Class],
) -> CallerOptions {
    let mut options = mixed_class_options(cluster, seed);
    options.calls.retain(|call| classes.contains(&call.class));
    options
}

/// Sets the deadline of all calls.
pub(crate) fn with_deadline(mut options: CallerOptions, deadline_ms: u64) -> CallerOptions {
    options.calls.iter_mut().for_each(|call| call.deadline_ms = deadline_ms);
    options
}

/// Waits until `count` more calls have ended.
pub(crate) fn wait_calls_ended(caller: &CallerStandin, count: u64) {
    let required = caller.ended() + count;
    wait::until_true("calls to end", WAIT_TIMEOUT, || caller.ended() >= required)
        .expect("calls end");
}

/// Returns the requests that the targets of the cluster have run.
pub(crate) fn records(cluster: &Cluster) -> Vec<ExecutedRequest> {
    cluster.targets().flat_map(|(_, target)| target.records()).collect()
}

/// Waits until all stored uploads are delivered, after which the platform has no rows of uploads.
pub(crate) fn wait_delivered(cluster: &Cluster) {
    let no_rows = || cluster.platform().rows("upload/").is_empty();
    wait::until_true("stored uploads to be delivered", WAIT_TIMEOUT, no_rows).expect("delivered");
}

/// Checks the guarantees that hold under every fault: no response contradicts the records of the
/// targets, and none is wrong or late. `removed_target_records` holds the records of targets that
/// are no longer part of the cluster.
pub(crate) fn assert_guarantees(
    cluster: &Cluster,
    summary: &Summary,
    removed_target_records: Vec<ExecutedRequest>,
) {
    wait_delivered(cluster);
    let mut records = records(cluster);
    records.extend(removed_target_records);
    let violations = guarantee_violations(&summary.log, &records);
    assert!(violations.is_empty(), "{violations:#?}");
    let total = summary.total();
    assert_eq!(total.wrong, 0, "{}", summary.to_json());
    let mut slowest: Vec<&CallLog> = summary.log.iter().collect();
    slowest.sort_by_key(|call| std::cmp::Reverse(call.elapsed_us));
    slowest.truncate(3);
    assert_eq!(total.late, 0, "{slowest:#?}");
    println!("{}", summary_line(summary));
}

/// Returns the calls that received no complete response.
pub(crate) fn unanswered_calls(summary: &Summary) -> Vec<&CallLog> {
    summary.log.iter().filter(|call| matches!(call.outcome, Outcome::NoAnswer(_))).collect()
}

/// Formats the counts of a run as one line.
pub(crate) fn summary_line(summary: &Summary) -> String {
    let total = summary.total();
    let max_ms = summary.log.iter().map(|call| call.elapsed_us / 1000).max().unwrap_or_default();
    format!(
        "calls {} ok {} accepted {} not-run {} may-have-run {} other {:?} no-answer {} max {max_ms} ms",
        total.calls,
        total.ok,
        total.accepted,
        total.not_run,
        total.may_have_run,
        total.other_status,
        total.no_answer,
    )
}

/// Returns [`cluster::catalogue`] with other values for some limits of one entry.
pub(crate) fn catalogue_with(entry_name: &str, limits: &[(&str, Value)]) -> Value {
    let mut document = cluster::catalogue();
    for entry in document["entries"].as_array_mut().expect("entries").iter_mut() {
        if entry["name"] == entry_name {
            for (name, value) in limits {
                entry["limits"][*name] = value.clone();
            }
        }
    }
    document
}
