//! The HTTP server of a service's owner, which takes the reports of moves.

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

/// Longest wait for the bytes of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How the owner treats the next reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// 200.
    Good,
    /// 500.
    Fails,
    /// No answer; the connection stays open.
    Hangs,
}

struct State {
    answer: Answer,
    /// Attempts, whatever their answer was.
    attempts: Vec<Value>,
    /// Reports that were answered with 200.
    reports: Vec<Value>,
    /// Connections that are held open without an answer.
    hanging: Vec<TcpStream>,
}

/// A running server. Dropping it stops it.
pub(crate) struct Owner {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Owner {
    /// Listens on a port that the system chooses.
    pub(crate) fn start(answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let (attempts, reports, hanging) = (Vec::new(), Vec::new(), Vec::new());
        let state = Arc::new(Mutex::new(State { answer, attempts, reports, hanging }));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, end) = (state.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            for conn in listener.incoming() {
                if end.load(Ordering::SeqCst) {
                    return;
                }
                // A request that breaks off is not an attempt.
                let _ = conn.and_then(|conn| serve(conn, &shared));
            }
        });
        Self { addr, state, stopped, thread: Some(thread) }
    }

    /// The `report_url` of the service.
    pub(crate) fn url(&self) -> String {
        format!("http://{}/moves", self.addr)
    }

    /// Changes the treatment of later reports.
    pub(crate) fn set_answer(&self, answer: Answer) {
        lock(&self.state).answer = answer;
    }

    /// Reports that were answered with 200, in order.
    pub(crate) fn reports(&self) -> Vec<Value> {
        lock(&self.state).reports.clone()
    }

    /// All reports that were read, in order.
    pub(crate) fn attempts(&self) -> Vec<Value> {
        lock(&self.state).attempts.clone()
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread, which then sees the end.
        let _ = TcpStream::connect(self.addr);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads one request and treats it as the state says. Each connection carries one request.
fn serve(conn: TcpStream, state: &Mutex<State>) -> io::Result<()> {
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
    let status = match state.answer {
        Answer::Good => "200 OK",
        Answer::Fails => "500 Internal Server Error",
        Answer::Hangs => {
            state.hanging.push(conn);
            return Ok(());
        }
    };
    if state.answer == Answer::Good {
        state.reports.push(report);
    }
    write!(conn, "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
}
