//! Settings of the platform client.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Settings of [`HttpPlatform`](super::client::HttpPlatform).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Address and port of the platform's HTTP server.
    pub address: SocketAddr,
    /// Local address of the connections; `None` lets the operating system choose.
    pub local_address: Option<IpAddr>,
    /// Timeout for a request with its complete response, in milliseconds.
    pub request_timeout_ms: u64,
    /// Timeout for a new connection, in milliseconds. Must be below `request_timeout_ms`: otherwise a
    /// failure to connect, which has no effect, counts as a lost response.
    pub connect_timeout_ms: u64,
    /// Maximum size of a response in bytes, except for a response with an object.
    pub max_rows_bytes: usize,
    /// Maximum size of an object that is read, in bytes.
    pub max_object_bytes: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            local_address: None,
            request_timeout_ms: 2_000,
            connect_timeout_ms: 500,
            max_rows_bytes: 16 * 1024 * 1024,
            max_object_bytes: 64 * 1024 * 1024,
        }
    }
}
