//! Admission of requests by a stopping node.

use ibisroute::mesh::graceful_stop::GracefulStop;
use ibisroute::types::Millis;
use quickcheck::quickcheck;

const GRACE: Millis = Millis(6_000);

fn stop_at(ms: u64) -> GracefulStop {
    GracefulStop::new(Millis(ms), GRACE)
}

/// Guards against refusing callers that the platform still sends although there is time for them,
/// and against admitting requests that the end of the process would interrupt.
#[test]
fn late_requests_must_end() {
    let stop = stop_at(1_000);
    let (short, long) = (Millis(1_200), Millis(4_000));
    assert!(stop.admits(Millis(3_900), long), "every request is admitted in the first half");
    assert!(!stop.admits(Millis(4_100), long), "the deadline is after the end of the process");
    assert!(stop.admits(Millis(5_000), short), "the deadline is before the end of the process");
    assert!(!stop.admits(Millis(5_700), short), "there is no time left to write the response");
}

quickcheck! {
    /// Guards against a request that is admitted late and outlives the process.
    fn taken_late_ends_in_time(start: u16, after: u16, left: u16) -> bool {
        let stop = stop_at(u64::from(start));
        let now = Millis(u64::from(start) + u64::from(after));
        let left = Millis(u64::from(left));
        let late = u64::from(after) >= GRACE.0 / 2;
        !late || !stop.admits(now, left) || now.0 + left.0 < stop.end().0
    }
}
