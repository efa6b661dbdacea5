//! Target selection among the targets of a service.

use ibisroute::mesh::picker::Candidate;
use ibisroute::mesh::picker::ChoiceInput;
use ibisroute::mesh::picker::Picker;
use ibisroute::mesh::picker::PickerSettings;
use ibisroute::mesh::slot_queue::Load;
use ibisroute::types::Millis;
use ibisroute::types::NodeId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn node_id(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

fn candidate(name: &str, same_data_centre: bool, load: Load) -> Candidate {
    Candidate { node: node_id(name), same_data_centre, cold: false, load }
}

fn load(running: u32, waiting: u32, service_ms: f32) -> Load {
    Load { running, waiting, slots: 9, service_ms, failing: 0.0 }
}

fn picker() -> Picker {
    Picker::new(PickerSettings::default(), SmallRng::seed_from_u64(7))
}

fn choice_input(body_bytes: usize) -> ChoiceInput {
    ChoiceInput { now: Millis(1_000), time_to_objective: Millis(400), body_bytes }
}

/// Guards against sending long bodies to another data centre while a local target has free slots.
#[test]
fn long_bodies_stay_in_data_centre() {
    let local = candidate("local", true, load(7, 0, 140.0));
    let remote = candidate("remote", false, load(0, 0, 100.0));
    assert_eq!(picker().choose(choice_input(60_000), &[remote, local]), Some(node_id("local")));
}

/// Guards against waiting in a long local queue while another data centre is idle.
#[test]
fn long_local_queue_spills_over() {
    let local = candidate("local", true, load(9, 20, 140.0));
    let remote = candidate("remote", false, load(1, 0, 140.0));
    assert_eq!(picker().choose(choice_input(0), &[local, remote]), Some(node_id("remote")));
}

/// Guards against a target that rejects requests quickly and therefore attracts all traffic.
#[test]
fn quickly_failing_target_is_avoided() {
    let failing_load = Load { failing: 0.5, ..load(0, 0, 5.0) };
    let healthy_load = load(5, 0, 120.0);
    let candidates =
        [candidate("failing", true, failing_load), candidate("healthy", true, healthy_load)];
    assert_eq!(picker().choose(choice_input(0), &candidates), Some(node_id("healthy")));
}

/// Guards against sending all requests to one target between two load reports: requests sent since
/// the last report must be added to the reported load.
#[test]
fn sent_requests_count_as_load() {
    let mut picker = picker();
    let candidates =
        [candidate("a", true, load(0, 0, 100.0)), candidate("b", true, load(0, 0, 101.0))];
    let mut request_counts = [0, 0];
    for _ in 0..18 {
        let chosen = picker.choose(choice_input(0), &candidates).expect("a target is selected");
        request_counts[usize::from(chosen == node_id("b"))] += 1;
        picker.on_sent(&chosen);
    }
    assert!(request_counts.iter().all(|c| (6..=12).contains(c)), "{request_counts:?}");
}

/// Guards against sending to a target that has just refused a connection.
#[test]
fn refusing_target_is_avoided() {
    let mut picker = picker();
    picker.avoid(Millis(1_000), &node_id("a"));
    let candidates =
        [candidate("a", true, load(0, 0, 50.0)), candidate("b", false, load(8, 0, 300.0))];
    assert_eq!(picker.choose(choice_input(0), &candidates), Some(node_id("b")));
    assert_eq!(picker.choose(choice_input(0), &candidates[..1]), Some(node_id("a")));
}

/// Guards against a slow target that receives the same share as a fast one.
#[test]
fn slow_target_gets_fewer_requests() {
    let mut picker = picker();
    let candidates =
        [candidate("slow", true, load(0, 0, 600.0)), candidate("fast", true, load(0, 0, 120.0))];
    let mut slow_target_requests = 0;
    for _ in 0..12 {
        let chosen = picker.choose(choice_input(0), &candidates).expect("a target is selected");
        slow_target_requests += u32::from(chosen == node_id("slow"));
        picker.on_sent(&chosen);
    }
    assert!(slow_target_requests <= 2, "{slow_target_requests} of 12");
}

/// Guards against a joining target that receives no requests because the targets that already serve
/// requests are in the local data centre.
#[test]
fn joined_target_gets_requests() {
    let mut picker = picker();
    let warm_targets =
        [candidate("a", true, load(1, 0, 120.0)), candidate("b", true, load(1, 0, 120.0))];
    for target in &warm_targets {
        picker.on_sent(&target.node);
        picker.on_ended(&target.node);
    }
    let joined_target = candidate("joined", false, load(0, 0, 0.0));
    let candidates = [warm_targets[0].clone(), warm_targets[1].clone(), joined_target];
    assert_eq!(picker.choose(choice_input(0), &candidates), Some(node_id("joined")));
    assert_ne!(picker.choose(choice_input(60_000), &candidates), Some(node_id("joined")));
    picker.on_sent(&node_id("joined"));
    picker.on_ended(&node_id("joined"));
    assert_ne!(picker.choose(choice_input(0), &candidates), Some(node_id("joined")));
    picker.on_target_restart(&node_id("joined"));
    assert_eq!(picker.choose(choice_input(0), &candidates), Some(node_id("joined")));
}

/// Guards against a thundering herd on a large service: load reports are up to a second old, so
/// that nodes which choose independently could all select the few targets that are fast and look
/// idle.
#[test]
fn requests_spread_despite_stale_loads() {
    let service_ms = |n: usize| if n < 6 { 80.0 } else { 120.0 };
    let mut request_counts = std::collections::BTreeMap::new();
    for caller in 0..120 {
        // Callers and targets are spread over three data centres.
        let candidates: Vec<Candidate> = (0..60)
            .map(|n| {
                candidate(&format!("t{n}"), n % 3 == caller as usize % 3, load(0, 0, service_ms(n)))
            })
            .collect();
        let rng = SmallRng::seed_from_u64(caller);
        let chosen =
            Picker::new(PickerSettings::default(), rng).choose(choice_input(0), &candidates);
        *request_counts.entry(chosen.expect("a target is selected")).or_insert(0) += 1;
    }
    let max_requests = request_counts.values().max().copied().unwrap_or(0);
    assert!(max_requests <= 9, "one target of 60 with 9 slots got {max_requests} of 120 requests");
}

/// Guards against a random sample of candidates that contains only failing targets while there are
/// healthy ones.
#[test]
fn failing_targets_are_not_chosen() {
    let candidates: Vec<Candidate> = (0..20)
        .map(|n| {
            let failing = if n % 2 == 0 { 0.9 } else { 0.0 };
            candidate(&format!("t{n}"), n < 10, Load { failing, ..load(0, 0, 100.0) })
        })
        .collect();
    let mut picker = picker();
    picker.avoid(Millis(1_000), &node_id("t1"));
    for _ in 0..300 {
        let chosen = picker.choose(choice_input(0), &candidates).expect("a target is selected");
        let target_number: usize = chosen.as_str()[1..].parse().expect("the name ends in a number");
        assert!(target_number % 2 == 1 && target_number != 1, "{chosen} was chosen");
    }
}
