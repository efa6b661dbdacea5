//! Operators that change the catalogue at the same time.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::Operator;
use common::fleet::VersionSampler;
use serde_json::Value;
use serde_json::json;
use standins::platform::faults::PlatformFaults;

/// Operators that race.
const OPERATORS: u64 = 4;

/// Versions that each operator makes.
const ROUNDS: u64 = 3;

/// Adds a service of the operator to a catalogue as `ibisctl` shows it.
fn with_service(mut document: Value, name: &str) -> Value {
    let service = json!({"name": name, "owner": format!("{name}@kuiseb.example"), "version": "v1",
                         "report_url": null, "withdrawal": "balanced"});
    document["services"].as_array_mut().expect("services are a list").push(service);
    document
}

/// Applies one change on top of the latest version until it wins; returns the lost attempts.
fn change(operator: &Operator, name: &str, mut base: u64) -> (u64, u64) {
    // Each round of the race has a winner, so that the last operator loses at most once to each
    // other change.
    for lost in 0..OPERATORS * ROUNDS {
        let document = with_service(operator.show(base), name);
        let output = operator.apply(name, &document, base);
        let answer: Value = serde_json::from_str(&output.stdout).unwrap_or_default();
        match output.code {
            Some(0) => return (answer["version"].as_u64().expect("a version is printed"), lost),
            Some(4) => {
                let theirs = answer["theirs"]["version"].as_u64().expect("their version");
                assert!(theirs > base, "{}", output.stdout);
                let difference = answer["difference"].as_array().expect("a difference");
                assert!(!difference.is_empty(), "{}", output.stdout);
                assert!(output.stdout.contains(name), "own change is missing: {}", output.stdout);
                base = theirs;
            }
            _ => panic!("{name}: {} {}", output.stdout, output.stderr),
        }
    }
    panic!("{name} lost every round");
}

/// Guards against crossing updates that overtake one another on a node, and against an operator
/// whose change is lost: a loser gets exit code 4 with the difference, and after merging all
/// changes are in the last version.
#[test]
fn racing_operators() {
    let _slot = fleet::slot();
    let cluster = fleet::started(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    // Slow answers let the reads and writes of the operators cross.
    let seed = 5;
    println!("seed {seed}");
    let faults = PlatformFaults { latency_ms: (5, 40), seed, ..PlatformFaults::default() };
    cluster.platform().set_faults(faults);
    let threads: Vec<_> = (0..OPERATORS)
        .map(|number| {
            let operator = Operator::new(&cluster);
            std::thread::spawn(move || {
                let (mut base, mut lost) = (1, 0);
                for round in 0..ROUNDS {
                    let (version, more) = change(&operator, &format!("op{number}-{round}"), base);
                    base = version;
                    lost += more;
                }
                lost
            })
        })
        .collect();
    let lost: Vec<u64> =
        threads.into_iter().map(|t| t.join().expect("an operator does not fail")).collect();
    let accepted = Instant::now();
    let last = 1 + OPERATORS * ROUNDS;
    println!("attempts lost by each operator: {lost:?}");
    assert!(lost.iter().sum::<u64>() > 0, "nobody raced");
    fleet::in_effect(&cluster, last, accepted, "last of the racing changes");
    cluster.wait_version(last, cluster::SOON).expect("in effect");
    assert!(cluster.nodes().iter().all(|node| node.version() == Some(last)), "no further version");
    assert_eq!(cluster.platform().rows("history/").len() as u64, last);
    let document = Operator::new(&cluster).show(last);
    let services: Vec<_> = document["services"]
        .as_array()
        .expect("services are a list")
        .iter()
        .filter_map(|service| service["name"].as_str())
        .collect();
    for number in 0..OPERATORS {
        for round in 0..ROUNDS {
            let name = format!("op{number}-{round}");
            assert!(services.contains(&name.as_str()), "{name} is lost: {services:?}");
        }
    }
    sampler.check();
}

/// Guards against the same when answers to the operators' writes are lost at random.
#[test]
fn racing_operators_with_lost_answers() {
    let _slot = fleet::slot();
    let cluster = fleet::started(cluster::builder().data_centre("erongo-1", "erongo", 3));
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
            std::thread::spawn(move || change(&operator, &format!("op{number}"), 1))
        })
        .collect();
    let mut versions: Vec<u64> =
        threads.into_iter().map(|t| t.join().expect("an operator does not fail").0).collect();
    let accepted = Instant::now();
    println!("answers lost: {}", cluster.platform().counters().lost);
    versions.sort_unstable();
    let expected: Vec<u64> = (2..2 + OPERATORS).collect();
    assert_eq!(versions, expected, "each operator has a version of its own");
    fleet::in_effect(&cluster, 1 + OPERATORS, accepted, "racing changes with lost answers");
    assert_eq!(cluster.platform().rows("history/").len() as u64, 1 + OPERATORS);
    sampler.check();
}
