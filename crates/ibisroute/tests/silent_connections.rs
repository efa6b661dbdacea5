//! Open connections that permanently stop delivering data while new connections work: later calls
//! must still get a response in time.

mod common;

use common::cluster;
use common::load;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::harness::Cluster;
use standins::platform::faults::PlatformFaults;
use standins::relay::TcpRelay;
use standins::target::TargetOptions;

/// Deadline of the calls, in ms.
const DEADLINE_MS: u64 = 1500;

/// Starts four nodes that reach each other and the platform through relays.
fn start_relayed_nodes() -> Cluster {
    let mut cluster = cluster::builder()
        .relays()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    cluster
}

fn start_caller(cluster: &Cluster, seed: u64) -> CallerStandin {
    let options = load::with_deadline(load::mixed_class_options(cluster, seed), DEADLINE_MS);
    CallerStandin::start(options).expect("the caller starts")
}

fn silence_peer_connections(cluster: &Cluster) {
    cluster.nodes().iter().for_each(|node| {
        node.tcp_relay().expect("the cluster has relays").silence_existing();
    });
}

/// Checks that every call got a response; a refusal in time counts as one.
fn assert_all_answered(cluster: &Cluster, summary: &Summary) {
    load::assert_guarantees(cluster, summary, Vec::new());
    let unanswered_calls = load::unanswered_calls(summary);
    assert!(unanswered_calls.is_empty(), "{unanswered_calls:#?}");
}

/// Counts the calls that were sent at or after `unix_ms` and did not succeed.
fn count_failed_since(summary: &Summary, since_unix_ms: u64) -> usize {
    let later_calls = summary.log.iter().filter(|call| call.sent_unix_ms >= since_unix_ms);
    later_calls.filter(|call| !matches!(call.outcome, Outcome::Ok | Outcome::Accepted)).count()
}

/// Guards against calls that wait until their deadline on a silent connection between nodes, and
/// against bookings that are retried on the new connection although they may have run.
#[test]
fn calls_survive_silent_peer_connections() {
    let cluster = start_relayed_nodes();
    let caller = start_caller(&cluster, 51);
    load::wait_calls_ended(&caller, 200);
    for _ in 0..3 {
        silence_peer_connections(&cluster);
        load::wait_calls_ended(&caller, 500);
    }
    let summary = caller.stop();
    assert_all_answered(&cluster, &summary);
    let query_tally = summary.class(Class::CounterQuery);
    assert_eq!(query_tally.ok, query_tally.calls, "{}", summary.to_json());
}

/// Guards against late or repeated bookings when connections go silent while responses of the
/// platform are lost.
#[test]
fn calls_survive_silent_peers_and_lost_platform_responses() {
    let cluster = start_relayed_nodes();
    let caller = start_caller(&cluster, 52);
    load::wait_calls_ended(&caller, 100);
    cluster.platform().set_faults(PlatformFaults {
        lose_share: 0.2,
        seed: 52,
        ..Default::default()
    });
    for _ in 0..2 {
        silence_peer_connections(&cluster);
        cluster.platform_relay().expect("the cluster has relays").silence_existing();
        load::wait_calls_ended(&caller, 500);
    }
    let summary = caller.stop();
    assert_all_answered(&cluster, &summary);
}

/// Starts two nodes, each with a target that is reached through a relay.
fn start_relayed_targets() -> (Cluster, Vec<TcpRelay>) {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let mut relays = Vec::new();
    for node in 0..2 {
        let relay = TcpRelay::start("127.0.0.1:0".parse().expect("address")).expect("a relay");
        let options = TargetOptions {
            instance: format!("counter-{node}"),
            announced_address: Some(relay.addr()),
            ..TargetOptions::default()
        };
        let target = cluster.start_target(node, options).expect("a target starts");
        relay.set_destination(target.addr());
        relays.push(relay);
    }
    cluster.wait_targets(2, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(cluster::WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, cluster::WAIT_TIMEOUT).expect("the version is in effect");
    (cluster, relays)
}

/// Guards against one failed call per idle connection to a target when all these connections went
/// silent: after the first call without a response, the other connections must not be used.
#[test]
fn silent_target_connections_are_dropped() {
    let (cluster, relays) = start_relayed_targets();
    let classes = [Class::CounterQuery, Class::Booking];
    let mut options =
        load::with_deadline(load::options_for_classes(&cluster, 53, &classes), DEADLINE_MS);
    // Without a rate limit, 16 concurrent calls leave many idle connections.
    options.rate_per_s = None;
    options.concurrency = 16;
    options.max_calls = Some(400);
    let warm_up_summary = CallerStandin::run(options.clone()).expect("the caller runs");
    load::assert_guarantees(&cluster, &warm_up_summary, Vec::new());
    relays.iter().for_each(TcpRelay::silence_existing);
    let silenced_unix_ms = standins::target::unix_ms();
    options.seed = 54;
    options.concurrency = 2;
    options.max_calls = Some(300);
    let summary = CallerStandin::run(options).expect("the caller runs");
    assert_all_answered(&cluster, &summary);
    let failed_count = count_failed_since(&summary, silenced_unix_ms);
    println!(
        "{failed_count} of {} calls failed after the connections went silent",
        summary.log.len()
    );
    let query_tally = summary.class(Class::CounterQuery);
    assert_eq!(query_tally.ok, query_tally.calls, "{}", summary.to_json());
    // One call to each target may still use a silent connection.
    assert!(failed_count <= 2, "{failed_count} calls failed: {}", summary.to_json());
}
