//! Communication between nodes: calls and control requests on HTTP/2 streams, and control
//! datagrams.

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

/// Path of the streams that carry control requests.
const CONTROL_PATH: &str = "/control";

/// Path of the streams that carry calls.
const CALL_PATH: &str = "/call";

/// Response header by which the target's node requests the streamed body of a call. Sent when the
/// connection to the target is open and the body is first read.
const ADMITTED_HEADER: &str = "x-ibis-admitted";

/// Reason why a peer gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PeerError {
    /// No connection could be opened, so nothing was sent.
    #[display("cannot connect to peer {_0}: {_1}")]
    Unreachable(SocketAddr, String),
    /// The stream or its connection ended early.
    #[display("stream to peer {_0} failed: {_1}")]
    Broken(SocketAddr, String),
    /// No complete response arrived in time.
    #[display("no response from peer {_0} within {_1}")]
    TimedOut(SocketAddr, Millis),
    /// The response does not follow the protocol.
    #[display("unexpected response from peer {_0}: {_1}")]
    Protocol(SocketAddr, String),
}

impl std::error::Error for PeerError {}

/// Client for control requests to peers. The node uses [`client::PeerClient`]; tests use fakes.
pub trait ControlTransport {
    /// Sends `request` to the peer at `addr` and waits at most `timeout` for the reply.
    fn request(
        &self,
        addr: SocketAddr,
        request: ControlRequest,
        timeout: Millis,
    ) -> LocalBoxFuture<'static, Result<ControlReply, PeerError>>;
}
