//! Admission in front of a target: order of service, refusals and hand-backs under overload.

use ibisroute::mesh::slot_queue::Action;
use ibisroute::mesh::slot_queue::QueueSettings;
use ibisroute::mesh::slot_queue::RefusalReason;
use ibisroute::mesh::slot_queue::SlotQueue;
use ibisroute::mesh::slot_queue::Ticket;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

fn ticket(id: u64, priority: u8, aim: u64, deadline: u64) -> Ticket {
    let route = SmolStr::new_static(if priority == 1 { "order" } else { "read" });
    Ticket { id, route, priority, aim: Millis(aim), deadline: Millis(deadline) }
}

fn started(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Start(id) = a { Some(*id) } else { None };
    actions.iter().filter_map(id).collect()
}

fn refused(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Refuse(id, ..) = a { Some(*id) } else { None };
    actions.iter().filter_map(id).collect()
}

/// Guards against more requests at a target than it has slots.
#[test]
fn slots_bound_requests() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 2);
    let mut running = 0;
    for id in 0..5 {
        running += started(&queue.offer(Millis(0), ticket(id, 2, 10_000, 10_000))).len();
    }
    assert_eq!(running, 2);
    assert_eq!(queue.load(Millis(0)).waiting, 3);
    assert_eq!(started(&queue.finish(Millis(50), 0, Some(Millis(50)))).len(), 1);
}

/// Guards against a request that waits out its deadline although it was hopeless when it came.
#[test]
fn hopeless_refused_at_once() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 1);
    for id in 0..8 {
        queue.offer(Millis(0), ticket(id, 2, 5_000, 5_000));
    }
    let actions = queue.offer(Millis(0), ticket(9, 2, 200, 300));
    assert!(
        matches!(actions[..], [Action::Refuse(9, RefusalReason::Overloaded, back)] if back.0 > 0),
        "{actions:?}"
    );
}

/// Guards against a waiting request that is held after its last useful start.
#[test]
fn expired_wait_is_refused() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 1);
    queue.offer(Millis(0), ticket(1, 2, 1_000, 1_000));
    queue.offer(Millis(0), ticket(2, 2, 600, 600));
    let check = queue.next_check(Millis(0)).expect("a request waits");
    assert!(check < Millis(600), "{check}");
    assert_eq!(refused(&queue.fill(check)), [2]);
    // One that has missed its aim is let go while its caller can still try elsewhere.
    queue.offer(Millis(0), ticket(3, 2, 300, 1_200));
    let check = queue.next_check(Millis(0)).expect("a request waits");
    assert!(check <= Millis(400), "{check}");
    assert_eq!(refused(&queue.fill(check)), [3]);
}

/// Guards against urgent requests behind a crowd of less urgent ones.
#[test]
fn urgent_goes_first() {
    let mut queue = SlotQueue::new(QueueSettings { fair_turn: 0, ..Default::default() }, 1);
    queue.offer(Millis(0), ticket(1, 2, 5_000, 5_000));
    queue.offer(Millis(0), ticket(2, 2, 5_000, 5_000));
    queue.offer(Millis(0), ticket(3, 1, 5_000, 5_000));
    assert_eq!(started(&queue.finish(Millis(100), 1, Some(Millis(100)))), [3]);
}

/// Guards against a class that never starts while more urgent requests keep coming.
#[test]
fn no_class_starves() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 1);
    let mut reads = 0;
    let mut orders = 0;
    let mut running = None;
    for step in 0..200u64 {
        let now = Millis(step * 100);
        let later = now.0 + 700;
        let mut actions = queue.offer(now, ticket(step * 2, 1, later, later + 2_000));
        actions.extend(queue.offer(now, ticket(step * 2 + 1, 2, later, later + 2_000)));
        if let Some(id) = running.take() {
            actions.extend(queue.finish(now, id, Some(Millis(100))));
        }
        if let Some(id) = started(&actions).first() {
            running = Some(*id);
            if id % 2 == 0 { orders += 1 } else { reads += 1 }
        }
    }
    assert!(reads * 10 >= orders, "{reads} reads beside {orders} orders");
    assert!(orders > reads, "{reads} reads beside {orders} orders");
}

/// Guards against requests that wait at a target that leaves: they are handed back as not run.
#[test]
fn leaving_hands_back() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 1);
    queue.offer(Millis(0), ticket(1, 2, 5_000, 5_000));
    queue.offer(Millis(0), ticket(2, 2, 5_000, 5_000));
    assert_eq!(refused(&queue.leave()), [2]);
    assert_eq!(refused(&queue.offer(Millis(1), ticket(3, 1, 5_000, 5_000))), [3]);
    assert_eq!(queue.running(), 1);
}

/// Guards against work for a caller that will have gone, and against an estimate that refuses for ever.
#[test]
fn no_time_is_refused() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 2);
    queue.offer(Millis(0), ticket(1, 2, 9_000, 9_000));
    queue.finish(Millis(400), 1, Some(Millis(400)));
    assert_eq!(refused(&queue.offer(Millis(400), ticket(2, 2, 450, 600))), [2]);
    assert_eq!(started(&queue.offer(Millis(400), ticket(3, 2, 800, 900))), [3]);
    // Four half-lives later the same time is enough.
    assert_eq!(started(&queue.offer(Millis(12_400), ticket(4, 2, 12_450, 12_600))), [4]);
}

/// Guards against a target that was slow once and is never tried again, and against a new run that
/// inherits the speed of the last one.
#[test]
fn old_speed_is_forgotten() {
    let mut queue = SlotQueue::new(QueueSettings::default(), 1);
    assert_eq!(queue.load(Millis(0)).service_ms, 0.0);
    queue.offer(Millis(0), ticket(1, 2, 9_000, 9_000));
    queue.finish(Millis(2_000), 1, Some(Millis(2_000)));
    assert_eq!(queue.load(Millis(2_000)).service_ms, 2_000.0);
    assert!(queue.load(Millis(14_000)).service_ms < 130.0);
    queue.restart(Millis(2_000), 1);
    assert_eq!(queue.load(Millis(2_000)).service_ms, 0.0);
}

/// Plays arrivals at `load` times the capacity for a minute; returns the shares of reads and of orders
/// that end within their aim, and the share of slot time in use.
fn play_overload(load: f64, seed: u64) -> (f64, f64, f64) {
    const SLOTS: u32 = 9;
    const WORK_MS: f64 = 120.0;
    const AIM_MS: u64 = 400;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = SlotQueue::new(QueueSettings::default(), SLOTS);
    let per_ms = load * f64::from(SLOTS) / WORK_MS;
    let mut ends: Vec<(u64, u64, u64)> = Vec::new();
    let mut aims = std::collections::HashMap::new();
    let (mut asked, mut in_aim) = ([0u32; 2], [0u32; 2]);
    let (mut busy, mut id) = (0u64, 0u64);
    for now in 0..60_000u64 {
        let mut actions = Vec::new();
        while let Some(i) = ends.iter().position(|(end, ..)| *end <= now) {
            let (_, done, took) = ends.swap_remove(i);
            if now <= aims[&done] {
                in_aim[(done % 10 < 3) as usize] += 1;
            }
            actions.extend(queue.finish(Millis(now), done, Some(Millis(took))));
        }
        if rng.random::<f64>() < per_ms {
            id += 1;
            let order = id % 10 < 3;
            asked[order as usize] += 1;
            aims.insert(id, now + AIM_MS);
            let priority = if order { 1 } else { 2 };
            actions
                .extend(queue.offer(Millis(now), ticket(id, priority, now + AIM_MS, now + 1_000)));
        }
        if queue.next_check(Millis(now)).is_some_and(|at| at.0 <= now) {
            actions.extend(queue.fill(Millis(now)));
        }
        for start in started(&actions) {
            let took = (WORK_MS * (0.4 + 1.2 * rng.random::<f64>())) as u64;
            ends.push((now + took, start, took));
        }
        busy += ends.len() as u64;
    }
    let share = |i: usize| f64::from(in_aim[i]) / f64::from(asked[i]);
    (share(0), share(1), busy as f64 / (60_000.0 * f64::from(SLOTS)))
}

/// Guards against an overload in which everybody waits and nobody is answered in time: a burst of 1.7
/// times the capacity still uses the slots, keeps the orders, and serves reads with the rest.
#[test]
fn burst_keeps_orders() {
    for seed in 1..=5 {
        let (reads, orders, busy) = play_overload(1.7, seed);
        let told = format!("seed {seed}: reads {reads:.2}, orders {orders:.2}, busy {busy:.2}");
        assert!(busy > 0.93, "{told}");
        assert!(orders > 0.85, "{told}");
        assert!(reads > 0.25, "{told}");
    }
}

/// Guards against refusals below the capacity.
#[test]
fn moderate_load_is_served() {
    for seed in 1..=5 {
        let (reads, orders, _) = play_overload(0.75, seed);
        assert!(reads > 0.97 && orders > 0.97, "seed {seed}: {reads:.3} {orders:.3}");
    }
}
