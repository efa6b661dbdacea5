//! Bookings that are retried with their idempotency key run at most once, whatever fails meanwhile.

mod common;

use std::time::Duration;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::harness::Cluster;
use standins::platform::faults::LostBy;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;

/// Deadline of the bookings and counter queries, in ms.
const DEADLINE_MS: u64 = 800;

fn start_three_nodes() -> Cluster {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 1)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    cluster
}

fn start_caller(cluster: &Cluster, seed: u64) -> CallerStandin {
    let options = load::options_for_classes(cluster, seed, &[Class::Booking, Class::CounterQuery]);
    let options = load::with_deadline(options, DEADLINE_MS);
    CallerStandin::start(options).expect("the caller starts")
}

/// Starts a caller that sends bookings and counter queries to the given nodes only.
fn start_caller_for_nodes(cluster: &Cluster, seed: u64, nodes: &[usize]) -> CallerStandin {
    let options = load::options_for_classes(cluster, seed, &[Class::Booking, Class::CounterQuery]);
    let mut options = load::with_deadline(options, DEADLINE_MS);
    options.nodes = nodes.iter().map(|node| caller_listen_addr(cluster, *node)).collect();
    CallerStandin::start(options).expect("the caller starts")
}

fn assert_queries_served(summary: &Summary) {
    let query_tally = summary.class(Class::CounterQuery);
    assert_eq!(query_tally.ok, query_tally.calls, "{}", summary.to_json());
}

/// Waits until 20 more bookings have succeeded.
fn wait_more_bookings_succeed(caller: &CallerStandin) {
    let succeeded_bookings = || caller.summary().class(Class::Booking).ok;
    let required_bookings = succeeded_bookings() + 20;
    standins::wait::until_true("bookings to succeed", WAIT_TIMEOUT, || {
        succeeded_bookings() >= required_bookings
    })
    .expect("bookings succeed");
}

/// Makes bookings and counter queries under each of the faults in turn. Checks that no booking runs
/// twice, that every call gets a response, and that all queries succeed.
fn run_with_faults(seed: u64, faults: &[PlatformFaults]) {
    let cluster = start_three_nodes();
    let caller = start_caller(&cluster, seed);
    load::wait_calls_ended(&caller, 50);
    for fault in faults {
        cluster.platform().set_faults(fault.clone());
        load::wait_calls_ended(&caller, 300);
        cluster.platform().set_faults(PlatformFaults::default());
        wait_more_bookings_succeed(&caller);
    }
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let unanswered_calls = load::unanswered_calls(&summary);
    assert!(unanswered_calls.is_empty(), "{unanswered_calls:#?}");
    assert_queries_served(&summary);
}

/// Guards against bookings that run twice or are refused after their deadline, when claims take
/// effect but the platform's responses are lost.
#[test]
fn bookings_run_once_when_responses_are_lost() {
    let lost_response_faults =
        |lose_by| PlatformFaults { lose_share: 0.4, lose_by, seed: 11, ..Default::default() };
    run_with_faults(
        11,
        &[lost_response_faults(LostBy::Close), lost_response_faults(LostBy::Silence)],
    );
}

/// Guards against bookings that run twice or are refused after their deadline, while the platform
/// refuses requests, hangs, is slow, or is slow and loses responses.
#[test]
fn bookings_run_once_during_platform_outages() {
    let outage_faults = |outage| PlatformFaults { outage, ..Default::default() };
    let slow_platform_faults = PlatformFaults { latency_ms: (300, 300), ..Default::default() };
    let slow_and_lossy_faults =
        PlatformFaults { lose_share: 0.3, seed: 12, ..slow_platform_faults.clone() };
    run_with_faults(
        12,
        &[
            outage_faults(Outage::Unavailable),
            outage_faults(Outage::Refused),
            outage_faults(Outage::Hanging),
            slow_platform_faults,
            slow_and_lossy_faults,
        ],
    );
}

/// Guards against refusals that do not prove that the booking did not run, or that come after the
/// deadline, while the platform is unavailable.
#[test]
fn outage_refusals_prove_not_run() {
    let cluster = start_three_nodes();
    for (seed, outage) in [(21, Outage::Refused), (22, Outage::Hanging), (23, Outage::Unavailable)]
    {
        cluster.platform().set_faults(PlatformFaults { outage, ..Default::default() });
        let options = load::options_for_classes(&cluster, seed, &[Class::Booking]);
        let mut options = load::with_deadline(options, DEADLINE_MS);
        options.max_calls = Some(60);
        options.repeat_share = 0.0;
        let summary = CallerStandin::run(options).expect("the caller runs");
        load::assert_guarantees(&cluster, &summary, Vec::new());
        let all_not_run = summary.log.iter().all(|call| matches!(call.outcome, Outcome::NotRun(_)));
        assert!(all_not_run, "{outage:?} {}", summary.to_json());
        cluster.platform().set_faults(PlatformFaults::default());
    }
}

/// Guards against bookings that run twice when claim owners are killed while responses of the
/// platform are lost.
#[test]
fn bookings_run_once_when_claim_owners_are_killed() {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    // Nodes 1 and 3 receive no calls; each owns about a quarter of the keys.
    let caller = start_caller_for_nodes(&cluster, 31, &[0, 2]);
    load::wait_calls_ended(&caller, 100);
    cluster.platform().set_faults(PlatformFaults {
        lose_share: 0.2,
        seed: 31,
        ..Default::default()
    });
    cluster.kill_nodes(&[1]).expect("killed");
    load::wait_calls_ended(&caller, 200);
    cluster.start_nodes(&[1]).expect("restarted");
    cluster.kill_nodes(&[3]).expect("killed");
    load::wait_calls_ended(&caller, 200);
    cluster.platform().set_faults(PlatformFaults::default());
    wait_more_bookings_succeed(&caller);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
}

/// Guards against bookings that run twice when a claim owner is paused for longer than leases and
/// deadlines: after it resumes, it writes claims whose retries the next owner has handled
/// meanwhile.
#[test]
fn bookings_run_once_when_claim_owner_is_paused() {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    let caller = start_caller_for_nodes(&cluster, 41, &[0, 2]);
    load::wait_calls_ended(&caller, 100);
    cluster.pause_node(1).expect("paused");
    // At 300 calls/s this takes 4 s, longer than the lease of 3 s and every deadline.
    load::wait_calls_ended(&caller, 1200);
    cluster.resume_node(1).expect("resumed");
    load::wait_calls_ended(&caller, 100);
    caller.set_nodes(cluster.callers());
    wait_more_bookings_succeed(&caller);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
}

fn caller_listen_addr(cluster: &Cluster, node: usize) -> std::net::SocketAddr {
    cluster.node(node).addresses().expect("started").caller
}

/// Guards against retries that do not receive the recorded response, for example when they are sent
/// to another node because the first has failed, and against a key that is accepted for another
/// request.
#[test]
fn retries_get_recorded_response() {
    let cluster = start_three_nodes();
    let send_booking = |node: usize, body: &str| {
        let url = format!("http://{}/counter/orders", caller_listen_addr(&cluster, node));
        let request = standins::http::Request::new("POST", url)
            .header("idempotency-key", "order-1")
            .body(body.to_string())
            .timeout(Duration::from_secs(3));
        request.send().expect("the node responds")
    };
    let first_response = send_booking(0, "two charts");
    assert_eq!(first_response.status, 200, "{first_response:?}");
    for node in [1, 2, 0] {
        let retry_response = send_booking(node, "two charts");
        assert_eq!(
            (retry_response.status, &retry_response.body),
            (200, &first_response.body),
            "{retry_response:?}"
        );
        let mismatch_response = send_booking(node, "three charts");
        assert_eq!(mismatch_response.status, 422, "{mismatch_response:?}");
        assert_eq!(
            mismatch_response.header("x-ibis-outcome"),
            Some("not-run"),
            "{mismatch_response:?}"
        );
    }
    assert_eq!(load::records(&cluster).len(), 1);
}
