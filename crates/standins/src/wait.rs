//! Waiting for a condition by polling, with a bound.

use std::time::Duration;
use std::time::Instant;

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// Polls until `f` returns a value; `Err` says what was waited for and for how long.
pub fn until<T>(what: &str, bound: Duration, mut f: impl FnMut() -> Option<T>) -> eyre::Result<T> {
    let start = Instant::now();
    loop {
        if let Some(value) = f() {
            return Ok(value);
        }
        if start.elapsed() >= bound {
            eyre::bail!("waited {} ms in vain for: {what}", bound.as_millis());
        }
        std::thread::sleep(POLL);
    }
}

/// Polls until `f` is true.
pub fn until_true(what: &str, bound: Duration, mut f: impl FnMut() -> bool) -> eyre::Result<()> {
    until(what, bound, || f().then_some(()))
}
