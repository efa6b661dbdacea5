//! Which requests a node still admits during a graceful stop.

use ibisroute::mesh::graceful_stop::GracefulStop;
use ibisroute::types::Millis;
use quickcheck::quickcheck;

/// Time from the start of the stop to the end of the process.
const STOP_GRACE: Millis = Millis(6_000);

fn stop_started_at(ms: u64) -> GracefulStop {
    GracefulStop::new(Millis(ms), STOP_GRACE)
}

/// Guards against refusing requests that the platform still directs to the stopping node while
/// there is time to serve them, and against admitting requests that the end of the process would
/// interrupt.
#[test]
fn late_requests_must_end_before_stop() {
    let stop = stop_started_at(1_000);
    let (short_time_left, long_time_left) = (Millis(1_200), Millis(4_000));
    assert!(
        stop.admits(Millis(3_900), long_time_left),
        "every request is admitted in the first half"
    );
    assert!(
        !stop.admits(Millis(4_100), long_time_left),
        "the deadline is after the end of the process"
    );
    assert!(
        stop.admits(Millis(5_000), short_time_left),
        "the deadline is before the end of the process"
    );
    assert!(
        !stop.admits(Millis(5_700), short_time_left),
        "there is no time left to write the response"
    );
}

/// Guards against a long grace period in whose first half requests are admitted for many seconds although
/// they may run beyond the end of the process.
#[test]
fn long_grace_period() {
    let stop = GracefulStop::new(Millis(1_000), Millis(20_000));
    let long_time_left = Millis(18_000);
    assert!(stop.admits(Millis(3_900), long_time_left), "callers may not have been told yet");
    assert!(!stop.admits(Millis(4_100), long_time_left), "the deadline is after the end");
    assert!(stop.admits(Millis(4_100), Millis(15_000)), "the deadline is before the end");
}

/// Guards against running requests that end with the process: each is answered before.
#[test]
fn answers_before_exit() {
    let stop = stop_started_at(1_000);
    assert!(stop.end() < stop.exit_by());
    assert!(stop.exit_by() < Millis(1_000 + STOP_GRACE.0));
}

quickcheck! {
    /// Guards against a request that is admitted in the second half of the stop although its
    /// deadline is after the end of the process.
    fn late_admission_ends_before_stop(start_ms: u16, ms_after_start: u16, time_left_ms: u16) -> bool {
        let stop = stop_started_at(u64::from(start_ms));
        let now = Millis(u64::from(start_ms) + u64::from(ms_after_start));
        let time_left = Millis(u64::from(time_left_ms));
        let is_late = u64::from(ms_after_start) >= STOP_GRACE.0 / 2;
        !is_late || !stop.admits(now, time_left) || now.0 + time_left.0 < stop.end().0
    }
}
