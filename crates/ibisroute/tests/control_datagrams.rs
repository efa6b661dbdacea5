//! Reception and routing of datagrams on the UDP control socket.

use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use actix::Context;
use actix::Handler;
use ibisroute::node::messages::DatagramReceived;
use ibisroute::peers::datagram::ControlSocket;
use ibisroute::peers::datagram::DatagramRoutes;
use ibisroute::types::Head;
use ibisroute::wire::Datagram;
use ibisroute::wire::HeadNotice;
use ibisroute::wire::MAX_DATAGRAM_BYTES;
use ibisroute::wire::MoveStateWire;
use tokio::sync::mpsc;

/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards received datagrams to the test, with the name of their route.
struct DatagramRecorder {
    route: &'static str,
    tx: mpsc::UnboundedSender<(&'static str, Datagram)>,
}

impl Actor for DatagramRecorder {
    type Context = Context<Self>;
}

impl Handler<DatagramReceived> for DatagramRecorder {
    type Result = ();

    fn handle(&mut self, msg: DatagramReceived, _: &mut Self::Context) {
        let _ = self.tx.send((self.route, msg.datagram));
    }
}

fn control_socket() -> Rc<ControlSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback socket");
    Rc::new(ControlSocket::new(socket).expect("control socket"))
}

/// Guards against a malformed or oversized datagram that stops the receive loop, and against a
/// datagram that is routed to the wrong actor.
#[actix_rt::test]
async fn malformed_and_oversized_datagrams_are_dropped() {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let recorder = |route| DatagramRecorder { route, tx: tx.clone() }.start().recipient();
    let routes = DatagramRoutes {
        membership: recorder("membership"),
        distribution: recorder("distribution"),
        moves: recorder("moves"),
    };
    let receiver = control_socket();
    let to = receiver.local_addr().expect("bound address");
    let receiving = receiver.clone();
    actix::spawn(async move { receiving.receive(routes).await });
    let raw_socket = UdpSocket::bind("127.0.0.1:0").expect("loopback socket");
    for buf in [&[][..], &[255; 40], &[0; MAX_DATAGRAM_BYTES + 1], &[1, 2, 3]] {
        raw_socket.send_to(buf, to).expect("sent");
    }
    let sender = control_socket();
    let sender_addr = sender.local_addr().expect("bound address");
    let notice = HeadNotice {
        head: Head::default(),
        from: "a".into(),
        peer_addr: sender_addr,
        control_addr: sender_addr,
    };
    let notice = Datagram::HeadNotice(notice);
    sender.send(to, &notice);
    let received = tokio::time::timeout(WAIT_TIMEOUT, rx.recv()).await.expect("datagram in time");
    assert_eq!(received, Some(("distribution", notice)));
    let state = MoveStateWire {
        id: "m".into(),
        stage: 1,
        finished: false,
        withdrawn: false,
        reason: "".into(),
    };
    sender.send(to, &Datagram::MoveNotice(vec![state.clone(); 300]));
    let small_notice = Datagram::MoveNotice(vec![state]);
    sender.send(to, &small_notice);
    let received = tokio::time::timeout(WAIT_TIMEOUT, rx.recv()).await.expect("datagram in time");
    assert_eq!(
        received,
        Some(("moves", small_notice)),
        "the oversized datagram is dropped by the sender"
    );
}
