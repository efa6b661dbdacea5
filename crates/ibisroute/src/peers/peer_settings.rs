//! Settings of the streams between nodes.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::ByteSize;
use crate::types::Millis;

/// Settings of h2 connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Local address of outgoing connections; chosen by the system when absent.
    pub bind: Option<IpAddr>,
    /// Longest time to connect.
    pub connect: Millis,
    /// Interval of pings while a connection is in use.
    pub ping_interval: Millis,
    /// A connection without a pong for this time is replaced.
    pub ping_timeout: Millis,
    /// Flow-control window of one stream; bounds the memory that a slow reader takes.
    pub stream_window: ByteSize,
    /// Flow-control window of one connection.
    pub connection_window: ByteSize,
    /// Concurrent streams that a peer may open on one connection.
    pub max_streams: u32,
    /// Longest time that a peer may take to send the head of a request.
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
