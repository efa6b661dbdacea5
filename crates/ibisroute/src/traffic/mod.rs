//! Traffic between callers and targets: listener, routing, admission, retries and dispatch.

pub mod admission;
pub mod balancer;
pub mod call;
mod claim;
pub mod consecutive_failures;
pub mod dispatch;
pub mod headers;
mod ingress;
mod late_connections;
pub mod refusal;
mod request;
mod response;
pub mod retry;
pub mod routing;
mod stored_upload;
mod target_client;
mod threads;
pub mod token_bucket;
pub mod traffic_settings;
mod worker;

pub use self::dispatch::DispatchHandle;
pub use self::dispatch::LocalTarget;
pub use self::threads::TrafficContext;
pub use self::threads::TrafficThreads;
pub use self::threads::start;
