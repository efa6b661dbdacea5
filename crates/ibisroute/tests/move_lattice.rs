//! Guards against move states and evidence that depend on the order or the repetition of messages,
//! and against a withdrawal that is undone.

mod common;

use std::collections::BTreeMap;

use ibisroute::moves::evidence::Counters;
use ibisroute::moves::evidence::Evidence;
use ibisroute::moves::evidence::NodeEvidence;
use ibisroute::moves::state::MoveState;
use ibisroute::moves::state::Phase;
use ibisroute::moves::state::hash_states;
use ibisroute::telemetry::OutcomeCounts;
use ibisroute::types::MoveId;
use quickcheck::Arbitrary;
use quickcheck::Gen;

#[derive(Clone, Debug, PartialEq)]
struct ArbitraryState(MoveState);

impl Arbitrary for ArbitraryState {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(MoveState {
            stage: u8::arbitrary(g) % 6,
            finished: u8::arbitrary(g).is_multiple_of(4),
            withdrawn: u8::arbitrary(g).is_multiple_of(3),
            reason: (*g.choose(&["", "failures", "slow calls"]).expect("not empty")).into(),
        })
    }
}

#[derive(Clone, Debug)]
struct ArbitraryReport(NodeEvidence);

impl Arbitrary for ArbitraryReport {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut counters = Counters::new();
        for _ in 0..u8::arbitrary(g) % 4 {
            let entry = (*g.choose(&["a", "b"]).expect("not empty")).parse().expect("name");
            let version = (*g.choose(&["v1", "v2"]).expect("not empty")).parse().expect("name");
            let calls = u64::from(u8::arbitrary(g));
            let mut counts =
                OutcomeCounts { calls, failures: calls / 3, ..OutcomeCounts::default() };
            counts.latency.record(u64::from(u16::arbitrary(g)));
            counters.insert((entry, version), counts);
        }
        let node = (*g.choose(&["n1", "n2"]).expect("not empty")).parse().expect("name");
        let incarnation = u64::arbitrary(g) % 2;
        let failure_runs = u64::arbitrary(g) % 3;
        Self(NodeEvidence { node, incarnation, counters, failure_runs })
    }
}

fn merge_states(a: &ArbitraryState, b: &ArbitraryState) -> ArbitraryState {
    let mut state = a.clone();
    state.0.merge(&b.0);
    state
}

fn merge_reports(reports: &[ArbitraryReport]) -> Evidence {
    let mut evidence = Evidence::default();
    reports.iter().for_each(|r| {
        evidence.merge(&r.0);
    });
    evidence
}

/// Guards against a merge result that depends on the order or the number of messages.
#[test]
fn merging_states_is_idempotent_commutative_associative() {
    fn property(a: ArbitraryState, b: ArbitraryState, c: ArbitraryState) -> bool {
        merge_states(&a, &a) == a
            && merge_states(&a, &b) == merge_states(&b, &a)
            && merge_states(&merge_states(&a, &b), &c) == merge_states(&a, &merge_states(&b, &c))
    }
    common::quickcheck_with_fixed_seed(2_000)
        .quickcheck(property as fn(ArbitraryState, ArbitraryState, ArbitraryState) -> bool);
}

/// Guards against a withdrawal that a later message undoes, unless that message carries the
/// recorded outcome "finished".
#[test]
fn withdrawal_is_never_undone() {
    fn property(states: Vec<ArbitraryState>, later: Vec<ArbitraryState>) -> bool {
        let mut state = MoveState { withdrawn: true, ..MoveState::default() };
        states.iter().chain(&later).all(|s| {
            state.merge(&s.0);
            // `withdrawn` stays set; only the recorded outcome "finished" overrides it in the
            // phase.
            state.withdrawn
                && state.phase() == if state.finished { Phase::Finished } else { Phase::Withdrawn }
        })
    }
    common::quickcheck_with_fixed_seed(2_000)
        .quickcheck(property as fn(Vec<ArbitraryState>, Vec<ArbitraryState>) -> bool);
}

/// Guards against nodes whose states differ although both have received all messages.
#[test]
fn nodes_agree_after_any_order_and_repetition() {
    fn property(states: Vec<ArbitraryState>, order: Vec<usize>) -> bool {
        let mut in_order = MoveState::default();
        states.iter().for_each(|s| {
            in_order.merge(&s.0);
        });
        let mut shuffled = MoveState::default();
        for i in order.iter().filter(|_| !states.is_empty()) {
            shuffled.merge(&states[i % states.len()].0);
        }
        states.iter().rev().for_each(|s| {
            shuffled.merge(&s.0);
        });
        in_order == shuffled && in_order.phase() == shuffled.phase()
    }
    common::quickcheck_with_fixed_seed(2_000)
        .quickcheck(property as fn(Vec<ArbitraryState>, Vec<usize>) -> bool);
}

/// Guards against a field that is lost or changed on the wire.
#[test]
fn wire_conversion_keeps_states() {
    fn property(state: ArbitraryState) -> bool {
        let id: MoveId = "m".parse().expect("name");
        let converted = <(MoveId, MoveState)>::try_from(state.0.to_wire(&id));
        converted == Ok((id, state.0))
    }
    common::quickcheck_with_fixed_seed(100).quickcheck(property as fn(ArbitraryState) -> bool);
}

/// Guards against differing states with the same hash, which peers would never exchange, and
/// against equal states with different hashes, which peers would exchange for ever.
#[test]
fn hashes_are_equal_exactly_for_equal_states() {
    fn property(a: ArbitraryState, b: ArbitraryState) -> bool {
        let id: MoveId = "m".parse().expect("name");
        let hash =
            |s: &ArbitraryState| hash_states(BTreeMap::from([(id.clone(), s.0.clone())]).iter());
        (a == b) == (hash(&a) == hash(&b))
    }
    common::quickcheck_with_fixed_seed(2_000)
        .quickcheck(property as fn(ArbitraryState, ArbitraryState) -> bool);
}

/// Guards against counts that are lost or added twice when reports are reordered or repeated.
#[test]
fn evidence_is_independent_of_order_and_repetition() {
    fn property(reports: Vec<ArbitraryReport>) -> bool {
        let in_order = merge_reports(&reports);
        let mut repeated = merge_reports(&reports.iter().rev().cloned().collect::<Vec<_>>());
        let reversed = repeated.clone();
        reports.iter().for_each(|r| {
            repeated.merge(&r.0);
        });
        in_order == repeated && repeated == reversed && in_order.totals() == reversed.totals()
    }
    common::quickcheck_with_fixed_seed(500)
        .quickcheck(property as fn(Vec<ArbitraryReport>) -> bool);
}

/// Guards against calls that the analysis receives twice or not at all.
#[test]
fn differences_add_up_to_the_totals() {
    fn property(reports: Vec<ArbitraryReport>) -> bool {
        let mut evidence = Evidence::default();
        let mut sum = Counters::new();
        for report in &reports {
            for (key, counts) in evidence.merge(&report.0).counters {
                sum.entry(key).or_default().add(&counts);
            }
        }
        sum == evidence.totals()
    }
    common::quickcheck_with_fixed_seed(500)
        .quickcheck(property as fn(Vec<ArbitraryReport>) -> bool);
}
