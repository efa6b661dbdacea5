//! HTTP headers exchanged with callers and targets.

/// Id of the call, the same for all of its attempts.
pub const REQUEST_ID: &str = "x-request-id";

/// Time that remains until the deadline of the call when the request is sent, in milliseconds.
pub const DEADLINE: &str = "x-ibis-deadline-ms";

/// Depth of the call in its call chain; absent on a call from outside the mesh. The node increments
/// it for the target, which copies the header unchanged to the calls that it makes.
pub const DEPTH: &str = "x-ibis-depth";

/// Response header: `1` when the call was retried by this node or further down the call chain.
pub const RETRIED: &str = "x-ibis-retried";

/// `not-run` or `may-have-run`; set on refusals by a node, absent on responses of targets.
pub const OUTCOME: &str = "x-ibis-outcome";

/// Time from the start of the request to the head of the target's response, in microseconds. Sent
/// between nodes only.
pub const SERVICE_MICROS: &str = "x-ibis-service-us";

/// Whether a header belongs to one connection (RFC 9110, section 7.6.1) or describes the framing of
/// its messages. Includes `Expect`, which the node handles itself.
pub fn is_hop_by_hop(name: &str) -> bool {
    const HOP_BY_HOP_HEADERS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP_HEADERS.iter().any(|n| name.eq_ignore_ascii_case(n))
        || name.eq_ignore_ascii_case("expect")
}

/// Whether the node sets this request header for the target, instead of forwarding the caller's.
pub fn is_own_request_header(name: &str) -> bool {
    [REQUEST_ID, DEADLINE, DEPTH, "content-length"].iter().any(|n| name.eq_ignore_ascii_case(n))
}
