//! Tests that the relays inject exactly the faults that their rules specify.

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

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without data after which a connection or socket counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Socket address with this IP address and a port that the system chooses.
fn any_port(ip: [u8; 4]) -> SocketAddr {
    (ip, 0).into()
}

/// Starts a TCP server that sends back every byte.
fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind(any_port([127, 0, 0, 1])).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            std::thread::spawn(move || {
                let mut buf = [0; 1024];
                while let Ok(n) = stream.read(&mut buf) {
                    if n == 0 || stream.write_all(&buf[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn connect(relay: &TcpRelay) -> TcpStream {
    let stream = TcpStream::connect(relay.addr()).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    stream
}

/// Connects from a given loopback address.
fn connect_from(relay: &TcpRelay, ip: [u8; 4]) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.bind(&any_port(ip).into()).expect("a loopback address");
    socket.connect(&relay.addr().into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    stream
}

fn round_trip(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"ping")?;
    let mut buf = [0; 4];
    stream.read_exact(&mut buf)?;
    assert_eq!(&buf, b"ping");
    Ok(())
}

/// Sends data and returns whether there is no response although the connection stays open.
fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).expect("a timeout");
    stream.write_all(b"ping").expect("an open connection");
    let result = stream.read(&mut [0; 4]);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    matches!(result, Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut))
}

/// Guards against silence that affects new connections or closes the existing ones.
#[test]
fn silence_affects_only_existing_connections() {
    let relay = TcpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    // A relay must accept connections before its destination exists.
    let mut existing = connect(&relay);
    relay.set_destination(tcp_echo());
    round_trip(&mut existing).expect("an echo");
    relay.silence_existing();
    assert!(is_silent(&mut existing));
    let mut later_connection = connect(&relay);
    round_trip(&mut later_connection).expect("an echo");
    assert!(is_silent(&mut existing));
    relay.reset_existing();
    assert!(!matches!(existing.read(&mut [0; 4]), Ok(n) if n > 0));
    assert!(!matches!(later_connection.read(&mut [0; 4]), Ok(n) if n > 0));
    round_trip(&mut connect(&relay)).expect("an echo");
}

/// Guards against a partition that silences other sources or does not end with its rule.
#[test]
fn partition_silences_only_listed_sources() {
    let relay = TcpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    let mut silenced_client = connect_from(&relay, [127, 0, 2, 1]);
    let mut other_client = connect_from(&relay, [127, 0, 1, 1]);
    round_trip(&mut silenced_client).expect("an echo");
    round_trip(&mut other_client).expect("an echo");
    let sources: HashSet<IpAddr> = [IpAddr::from([127, 0, 2, 1])].into();
    relay.set_rules(TcpRules { silent_sources: sources, ..Default::default() });
    assert!(is_silent(&mut silenced_client));
    assert!(is_silent(&mut connect_from(&relay, [127, 0, 2, 1])));
    round_trip(&mut other_client).expect("an echo");
    relay.set_rules(TcpRules::default());
    // Data sent during the silence arrives now, as TCP would retransmit it.
    let mut buf = [0; 4];
    silenced_client.read_exact(&mut buf).expect("the late echo");
    round_trip(&mut silenced_client).expect("an echo");
}

/// Guards against a relay that hides the source's address from the destination.
#[test]
fn destination_sees_the_address_of_the_source() {
    let listener = TcpListener::bind(any_port([127, 0, 0, 1])).expect("a free port");
    let relay = TcpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(listener.local_addr().expect("an address"));
    let _client = connect_from(&relay, [127, 0, 3, 9]);
    let (_, peer_addr) = listener.accept().expect("a connection");
    assert_eq!(peer_addr.ip(), IpAddr::from([127, 0, 3, 9]));
}

/// Guards against connections that work under the rule that refuses them or fail after it is
/// lifted, and against missing latency.
#[test]
fn tcp_refusals_and_latency_follow_the_rules() {
    let relay = TcpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    relay.set_rules(TcpRules { refuse_new: true, ..Default::default() });
    assert!(round_trip(&mut connect(&relay)).is_err());
    relay.set_rules(TcpRules { latency_ms: (60, 60), ..Default::default() });
    let mut stream = connect(&relay);
    let start = Instant::now();
    round_trip(&mut stream).expect("an echo");
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
    relay.set_rules(TcpRules::default());
    round_trip(&mut connect(&relay)).expect("an echo");
}

/// Guards against lost or reordered bytes when the latency varies.
#[test]
fn bytes_stay_complete_and_in_order() {
    let relay = TcpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(tcp_echo());
    relay.set_rules(TcpRules { latency_ms: (0, 3), seed: 5, ..Default::default() });
    let mut stream = connect(&relay);
    let sent: Vec<u8> = (0..300_000_u32).map(|n| (n % 251) as u8).collect();
    let mut writer = stream.try_clone().expect("a handle");
    let data = sent.clone();
    let writer_thread = std::thread::spawn(move || writer.write_all(&data));
    let mut received = vec![0; sent.len()];
    stream.read_exact(&mut received).expect("all bytes");
    writer_thread.join().expect("the writer").expect("written");
    assert!(received == sent, "seed 5");
}

/// Starts a UDP server that sends back every datagram.
fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(any_port([127, 0, 0, 1])).expect("a free port");
    let addr = socket.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut buf = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buf) {
            let _ = socket.send_to(&buf[..n], from);
        }
    });
    addr
}

fn udp_client(ip: [u8; 4], timeout: Duration) -> UdpSocket {
    let socket = UdpSocket::bind(any_port(ip)).expect("a loopback address");
    socket.set_read_timeout(Some(timeout)).expect("a timeout");
    socket
}

/// Sends `count` datagrams and returns the number of responses to each: waits for `expected`
/// responses in total, and then for silence.
fn response_counts(relay: &UdpRelay, client: &UdpSocket, count: u32, expected: u32) -> Vec<u32> {
    let mut responses = vec![0; count as usize];
    for n in 0..count {
        client.send_to(&n.to_le_bytes(), relay.addr()).expect("sent");
    }
    let mut buf = [0; 4];
    let mut received = 0;
    loop {
        let timeout = if received < expected { WAIT_TIMEOUT } else { SILENCE_TIMEOUT };
        client.set_read_timeout(Some(timeout)).expect("a timeout");
        if client.recv_from(&mut buf).is_err() {
            return responses;
        }
        received += 1;
        responses[u32::from_le_bytes(buf) as usize] += 1;
    }
}

/// Guards against a UDP partition that affects other sources, lets responses through or does not
/// end with its rule.
#[test]
fn udp_partition_silences_only_listed_sources() {
    let relay = UdpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(udp_echo());
    let silenced_client = udp_client([127, 0, 2, 1], SILENCE_TIMEOUT);
    let other_client = udp_client([127, 0, 1, 1], SILENCE_TIMEOUT);
    assert_eq!(response_counts(&relay, &silenced_client, 3, 3), [1, 1, 1]);
    relay.change_rules(|rules| {
        rules.silent_sources.insert([127, 0, 2, 1].into());
    });
    assert_eq!(response_counts(&relay, &silenced_client, 3, 0), [0, 0, 0]);
    assert_eq!(response_counts(&relay, &other_client, 3, 3), [1, 1, 1]);
    relay.change_rules(|rules| rules.silent_sources.clear());
    assert_eq!(response_counts(&relay, &silenced_client, 3, 3), [1, 1, 1]);
}

/// Guards against losses and duplicates that do not match the share or differ with the same seed.
#[test]
fn losses_and_duplicates_depend_on_the_seed() {
    let destination = UdpSocket::bind(any_port([127, 0, 0, 1])).expect("a free port");
    destination.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let count_responses = || {
        let relay = UdpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
        relay.set_destination(destination.local_addr().expect("an address"));
        let rules =
            UdpRules { drop_share: 0.3, duplicate_share: 0.2, seed: 11, ..Default::default() };
        relay.set_rules(rules);
        let client = udp_client([127, 0, 0, 1], SILENCE_TIMEOUT);
        for n in 0..100_u32 {
            client.send_to(&n.to_le_bytes(), relay.addr()).expect("sent");
        }
        let mut counts = vec![0; 100];
        let mut buf = [0; 4];
        wait::until_true("all datagrams", WAIT_TIMEOUT, || relay.counters().received == 100)
            .expect("all datagrams");
        for _ in 0..relay.counters().forwarded {
            destination.recv_from(&mut buf).expect("a datagram");
            counts[u32::from_le_bytes(buf) as usize] += 1;
        }
        counts
    };
    let first_counts: Vec<u32> = count_responses();
    let lost_count = first_counts.iter().filter(|count| **count == 0).count();
    let duplicated_count = first_counts.iter().filter(|count| **count == 2).count();
    assert!((10..=55).contains(&lost_count), "{lost_count} lost, seed 11");
    assert!((2..=35).contains(&duplicated_count), "{duplicated_count} duplicated, seed 11");
    assert_eq!(first_counts, count_responses(), "seed 11");
}

/// Guards against datagrams that are delivered before their delay.
#[test]
fn datagrams_take_at_least_the_delay() {
    let relay = UdpRelay::start(any_port([127, 0, 0, 1])).expect("a relay");
    relay.set_destination(udp_echo());
    relay.set_rules(UdpRules { delay_ms: (50, 60), ..Default::default() });
    let client = udp_client([127, 0, 0, 1], WAIT_TIMEOUT);
    let start = Instant::now();
    client.send_to(b"ping", relay.addr()).expect("sent");
    client.recv_from(&mut [0; 4]).expect("a response");
    assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
}
