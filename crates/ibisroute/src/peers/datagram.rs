//! UDP socket for control datagrams.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;

use actix::Recipient;
use metrics::counter;
use tokio::net::UdpSocket;

use crate::node::messages::DatagramReceived;
use crate::wire;
use crate::wire::Datagram;
use crate::wire::MAX_DATAGRAM_BYTES;

/// Size of the IPv4 and UDP headers; counted with each datagram in the byte metrics.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Size of the receive buffer; holds the largest UDP payload. A buffer of only
/// [`MAX_DATAGRAM_BYTES`] would truncate an oversized datagram, so that its length would look
/// valid.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Recipients of the received datagrams, by kind.
#[derive(Clone, Debug)]
pub struct DatagramRoutes {
    /// Receives [`Datagram::Member`].
    pub membership: Recipient<DatagramReceived>,
    /// Receives [`Datagram::HeadNotice`] and [`Datagram::HeadAck`].
    pub distribution: Recipient<DatagramReceived>,
    /// Receives [`Datagram::MoveNotice`].
    pub moves: Recipient<DatagramReceived>,
}

impl DatagramRoutes {
    fn recipient(&self, datagram: &Datagram) -> &Recipient<DatagramReceived> {
        match datagram {
            Datagram::Member(_) => &self.membership,
            Datagram::HeadNotice(_) | Datagram::HeadAck(_) => &self.distribution,
            Datagram::MoveNotice(_) => &self.moves,
        }
    }
}

/// Sends and receives control datagrams; never blocks.
#[derive(Debug)]
pub struct ControlSocket {
    /// Sends without the runtime, because tokio's socket refuses to send until it has been polled
    /// for the first time.
    send_socket: StdUdpSocket,
    receive_socket: UdpSocket,
}

impl ControlSocket {
    /// Creates the socket from one that is bound. Must be called within a tokio runtime.
    pub fn new(socket: StdUdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self { send_socket: socket.try_clone()?, receive_socket: UdpSocket::from_std(socket)? })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.send_socket.local_addr()
    }

    /// Sends a datagram; drops it if it is too long or cannot be sent immediately.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let kind = datagram_kind(datagram);
        let Ok(buf) = wire::encode(datagram, MAX_DATAGRAM_BYTES) else {
            counter!("ibis_control_datagrams_dropped_total", "kind" => kind).increment(1);
            return;
        };
        if self.send_socket.send_to(&buf, to).is_err() {
            counter!("ibis_control_datagrams_dropped_total", "kind" => kind).increment(1);
            return;
        }
        counter!("ibis_control_datagrams_sent_total", "kind" => kind).increment(1);
        counter!("ibis_control_bytes_sent_total", "kind" => kind)
            .increment(bytes_on_wire(buf.len()));
    }

    /// Receives and routes datagrams until the future is dropped.
    pub async fn receive(&self, routes: DatagramRoutes) {
        let mut buf = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            // An ICMP error for an earlier datagram is reported here; the socket remains usable.
            let Ok((len, from)) = self.receive_socket.recv_from(&mut buf).await else {
                tokio::task::yield_now().await;
                continue;
            };
            route_datagram(&buf[..len], from, &routes);
        }
    }
}

fn route_datagram(buf: &[u8], from: SocketAddr, routes: &DatagramRoutes) {
    let Ok(datagram) = wire::decode::<Datagram>(buf, MAX_DATAGRAM_BYTES) else {
        counter!("ibis_control_datagrams_malformed_total").increment(1);
        counter!("ibis_control_bytes_received_total", "kind" => "malformed")
            .increment(bytes_on_wire(buf.len()));
        return;
    };
    let kind = datagram_kind(&datagram);
    counter!("ibis_control_datagrams_received_total", "kind" => kind).increment(1);
    counter!("ibis_control_bytes_received_total", "kind" => kind)
        .increment(bytes_on_wire(buf.len()));
    routes.recipient(&datagram).do_send(DatagramReceived { from, datagram });
}

fn datagram_kind(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Member(_) => "member",
        Datagram::HeadNotice(_) => "head_notice",
        Datagram::HeadAck(_) => "head_ack",
        Datagram::MoveNotice(_) => "move_notice",
    }
}

fn bytes_on_wire(payload_bytes: usize) -> u64 {
    (payload_bytes + IP_UDP_HEADER_BYTES) as u64
}
