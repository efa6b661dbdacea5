//! Detects that the new version of a move is faulty, by comparing its targets with those of the old one.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::evidence::Evidence;
use super::evidence::ResponseCounts;
use super::evidence::RouteCounts;
use super::rollout::RolloutSettings;

/// Minimum number of targets with evidence from which the worst ones are left out of their sum.
const MIN_TARGETS_WITHOUT_WORST: usize = 3;

/// One target of so many counts as possibly faulty by itself and is left out.
const TARGETS_PER_WORST: usize = 8;

/// Standard deviations by which the unhealthy requests of a faulty version exceed the expected ones.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;

/// Reason for the withdrawal of a version.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Fault {
    /// The new version has a higher error rate than the old one.
    #[display("{bad} of {answers} responses failed on {targets} targets")]
    Errors {
        /// Number of failed requests; see [`ResponseCounts::bad`].
        bad: u32,
        /// Number of requests with a recorded outcome.
        answers: u32,
        /// Number of targets of the new version that have evidence.
        targets: usize,
    },
    /// More requests of the new version than of the old one fail or take several times the median.
    #[display("{unhealthy} of {requests} requests failed or were slow on {targets} targets")]
    FailedOrSlow {
        /// Number of requests that failed, or that took or are taking several times the median.
        unhealthy: u32,
        /// Number of requests with a recorded outcome, and of running ones among `unhealthy`.
        requests: u32,
        /// Number of targets of the new version that have evidence.
        targets: usize,
    },
    /// The new version has a higher mean latency than the old one on a route.
    #[display("mean {new_ms:.0} ms against {old_ms:.0} ms on route {route}")]
    Slow {
        /// Route on which the new version is slower.
        route: SmolStr,
        /// Mean latency of the new version, in milliseconds.
        new_ms: f64,
        /// Mean latency of the old version, in milliseconds.
        old_ms: f64,
    },
}

/// Compares the evidence of the new version's targets with that of the old version's; returns the fault of
/// the new version, if there is one. Recent responses are judged apart from those since the request.
pub fn detect_fault(new: &[&Evidence], old: &[&Evidence], cfg: &RolloutSettings) -> Option<Fault> {
    let totals =
        |set: &[&Evidence]| -> Vec<RouteCounts> { set.iter().map(|e| e.total.clone()).collect() };
    let recents =
        |set: &[&Evidence]| -> Vec<RouteCounts> { set.iter().map(|e| e.recent.clone()).collect() };
    let baseline = merge(&totals(old));
    // Trouble that hits both versions now is no fault of the new one. The old version receives no
    // requests in the last stage; its earlier responses are the only baseline then.
    let recent_baseline = merge(&recents(old));
    let is_sampled = total(&recent_baseline).answers >= cfg.min_baseline;
    let recent_baseline = if is_sampled { &recent_baseline } else { &baseline };
    let new_totals = totals(new);
    detect_in(&new_totals, &baseline, cfg)
        .filter(|_| detect_in(&new_totals, recent_baseline, cfg).is_some())
        .or_else(|| detect_in(&recents(new), recent_baseline, cfg))
}

/// Compares the targets of the new version with the baseline. A single faulty target among several
/// healthy ones is not a fault of the version, since single targets of either version can be faulty.
fn detect_in(new: &[RouteCounts], baseline: &RouteCounts, cfg: &RolloutSettings) -> Option<Fault> {
    let mut faulty: Vec<Fault> = Vec::new();
    let (mut judged_count, mut healthy_count) = (0, 0);
    let targets_with_evidence = new.iter().filter(|e| !e.is_empty()).count();
    for evidence in new {
        match detect_target_fault(evidence, baseline, targets_with_evidence, cfg) {
            Some(fault) => faulty.push(fault),
            None if total(evidence).answers >= cfg.min_timed => {
                judged_count += 1;
                healthy_count += usize::from(is_healthy(evidence, baseline, cfg));
            }
            None => {}
        }
    }
    if faulty.len() > healthy_count {
        return faulty.pop();
    }
    // If each target has too little evidence, the sum of their evidence is judged.
    let fault = detect_target_fault(&merge(new), baseline, targets_with_evidence, cfg);
    fault
        .filter(|_| faulty.is_empty() && judged_count <= targets_with_evidence / 2)
        .or_else(|| detect_without_worst(new, baseline, targets_with_evidence, cfg))
}

/// Returns whether a target without a detected fault shows that another one is faulty by itself. One with
/// some unhealthy requests, but too few for a fault, does not.
fn is_healthy(evidence: &RouteCounts, baseline: &RouteCounts, cfg: &RolloutSettings) -> bool {
    compare_unhealthy(evidence, baseline, cfg).rate_over() <= cfg.unhealthy_rate_over
}

/// Judges the sum of all targets but the worst ones, over all routes and on each. It needs less time than
/// a majority of faulty targets, because single targets have few requests.
fn detect_without_worst(
    new: &[RouteCounts],
    baseline: &RouteCounts,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    if targets < MIN_TARGETS_WITHOUT_WORST {
        return None;
    }
    let worst_count = targets.div_ceil(TARGETS_PER_WORST);
    let routes: BTreeSet<&SmolStr> = new.iter().flat_map(|evidence| evidence.keys()).collect();
    // A fault of one route disappears among the requests of the others.
    let on_route = |route: &SmolStr| -> Vec<RouteCounts> {
        let counts = |e: &RouteCounts| Some([(route.clone(), *e.get(route)?)].into());
        new.iter().filter_map(counts).collect()
    };
    let compare = |evidence: &[RouteCounts]| {
        let comparison = compare_without_worst(evidence, worst_count, baseline, cfg);
        let is_faulty = comparison.unhealthy >= cfg.min_unhealthy * 3 / 2
            && comparison.is_significant()
            && comparison.rate_over() > cfg.bad_rate_over;
        is_faulty.then(|| comparison.into_fault(targets))
    };
    compare(new).or_else(|| routes.into_iter().find_map(|route| compare(&on_route(route))))
}

/// Compares the sum of the targets but those with the most unhealthy requests over the expected ones.
fn compare_without_worst(
    new: &[RouteCounts],
    worst_count: usize,
    baseline: &RouteCounts,
    cfg: &RolloutSettings,
) -> UnhealthyComparison {
    let mut ranked: Vec<(f64, &RouteCounts)> = new
        .iter()
        .filter(|evidence| !evidence.is_empty())
        .map(|evidence| (compare_unhealthy(evidence, baseline, cfg).excess(), evidence))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let rest = merge(ranked.into_iter().skip(worst_count).map(|(_, evidence)| evidence));
    compare_unhealthy(&rest, baseline, cfg)
}

/// Compares the evidence of one target, or the sum of several, with the old version. `targets` is the
/// number of targets with evidence.
fn detect_target_fault(
    evidence: &RouteCounts,
    baseline: &RouteCounts,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    detect_errors(evidence, baseline, targets, cfg)
        .or_else(|| detect_high_mean(evidence, baseline, cfg))
        .or_else(|| detect_failed_or_slow(evidence, baseline, targets, cfg))
}

fn detect_errors(
    evidence: &RouteCounts,
    baseline: &RouteCounts,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    let error_rate = |c: ResponseCounts| f64::from(c.bad) / f64::from(c.answers.max(1));
    let baseline_rate = error_rate(total(baseline));
    let per_route = evidence.iter().map(|(route, counts)| {
        let route_rate = error_rate(baseline.get(route).copied().unwrap_or_default());
        (*counts, route_rate.max(baseline_rate))
    });
    per_route.chain([(total(evidence), baseline_rate)]).find_map(|(counts, expected_rate)| {
        let ResponseCounts { bad, answers, .. } = counts;
        let is_faulty =
            bad >= cfg.min_bad && error_rate(counts) > expected_rate + cfg.bad_rate_over;
        is_faulty.then_some(Fault::Errors { bad, answers, targets })
    })
}

/// Requests of the new version that failed or are slow, and how many are expected to.
#[derive(Clone, Copy, Debug, Default)]
struct UnhealthyComparison {
    /// Requests that failed, or that took or are taking several times the median of the old version.
    unhealthy: u32,
    /// Requests with a recorded outcome, and running ones among `unhealthy`.
    requests: u32,
    /// Number of unhealthy ones if each route had the old version's fraction of them.
    expected: f64,
}

impl UnhealthyComparison {
    /// Returns how many more requests than expected are unhealthy.
    fn excess(&self) -> f64 {
        f64::from(self.unhealthy) - self.expected
    }

    /// Returns the excess as a fraction of the requests.
    fn rate_over(&self) -> f64 {
        self.excess() / f64::from(self.requests.max(1))
    }

    /// Returns whether the excess is unlikely to be chance, by the standard deviation of a count.
    fn is_significant(&self) -> bool {
        self.excess() > SIGNIFICANT_DEVIATIONS * (self.expected + 1.0).sqrt()
    }

    fn into_fault(self, targets: usize) -> Fault {
        let Self { unhealthy, requests, .. } = self;
        Fault::FailedOrSlow { unhealthy, requests, targets }
    }
}

/// Counts unhealthy requests. Each counts as slow by the median of the old version on its route, so that
/// routes can be summed; routes without a baseline are left out.
fn compare_unhealthy(
    evidence: &RouteCounts,
    baseline: &RouteCounts,
    cfg: &RolloutSettings,
) -> UnhealthyComparison {
    let mut comparison = UnhealthyComparison::default();
    for (route, counts) in evidence {
        let Some(old_counts) = baseline.get(route) else { continue };
        if old_counts.answers - old_counts.bad < cfg.min_timed {
            continue;
        }
        let Some(slow_from) = old_counts.latencies.bucket_above_median(cfg.slow_response_factor)
        else {
            continue;
        };
        let count_unhealthy = |c: &ResponseCounts| {
            let running = c.running.count_from(slow_from);
            (c.bad + c.latencies.count_from(slow_from) + running, c.answers + running)
        };
        let (unhealthy, requests) = count_unhealthy(counts);
        let (old_unhealthy, old_requests) = count_unhealthy(old_counts);
        comparison.unhealthy += unhealthy;
        comparison.requests += requests;
        let old_rate = f64::from(old_unhealthy) / f64::from(old_requests.max(1));
        comparison.expected += old_rate * f64::from(requests);
    }
    comparison
}

/// Compares the fractions of requests that failed or are slow.
fn detect_failed_or_slow(
    evidence: &RouteCounts,
    baseline: &RouteCounts,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    let comparison = compare_unhealthy(evidence, baseline, cfg);
    let is_faulty = comparison.unhealthy >= cfg.min_unhealthy
        && comparison.is_significant()
        && comparison.rate_over() > cfg.unhealthy_rate_over;
    is_faulty.then(|| comparison.into_fault(targets))
}

fn detect_high_mean(
    evidence: &RouteCounts,
    baseline: &RouteCounts,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    evidence.iter().find_map(|(route, counts)| {
        let baseline_counts = baseline.get(route)?;
        let new_successes = counts.answers - counts.bad;
        let old_successes = baseline_counts.answers - baseline_counts.bad;
        if new_successes < cfg.min_timed || old_successes < cfg.min_timed {
            return None;
        }
        let new_ms = counts.good_ms / f64::from(new_successes);
        let old_ms = baseline_counts.good_ms / f64::from(old_successes);
        // A single response of many times the usual work raises the mean of a few.
        let slow_from = baseline_counts.latencies.bucket_above_median(cfg.slow_response_factor)?;
        let is_slow = new_ms > old_ms * cfg.slow_factor
            && counts.latencies.count_from(slow_from) >= cfg.min_bad;
        is_slow.then(|| Fault::Slow { route: route.clone(), new_ms, old_ms })
    })
}

fn merge<'a>(evidence_sets: impl IntoIterator<Item = &'a RouteCounts>) -> RouteCounts {
    let mut merged = RouteCounts::new();
    for (route, counts) in evidence_sets.into_iter().flatten() {
        merged.entry(route.clone()).or_default().add(counts);
    }
    merged
}

fn total(evidence: &RouteCounts) -> ResponseCounts {
    evidence.values().fold(ResponseCounts::default(), |mut sum, counts| {
        sum.add(counts);
        sum
    })
}
