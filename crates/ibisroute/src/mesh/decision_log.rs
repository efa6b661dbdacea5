//! Log on standard output: one JSON object per line for each decision about a request, a target, a row or
//! a move.
//!
//! Logging never blocks: lines go to a bounded buffer that a separate thread writes out. Lines that
//! do not fit are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use log::Level;
use serde_json::Map;
use serde_json::Value;

use super::mesh_settings::LogRateSettings;
use crate::events::EventCode;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Capacity of the buffer in bytes.
const BUFFER_BYTES: usize = 256 * 1024;

/// Time for which lines are collected before they are written with one system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Buffer {
    lines: Vec<u8>,
    /// Lines dropped since the start, by rate limits or a full buffer.
    dropped_count: u64,
    stopping: bool,
}

struct Shared {
    buffer: Mutex<Buffer>,
    /// Notified when the buffer gets its first line, or when the log stops.
    wake_writer: Condvar,
}

/// Class of log lines; each class has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// Lines about requests that were served; limited by [`LogRateSettings::served_per_s`].
    Served,
    Other,
}

/// Number of lines of one class in one second.
#[derive(Clone, Copy, Default)]
struct RateWindow {
    second: u64,
    line_count: u32,
}

/// Rate-limited log of a node; clones share its buffer.
#[derive(Clone)]
pub struct DecisionLog {
    shared: Arc<Shared>,
    cfg: LogRateSettings,
    windows: Arc<Mutex<[RateWindow; 2]>>,
}

impl DecisionLog {
    /// Starts the writer thread.
    pub fn start(cfg: LogRateSettings) -> Self {
        let buffer = Mutex::new(Buffer::default());
        let shared = Arc::new(Shared { buffer, wake_writer: Condvar::new() });
        let writer = shared.clone();
        let spawned =
            thread::Builder::new().name("log".to_string()).spawn(move || write_lines(&writer));
        if let Err(e) = spawned {
            eprintln!("cannot start the log writer thread: {e}");
        }
        Self { shared, cfg, windows: Arc::default() }
    }

    /// Logs a line, unless the rate limit of its class is exceeded.
    pub fn line(&self, now: Millis, class: LineClass, code: &EventCode, fields: &[(&str, Value)]) {
        if !self.within_rate_limit(now, class) {
            self.lock_buffer().dropped_count += 1;
            return;
        }
        let mut object = Map::new();
        object.insert("unix_ms".to_string(), UnixMillis::now().0.into());
        object.insert("number".to_string(), code.number.into());
        object.insert("event".to_string(), code.name.into());
        if code.level <= Level::Warn {
            object.insert("level".to_string(), code.level.as_str().into());
        }
        for (name, value) in fields {
            object.insert((*name).to_string(), value.clone());
        }
        let mut line = Value::Object(object).to_string();
        line.push('\n');
        let mut buffer = self.lock_buffer();
        if buffer.lines.len() + line.len() > BUFFER_BYTES {
            buffer.dropped_count += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(line.as_bytes());
        drop(buffer);
        if was_empty {
            self.shared.wake_writer.notify_one();
        }
    }

    /// Writes the buffered lines and stops the writer thread.
    pub fn stop(&self) {
        let lines = {
            let mut buffer = self.lock_buffer();
            buffer.stopping = true;
            std::mem::take(&mut buffer.lines)
        };
        self.shared.wake_writer.notify_one();
        // A write error is ignored: it means that nothing reads the standard output any more.
        let _ = std::io::stdout().write_all(&lines);
    }

    fn within_rate_limit(&self, now: Millis, class: LineClass) -> bool {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let (window, limit) = match class {
            LineClass::Served => (&mut windows[0], self.cfg.served_per_s),
            LineClass::Other => (&mut windows[1], self.cfg.other_per_s),
        };
        let second = now.0 / 1000;
        if window.second != second {
            *window = RateWindow { second, line_count: 0 };
        }
        window.line_count += 1;
        window.line_count <= limit
    }

    fn lock_buffer(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.shared.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_lines(shared: &Shared) {
    let mut reported_drops = 0;
    loop {
        let mut buffer = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.lines.is_empty() && !buffer.stopping {
            buffer = shared.wake_writer.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        if buffer.stopping {
            return;
        }
        drop(buffer);
        thread::sleep(FLUSH_INTERVAL);
        let mut buffer = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines = std::mem::take(&mut buffer.lines);
        let dropped = buffer.dropped_count;
        drop(buffer);
        if dropped > reported_drops {
            lines.extend_from_slice(format!("{{\"dropped_lines\":{dropped}}}\n").as_bytes());
            reported_drops = dropped;
        }
        // A write error is ignored: it means that nothing reads the standard output any more.
        let _ = std::io::stdout().write_all(&lines);
    }
}
