//! Memory that several buffers share.

mod common;

use bytes::Bytes;
use ibisroute::mesh::byte_budget::ByteBudget;

const MAX_BYTES: usize = 1_000_000;

/// Guards against buffers that together take more than the budget, and against a budget that counts bytes
/// of dropped buffers, however they grow.
#[test]
fn never_exceeded() {
    fn holds(steps: Vec<(u8, u32, bool)>) -> bool {
        let budget = ByteBudget::new(MAX_BYTES);
        let mut reservations: Vec<_> = (0..8).map(|_| (budget.reservation(), 0)).collect();
        steps.into_iter().all(|(buffer, bytes, is_dropped)| {
            let (reservation, reserved) = &mut reservations[usize::from(buffer) % 8];
            let bytes = bytes as usize % (2 * MAX_BYTES);
            if is_dropped {
                (*reservation, *reserved) = (budget.reservation(), 0);
            } else if reservation.grow_fairly_to(bytes) {
                *reserved = bytes.max(*reserved);
            }
            let total: usize = reservations.iter().map(|(_, reserved)| reserved).sum();
            budget.held_bytes() == total && total <= MAX_BYTES
        })
    }
    common::quickcheck_with_fixed_seed(500).quickcheck(holds as fn(Vec<(u8, u32, bool)>) -> bool);
}

/// Guards against endless buffers that leave no room: the twelve slots of a target may all receive a
/// response without an end, and the thirteenth response still finds its share.
#[test]
fn room_is_left() {
    let budget = ByteBudget::new(MAX_BYTES);
    let mut endless: Vec<_> = (0..12).map(|_| (budget.reservation(), 0)).collect();
    let mut is_growing = true;
    while is_growing {
        is_growing = false;
        for (reservation, bytes) in &mut endless {
            if reservation.grow_fairly_to(*bytes + 1_000) {
                *bytes += 1_000;
                is_growing = true;
            }
        }
    }
    let mut short = budget.reservation();
    assert!(short.grow_fairly_to(MAX_BYTES / 14 / 2), "{} of {MAX_BYTES}", budget.held_bytes());
}

/// Guards against a response that stops counting while it is still sent to the caller.
#[test]
fn counts_until_sent() {
    let budget = ByteBudget::new(MAX_BYTES);
    let mut reservation = budget.reservation();
    assert!(reservation.grow_fairly_to(4_000));
    let body = reservation.hold(Bytes::from(vec![b'x'; 4_000]));
    let mut unsent = body.clone();
    let chunk = unsent.split_to(1_000);
    drop((body, unsent));
    assert_eq!(budget.held_bytes(), 4_000);
    drop(chunk);
    assert_eq!(budget.held_bytes(), 0);
}
