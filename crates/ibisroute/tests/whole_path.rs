//! Calls of all four classes from the caller to a target, through node processes.

mod common;

use common::cluster;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::guarantee_violations;

/// Guards against calls that fail on the path from the caller through two nodes to a target: each
/// call of each class gets its own complete response.
#[test]
fn calls_of_all_classes_get_complete_responses() {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    let options = CallerOptions { max_calls: Some(600), ..cluster::mixed_call_options(&cluster) };
    let summary = CallerStandin::run(options).expect("the caller runs");
    let records: Vec<_> = cluster.targets().flat_map(|(_, t)| t.records()).collect();
    let violations = guarantee_violations(&summary.log, &records);
    assert!(violations.is_empty(), "{violations:#?}");
    let total_tally = summary.total();
    assert_eq!(total_tally.failed(), 0, "{}", summary.to_json());
    assert_eq!(summary.classes.len(), 4, "{}", summary.to_json());
}
