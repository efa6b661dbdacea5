//! TCP sockets with the options that the mesh relies on.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::types::Millis;

/// Time after which a connection between nodes is closed if sent bytes are not acknowledged, or cannot be
/// sent because the receiver reads nothing. A connection can fail without a reset, and the default limit
/// of the operating system is many minutes.
pub const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(1_500);

/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of connections that wait to be accepted. When a burst of new connections exceeds it,
/// the operating system of the caller tries to connect again only after a second.
const BACKLOG: u32 = 1024;

/// Connects to a node and sets the socket options. Fails with [`io::ErrorKind::TimedOut`] after
/// `connect_timeout`.
pub async fn connect_node(address: SocketAddr, connect_timeout: Millis) -> io::Result<TcpStream> {
    let stream = connect(address, connect_timeout).await?;
    set_node_options(&stream)?;
    Ok(stream)
}

/// Connects to a target like [`connect_node`], but without [`UNACKNOWLEDGED_TIMEOUT`]: a target may read a
/// long body only when it has a free slot, so the deadline of the request limits the wait.
pub async fn connect_target(address: SocketAddr, connect_timeout: Millis) -> io::Result<TcpStream> {
    let stream = connect(address, connect_timeout).await?;
    set_options(&stream)?;
    Ok(stream)
}

async fn connect(address: SocketAddr, connect_timeout: Millis) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    timeout(connect_timeout.to_duration(), socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Sets the options of a connection between nodes: no delay of short writes, keep-alive probes, and
/// [`UNACKNOWLEDGED_TIMEOUT`].
pub fn set_node_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream)?;
    let limit = UNACKNOWLEDGED_TIMEOUT.to_duration();
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}

/// Sets no delay of short writes, and keep-alive probes.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Listens on an address that may be in use by connections of an earlier process.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
