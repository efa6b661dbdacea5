//! Decisions of the traffic threads: target selection, admission, retries and routing.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Move;
use ibisroute::catalogue::model::Service;
use ibisroute::catalogue::model::WithdrawalSensitivity;
use ibisroute::snapshot::Endpoint;
use ibisroute::snapshot::MoveView;
use ibisroute::traffic::admission::Admission;
use ibisroute::traffic::admission::AdmissionAction;
use ibisroute::traffic::admission::AdmissionEvent;
use ibisroute::traffic::admission::Ticket;
use ibisroute::traffic::balancer::Balancer;
use ibisroute::traffic::balancer::ProbePolicy;
use ibisroute::traffic::balancer::TargetOutcome;
use ibisroute::traffic::consecutive_failures::ConsecutiveFailures;
use ibisroute::traffic::retry::AttemptOutcome;
use ibisroute::traffic::retry::BodyState;
use ibisroute::traffic::retry::RetryBudget;
use ibisroute::traffic::retry::may_retry;
use ibisroute::traffic::routing::RouteInput;
use ibisroute::traffic::routing::choose_version;
use ibisroute::traffic::token_bucket::TokenBucket;
use ibisroute::traffic::traffic_settings::TrafficSettings;
use ibisroute::types::InstanceId;
use ibisroute::types::Millis;
use ibisroute::types::Percent;
use ibisroute::types::RequestId;
use ibisroute::types::UnixMillis;
use ibisroute::wire::RefusalWire;
use quickcheck::TestResult;

fn endpoint(i: usize, version: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        instance: format!("t{i}").parse().expect("instance"),
        version: version.parse().expect("version"),
        node: format!("n{i}").parse().expect("node"),
        peer_addr: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre.parse().expect("data centre"),
        slots: 4,
        local: false,
    }
}

/// Checks a property with 300 fixed inputs; `quickcheck` prints an input for which it fails.
fn check_property<T: quickcheck::Testable>(property: T) {
    common::quickcheck_with_fixed_seed(300).quickcheck(property);
}

/// Guards against the choice of targets that were already tried, and against the ejection of more
/// than half of the targets.
#[test]
fn balancer_skips_tried_and_limits_ejection() {
    fn property(seed: u64, target_count: u8, steps: Vec<(u8, u16)>) -> bool {
        let target_count = usize::from(target_count % 8) + 1;
        let endpoints: Vec<Endpoint> = (0..target_count)
            .map(|i| endpoint(i, "v1", if i % 2 == 0 { "a" } else { "b" }))
            .collect();
        let candidates: Vec<&Endpoint> = endpoints.iter().collect();
        let own_data_centre = "a".parse().expect("data centre");
        let mut balancer = Balancer::new(TrafficSettings::default(), seed);
        let mut now = Millis(0);
        let mut tried: Vec<InstanceId> = Vec::new();
        for (kind, wait_ms) in steps {
            now = Millis(now.0 + u64::from(wait_ms % 700));
            if balancer.ejected(now, &candidates).len() > target_count / 2 {
                return false;
            }
            let Some(chosen) = balancer.choose(now, &own_data_centre, &candidates, &tried) else {
                if tried.len() < target_count {
                    return false;
                }
                tried.clear();
                continue;
            };
            if tried.contains(&chosen) {
                return false;
            }
            let outcome = match kind % 4 {
                0 => TargetOutcome::Success,
                1 => TargetOutcome::Neutral,
                2 => TargetOutcome::Failure,
                _ => TargetOutcome::Unreachable,
            };
            balancer.finish(now, &chosen, outcome, None);
            if kind % 3 == 0 {
                tried.push(chosen);
            } else {
                tried.clear();
            }
        }
        true
    }
    check_property(property as fn(u64, u8, Vec<(u8, u16)>) -> bool);
}

/// Guards against calls to ejected targets, and against more than one probe at a time.
#[test]
fn ejected_target_gets_one_probe() {
    let endpoints = [endpoint(0, "v1", "a"), endpoint(1, "v1", "a"), endpoint(2, "v1", "a")];
    let candidates: Vec<&Endpoint> = endpoints.iter().collect();
    let own_data_centre = "a".parse().expect("data centre");
    let ejected = &endpoints[1].instance;
    for seed in 0..50 {
        let mut balancer = Balancer::new(TrafficSettings::default(), seed);
        let other_targets = [endpoints[0].instance.clone(), endpoints[2].instance.clone()];
        assert_eq!(
            balancer.choose(Millis(0), &own_data_centre, &candidates, &other_targets).as_ref(),
            Some(ejected)
        );
        balancer.finish(Millis(0), ejected, TargetOutcome::Unreachable, None);
        for t in 1..100 {
            let chosen =
                balancer.choose(Millis(t), &own_data_centre, &candidates, &[]).expect("target");
            assert_ne!(&chosen, ejected, "seed {seed}");
            balancer.finish(Millis(t), &chosen, TargetOutcome::Success, None);
        }
        let chosen: Vec<InstanceId> = (0..6)
            .map(|_| {
                balancer.choose(Millis(1001), &own_data_centre, &candidates, &[]).expect("target")
            })
            .collect();
        assert_eq!(chosen.iter().filter(|c| *c == ejected).count(), 1, "seed {seed}");
    }
}

/// Guards against bookings that probe an ejected target, and against an ejected target that never
/// returns to a service without retryable calls.
#[test]
fn bookings_probe_ejected_target_only_after_wait() {
    let endpoints = [endpoint(0, "v1", "a"), endpoint(1, "v1", "a")];
    let candidates: Vec<&Endpoint> = endpoints.iter().collect();
    let own_data_centre = "a".parse().expect("data centre");
    let (healthy, ejected) = (&endpoints[0].instance, &endpoints[1].instance);
    let mut balancer = Balancer::new(TrafficSettings::default(), 1);
    let tried = [healthy.clone()];
    assert_eq!(
        balancer.choose(Millis(0), &own_data_centre, &candidates, &tried).as_ref(),
        Some(ejected)
    );
    balancer.finish(Millis(0), ejected, TargetOutcome::Unreachable, None);
    let mut choose_for_booking = |at_ms| {
        let chosen = balancer
            .choose_with_probe_policy(
                Millis(at_ms),
                &own_data_centre,
                &candidates,
                &[],
                ProbePolicy::Avoided,
            )
            .expect("target");
        balancer.finish(Millis(at_ms), &chosen, TargetOutcome::Neutral, None);
        chosen
    };
    // The ejection of 1 s has ended; for 5 s more only retryable calls may probe the target.
    assert!((1_001..6_000).step_by(100).all(|at_ms| &choose_for_booking(at_ms) == healthy));
    assert_eq!(&choose_for_booking(6_001), ejected);
}

/// Guards against calls to another data centre while targets of the node's own data centre have
/// free slots.
#[test]
fn own_data_centre_is_preferred() {
    let endpoints = [endpoint(0, "v1", "a"), endpoint(1, "v1", "b")];
    let candidates: Vec<&Endpoint> = endpoints.iter().collect();
    let own_data_centre = "a".parse().expect("data centre");
    let mut balancer = Balancer::new(TrafficSettings::default(), 1);
    let chosen: Vec<InstanceId> = (0..20)
        .map(|_| balancer.choose(Millis(0), &own_data_centre, &candidates, &[]).expect("target"))
        .collect();
    // At 1.5 calls per slot the local target is saturated; from then on, the less loaded of two
    // random targets from both data centres is chosen.
    assert!(chosen[..6].iter().all(|c| c == &endpoints[0].instance), "{chosen:?}");
    let remote_calls = chosen.iter().filter(|c| *c == &endpoints[1].instance).count();
    assert!((6..=14).contains(&remote_calls), "{chosen:?}");
}

/// Guards against more calls than slots, against the start of a call that was refused or cancelled,
/// against starvation of a higher class, and against a drain that never ends.
#[test]
fn admission_respects_slots_classes_and_drain() {
    fn property(slots: u8, steps: Vec<(u8, u8, u8)>) -> TestResult {
        let slots = u32::from(slots % 4) + 1;
        let mut admission = Admission::new(slots, 2);
        let mut class_by_call: BTreeMap<u64, Class> = BTreeMap::new();
        let mut running_ids: BTreeSet<u64> = BTreeSet::new();
        let mut queued_ids: BTreeSet<u64> = BTreeSet::new();
        let mut reported_idle = false;
        let mut now = Millis(0);
        let step_count = steps.len() as u64;
        let drain_step = [(255, 0, 0)];
        let finish_steps = std::iter::repeat_n((2, 0, 0), steps.len() + 1);
        for (i, (kind, class, wait_ms)) in
            steps.into_iter().chain(drain_step).chain(finish_steps).enumerate()
        {
            now = Millis(now.0 + u64::from(wait_ms % 20));
            let event = match kind {
                255 => AdmissionEvent::Drain,
                _ if kind % 4 < 2 => {
                    let id = i as u64;
                    let class = Class::ALL[usize::from(class % 4)];
                    class_by_call.insert(id, class);
                    queued_ids.insert(id);
                    AdmissionEvent::Offer(Ticket {
                        id,
                        entry: class.as_str().replace('_', "-").parse().expect("entry"),
                        class,
                        deadline: Millis(now.0 + 200),
                        rate_per_s: 1e9,
                        concurrency: 1000,
                    })
                }
                _ if kind % 4 == 2 => {
                    let Some(id) = running_ids.pop_first() else { continue };
                    AdmissionEvent::Finish(id, Some(Millis(u64::from(wait_ms % 20))))
                }
                _ => {
                    let Some(id) = queued_ids.pop_first() else { continue };
                    AdmissionEvent::Cancel(id)
                }
            };
            let draining = matches!(event, AdmissionEvent::Drain);
            for action in admission.step(now, event) {
                match action {
                    AdmissionAction::Start(id) => {
                        if !queued_ids.remove(&id) {
                            return TestResult::error(format!("{id} started but was not queued"));
                        }
                        let rank = class_by_call[&id].shed_rank();
                        if queued_ids.iter().any(|w| class_by_call[w].shed_rank() < rank && *w < id)
                        {
                            return TestResult::error(format!("{id} overtook a higher class"));
                        }
                        running_ids.insert(id);
                    }
                    AdmissionAction::Refuse(id, _) => {
                        if !queued_ids.remove(&id) {
                            return TestResult::error(format!("{id} refused but was not queued"));
                        }
                    }
                    AdmissionAction::Idle => reported_idle = true,
                }
            }
            if running_ids.len() > slots as usize {
                return TestResult::error("more calls than slots");
            }
            if draining && !queued_ids.is_empty() {
                return TestResult::error("calls are queued during a drain");
            }
            let load = admission.load();
            if load.in_flight as usize != running_ids.len()
                || load.queued as usize != queued_ids.len()
            {
                return TestResult::error(format!("wrong load {load:?}"));
            }
        }
        if !reported_idle || !running_ids.is_empty() {
            return TestResult::error(format!("drain of {step_count} steps did not end"));
        }
        TestResult::passed()
    }
    check_property(property as fn(u8, Vec<(u8, u8, u8)>) -> TestResult);
}

fn ticket(id: u64, class: Class) -> Ticket {
    Ticket {
        id,
        entry: class.as_str().replace('_', "-").parse().expect("entry"),
        class,
        deadline: Millis(1_000),
        rate_per_s: 1e9,
        concurrency: 1_000,
    }
}

/// Guards against a full queue that refuses a booking and keeps an upload.
#[test]
fn full_queue_sheds_lowest_class() {
    let mut admission = Admission::new(1, 1);
    let offer = |t| AdmissionEvent::Offer(t);
    assert_eq!(
        admission.step(Millis(0), offer(ticket(1, Class::Upload))),
        [AdmissionAction::Start(1)]
    );
    assert_eq!(admission.step(Millis(0), offer(ticket(2, Class::Upload))), []);
    assert_eq!(
        admission.step(Millis(0), offer(ticket(3, Class::Booking))),
        [AdmissionAction::Refuse(2, RefusalWire::Overloaded)]
    );
    assert_eq!(
        admission.step(Millis(0), offer(ticket(4, Class::Upload))),
        [AdmissionAction::Refuse(4, RefusalWire::Overloaded)]
    );
    let limited_ticket = Ticket { concurrency: 0, ..ticket(5, Class::Booking) };
    let refusal = AdmissionAction::Refuse(5, RefusalWire::Overloaded);
    assert_eq!(admission.step(Millis(0), offer(limited_ticket)), [refusal]);
    assert_eq!(
        admission.step(Millis(5), AdmissionEvent::Finish(1, None)),
        [AdmissionAction::Start(3)]
    );
    // A call that exceeds its entry's limit is refused and sheds no queued call of a lower class.
    assert_eq!(admission.step(Millis(5), offer(ticket(6, Class::Upload))), []);
    let limited_ticket = Ticket { concurrency: 0, ..ticket(7, Class::CounterQuery) };
    let refusal = AdmissionAction::Refuse(7, RefusalWire::LimitReached);
    assert_eq!(admission.step(Millis(5), offer(limited_ticket)), [refusal]);
}

/// Guards against calls above the limits of an entry.
#[test]
fn calls_above_entry_limits_are_refused() {
    let mut admission = Admission::new(10, 1);
    for (id, rate_per_s, concurrency) in [(1, 2.0, 10), (2, 2.0, 10), (3, 2.0, 10), (4, 1e9, 2)] {
        let limited_ticket = Ticket { rate_per_s, concurrency, ..ticket(id, Class::CounterQuery) };
        let expected = match id {
            1 | 2 => AdmissionAction::Start(id),
            _ => AdmissionAction::Refuse(id, RefusalWire::LimitReached),
        };
        assert_eq!(admission.step(Millis(0), AdmissionEvent::Offer(limited_ticket)), [expected]);
    }
}

/// Guards against a retry budget that allows more retries than its share of the successes plus its
/// floor.
#[test]
fn retry_budget_limits_retries() {
    fn property(steps: Vec<(bool, u8)>, percent: u8) -> bool {
        let settings = TrafficSettings::default();
        let retry_percent = Percent(f64::from(percent % 101));
        let mut budget = RetryBudget::new(&settings);
        let mut now = Millis(0);
        let (mut successes, mut retries) = (0.0, 0.0);
        for (success, wait_ms) in steps {
            now = Millis(now.0 + u64::from(wait_ms));
            if success {
                budget.record_success(retry_percent);
                successes += 1.0;
            } else if budget.try_spend(now, &settings) {
                retries += 1.0;
            }
            let refilled_retries = now.0 as f64 / 1000.0 * settings.retry_floor_per_s;
            if retries
                > successes * retry_percent.fraction()
                    + settings.retry_floor
                    + refilled_retries
                    + 1e-6
            {
                return false;
            }
        }
        true
    }
    check_property(property as fn(Vec<(bool, u8)>, u8) -> bool);
}

/// Guards against retries that could run a booking or an upload twice.
#[test]
fn unsafe_retries_refused() {
    for class in [Class::Booking, Class::Upload] {
        for outcome in [AttemptOutcome::Response, AttemptOutcome::MayHaveRun] {
            assert!(!may_retry(class, outcome, BodyState::Replayable, true));
        }
        assert!(may_retry(class, AttemptOutcome::NotRun, BodyState::Replayable, false));
        assert!(!may_retry(class, AttemptOutcome::NotRun, BodyState::Consumed, false));
    }
    let query = Class::CounterQuery;
    assert!(may_retry(query, AttemptOutcome::MayHaveRun, BodyState::Replayable, false));
    assert!(!may_retry(query, AttemptOutcome::Response, BodyState::Replayable, false));
}

/// Guards against calls to withdrawn or stopped versions, and against a wrong share of the new
/// version.
#[test]
fn routing_follows_move_state() {
    let service = Service {
        name: "counter".parse().expect("service"),
        owner: "owner".into(),
        version: "v1".parse().expect("version"),
        report_url: None,
        withdrawal: WithdrawalSensitivity::Balanced,
    };
    let declared_move = Move {
        id: "m".parse().expect("move"),
        service: service.name.clone(),
        from: "v1".parse().expect("version"),
        to: "v2".parse().expect("version"),
        start: UnixMillis(0),
        finish_by: UnixMillis(1),
    };
    let both_versions_ready = [endpoint(0, "v1", "a"), endpoint(1, "v2", "a")];
    let count_calls_by_version =
        |view: MoveView, share_stopped: bool, ready: &[Endpoint], seconds: u64| {
            let mut bucket = TokenBucket::default();
            let mut calls_by_version: BTreeMap<String, u32> = BTreeMap::new();
            for i in 0..10_000u64 {
                let id = RequestId::from_bits(u128::from(i));
                let input = RouteInput {
                    service: &service,
                    declared_move: Some(&declared_move),
                    move_view: Some(&view),
                    share_stopped,
                    threads: 1,
                    request_id: &id,
                    ready_targets: ready,
                };
                let now = Millis(i * seconds * 1000 / 10_000);
                let version = choose_version(input, &mut bucket, now);
                *calls_by_version
                    .entry(version.map_or("none".into(), |v| v.to_string()))
                    .or_default() += 1;
            }
            calls_by_version
        };
    let view = MoveView { share: 0.25, ..MoveView::default() };
    let new_version_calls = count_calls_by_version(view, false, &both_versions_ready, 10)["v2"];
    assert!((2_200..2_800).contains(&new_version_calls), "{new_version_calls}");
    assert_eq!(count_calls_by_version(view, true, &both_versions_ready, 10)["v1"], 10_000);
    // After a move has finished, the service's owner may shut down the old version, so that calls
    // must not return to it when the share is stopped.
    let finished_view = MoveView { share: 1.0, ..view };
    assert_eq!(count_calls_by_version(finished_view, true, &both_versions_ready, 10)["v2"], 10_000);
    let withdrawn_view = MoveView { withdrawn: true, ..view };
    assert_eq!(
        count_calls_by_version(withdrawn_view, false, &both_versions_ready, 10)["v1"],
        10_000
    );
    assert_eq!(
        count_calls_by_version(withdrawn_view, false, &both_versions_ready[1..], 10)["none"],
        10_000
    );
    assert_eq!(count_calls_by_version(view, false, &both_versions_ready[..1], 10)["v1"], 10_000);
    assert_eq!(count_calls_by_version(view, false, &both_versions_ready[1..], 10)["v2"], 10_000);
    let capped_view = MoveView { max_calls_per_s: Some(5.0), ..view };
    let new_version_calls =
        count_calls_by_version(capped_view, false, &both_versions_ready, 10)["v2"];
    assert!(
        new_version_calls <= 55,
        "{new_version_calls} calls in 10 s at 5 calls/s and a burst of 5"
    );
}

/// Guards against a share that stops without consecutive failures, or does not stop after them.
#[test]
fn consecutive_failures_stop_share() {
    let id = "m".parse().expect("move");
    let mut failures = ConsecutiveFailures::default();
    let mut record_call = |failed: bool| failures.record_call(&id, failed, 3);
    assert_eq!(
        [true, true, false, true, true, true, true].map(&mut record_call),
        [false, false, false, false, false, true, true]
    );
}
