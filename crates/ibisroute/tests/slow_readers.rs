//! Targets that read the body of a request late.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use ibisroute::mesh::byte_budget::ByteBudget;
use ibisroute::mesh::target_conn::RequestMessage;
use ibisroute::mesh::target_conn::TargetConn;

/// Length of a body that does not fit into the receive buffer of a connection.
const BODY_BYTES: usize = 12_000_000;

/// Time for which the target does not read. Requests of the users have deadlines of up to 4 s.
const READ_PAUSE: Duration = Duration::from_millis(2_500);

/// Guards against a request that breaks because its target reads the body only when it has a free slot: the
/// operating system ends a connection whose receiver has no room for longer than the limit on
/// unacknowledged bytes, although the target is at work and answers in time.
#[actix_rt::test]
async fn body_read_late() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("an address");
    let target = thread::spawn(move || -> std::io::Result<usize> {
        let (mut stream, _) = listener.accept()?;
        thread::sleep(READ_PAUSE);
        let mut received = 0;
        let mut buf = vec![0; 64 * 1024];
        while received < BODY_BYTES {
            match stream.read(&mut buf)? {
                0 => return Ok(received),
                n => received += n,
            }
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nRequest-Id: late\r\nContent-Length: 2\r\n\r\nok")?;
        Ok(received)
    });
    let mut conn = TargetConn::open(address).await.expect("connected");
    let head = format!("POST /x HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let body = vec![b'x'; BODY_BYTES];
    let request =
        RequestMessage { method: "POST", request_id: "late", head: head.as_bytes(), body: &body };
    let response = conn.exchange(request, &ByteBudget::new(1_000_000), &Cell::new(false)).await;
    let received = target.join().expect("the target ends");
    let (response, _) = response.unwrap_or_else(|e| panic!("{e}; the target: {received:?}"));
    assert_eq!((response.head.status, &response.body[..]), (200, &b"ok"[..]));
}
