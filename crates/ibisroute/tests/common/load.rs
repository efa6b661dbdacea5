//! Load from callers, and the checks of what they were told.

use serde_json::Value;
use standins::caller::CallLog;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::caller::broken_promises;
use standins::harness::Cluster;
use standins::target::record::RanRequest;
use standins::wait;

use super::cluster;
use super::cluster::SOON;

/// Scheduling delay of a caller thread, in ms, that does not count as a late answer.
const SCHEDULING_MS: u64 = 100;

/// Options of mixed calls to all nodes, with bookings that are repeated with their keys. Prints the
/// seed.
pub(crate) fn mixed(cluster: &Cluster, seed: u64) -> CallerOptions {
    println!("seed {seed}");
    CallerOptions {
        repeat_share: 0.3,
        seed,
        grace_ms: SCHEDULING_MS,
        rate_per_s: Some(300.0),
        concurrency: 200,
        ..cluster::mixed_calls(cluster)
    }
}

/// Options of the calls of some classes.
pub(crate) fn only(cluster: &Cluster, seed: u64, classes: &[Class]) -> CallerOptions {
    let mut options = mixed(cluster, seed);
    options.calls.retain(|call| classes.contains(&call.class));
    options
}

/// Sets the deadline of all calls.
pub(crate) fn with_deadline(mut options: CallerOptions, deadline_ms: u64) -> CallerOptions {
    options.calls.iter_mut().for_each(|call| call.deadline_ms = deadline_ms);
    options
}

/// Waits until `count` more calls have ended.
pub(crate) fn wait_calls(caller: &CallerStandin, count: u64) {
    let until = caller.ended() + count;
    wait::until_true("calls to end", SOON, || caller.ended() >= until).expect("calls end");
}

/// What the targets of the cluster ran.
pub(crate) fn records(cluster: &Cluster) -> Vec<RanRequest> {
    cluster.targets().flat_map(|(_, target)| target.records()).collect()
}

/// Waits until no stored upload is left to be delivered.
pub(crate) fn wait_delivered(cluster: &Cluster) {
    let no_rows = || cluster.platform().rows("upload/").is_empty();
    wait::until_true("stored uploads to be delivered", SOON, no_rows).expect("delivered");
}

/// Checks what holds under every fault: no broken promise, no wrong and no late answer. `gone` holds
/// the records of targets that are no longer part of the cluster.
pub(crate) fn assert_kept(cluster: &Cluster, summary: &Summary, gone: Vec<RanRequest>) {
    wait_delivered(cluster);
    let mut records = records(cluster);
    records.extend(gone);
    let broken = broken_promises(&summary.log, &records);
    assert!(broken.is_empty(), "{broken:#?}");
    let total = summary.total();
    assert_eq!(total.wrong, 0, "{}", summary.to_json());
    let mut slowest: Vec<&CallLog> = summary.log.iter().collect();
    slowest.sort_by_key(|call| std::cmp::Reverse(call.elapsed_us));
    slowest.truncate(3);
    assert_eq!(total.late, 0, "{slowest:#?}");
    println!("{}", brief(summary));
}

/// Calls that got no answer at all.
pub(crate) fn unanswered(summary: &Summary) -> Vec<&CallLog> {
    summary.log.iter().filter(|call| matches!(call.outcome, Outcome::NoAnswer(_))).collect()
}

/// Counts of a run, in one line.
pub(crate) fn brief(summary: &Summary) -> String {
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

/// The test catalogue with other limits for one entry.
pub(crate) fn catalogue_with(entry: &str, limits: &[(&str, Value)]) -> Value {
    let mut document = cluster::catalogue();
    for e in document["entries"].as_array_mut().expect("entries").iter_mut() {
        if e["name"] == entry {
            for (name, value) in limits {
                e["limits"][*name] = value.clone();
            }
        }
    }
    document
}
