//! Sockets that the node listens on. All are bound before anything else starts, so that the process
//! fails on a wrong address before it joins the fleet.

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

/// Largest number of connections per listener that wait to be accepted. In a mass restart many
/// peers connect at once.
const ACCEPT_BACKLOG: i32 = 1024;

/// Sockets of the node, bound and listening.
#[derive(Debug)]
pub struct Listeners {
    /// Receives control datagrams.
    pub control: UdpSocket,
    /// Accepts calls and control requests from peers.
    pub peer: TcpListener,
    /// Accepts connections of callers.
    pub caller: TcpListener,
    /// Accepts connections of operators.
    pub admin: TcpListener,
    /// Accepts connections of the targets on this host.
    pub targets: TcpListener,
}

/// Bound addresses, with the port that the system assigned in place of port 0. The node prints them
/// as one JSON line on standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    pub node: NodeId,
    pub control: SocketAddr,
    pub peer: SocketAddr,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub targets: SocketAddr,
}

impl Listeners {
    /// Binds the configured addresses.
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

    /// Returns the bound addresses, together with the id of the node.
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

fn listen(setting: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    bind_tcp(addr).wrap_err_with(|| format!("cannot listen on listen.{setting} {addr}"))
}

fn bind_tcp(addr: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted node must bind its old address while connections of the previous process are
    // still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
