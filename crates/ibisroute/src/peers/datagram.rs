//! The UDP socket for control datagrams.

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

/// IPv4 and UDP headers, counted with each datagram.
const HEADER_BYTES: usize = 28;

/// Largest UDP payload; a longer buffer than the protocol's limit makes oversized datagrams visible.
const RECEIVE_BYTES: usize = 65_536;

/// Who takes each kind of datagram.
#[derive(Clone, Debug)]
pub struct DatagramRoutes {
    /// Takes [`Datagram::Member`].
    pub membership: Recipient<DatagramReceived>,
    /// Takes [`Datagram::HeadNotice`] and [`Datagram::HeadAck`].
    pub distribution: Recipient<DatagramReceived>,
    /// Takes [`Datagram::MoveNotice`].
    pub moves: Recipient<DatagramReceived>,
}

impl DatagramRoutes {
    fn of(&self, datagram: &Datagram) -> &Recipient<DatagramReceived> {
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
    /// Sends directly: the runtime refuses to send until it has polled the socket for the first
    /// time.
    sender: StdUdpSocket,
    receiver: UdpSocket,
}

impl ControlSocket {
    /// Takes over a bound socket. Must be called within a tokio runtime.
    pub fn new(socket: StdUdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self { sender: socket.try_clone()?, receiver: UdpSocket::from_std(socket)? })
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.sender.local_addr()
    }

    /// Sends a datagram, or drops it when it is too long or the socket is not ready.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let kind = kind_of(datagram);
        let Ok(buf) = wire::encode(datagram, MAX_DATAGRAM_BYTES) else {
            counter!("ibis_control_datagrams_dropped_total", "kind" => kind).increment(1);
            return;
        };
        if self.sender.send_to(&buf, to).is_err() {
            counter!("ibis_control_datagrams_dropped_total", "kind" => kind).increment(1);
            return;
        }
        counter!("ibis_control_datagrams_sent_total", "kind" => kind).increment(1);
        counter!("ibis_control_bytes_sent_total", "kind" => kind).increment(on_wire(buf.len()));
    }

    /// Receives and routes datagrams until the future is dropped.
    pub async fn receive(&self, routes: DatagramRoutes) {
        let mut buf = vec![0; RECEIVE_BYTES];
        loop {
            // An ICMP error for an earlier datagram shows up here; the socket stays usable.
            let Ok((bytes, from)) = self.receiver.recv_from(&mut buf).await else {
                tokio::task::yield_now().await;
                continue;
            };
            accept(&buf[..bytes], from, &routes);
        }
    }
}

fn accept(buf: &[u8], from: SocketAddr, routes: &DatagramRoutes) {
    let Ok(datagram) = wire::decode::<Datagram>(buf, MAX_DATAGRAM_BYTES) else {
        counter!("ibis_control_datagrams_malformed_total").increment(1);
        counter!("ibis_control_bytes_received_total", "kind" => "malformed")
            .increment(on_wire(buf.len()));
        return;
    };
    let kind = kind_of(&datagram);
    counter!("ibis_control_datagrams_received_total", "kind" => kind).increment(1);
    counter!("ibis_control_bytes_received_total", "kind" => kind).increment(on_wire(buf.len()));
    routes.of(&datagram).do_send(DatagramReceived { from, datagram });
}

fn kind_of(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Member(_) => "member",
        Datagram::HeadNotice(_) => "head_notice",
        Datagram::HeadAck(_) => "head_ack",
        Datagram::MoveNotice(_) => "move_notice",
    }
}

fn on_wire(payload: usize) -> u64 {
    (payload + HEADER_BYTES) as u64
}
