//! Operators change the catalogue concurrently, on real node processes.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::Operator;
use common::fleet::VersionSampler;
use serde_json::Value;
use serde_json::json;
use standins::platform::faults::PlatformFaults;

/// Number of concurrent operators.
const OPERATORS: u64 = 4;

/// Number of versions that each operator applies.
const ROUNDS: u64 = 3;

/// Adds a service to a catalogue in the format of `ibisctl catalogue show`.
fn with_service(mut document: Value, name: &str) -> Value {
    let service = json!({"name": name, "owner": format!("{name}@kuiseb.example"), "version": "v1",
                         "report_url": null, "withdrawal": "balanced"});
    document["services"].as_array_mut().expect("services are a list").push(service);
    document
}

/// Applies one change, and on each conflict retries it on top of the new head. Returns the accepted
/// version and the number of conflicts.
fn apply_change(operator: &Operator, name: &str, mut base: u64) -> (u64, u64) {
    // Each conflict is caused by an accepted change of another operator, so that the number of
    // conflicts is at most the number of other changes.
    for conflicts in 0..OPERATORS * ROUNDS {
        let document = with_service(operator.show(base), name);
        let output = operator.apply(name, &document, base);
        let response: Value = serde_json::from_str(&output.stdout).unwrap_or_default();
        match output.exit_code {
            Some(0) => {
                return (response["version"].as_u64().expect("a version is printed"), conflicts);
            }
            Some(4) => {
                let their_version = response["theirs"]["version"].as_u64().expect("their version");
                assert!(their_version > base, "{}", output.stdout);
                let difference = response["difference"].as_array().expect("a difference");
                assert!(!difference.is_empty(), "{}", output.stdout);
                assert!(output.stdout.contains(name), "own change is missing: {}", output.stdout);
                base = their_version;
            }
            _ => panic!("{name}: {} {}", output.stdout, output.stderr),
        }
    }
    panic!("{name} had a conflict in every attempt");
}

/// Guards against concurrent updates that take effect out of order on a node, and against lost
/// changes: on a conflict `ibisctl` exits with 4 and prints the difference, and after all retries
/// the last version contains every change.
#[test]
fn concurrent_changes_are_all_applied() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    // Slow responses make the reads and writes of the operators overlap.
    let seed = 5;
    println!("seed {seed}");
    let faults = PlatformFaults { latency_ms: (5, 40), seed, ..PlatformFaults::default() };
    cluster.platform().set_faults(faults);
    let threads: Vec<_> = (0..OPERATORS)
        .map(|number| {
            let operator = Operator::new(&cluster);
            std::thread::spawn(move || {
                let (mut base, mut conflicts) = (1, 0);
                for round in 0..ROUNDS {
                    let (version, new_conflicts) =
                        apply_change(&operator, &format!("op{number}-{round}"), base);
                    base = version;
                    conflicts += new_conflicts;
                }
                conflicts
            })
        })
        .collect();
    let conflicts: Vec<u64> =
        threads.into_iter().map(|t| t.join().expect("an operator does not fail")).collect();
    let accepted_at = Instant::now();
    let last_version = 1 + OPERATORS * ROUNDS;
    println!("conflicts of each operator: {conflicts:?}");
    assert!(conflicts.iter().sum::<u64>() > 0, "the operators had no conflict");
    fleet::wait_in_effect(&cluster, last_version, accepted_at, "last of the racing changes");
    cluster.wait_version(last_version, cluster::WAIT_TIMEOUT).expect("in effect");
    assert!(
        cluster.nodes().iter().all(|node| node.version() == Some(last_version)),
        "no further version"
    );
    assert_eq!(cluster.platform().rows("history/").len() as u64, last_version);
    let document = Operator::new(&cluster).show(last_version);
    let services: Vec<_> = document["services"]
        .as_array()
        .expect("services are a list")
        .iter()
        .filter_map(|service| service["name"].as_str())
        .collect();
    for number in 0..OPERATORS {
        for round in 0..ROUNDS {
            let name = format!("op{number}-{round}");
            assert!(services.contains(&name.as_str()), "{name} is missing: {services:?}");
        }
    }
    sampler.check();
}

/// Guards against changes that are lost or applied twice, or that take effect out of order, when
/// responses to the writes of the operators are lost at random.
#[test]
fn concurrent_changes_survive_lost_responses() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 3));
    let sampler = VersionSampler::start(&cluster);
    let seed = 7;
    println!("seed {seed}");
    cluster.platform().set_faults(PlatformFaults {
        lose_share: 0.5,
        latency_ms: (5, 40),
        seed,
        ..PlatformFaults::default()
    });
    let threads: Vec<_> = (0..OPERATORS)
        .map(|number| {
            let operator = Operator::new(&cluster);
            std::thread::spawn(move || apply_change(&operator, &format!("op{number}"), 1))
        })
        .collect();
    let mut versions: Vec<u64> =
        threads.into_iter().map(|t| t.join().expect("an operator does not fail").0).collect();
    let accepted_at = Instant::now();
    println!("responses lost: {}", cluster.platform().counters().lost);
    versions.sort_unstable();
    let expected: Vec<u64> = (2..2 + OPERATORS).collect();
    assert_eq!(versions, expected, "each operator has its own version");
    fleet::wait_in_effect(
        &cluster,
        1 + OPERATORS,
        accepted_at,
        "racing changes with lost responses",
    );
    assert_eq!(cluster.platform().rows("history/").len() as u64, 1 + OPERATORS);
    sampler.check();
}
