//! Streams between nodes: h2 connections, control requests and calls.

pub mod client;
pub mod datagram;
pub mod frame;
pub mod peer_settings;
pub mod server;
pub mod task;

use std::net::SocketAddr;

use derive_more::Display;
use futures_util::future::LocalBoxFuture;

use crate::types::Millis;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;

/// Path of control requests.
const CONTROL_PATH: &str = "/control";

/// Path of calls.
const CALL_PATH: &str = "/call";

/// Response header that tells the calling node to send a streamed body: the target is connected.
const ADMITTED_HEADER: &str = "x-ibis-admitted";

/// Why a peer gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PeerError {
    /// No connection, so that nothing was sent.
    #[display("cannot connect to peer {_0}: {_1}")]
    Unreachable(SocketAddr, String),
    /// The stream or its connection ended early.
    #[display("stream to peer {_0} failed: {_1}")]
    Broken(SocketAddr, String),
    /// No whole answer in time.
    #[display("no answer from peer {_0} within {_1}")]
    TimedOut(SocketAddr, Millis),
    /// The answer does not follow the protocol.
    #[display("unexpected answer from peer {_0}: {_1}")]
    Protocol(SocketAddr, String),
}

impl std::error::Error for PeerError {}

/// Sends control requests to peers. The node uses an h2 client; tests use small fakes.
pub trait ControlTransport {
    /// Sends `request` to the peer at `addr` and waits at most `timeout` for the reply.
    fn request(
        &self,
        addr: SocketAddr,
        request: ControlRequest,
        timeout: Millis,
    ) -> LocalBoxFuture<'static, Result<ControlReply, PeerError>>;
}
