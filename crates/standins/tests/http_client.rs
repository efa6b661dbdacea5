//! Tests that the HTTP client of the stand-ins does not accept a truncated response as complete.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;

use standins::http;

/// Guards against a truncated response that is accepted because its connection closed.
#[test]
fn truncated_responses_are_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort").expect("written");
    });
    let response = http::get(format!("http://{addr}/"));
    assert!(response.is_err(), "{response:?}");
    server.join().expect("the server ends");
}
