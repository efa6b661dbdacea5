//! Names of the HTTP headers and node calls that the users' platform defines.
//!
//! The rest of the library refers to these constants only, so that a renamed header changes one line.

/// Identity of one attempt of a caller; targets echo it.
pub const REQUEST_ID: &str = "Request-Id";

/// Milliseconds that the sender still waits for the answer.
pub const DEADLINE_MS: &str = "Deadline-Ms";

/// Present on every answer that a target made itself.
pub const SIGNATURE: &str = "Response-Signature";

/// The run of a target that must serve the request; any other run answers 421.
pub const TARGET_INSTANCE: &str = "Target-Instance";

/// Running requests, waiting requests and slots of a target, separated by commas.
pub const LOAD: &str = "Server-Load";

/// Present when the target did not run the request.
pub const NOT_EXECUTED: &str = "Not-Executed";

/// Seconds after which a refused caller may come back; may have a fraction.
pub const RETRY_AFTER: &str = "Retry-After";

/// Service of the host where the request began.
pub const CALLER_SERVICE: &str = "Caller-Service";

/// Path of the readiness check of a node.
pub const READY_PATH: &str = "/-/ready";

/// Path under which targets announce themselves; their id follows.
pub const INSTANCES_PATH: &str = "/-/instances/";
