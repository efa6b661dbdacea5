//! Queue of the frames to be written to a connection between nodes.

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

/// Size from which a batch takes no further frame. Each batch is written with one system call.
const BATCH_BYTES: usize = 64 * 1024;

/// Maximum number of queued bytes for a peer that does not read. With more, the peer counts as lost and
/// the connection is closed.
const MAX_QUEUED_BYTES: usize = 24 * 1024 * 1024;

#[derive(Debug, Default)]
struct Queues {
    frames: VecDeque<Bytes>,
    /// Unsent parts of long bodies, with their call ids.
    bodies: VecDeque<(u64, Bytes)>,
    /// Bytes in both queues.
    bytes: usize,
}

/// Send queue of one connection. Frames have priority over long bodies, which take turns to send a chunk.
#[derive(Debug, Default)]
pub struct SendQueue {
    queues: RefCell<Queues>,
    changed: Notify,
    closed: Cell<bool>,
    closing: Notify,
}

impl SendQueue {
    /// Queues a frame. Does nothing after the connection was closed.
    pub fn send(&self, frame: &Frame) {
        match frames::encode(frame) {
            Ok(bytes) => self.send_encoded(bytes),
            // The frame exceeds the longest frame of the protocol and cannot be sent.
            Err(_) => self.close(),
        }
    }

    /// Queues an encoded frame, like [`SendQueue::send`].
    pub fn send_encoded(&self, bytes: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.bytes += bytes.len();
        queues.frames.push_back(bytes);
        self.changed.notify_one();
    }

    /// Queues a long body, which follows its message in chunks.
    pub fn send_body(&self, id: u64, body: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.bytes += body.len();
        queues.bodies.push_back((id, body));
        self.changed.notify_one();
    }

    /// Removes the unsent part of a long body.
    pub fn drop_body(&self, id: u64) {
        let mut queues = self.queues.borrow_mut();
        let remaining: usize =
            queues.bodies.iter().filter(|(i, _)| *i == id).map(|(_, b)| b.len()).sum();
        queues.bytes -= remaining;
        queues.bodies.retain(|(i, _)| *i != id);
    }

    /// Closes the connection; queued frames are not written.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify_one();
        self.closing.notify_waiters();
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        let closing = self.closing.notified();
        if !self.closed.get() {
            closing.await;
        }
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Writes queued frames until the connection is closed or a write fails.
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
        if queues.bytes > MAX_QUEUED_BYTES {
            self.close();
        }
        let mut batch = BytesMut::new();
        while batch.len() < BATCH_BYTES {
            let Some(frame) = queues.frames.pop_front() else { break };
            queues.bytes -= frame.len();
            batch.extend_from_slice(&frame);
        }
        if batch.len() < BATCH_BYTES
            && let Some((id, mut body)) = queues.bodies.pop_front()
        {
            let bytes = body.split_to(body.len().min(CHUNK_BYTES));
            queues.bytes -= bytes.len();
            if !body.is_empty() {
                queues.bodies.push_back((id, body));
            }
            // A chunk is far shorter than the longest frame.
            if let Ok(frame) = frames::encode(&Frame::Piece { id, bytes }) {
                batch.extend_from_slice(&frame);
            }
        }
        batch
    }
}
