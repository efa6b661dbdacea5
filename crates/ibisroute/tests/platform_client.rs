//! HTTP client of the platform against scripted servers.

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use ibisroute::platform::Platform;
use ibisroute::platform::client::HttpPlatform;
use ibisroute::platform::model::Outcome;
use ibisroute::platform::model::PlatformError;
use ibisroute::platform::model::PutOutcome;
use ibisroute::platform::model::Revision;
use ibisroute::platform::model::Transaction;
use ibisroute::platform::platform_settings::PlatformSettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Server that sends one scripted response on one connection and returns the request that it read.
struct ScriptedServer {
    addr: SocketAddr,
    server: JoinHandle<String>,
}

/// Timeout of every read of the server, so that a failing test ends.
const SERVER_TIMEOUT: Duration = Duration::from_secs(5);

fn read_request(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(SERVER_TIMEOUT)).expect("a timeout");
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            if body.len() >= length.and_then(|l| l.parse().ok()).unwrap_or(0) {
                return String::from_utf8_lossy(&request).into_owned();
            }
        }
        let n = stream.read(&mut buf).expect("a request");
        assert!(n > 0, "the client closed the connection");
        request.extend_from_slice(&buf[..n]);
    }
}

impl ScriptedServer {
    /// Starts a server that writes `response` after the request. With `hold_open`, it keeps the
    /// connection open until the client closes it; otherwise it closes the connection at once.
    fn start(response: String, hold_open: bool) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let addr = listener.local_addr().expect("an address");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let request = read_request(&mut stream);
            stream.write_all(response.as_bytes()).expect("a response");
            if hold_open {
                let _ = stream.read(&mut [0; 16]);
            }
            request
        });
        Self { addr, server }
    }

    /// Starts a server that sends a complete response and closes the connection.
    fn with_status(status: &str, body: &str) -> Self {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
        Self::start(format!("{head}connection: close\r\n\r\n{body}"), false)
    }

    fn client(&self) -> HttpPlatform {
        client(self.addr, 5_000)
    }

    /// Waits for the end of the server and returns the request that it read.
    fn into_request(self) -> String {
        self.server.join().expect("the server")
    }
}

fn client(address: SocketAddr, request_timeout_ms: u64) -> HttpPlatform {
    HttpPlatform::new(PlatformSettings {
        address,
        request_timeout_ms,
        connect_timeout_ms: 2_000,
        max_rows_bytes: 1000,
        max_object_bytes: 1000,
        ..PlatformSettings::default()
    })
}

/// Guards against keys that are truncated or changed in the query string.
#[actix_rt::test]
async fn row_is_read_by_exact_key() {
    let body = r#"{"key":"claim/a b&c","value":{"x":1},"revision":7}"#;
    let server = ScriptedServer::with_status("200 OK", body);
    let row = server.client().get("claim/a b&c").await.expect("a response").expect("a row");
    assert_eq!((row.revision, row.key.as_str()), (Revision(7), "claim/a b&c"));
    let request = server.into_request();
    let line = "GET /table/row?key=claim/a%20b%26c HTTP/1.1\r\n";
    assert!(request.starts_with(line), "{request}");
}

/// Guards against a page of rows that is lost because of one value that cannot be read. The row stays in the
/// page without its value, because the length of a page tells whether more rows follow.
#[actix_rt::test]
async fn unreadable_value_keeps_page() {
    let nested = "[".repeat(200) + &"]".repeat(200);
    for odd in [nested, "1e999".to_string()] {
        let body = format!(
            r#"{{"rows":[{{"key":"a","value":{odd},"revision":1}},{{"key":"b","value":7,"revision":2}}]}}"#
        );
        let server = ScriptedServer::with_status("200 OK", &body);
        let rows = server.client().scan("", "", 10).await.expect("a page");
        let read: Vec<_> = rows.iter().map(|r| (r.key.as_str(), r.value.as_u64())).collect();
        assert_eq!(read, [("a", None), ("b", Some(7))], "{odd}");
        let body = format!(
            r#"{{"committed":false,"conflicts":[{{"key":"a","revision":1,"value":{odd}}}]}}"#
        );
        let server = ScriptedServer::with_status("409 Conflict", &body);
        let outcome = server.client().transact(Transaction::default()).await;
        assert!(matches!(outcome, Ok(Outcome::Conflicts(c)) if c.len() == 1), "{odd}");
    }
}

/// Guards against an absent row or object that counts as a failure.
#[actix_rt::test]
async fn absent_rows_and_objects_are_no_failure() {
    let server = ScriptedServer::with_status("404 Not Found", "");
    assert_eq!(server.client().get("head").await, Ok(None));
    let server = ScriptedServer::with_status("404 Not Found", "");
    assert_eq!(server.client().get_object("catalogue/x").await, Ok(None));
}

/// Guards against a conflict that is reported as a commit.
#[actix_rt::test]
async fn transaction_outcomes_are_distinguished() {
    let server = ScriptedServer::with_status("200 OK", r#"{"committed":true,"revisions":{"a":1}}"#);
    let outcome = server.client().transact(Transaction::default()).await;
    assert_eq!(outcome, Ok(Outcome::Committed));
    assert!(server.into_request().ends_with(r#"{"conditions":[],"puts":[],"deletes":[]}"#));
    let body = r#"{"committed":false,"conflicts":[{"key":"a","revision":null,"value":null}]}"#;
    let server = ScriptedServer::with_status("409 Conflict", body);
    let outcome = server.client().transact(Transaction::default()).await;
    assert!(matches!(&outcome, Ok(Outcome::Conflicts(c)) if c.len() == 1), "{outcome:?}");
}

/// Guards against an object that counts as stored although one with other bytes exists.
#[actix_rt::test]
async fn object_outcomes_are_distinguished() {
    let cases = [
        ("201 Created", PutOutcome::Created),
        ("200 OK", PutOutcome::Same),
        ("409 Conflict", PutOutcome::Different),
    ];
    for (status, expected) in cases {
        let server = ScriptedServer::with_status(status, "");
        let outcome = server.client().put_object("catalogue/x", Bytes::from_static(b"body")).await;
        assert_eq!(outcome, Ok(expected), "{status}");
        assert!(server.into_request().starts_with("PUT /objects/catalogue/x HTTP/1.1\r\n"));
    }
}

/// Guards against a refusal that is reported as if the write may have taken effect.
#[actix_rt::test]
async fn refusals_are_reported_as_without_effect() {
    for status in ["429 Too Many Requests", "503 Service Unavailable"] {
        let server = ScriptedServer::with_status(status, "");
        let outcome = server.client().transact(Transaction::default()).await;
        assert!(matches!(outcome, Err(PlatformError::Refused(_))), "{status}: {outcome:?}");
    }
    // The socket stays bound without listening, so that no other server gets the port.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("an address");
    let outcome = client(addr, 5_000).transact(Transaction::default()).await;
    assert!(matches!(outcome, Err(PlatformError::Refused(_))), "no listener: {outcome:?}");
}

/// Guards against a write that is reported as refused although it may have taken effect.
#[actix_rt::test]
async fn writes_without_usable_response_may_have_taken_effect() {
    let partial = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"committed\"";
    let oversized = format!("HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{}", " ".repeat(5000));
    let cases = [
        ("no response, connection held", String::new(), true),
        ("no response, connection closed", String::new(), false),
        ("truncated response, connection held", partial.to_string(), true),
        ("truncated response, connection closed", partial.to_string(), false),
        ("not HTTP", "?????\r\n\r\n".to_string(), false),
        ("not JSON", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{]".to_string(), true),
        ("a larger response than allowed", oversized, true),
        ("500", "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n".to_string(), true),
    ];
    for (case, response, hold_open) in cases {
        let server = ScriptedServer::start(response, hold_open);
        let outcome = client(server.addr, 400).transact(Transaction::default()).await;
        assert!(matches!(outcome, Err(PlatformError::NoAnswer(_))), "{case}: {outcome:?}");
    }
}

/// Guards against a status outside the protocol that counts as a success.
#[actix_rt::test]
async fn unexpected_status_is_an_error() {
    let server = ScriptedServer::with_status("302 Found", "");
    let outcome = server.client().get("head").await;
    assert!(matches!(outcome, Err(PlatformError::Protocol(_))), "{outcome:?}");
}

/// Guards against requests, failures and bytes that are missing in the metrics.
#[actix_rt::test]
async fn requests_are_counted() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let server = ScriptedServer::with_status("404 Not Found", "12345");
    let _ = server.client().get("head").await;
    let server = ScriptedServer::with_status("503 Service Unavailable", "");
    let _ = server.client().put_object("x", Bytes::from_static(b"1234567")).await;
    let text = metrics.render();
    for line in [
        "ibis_platform_requests_total{kind=\"read\"} 1",
        "ibis_platform_requests_total{kind=\"write\"} 1",
        "ibis_platform_failures_total{kind=\"write\",reason=\"refused\"} 1",
        "ibis_platform_bytes_total{direction=\"sent\"} 7",
        "ibis_platform_bytes_total{direction=\"received\"} 5",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}

/// Guards against connections that do not come from the local address in the settings.
#[actix_rt::test]
async fn local_address_is_used() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, peer) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n");
        peer.ip()
    });
    let local = IpAddr::from([127, 0, 0, 2]);
    let cfg = PlatformSettings { address, local_address: Some(local), ..Default::default() };
    assert_eq!(HttpPlatform::new(cfg).get("head").await, Ok(None));
    assert_eq!(server.join().expect("the server"), local);
}
