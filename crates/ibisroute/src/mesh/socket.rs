//! TCP sockets with the options that this system relies on.

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

/// Time after which unacknowledged bytes end a connection. Connections may go silent for good without
/// a reset; the system's own limit is many minutes.
pub const SILENT_AFTER: Millis = Millis(1_500);

/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Connections that wait to be accepted. A burst of new connections beyond it is sent again by the
/// callers' systems only after a second.
const BACKLOG: u32 = 1024;

/// Connects within `limit`.
pub async fn connect(address: SocketAddr, limit: Millis) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = timeout(limit.to_duration(), socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection between nodes or to a target.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENT_AFTER.to_duration()))?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Listens on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
