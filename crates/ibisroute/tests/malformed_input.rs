//! Malformed input on every port is refused with a clear status and never terminates the node.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::quickcheck_with_fixed_seed;
use standins::harness::Cluster;
use standins::harness::NodeAddresses;
use standins::http::Request;

fn start_one_node() -> Cluster {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 1).start().expect("a node starts");
    cluster::start_serving(&mut cluster);
    cluster
}

fn node_addresses(cluster: &Cluster) -> NodeAddresses {
    cluster.node(0).addresses().expect("the node has started")
}

/// Sends bytes, shuts down the sending side, and returns the bytes that the node sends until the
/// connection is closed or reset.
fn send_and_receive(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut io = TcpStream::connect(addr).expect("connection");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
    let mut received_bytes = Vec::new();
    // The node may refuse and close before it has read everything.
    let _ = io.write_all(bytes);
    let _ = io.shutdown(std::net::Shutdown::Write);
    let _ = io.read_to_end(&mut received_bytes);
    received_bytes
}

fn parse_status(response: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(response);
    text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Checks that the node still serves calls, in the process with the id `process_id` and without a
/// panic.
fn assert_still_serves(cluster: &Cluster, process_id: Option<u32>) {
    let caller_listen_addr = node_addresses(cluster).caller;
    let response =
        Request::new("GET", format!("http://{caller_listen_addr}/counter/sheets")).send();
    assert_eq!(response.expect("the node responds").status, 200);
    assert!(cluster.node(0).is_ready());
    assert_eq!(cluster.node(0).process_id(), process_id, "the node was restarted");
    let panic_line = cluster.node(0).log().into_iter().find(|line| line.contains("panicked"));
    assert_eq!(panic_line, None);
}

/// Guards against a listener that accepts malformed HTTP, hangs or terminates the node.
#[test]
fn malformed_http_is_refused() {
    let cluster = start_one_node();
    let process_id = cluster.node(0).process_id();
    let listen_addrs = node_addresses(&cluster);
    let long_header =
        format!("GET / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "a".repeat(1 << 20));
    let many_headers = format!("GET / HTTP/1.1\r\nhost: x\r\n{}\r\n", "x-a: b\r\n".repeat(10_000));
    let malformed_requests: [&[u8]; 7] = [
        b"\0\0\0\0\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        long_header.as_bytes(),
        many_headers.as_bytes(),
    ];
    for addr in [listen_addrs.caller, listen_addrs.admin, listen_addrs.targets] {
        for bytes in malformed_requests {
            let received_bytes = send_and_receive(addr, bytes);
            let refused = received_bytes.is_empty()
                || parse_status(&received_bytes).is_some_and(|s| (400..500).contains(&s));
            let text = String::from_utf8_lossy(&received_bytes);
            assert!(refused, "{:?} got {text}", String::from_utf8_lossy(&bytes[..20]));
        }
    }
    assert_still_serves(&cluster, process_id);
}

/// Guards against calls with malformed headers or bodies that run, or are refused without the proof
/// that they did not run.
#[test]
fn malformed_calls_do_not_run() {
    let cluster = start_one_node();
    let process_id = cluster.node(0).process_id();
    let caller_listen_addr = node_addresses(&cluster).caller;
    let get_sheets_with = |name: &str, value: &str| {
        let request = Request::new("GET", format!("http://{caller_listen_addr}/counter/sheets"));
        request.header(name, value).send().expect("the node responds")
    };
    let post_order = |key: Option<&str>, body_bytes: usize| {
        let request = Request::new("POST", format!("http://{caller_listen_addr}/counter/orders"));
        let request = request.body(vec![b'x'; body_bytes]);
        let request = match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        };
        request.send().expect("the node responds")
    };
    for (response, status) in [
        (get_sheets_with("x-ibis-deadline-ms", "soon"), 400),
        (get_sheets_with("x-ibis-deadline-ms", "-5"), 400),
        (get_sheets_with("x-ibis-depth", "deep"), 400),
        (post_order(None, 10), 400),
        (post_order(Some(""), 10), 400),
        (post_order(Some("k1"), 70_000), 413),
    ] {
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.header("x-ibis-outcome"), Some("not-run"), "{response:?}");
    }
    assert!(common::load::records(&cluster).is_empty(), "a malformed call ran");
    assert_still_serves(&cluster, process_id);
}

/// Guards against malformed announcements and admin requests that are accepted in part or terminate
/// the node.
#[test]
fn malformed_json_is_refused() {
    let cluster = start_one_node();
    let process_id = cluster.node(0).process_id();
    let target_listen_addr = node_addresses(&cluster).targets;
    let valid_announcement = r#"{"service":"counter","version":"v1","instance":"x","address":"127.0.0.1:9","slots":1,"connections":1}"#;
    let unknown_field_body = valid_announcement.replacen('{', r#"{"colour":"red","#, 1);
    let invalid_name_body = valid_announcement.replace("counter", "No Such Name");
    let invalid_address_body = valid_announcement.replace("127.0.0.1:9", "nowhere");
    for body in [
        "",
        "{",
        "[]",
        "null",
        "{\"service\":1}",
        &unknown_field_body,
        &invalid_name_body,
        &invalid_address_body,
    ] {
        for path in ["announce", "leave"] {
            let request =
                Request::new("POST", format!("http://{target_listen_addr}/targets/{path}"))
                    .header("content-type", "application/json")
                    .body(body.to_string());
            let response = request.send().expect("the node responds");
            assert!((400..500).contains(&response.status), "{path} {body}: {response:?}");
        }
    }
    let admin_addr = node_addresses(&cluster).admin;
    for path in ["/events?after=x", "/nothing"] {
        let response =
            standins::http::get(format!("http://{admin_addr}{path}")).expect("a response");
        assert!((400..500).contains(&response.status), "{path}: {response:?}");
    }
    assert_still_serves(&cluster, process_id);
}

/// Guards against a node that terminates, or waits forever, after truncated or corrupt peer frames
/// and datagrams.
#[test]
fn node_survives_corrupt_frames() {
    let cluster = start_one_node();
    let process_id = cluster.node(0).process_id();
    let listen_addrs = node_addresses(&cluster);
    let udp_socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let h2_preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    quickcheck_with_fixed_seed(60).quickcheck(BytesProperty(Box::new(move |bytes: Vec<u8>| {
        let _ = udp_socket.send_to(&bytes, listen_addrs.control);
        send_and_receive(listen_addrs.peer, &bytes);
        send_and_receive(listen_addrs.peer, &[h2_preface.as_slice(), &bytes].concat());
        true
    })));
    assert_still_serves(&cluster, process_id);
}

/// Wraps a closure as a property, because `quickcheck` accepts functions only.
struct BytesProperty(Box<dyn Fn(Vec<u8>) -> bool>);

impl quickcheck::Testable for BytesProperty {
    fn result(&self, g: &mut quickcheck::Gen) -> quickcheck::TestResult {
        let bytes = <Vec<u8> as quickcheck::Arbitrary>::arbitrary(g);
        quickcheck::TestResult::from_bool((self.0)(bytes))
    }
}
