//! Tasks that end with their owner.

use std::future::Future;

use tokio::task::JoinHandle;

/// A task of the current thread that is aborted when the value is dropped.
#[derive(Debug)]
pub struct OwnedTask(JoinHandle<()>);

impl OwnedTask {
    /// Starts a task.
    pub fn spawn(f: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(f))
    }
}

impl Drop for OwnedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
