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
    /// Address of the platform.
    pub address: SocketAddr,
    /// Local address of the connections; `None` lets the system choose.
    pub local_address: Option<IpAddr>,
    /// Longest time for a whole request with its answer, in milliseconds.
    pub request_timeout_ms: u64,
    /// Longest time for a new connection, in milliseconds; must be below `request_timeout_ms`, or
    /// an unreachable platform looks like a lost answer.
    pub connect_timeout_ms: u64,
    /// Largest answer about rows, in bytes.
    pub max_rows_bytes: usize,
    /// Largest object, in bytes.
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
