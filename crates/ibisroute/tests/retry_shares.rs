//! Retry budget that all nodes share without communication.

use ibisroute::mesh::retry_budget::BudgetSettings;
use ibisroute::mesh::retry_budget::RetryBudget;
use ibisroute::mesh::retry_budget::RetryCause;
use ibisroute::types::Millis;

const NODE_COUNT: usize = 11;

/// Returns the number of retries that a fleet spends when it tries to retry each of `requests` in
/// one window, and the number that the budget allows.
fn spent_and_allowed_retries(cause: RetryCause, requests: u64) -> (u32, f64) {
    let cfg = BudgetSettings::default();
    let mut node_budgets: Vec<RetryBudget> =
        (0..NODE_COUNT).map(|_| RetryBudget::default()).collect();
    let mut spent_retries = 0;
    for n in 0..requests {
        let now = Millis(n * 9_900 / requests);
        let node_budget = &mut node_budgets[n as usize % NODE_COUNT];
        node_budget.count_request(now, &cfg);
        spent_retries += u32::from(node_budget.try_spend(now, cause, NODE_COUNT, &cfg));
    }
    (spent_retries, cfg.ratio * requests as f64 + cfg.slack)
}

/// Guards against more retries by all nodes together than the fleet is allowed.
#[test]
fn fleet_retries_stay_within_budget() {
    for requests in [50, 500, 5_000] {
        let (spent_retries, allowed_retries) =
            spent_and_allowed_retries(RetryCause::Rejected, requests);
        assert!(
            f64::from(spent_retries) <= allowed_retries,
            "{spent_retries} of {allowed_retries} for {requests}"
        );
    }
}

/// Guards against a budget that ignores nesting: when a parent request is retried, its calls to the
/// next service are made again. With 1.4 calls per parent request, the retries of both services
/// together have to stay within the budget.
#[test]
fn nested_retries_stay_within_budget() {
    let (parent_retries, _) = spent_and_allowed_retries(RetryCause::TargetFailure, 3_400);
    let (call_retries, allowed_retries) = spent_and_allowed_retries(RetryCause::Rejected, 4_800);
    let total_retries = f64::from(call_retries) + 1.4 * f64::from(parent_retries) * 1.6;
    assert!(total_retries <= allowed_retries, "{total_retries} of {allowed_retries}");
    let (parent_retries, _) = spent_and_allowed_retries(RetryCause::NoResponse, 3_400);
    assert!(f64::from(call_retries) + 1.4 * f64::from(parent_retries) <= allowed_retries);
}

/// Guards against a budget that stays exhausted after its window has passed.
#[test]
fn budget_recovers_after_window() {
    let cfg = BudgetSettings::default();
    let mut budget = RetryBudget::default();
    let mut try_spend = |now| budget.try_spend(Millis(now), RetryCause::Rejected, 1, &cfg);
    while try_spend(0) {}
    assert!(!try_spend(5_000));
    assert!(try_spend(10_100));
}
