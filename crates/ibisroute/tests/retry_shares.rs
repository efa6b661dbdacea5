//! The budget of repeats that all nodes share without asking each other.

use ibisroute::mesh::retry_budget::BudgetSettings;
use ibisroute::mesh::retry_budget::Cause;
use ibisroute::mesh::retry_budget::RetryBudget;
use ibisroute::types::Millis;

const NODES: usize = 11;

/// Repeats of a fleet whose every request wants one, over one window.
fn spent(cause: Cause, requests: u64) -> (u32, f64) {
    let cfg = BudgetSettings::default();
    let mut fleet: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::default()).collect();
    let mut taken = 0;
    for n in 0..requests {
        let now = Millis(n * 9_900 / requests);
        let node = &mut fleet[n as usize % NODES];
        node.count_request(now, &cfg);
        taken += u32::from(node.take(now, cause, NODES, &cfg));
    }
    (taken, cfg.ratio * requests as f64 + cfg.slack)
}

/// Guards against nodes that together repeat more than the whole fleet may.
#[test]
fn fleet_stays_within() {
    for requests in [50, 500, 5_000] {
        let (taken, allowed) = spent(Cause::Rejected, requests);
        assert!(f64::from(taken) <= allowed, "{taken} of {allowed} for {requests}");
    }
}

/// Guards against repeats of failed parents, whose calls are then made again at the next service: with
/// 1.4 calls a run, both services must stay within their budgets together.
#[test]
fn nested_repeats_fit() {
    let (parents, _) = spent(Cause::TargetFailure, 3_400);
    let (calls, allowed) = spent(Cause::Rejected, 4_800);
    let repeated = f64::from(calls) + 1.4 * f64::from(parents) * 1.6;
    assert!(repeated <= allowed, "{repeated} of {allowed}");
    let (parents, _) = spent(Cause::NoAnswer, 3_400);
    assert!(f64::from(calls) + 1.4 * f64::from(parents) <= allowed);
}

/// Guards against a budget that never recovers.
#[test]
fn window_passes() {
    let cfg = BudgetSettings::default();
    let mut budget = RetryBudget::default();
    let mut take = |now| budget.take(Millis(now), Cause::Rejected, 1, &cfg);
    while take(0) {}
    assert!(!take(5_000));
    assert!(take(10_100));
}
