//! HTTP headers and paths that the external platform defines.
//!
//! All other modules use these constants, so that a renamed header changes one line only.

/// Id of one attempt of a caller; targets echo it in the response.
pub const REQUEST_ID: &str = "Request-Id";

/// Time that the sender still waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";

/// Present on every response that was produced by a target itself.
pub const SIGNATURE: &str = "Response-Signature";

/// Id of the incarnation of a target that must serve the request; any other responds with 421.
pub const TARGET_INSTANCE: &str = "Target-Instance";

/// Numbers of running requests, queued requests and slots of a target, separated by commas.
pub const LOAD: &str = "Server-Load";

/// Present if the target did not run the request.
pub const NOT_EXECUTED: &str = "Not-Executed";

/// Time after which a refused caller may retry, in seconds; may have a fraction.
pub const RETRY_AFTER: &str = "Retry-After";

/// Service of the host that the request originated from.
pub const CALLER_SERVICE: &str = "Caller-Service";

/// Path of the readiness check of a node.
pub const READY_PATH: &str = "/-/ready";

/// Prefix of the paths of targets' heartbeats and leaves; the target's id follows.
pub const INSTANCES_PATH: &str = "/-/instances/";
