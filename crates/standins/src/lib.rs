//! Stand-ins for the platform, the targets and the callers of ibisroute, fault injection, and a
//! harness that starts real node processes.
//!
//! Nothing here uses the `ibisroute` crate: the stand-ins speak the HTTP protocols of
//! `docs/design.md` with their own types, so that they cannot share a mistake with the system.

pub mod body;
pub mod caller;
pub mod chart;
pub mod harness;
pub mod http;
pub mod measure;
pub mod mesh;
pub mod platform;
pub mod programs;
pub mod relay;
mod server;
pub mod target;
pub mod wait;

/// Blocks until the process receives SIGTERM or SIGINT.
pub fn wait_for_stop_signal() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            _ = term.recv() => {}
            result = tokio::signal::ctrl_c() => result?,
        }
        Ok(())
    })
}
