//! Operators declare moves of one service concurrently, on real node processes.

mod common;

use std::collections::BTreeSet;

use common::cluster;
use common::cluster::CONVERGENCE_BOUND;
use common::cluster::WAIT_TIMEOUT;
use common::cluster::ctl;
use common::moves::catalogue;
use serde_json::Value;
use standins::harness::Node;

/// Number of concurrent operators.
const OPERATORS: usize = 4;

/// Exit code of a successful command.
const SUCCESS: Option<i32> = Some(0);

/// Exit codes of refused commands: 1 if an earlier move has no outcome yet, 4 on a conflict with
/// another operator.
const REFUSALS: [Option<i32>; 2] = [Some(1), Some(4)];

/// Returns the ids of the moves that the node reports.
fn declared_ids(node: &Node) -> BTreeSet<String> {
    let moves = node.admin("/moves").map(|response| response.json()).unwrap_or(Value::Null);
    let moves = moves["moves"].as_array().cloned().unwrap_or_default();
    moves.iter().filter_map(|m| m["id"].as_str().map(String::from)).collect()
}

/// Guards against two moves of one service, and against a command that reports success for a move
/// that is not declared.
#[test]
fn one_of_several_concurrent_declarations_succeeds() {
    let cluster = cluster::builder().data_centre("erongo-1", "erongo", 2).start();
    let cluster = cluster.expect("nodes start");
    let version = cluster::apply(&cluster, &catalogue("http://127.0.0.1:9/moves"));
    cluster.wait_ready(WAIT_TIMEOUT).expect("all nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    let declare = |operator: usize| {
        let (id, to) = (format!("counter-{operator}"), format!("v{}", operator + 2));
        let args = ["move", "declare", "--service", "counter", "--to", &to, "--id", &id];
        let times = ["--start", "+60s", "--finish-by", "+60s", "--author", "test"];
        (id.clone(), ctl(&cluster, &[&args[..], &times].concat()))
    };
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..OPERATORS).map(|o| scope.spawn(move || declare(o))).collect();
        threads.into_iter().map(|t| t.join().expect("the command completed")).collect()
    });
    let successes: Vec<_> = results.iter().filter(|(_, o)| o.exit_code == SUCCESS).collect();
    assert_eq!(successes.len(), 1, "{results:?}");
    assert!(
        results.iter().all(|(_, o)| o.exit_code == SUCCESS || REFUSALS.contains(&o.exit_code)),
        "{results:?}"
    );
    cluster.wait_version(version + 1, CONVERGENCE_BOUND).expect("the move is declared");
    for node in cluster.nodes() {
        assert_eq!(declared_ids(node), BTreeSet::from([successes[0].0.clone()]), "{results:?}");
    }
}
