//! Tasks that are aborted when their owner is dropped.

use std::future::Future;

use tokio::task::JoinHandle;

/// Handle of a task of the current thread; the task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct OwnedTask(JoinHandle<()>);

impl OwnedTask {
    /// Spawns a task on the current thread. Requires a running actix system.
    pub fn spawn(f: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(f))
    }
}

impl Drop for OwnedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
