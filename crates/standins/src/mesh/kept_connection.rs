//! A caller's connection that carries one request after the other.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Largest head of a response that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Status of a complete response, and whether the server closes the connection after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptResponse {
    pub status: u16,
    pub closes: bool,
}

/// A connection that a caller uses until the server closes it.
#[derive(Debug)]
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    /// Connects to a server. Each read and write fails after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { stream })
    }

    /// Sends a request and reads the complete response. Fails if the connection ends before.
    pub fn exchange(&mut self, head: &str, body: &[u8]) -> io::Result<KeptResponse> {
        // The server may refuse a request before it has read the body; its response counts.
        let written =
            self.stream.write_all(head.as_bytes()).and_then(|()| self.stream.write_all(body));
        self.read_response().map_err(|e| written.err().unwrap_or(e))
    }

    fn read_response(&mut self) -> io::Result<KeptResponse> {
        let mut received = Vec::new();
        let mut buf = [0; 8 * 1024];
        loop {
            let mut header_slots = [httparse::EMPTY_HEADER; 64];
            let mut parsed = httparse::Response::new(&mut header_slots);
            let parse_result = parsed.parse(&received);
            if let Ok(httparse::Status::Complete(head_bytes)) = parse_result {
                let value = |name: &str| {
                    let header = parsed.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    header.and_then(|h| std::str::from_utf8(h.value).ok()).unwrap_or_default()
                };
                let length: usize = value("content-length").parse().unwrap_or(0);
                let closes = value("connection").eq_ignore_ascii_case("close");
                if received.len() >= head_bytes + length {
                    let status = parsed.code.unwrap_or(0);
                    return Ok(KeptResponse { status, closes });
                }
            } else if parse_result.is_err() || received.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let n = self.stream.read(&mut buf)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            received.extend_from_slice(&buf[..n]);
        }
    }
}
