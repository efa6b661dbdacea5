//! Waiting for a condition by polling, with a timeout.

use std::time::Duration;
use std::time::Instant;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `f` returns a value. The error after `timeout` contains `description`.
pub fn until<T>(
    description: &str,
    timeout: Duration,
    mut f: impl FnMut() -> Option<T>,
) -> eyre::Result<T> {
    let start = Instant::now();
    loop {
        if let Some(value) = f() {
            return Ok(value);
        }
        if start.elapsed() >= timeout {
            eyre::bail!("timed out after {} ms waiting for {description}", timeout.as_millis());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until `f` returns true. The error after `timeout` contains `description`.
pub fn until_true(
    description: &str,
    timeout: Duration,
    mut f: impl FnMut() -> bool,
) -> eyre::Result<()> {
    until(description, timeout, || f().then_some(()))
}
