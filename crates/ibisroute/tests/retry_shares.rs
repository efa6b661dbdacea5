//! Retry budget that all nodes share without communication.

use ibisroute::mesh::retry_budget::BudgetSettings;
use ibisroute::mesh::retry_budget::RetryBudget;
use ibisroute::mesh::retry_budget::RetryCause;
use ibisroute::types::Millis;

const NODES: usize = 11;

/// Returns the retries, and the allowed ones, of a fleet that wants to retry every request of one
/// window.
fn spent(cause: RetryCause, requests: u64) -> (u32, f64) {
    let cfg = BudgetSettings::default();
    let mut fleet: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::default()).collect();
    let mut spent_retries = 0;
    for n in 0..requests {
        let now = Millis(n * 9_900 / requests);
        let node = &mut fleet[n as usize % NODES];
        node.count_request(now, &cfg);
        spent_retries += u32::from(node.try_spend(now, cause, NODES, &cfg));
    }
    (spent_retries, cfg.ratio * requests as f64 + cfg.slack)
}

/// Guards against more retries by all nodes together than the fleet is allowed.
#[test]
fn fleet_stays_within() {
    for requests in [50, 500, 5_000] {
        let (spent_retries, allowed) = spent(RetryCause::Rejected, requests);
        assert!(f64::from(spent_retries) <= allowed, "{spent_retries} of {allowed} for {requests}");
    }
}

/// Guards against retries of failed parent requests whose calls are then made again at the next
/// service: with 1.4 calls per run, the retries of both services together have to stay within the
/// budget.
#[test]
fn nested_repeats_fit() {
    let (parents, _) = spent(RetryCause::TargetFailure, 3_400);
    let (calls, allowed) = spent(RetryCause::Rejected, 4_800);
    let repeated = f64::from(calls) + 1.4 * f64::from(parents) * 1.6;
    assert!(repeated <= allowed, "{repeated} of {allowed}");
    let (parents, _) = spent(RetryCause::NoResponse, 3_400);
    assert!(f64::from(calls) + 1.4 * f64::from(parents) <= allowed);
}

/// Guards against a budget that never recovers.
#[test]
fn window_passes() {
    let cfg = BudgetSettings::default();
    let mut budget = RetryBudget::default();
    let mut try_spend = |now| budget.try_spend(Millis(now), RetryCause::Rejected, 1, &cfg);
    while try_spend(0) {}
    assert!(!try_spend(5_000));
    assert!(try_spend(10_100));
}
