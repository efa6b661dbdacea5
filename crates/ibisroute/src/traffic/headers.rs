//! Headers of the protocol towards callers and targets.

/// Identity of a call.
pub const REQUEST_ID: &str = "x-request-id";

/// Remaining time in milliseconds.
pub const DEADLINE: &str = "x-ibis-deadline-ms";

/// Depth of a call in its chain.
pub const DEPTH: &str = "x-ibis-depth";

/// `1` when a retry was spent further down the call chain.
pub const RETRIED: &str = "x-ibis-retried";

/// `not-run` or `may-have-run`, on refusals.
pub const OUTCOME: &str = "x-ibis-outcome";

/// Time in microseconds from the request to the head of the target's answer; between nodes only.
pub const SERVICE_MICROS: &str = "x-ibis-service-us";

/// Whether a header belongs to one connection (RFC 9110, section 7.6.1) or frames its messages.
/// `Expect` is answered by this hop.
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 9] = [
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
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n)) || name.eq_ignore_ascii_case("expect")
}

/// Whether the node sets a request header itself.
pub fn is_own_request_header(name: &str) -> bool {
    [REQUEST_ID, DEADLINE, DEPTH, "content-length"].iter().any(|n| name.eq_ignore_ascii_case(n))
}
