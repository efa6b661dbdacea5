//! Frames that wait to be written to a connection between nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use super::frames;
use super::frames::CHUNK_BYTES;
use super::frames::Frame;

/// Bytes that are written with one system call when they wait.
const BATCH_BYTES: usize = 64 * 1024;

/// Bytes that may wait for a peer that does not read. More means that the peer is lost, and the
/// connection is closed.
const MAX_WAITING_BYTES: usize = 24 * 1024 * 1024;

#[derive(Debug, Default)]
struct Queues {
    urgent: VecDeque<Bytes>,
    long: VecDeque<(u64, Bytes)>,
    bytes: usize,
}

/// Queue of frames of one connection. Urgent frames go first; long bodies take turns by pieces.
#[derive(Debug, Default)]
pub struct Outbox {
    queues: RefCell<Queues>,
    changed: Notify,
    closed: Cell<bool>,
    ended: Notify,
}

impl Outbox {
    /// Queues a frame; frames of a closed connection are dropped with it.
    pub fn send(&self, frame: &Frame) {
        match frames::encode(frame) {
            Ok(bytes) => self.send_encoded(bytes),
            // A frame beyond the limit of the protocol cannot be sent by anybody.
            Err(_) => self.close(),
        }
    }

    /// Queues an encoded frame.
    pub fn send_encoded(&self, bytes: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.bytes += bytes.len();
        queues.urgent.push_back(bytes);
        self.changed.notify_one();
    }

    /// Queues a long body to follow its message in pieces.
    pub fn send_long(&self, id: u64, body: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.bytes += body.len();
        queues.long.push_back((id, body));
        self.changed.notify_one();
    }

    /// Drops what is left of a long body.
    pub fn drop_long(&self, id: u64) {
        let mut queues = self.queues.borrow_mut();
        let left: usize = queues.long.iter().filter(|(i, _)| *i == id).map(|(_, b)| b.len()).sum();
        queues.bytes -= left;
        queues.long.retain(|(i, _)| *i != id);
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify_one();
        self.ended.notify_waiters();
    }

    /// Ends when the connection has ended.
    pub async fn ended(&self) {
        let ended = self.ended.notified();
        if !self.closed.get() {
            ended.await;
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Writes frames until the connection ends.
    pub async fn write_to(self: Rc<Self>, mut stream: OwnedWriteHalf) -> io::Result<()> {
        while !self.closed.get() {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.changed.notified().await;
                continue;
            }
            stream.write_all(&batch).await?;
        }
        Ok(())
    }

    fn next_batch(&self) -> BytesMut {
        let mut queues = self.queues.borrow_mut();
        if queues.bytes > MAX_WAITING_BYTES {
            self.close();
        }
        let mut batch = BytesMut::new();
        while batch.len() < BATCH_BYTES {
            let Some(frame) = queues.urgent.pop_front() else { break };
            queues.bytes -= frame.len();
            batch.extend_from_slice(&frame);
        }
        if batch.len() < BATCH_BYTES
            && let Some((id, mut body)) = queues.long.pop_front()
        {
            let bytes = body.split_to(body.len().min(CHUNK_BYTES));
            queues.bytes -= bytes.len();
            if !body.is_empty() {
                queues.long.push_back((id, body));
            }
            // A piece is far below the longest frame.
            if let Ok(frame) = frames::encode(&Frame::Piece { id, bytes }) {
                batch.extend_from_slice(&frame);
            }
        }
        batch
    }
}
