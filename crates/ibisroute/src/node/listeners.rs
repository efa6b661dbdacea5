//! Sockets that the node listens on. All are bound before anything starts, so that a wrong address
//! stops the process before it takes part in anything.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

use crate::settings::ListenSettings;
use crate::types::NodeId;

/// Connections that wait to be accepted; a mass restart brings many at once.
const BACKLOG: i32 = 1024;

/// Bound sockets.
#[derive(Debug)]
pub struct Listeners {
    /// Control datagrams.
    pub control: UdpSocket,
    /// Calls and control requests of peers.
    pub peer: TcpListener,
    /// Callers.
    pub caller: TcpListener,
    /// Operators.
    pub admin: TcpListener,
    /// Targets beside the node.
    pub targets: TcpListener,
}

/// The addresses that were bound; the node prints them as one JSON line on standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// Node.
    pub node: NodeId,
    /// Control datagrams.
    pub control: SocketAddr,
    /// Calls and control requests of peers.
    pub peer: SocketAddr,
    /// Callers.
    pub caller: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// Targets beside the node.
    pub targets: SocketAddr,
}

impl Listeners {
    /// Binds all sockets.
    pub fn bind(cfg: &ListenSettings) -> eyre::Result<Self> {
        Ok(Self {
            control: UdpSocket::bind(cfg.control)
                .wrap_err_with(|| format!("cannot bind listen.control {}", cfg.control))?,
            peer: listen("peer", cfg.peer)?,
            caller: listen("caller", cfg.caller)?,
            admin: listen("admin", cfg.admin)?,
            targets: listen("targets", cfg.targets)?,
        })
    }

    /// The addresses that were bound.
    pub fn addresses(&self, node: NodeId) -> eyre::Result<BoundAddresses> {
        Ok(BoundAddresses {
            node,
            control: self.control.local_addr()?,
            peer: self.peer.local_addr()?,
            caller: self.caller.local_addr()?,
            admin: self.admin.local_addr()?,
            targets: self.targets.local_addr()?,
        })
    }
}

fn listen(name: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    bind(addr).wrap_err_with(|| format!("cannot listen on listen.{name} {addr}"))
}

fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted node takes its old address while old connections are still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
