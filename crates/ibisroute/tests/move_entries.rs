//! Guards against a fault of one rare entry that is hidden in the sum over all entries.

use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::verdict::Condemned;
use ibisroute::moves::verdict::Judge;
use ibisroute::moves::verdict::WarmUp;
use ibisroute::telemetry::OutcomeCounts;
use ibisroute::types::EntryName;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Runs, each with its own seed.
const RUNS: u64 = 50;

/// Reports of a run, 200 ms each: 12 s.
const REPORTS: u64 = 60;

/// Reports of a run before the move, in which the old version has the calls of both: slow and slight
/// faults are not judged at a load that it never carried.
const BEFORE: u64 = 20;

/// Calls on each version in one report.
const CALLS: u64 = 300;

/// Part of the calls on the faulty entry.
const RARE: f64 = 0.02;

/// Share of the new version's calls on that entry that fail. Over all entries that is 0.3%.
const FAILING: f64 = 0.15;

/// Share of all other calls that fail.
const USUAL: f64 = 0.002;

/// Judges one run; with `apart` false, all calls count on one entry.
fn run(seed: u64, apart: bool) -> Option<Condemned> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: [EntryName; 2] = ["search", "order"].map(|n| n.parse().expect("valid name"));
    let thresholds = MoveSettings::default().balanced;
    let none = Millis(0);
    let warm_up = WarmUp { first: none, calls: 0, longest: none, stage_until: none };
    let objective = Millis(250);
    let mut judge = Judge::default();
    for report in 1..=BEFORE + REPORTS {
        let now = Millis(report * 200);
        for share in [false, true] {
            let is_new = share && report > BEFORE;
            let mut counts = [OutcomeCounts::default(), OutcomeCounts::default()];
            for _ in 0..CALLS {
                let rare = rng.random_bool(RARE);
                let fails = rng.random_bool(if rare && is_new { FAILING } else { USUAL });
                let of = &mut counts[usize::from(rare && apart)];
                of.calls += 1;
                of.failures += u64::from(fails);
                of.latency.record(20_000);
            }
            for (entry, counts) in names.iter().zip(&counts) {
                match is_new {
                    false => judge.add_old(now, entry, counts, objective),
                    true => judge.add_new(now, entry, counts, objective, warm_up, true),
                }
            }
        }
        if let Some(found) = judge.judge(now, &thresholds) {
            return Some(found);
        }
    }
    None
}

/// Fails when entries are not judged by themselves.
#[test]
fn rare_entry_is_judged() {
    let found: Vec<_> = (0..RUNS).filter_map(|seed| run(seed, true)).collect();
    let named = found.iter().filter(|c| c.entry.as_ref().is_some_and(|e| e.as_str() == "order"));
    let named = named.count() as u64;
    println!("{named} of {RUNS} condemned for the entry, {} in all", found.len());
    assert_eq!(named, RUNS, "{found:?}");
}

/// Shows that the fault of [`rare_entry_is_judged`] hardly shows in the sum, so that only the verdict
/// by entry finds it in time.
#[test]
fn sum_hides_rare_entry() {
    let found = (0..RUNS).filter(|seed| run(*seed, false).is_some()).count();
    println!("{found} of {RUNS} condemned");
    assert!(found <= RUNS as usize / 10, "{found} of {RUNS}");
}
