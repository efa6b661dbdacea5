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

/// Time after which a connection is closed if sent bytes are not acknowledged. A connection can fail
/// without a reset, and the default limit of the operating system is many minutes.
pub const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(1_500);

/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of connections that wait to be accepted. When a burst of new connections exceeds it,
/// the operating system of the caller tries to connect again only after a second.
const BACKLOG: u32 = 1024;

/// Connects to an address and sets the socket options. Fails with [`io::ErrorKind::TimedOut`] after
/// `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Millis) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = timeout(connect_timeout.to_duration(), socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection between nodes or to a target: no delay of short writes, keep-alive
/// probes, and [`UNACKNOWLEDGED_TIMEOUT`].
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT.to_duration()))?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&probes)
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
