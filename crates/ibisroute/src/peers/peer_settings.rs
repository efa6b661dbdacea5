//! Settings of the connections between nodes.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::ByteSize;
use crate::types::Millis;

/// Settings of the HTTP/2 connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Local address of outgoing connections; `None` lets the operating system choose.
    pub bind: Option<IpAddr>,
    /// Timeout for a new connection, including the HTTP/2 handshake.
    pub connect: Millis,
    /// Pause between the pings of a connection that has open streams.
    pub ping_interval: Millis,
    /// Timeout for the response to a ping; a connection that exceeds it is closed, and its calls
    /// fail.
    pub ping_timeout: Millis,
    /// Flow-control window of one stream; bounds the memory that a slow reader occupies.
    pub stream_window: ByteSize,
    /// Flow-control window of one connection, shared by its streams.
    pub connection_window: ByteSize,
    /// Maximum number of concurrent streams that a peer may open on one connection.
    pub max_streams: u32,
    /// Timeout for a peer to finish the HTTP/2 handshake, and to send the head of a call or a
    /// control request.
    pub head_timeout: Millis,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            bind: None,
            connect: Millis(500),
            ping_interval: Millis(500),
            ping_timeout: Millis(500),
            stream_window: ByteSize(256 * 1024),
            connection_window: ByteSize(4 * 1024 * 1024),
            max_streams: 10_000,
            head_timeout: Millis(5_000),
        }
    }
}
