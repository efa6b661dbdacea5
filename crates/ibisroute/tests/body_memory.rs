//! Memory for the bodies of callers' requests while they arrive.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::HOST;
use standins::mesh::fleet::MeshFleet;
use standins::mesh::fleet::ORDER_PATH;
use standins::mesh::fleet::READ_PATH;
use standins::wait;

use crate::common::mesh::TempFolder;

/// Largest body that the configuration permits, in bytes.
const BODY_BYTES: usize = 1_000_000;

/// Callers that begin a body each. By default, bodies may take 51 MB of a node's memory.
const CALLERS: usize = 80;

/// Required maximum of bodies that a node accepts at the same time, of [`BODY_BYTES`] each.
const MAX_BODIES: usize = 53;

fn start_fleet(name: &str) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(name, FleetOptions { count: 1, ..FleetOptions::default() })
}

/// Sends the head of a request, then `sent` of its body.
fn begin_body(fleet: &MeshFleet, id: usize, framing: &str, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).expect("connected");
    let head = format!(
        "POST {ORDER_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: body-{id}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    // The node may have refused the request and closed the connection.
    let _ = stream.write_all(sent);
    stream
}

/// Returns the status line that arrives within a short time; `None` while the node waits for the body.
fn early_status(stream: &mut TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(Duration::from_millis(2))).expect("set");
    let mut buf = [0; 64];
    let len = stream.read(&mut buf).ok()?;
    Some(String::from_utf8_lossy(&buf[..len]).lines().next().unwrap_or_default().to_string())
}

/// Checks that bodies beyond the limit are refused, that requests without a body are served meanwhile, and
/// that the memory is free again once the callers have gone.
fn check_limit(fleet: &MeshFleet, mut streams: Vec<TcpStream>) {
    let node = &fleet.nodes[0];
    std::thread::sleep(Duration::from_millis(300));
    let statuses: Vec<String> = streams.iter_mut().filter_map(early_status).collect();
    assert!(statuses.iter().all(|s| s.starts_with("HTTP/1.1 503")), "{statuses:?}");
    assert!(statuses.len() >= CALLERS - MAX_BODIES, "{} refused", statuses.len());
    let read = node.request("GET", READ_PATH, "read", Duration::from_secs(1));
    assert_eq!(read.map(|r| r.status), Some(200));
    drop(streams);
    wait::until_true("the memory to be free", Duration::from_secs(3), || {
        node.upload("after", BODY_BYTES, Duration::from_secs(1)).is_some_and(|r| r.status == 200)
    })
    .expect("served");
}

/// Guards against callers that declare long bodies and send them slowly: the memory of all bodies would be
/// reserved before any of them counts.
#[test]
fn declared_length() {
    let (fleet, _folder) = start_fleet("declared");
    let framing = format!("Content-Length: {BODY_BYTES}");
    let streams = (0..CALLERS).map(|i| begin_body(&fleet, i, &framing, b"begin")).collect();
    check_limit(&fleet, streams);
}

/// Guards against bodies without a declared length, which did not count before they ended.
#[test]
fn endless_chunks() {
    let (fleet, _folder) = start_fleet("endless");
    let mut sent = format!("{:x}\r\n", BODY_BYTES - 1).into_bytes();
    sent.resize(sent.len() + BODY_BYTES - 1, b'x');
    let streams =
        (0..CALLERS).map(|i| begin_body(&fleet, i, "Transfer-Encoding: chunked", &sent)).collect();
    check_limit(&fleet, streams);
}

/// Guards against a body that arrives byte by byte: it would keep its memory for hours, though its request
/// cannot be served once the time of the route has passed.
#[test]
fn trickled_body() {
    let (fleet, _folder) = start_fleet("trickled");
    let mut stream = begin_body(&fleet, 0, &format!("Content-Length: {BODY_BYTES}"), b"begin");
    let began = Instant::now();
    // The route has a timeout of 1.5 s.
    while began.elapsed() < Duration::from_secs(4) {
        if let Some(status) = early_status(&mut stream) {
            assert!(status.starts_with("HTTP/1.1 408"), "{status}");
            assert!(began.elapsed() >= Duration::from_millis(1_400), "{:?}", began.elapsed());
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
        stream.write_all(b"x").expect("sent");
    }
    panic!("the node waits for the body after {:?}", began.elapsed());
}
