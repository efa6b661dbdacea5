//! HTTP headers and paths that the external platform defines.
//!
//! All other modules use these constants, so that renaming a header changes a single line.

/// Id that a caller gives to each of its attempts; targets echo it in the response.
pub const REQUEST_ID: &str = "Request-Id";

/// Time for which the sender of a request still waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";

/// Present on every response that a target itself produced.
pub const SIGNATURE: &str = "Response-Signature";

/// Id of the target incarnation that must serve the request; any other incarnation responds with 421.
pub const TARGET_INSTANCE: &str = "Target-Instance";

/// Numbers of running requests, queued requests and slots of a target, separated by commas.
pub const LOAD: &str = "Server-Load";

/// Present in a response if the target did not run the request.
pub const NOT_EXECUTED: &str = "Not-Executed";

/// Time in seconds after which a refused caller may retry; may be a decimal fraction.
pub const RETRY_AFTER: &str = "Retry-After";

/// Name of the service on the host from which the request came; set by the nodes.
pub const CALLER_SERVICE: &str = "Caller-Service";

/// Path of the readiness check of a node.
pub const READY_PATH: &str = "/-/ready";

/// Path prefix of the heartbeats and leave announcements of targets; the id of the target follows.
pub const INSTANCES_PATH: &str = "/-/instances/";
