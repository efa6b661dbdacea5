//! HTTP server of a service's owner, which receives the reports of moves.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

/// Timeout for reading a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Response of the owner to the reports that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerResponse {
    /// Status 200.
    Accepts,
    /// Status 500.
    Fails,
    /// No response; the connection stays open.
    Hangs,
}

struct OwnerState {
    response: OwnerResponse,
    /// All reports received, whatever the response was.
    attempts: Vec<Value>,
    /// Reports to which the response was 200.
    reports: Vec<Value>,
    /// Connections that are held open without a response.
    unanswered_connections: Vec<TcpStream>,
}

/// A running server, which is stopped when dropped.
pub(crate) struct OwnerServer {
    addr: SocketAddr,
    state: Arc<Mutex<OwnerState>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock(state: &Mutex<OwnerState>) -> MutexGuard<'_, OwnerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OwnerServer {
    /// Starts the server on a port that the system chooses.
    pub(crate) fn start(response: OwnerResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let (attempts, reports, unanswered_connections) = (Vec::new(), Vec::new(), Vec::new());
        let state = Arc::new(Mutex::new(OwnerState {
            response,
            attempts,
            reports,
            unanswered_connections,
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let (thread_state, thread_stopped) = (state.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            for conn in listener.incoming() {
                if thread_stopped.load(Ordering::SeqCst) {
                    return;
                }
                // A truncated request is not counted as an attempt.
                let _ = conn.and_then(|conn| serve(conn, &thread_state));
            }
        });
        Self { addr, state, stopped, thread: Some(thread) }
    }

    /// Returns the `report_url` of the service.
    pub(crate) fn url(&self) -> String {
        format!("http://{}/moves", self.addr)
    }

    /// Changes the response to later reports.
    pub(crate) fn set_response(&self, response: OwnerResponse) {
        lock(&self.state).response = response;
    }

    /// Returns the reports to which the response was 200, in order of arrival.
    pub(crate) fn reports(&self) -> Vec<Value> {
        lock(&self.state).reports.clone()
    }

    /// Returns all reports received, in order of arrival.
    pub(crate) fn attempts(&self) -> Vec<Value> {
        lock(&self.state).attempts.clone()
    }
}

impl Drop for OwnerServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Unblocks the thread, which then exits.
        let _ = TcpStream::connect(self.addr);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads one request and responds as configured. Each connection carries one request.
fn serve(conn: TcpStream, state: &Mutex<OwnerState>) -> io::Result<()> {
    conn.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::new(conn);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let report: Value = serde_json::from_slice(&body).map_err(io::Error::other)?;
    let mut conn = reader.into_inner();
    let mut state = lock(state);
    state.attempts.push(report.clone());
    let status = match state.response {
        OwnerResponse::Accepts => "200 OK",
        OwnerResponse::Fails => "500 Internal Server Error",
        OwnerResponse::Hangs => {
            state.unanswered_connections.push(conn);
            return Ok(());
        }
    };
    if state.response == OwnerResponse::Accepts {
        state.reports.push(report);
    }
    write!(conn, "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
}
