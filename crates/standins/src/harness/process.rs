//! Child processes: output collected by threads, signals, and runs with a timeout.

use std::collections::VecDeque;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;

use crate::server::lock;
use crate::wait;

/// Largest number of lines kept of each output stream of a process.
const MAX_LOG_LINES: usize = 20_000;

/// Time to wait for the last output of a process that has ended.
const OUTPUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Exit code and output of a process that has ended.
#[derive(Clone, Debug)]
pub struct Output {
    /// Exit code; `None` when a signal ended the process.
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program to its end and returns its output. Kills it after `timeout`, which is an error.
pub fn run(program: &Path, args: &[&str], timeout: Duration) -> eyre::Result<Output> {
    let child = Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .wrap_err_with(|| format!("start {}", program.display()))?;
    let mut child = KillOnDrop(child);
    let stdout = read_to_end(child.0.stdout.take());
    let stderr = read_to_end(child.0.stderr.take());
    let status = wait_exit(&mut child.0, timeout)?;
    let join_output = |thread: JoinHandle<String>| thread.join().unwrap_or_default();
    Ok(Output {
        exit_code: status.code(),
        stdout: join_output(stdout),
        stderr: join_output(stderr),
    })
}

fn read_to_end(source: Option<impl Read + Send + 'static>) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let mut buf = Vec::new();
        if let Some(mut source) = source {
            let _ = source.read_to_end(&mut buf);
        }
        String::from_utf8_lossy(&buf).into_owned()
    })
}

/// A child process that is killed when the value is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_exit(child: &mut Child, timeout: Duration) -> eyre::Result<ExitStatus> {
    let id = child.id();
    wait::until(&format!("process {id} to end"), timeout, || child.try_wait().transpose())?
        .wrap_err("wait for a process")
}

/// The last [`MAX_LOG_LINES`] lines that a process printed.
#[derive(Clone, Default)]
pub(crate) struct Log(Arc<Mutex<VecDeque<String>>>);

impl Log {
    pub(crate) fn push(&self, line: String) {
        let mut lines = lock(&self.0);
        if lines.len() >= MAX_LOG_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    pub(crate) fn lines(&self) -> Vec<String> {
        lock(&self.0).iter().cloned().collect()
    }

    /// Starts a thread that adds each line of `source` to the log.
    fn spawn_reader(&self, source: Option<impl Read + Send + 'static>) -> JoinHandle<()> {
        let log = self.clone();
        std::thread::spawn(move || {
            let Some(source) = source else { return };
            let mut source = BufReader::new(source);
            let mut buf = Vec::new();
            while source.read_until(b'\n', &mut buf).is_ok_and(|n| n > 0) {
                log.push(String::from_utf8_lossy(&buf).trim_end().to_string());
                buf.clear();
            }
        })
    }
}

/// A child process. It is killed when it is dropped, also during a panic.
pub(crate) struct Process {
    child: KillOnDrop,
    /// Lines of the process on standard output.
    pub(crate) stdout: Log,
    /// Lines of the process on standard error.
    pub(crate) stderr: Log,
    pub(crate) started: Instant,
    reader_threads: Vec<JoinHandle<()>>,
}

impl Process {
    pub(crate) fn start(program: &Path, args: &[&str]) -> eyre::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            // The pipe closes when the harness process ends, even if it is killed; a node started
            // with `--stop-on-stdin-end` then stops.
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("start {}", program.display()))?;
        let (stdout, stderr) = (Log::default(), Log::default());
        let reader_threads = vec![
            stdout.spawn_reader(child.stdout.take()),
            stderr.spawn_reader(child.stderr.take()),
        ];
        let child = KillOnDrop(child);
        Ok(Self { child, stdout, stderr, started: Instant::now(), reader_threads })
    }

    /// Waits for the last output of a process that has ended, up to [`OUTPUT_TIMEOUT`] in case
    /// another process keeps the pipe open.
    pub(crate) fn wait_output(&self) {
        let _ = wait::until_true("the last output", OUTPUT_TIMEOUT, || {
            self.reader_threads.iter().all(JoinHandle::is_finished)
        });
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.0.id()
    }

    /// The exit status; `None` while the process is running.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.0.try_wait().ok().flatten()
    }

    /// Sends SIGKILL without waiting.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.0.kill();
    }

    /// Waits until the process has ended.
    pub(crate) fn wait(&mut self, timeout: Duration) -> eyre::Result<ExitStatus> {
        wait_exit(&mut self.child.0, timeout)
    }

    /// Sends a signal, for example `STOP`. Uses the `kill` program because the workspace forbids
    /// unsafe code.
    pub(crate) fn signal(&self, signal: &str) -> eyre::Result<()> {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.id().to_string()])
            .status()
            .wrap_err("start kill")?;
        eyre::ensure!(status.success(), "kill -{signal} {} failed: {status}", self.id());
        Ok(())
    }
}
