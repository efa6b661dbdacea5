//! The relays silence, reset, delay and lose only what they are told to.

use std::collections::HashSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use standins::relay::TcpRelay;
use standins::relay::TcpRules;
use standins::relay::UdpRelay;
use standins::relay::UdpRules;
use standins::wait;

const BOUND: Duration = Duration::from_secs(10);

/// Time after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(200);

fn any(ip: [u8; 4]) -> SocketAddr {
    (ip, 0).into()
}

/// Sends back every byte, and first the IP address that it sees as the client's.
fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind(any([127, 0, 0, 1])).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for io in listener.incoming() {
            let Ok(mut io) = io else { return };
            std::thread::spawn(move || {
                let mut buf = [0; 1024];
                while let Ok(n) = io.read(&mut buf) {
                    if n == 0 || io.write_all(&buf[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn connect(relay: &TcpRelay) -> TcpStream {
    let io = TcpStream::connect(relay.addr()).expect("a connection");
    io.set_read_timeout(Some(BOUND)).expect("a timeout");
    io
}

/// Connects from a given loopback address.
fn connect_from(relay: &TcpRelay, ip: [u8; 4]) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.bind(&any(ip).into()).expect("a loopback address");
    socket.connect(&relay.addr().into()).expect("a connection");
    let io = TcpStream::from(socket);
    io.set_read_timeout(Some(BOUND)).expect("a timeout");
    io
}

fn round_trip(io: &mut TcpStream) -> io::Result<()> {
    io.write_all(b"ping")?;
    let mut buf = [0; 4];
    io.read_exact(&mut buf)?;
    assert_eq!(&buf, b"ping");
    Ok(())
}

/// Whether nothing comes back although the connection stays open.
fn is_silent(io: &mut TcpStream) -> bool {
    io.set_read_timeout(Some(SILENCE)).expect("a timeout");
    io.write_all(b"ping").expect("an open connection");
    let result = io.read(&mut [0; 4]);
    io.set_read_timeout(Some(BOUND)).expect("a timeout");
    matches!(result, Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut))
}

/// Guards against a silence that reaches new connections, or that closes the old ones.
#[test]
fn silence_spares_new_connections() {
    let relay = TcpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    // The relay has to exist before its destination.
    let mut old = connect(&relay);
    relay.set_destination(tcp_echo());
    round_trip(&mut old).expect("an echo");
    relay.silence_existing();
    assert!(is_silent(&mut old));
    let mut new = connect(&relay);
    round_trip(&mut new).expect("an echo");
    assert!(is_silent(&mut old));
    relay.reset_existing();
    assert!(!matches!(old.read(&mut [0; 4]), Ok(n) if n > 0));
    assert!(!matches!(new.read(&mut [0; 4]), Ok(n) if n > 0));
    round_trip(&mut connect(&relay)).expect("an echo");
}

/// Guards against a partition that silences other sources, or that does not heal.
#[test]
fn sources_are_told_apart() {
    let relay = TcpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    let mut far = connect_from(&relay, [127, 0, 2, 1]);
    let mut near = connect_from(&relay, [127, 0, 1, 1]);
    round_trip(&mut far).expect("an echo");
    round_trip(&mut near).expect("an echo");
    let cut: HashSet<IpAddr> = [IpAddr::from([127, 0, 2, 1])].into();
    relay.set_rules(TcpRules { silent_sources: cut, ..Default::default() });
    assert!(is_silent(&mut far));
    assert!(is_silent(&mut connect_from(&relay, [127, 0, 2, 1])));
    round_trip(&mut near).expect("an echo");
    relay.set_rules(TcpRules::default());
    // What was sent in the silence arrives now, as TCP would retransmit it.
    let mut buf = [0; 4];
    far.read_exact(&mut buf).expect("the late echo");
    round_trip(&mut far).expect("an echo");
}

/// Guards against a relay that hides the source's address from the destination.
#[test]
fn sources_stay_visible() {
    let listener = TcpListener::bind(any([127, 0, 0, 1])).expect("a free port");
    let relay = TcpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(listener.local_addr().expect("an address"));
    let _client = connect_from(&relay, [127, 0, 3, 9]);
    let (_, seen) = listener.accept().expect("a connection");
    assert_eq!(seen.ip(), IpAddr::from([127, 0, 3, 9]));
}

/// Guards against refusals that do not end with their rule, and against missing latency.
#[test]
fn rules_come_and_go() {
    let relay = TcpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    relay.set_rules(TcpRules { refuse_new: true, ..Default::default() });
    assert!(round_trip(&mut connect(&relay)).is_err());
    relay.set_rules(TcpRules { latency_ms: (60, 60), ..Default::default() });
    let mut io = connect(&relay);
    let start = Instant::now();
    round_trip(&mut io).expect("an echo");
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
    relay.set_rules(TcpRules::default());
    round_trip(&mut connect(&relay)).expect("an echo");
}

/// Guards against bytes that are lost or reordered on the way, with and without latency.
#[test]
fn bytes_stay_in_order() {
    let relay = TcpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    relay.set_rules(TcpRules { latency_ms: (0, 3), seed: 5, ..Default::default() });
    let mut io = connect(&relay);
    let sent: Vec<u8> = (0..300_000_u32).map(|n| (n % 251) as u8).collect();
    let mut writer = io.try_clone().expect("a handle");
    let copy = sent.clone();
    let writing = std::thread::spawn(move || writer.write_all(&copy));
    let mut received = vec![0; sent.len()];
    io.read_exact(&mut received).expect("all bytes");
    writing.join().expect("the writer").expect("written");
    assert!(received == sent, "seed 5");
}

fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(any([127, 0, 0, 1])).expect("a free port");
    let addr = socket.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut buf = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buf) {
            let _ = socket.send_to(&buf[..n], from);
        }
    });
    addr
}

fn udp_client(ip: [u8; 4], bound: Duration) -> UdpSocket {
    let socket = UdpSocket::bind(any(ip)).expect("a loopback address");
    socket.set_read_timeout(Some(bound)).expect("a timeout");
    socket
}

/// Sends datagrams and returns how many answers each got: waits for `expected` answers in all, and
/// then for silence.
fn answers(relay: &UdpRelay, client: &UdpSocket, count: u32, expected: u32) -> Vec<u32> {
    let mut answers = vec![0; count as usize];
    for n in 0..count {
        client.send_to(&n.to_le_bytes(), relay.addr()).expect("sent");
    }
    let mut buf = [0; 4];
    let mut got = 0;
    loop {
        let bound = if got < expected { BOUND } else { SILENCE };
        client.set_read_timeout(Some(bound)).expect("a timeout");
        if client.recv_from(&mut buf).is_err() {
            return answers;
        }
        got += 1;
        answers[u32::from_le_bytes(buf) as usize] += 1;
    }
}

/// Guards against a UDP partition that reaches other sources, lets answers through or stays.
#[test]
fn datagrams_follow_sources() {
    let relay = UdpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(udp_echo());
    let far = udp_client([127, 0, 2, 1], SILENCE);
    let near = udp_client([127, 0, 1, 1], SILENCE);
    assert_eq!(answers(&relay, &far, 3, 3), [1, 1, 1]);
    relay.change_rules(|rules| {
        rules.silent_sources.insert([127, 0, 2, 1].into());
    });
    assert_eq!(answers(&relay, &far, 3, 0), [0, 0, 0]);
    assert_eq!(answers(&relay, &near, 3, 3), [1, 1, 1]);
    relay.change_rules(|rules| rules.silent_sources.clear());
    assert_eq!(answers(&relay, &far, 3, 3), [1, 1, 1]);
}

/// Guards against losses and duplicates that do not follow the share or the seed.
#[test]
fn losses_follow_the_seed() {
    let destination = UdpSocket::bind(any([127, 0, 0, 1])).expect("a free port");
    destination.set_read_timeout(Some(BOUND)).expect("a timeout");
    let run = || {
        let relay = UdpRelay::start(any([127, 0, 0, 1])).expect("a relay");
        relay.set_destination(destination.local_addr().expect("an address"));
        let rules =
            UdpRules { drop_share: 0.3, duplicate_share: 0.2, seed: 11, ..Default::default() };
        relay.set_rules(rules);
        let client = udp_client([127, 0, 0, 1], SILENCE);
        for n in 0..100_u32 {
            client.send_to(&n.to_le_bytes(), relay.addr()).expect("sent");
        }
        let mut counts = vec![0; 100];
        let mut buf = [0; 4];
        wait::until_true("all datagrams", BOUND, || relay.counters().received == 100)
            .expect("all datagrams");
        for _ in 0..relay.counters().passed {
            destination.recv_from(&mut buf).expect("a datagram");
            counts[u32::from_le_bytes(buf) as usize] += 1;
        }
        counts
    };
    let first: Vec<u32> = run();
    let lost = first.iter().filter(|count| **count == 0).count();
    let twice = first.iter().filter(|count| **count == 2).count();
    assert!((10..=55).contains(&lost), "{lost} lost, seed 11");
    assert!((2..=35).contains(&twice), "{twice} twice, seed 11");
    assert_eq!(first, run(), "seed 11");
}

/// Guards against datagrams that arrive before their delay.
#[test]
fn datagrams_are_delayed() {
    let relay = UdpRelay::start(any([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(udp_echo());
    relay.set_rules(UdpRules { delay_ms: (50, 60), ..Default::default() });
    let client = udp_client([127, 0, 0, 1], BOUND);
    let start = Instant::now();
    client.send_to(b"ping", relay.addr()).expect("sent");
    client.recv_from(&mut [0; 4]).expect("an answer");
    assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
}
