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

/// Size in bytes from which no further frame is added to a batch. Each batch is written with one system
/// call.
const BATCH_BYTES: usize = 64 * 1024;

/// Maximum size of a send queue in bytes. It is exceeded only when the peer does not read; the connection
/// is then closed, and the peer counts as lost.
const MAX_QUEUED_BYTES: usize = 24 * 1024 * 1024;

#[derive(Debug, Default)]
struct Queues {
    frames: VecDeque<Bytes>,
    /// Unsent parts of long bodies, with their call ids.
    bodies: VecDeque<(u64, Bytes)>,
    /// Total size of the frames and body parts in both queues, in bytes.
    queued_bytes: usize,
}

/// Send queue of one connection. Frames have priority over the chunks of long bodies, and the bodies send
/// one chunk each in turn.
#[derive(Debug, Default)]
pub struct SendQueue {
    queues: RefCell<Queues>,
    /// Wakes the writer of the connection.
    changed: Notify,
    closed: Cell<bool>,
    /// Wakes the tasks that wait in [`SendQueue::closed`].
    close_notify: Notify,
}

impl SendQueue {
    /// Queues a frame; does nothing if the connection is closed. Closes the connection if the frame is
    /// too long.
    pub fn send(&self, frame: &Frame) {
        match frames::encode(frame) {
            Ok(bytes) => self.send_encoded(bytes),
            // The frame exceeds the maximum frame size and cannot be sent.
            Err(_) => self.close(),
        }
    }

    /// Queues a frame that is already encoded; does nothing if the connection is closed.
    pub fn send_encoded(&self, bytes: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.queued_bytes += bytes.len();
        queues.frames.push_back(bytes);
        self.changed.notify_one();
    }

    /// Queues the long body of a message; it is sent in chunks after the frame of the message.
    pub fn send_body(&self, id: u64, body: Bytes) {
        if self.closed.get() {
            return;
        }
        let mut queues = self.queues.borrow_mut();
        queues.queued_bytes += body.len();
        queues.bodies.push_back((id, body));
        self.changed.notify_one();
    }

    /// Removes the unsent part of the long body of a call, if there is one.
    pub fn drop_body(&self, id: u64) {
        let mut queues = self.queues.borrow_mut();
        let remaining: usize =
            queues.bodies.iter().filter(|(body_id, _)| *body_id == id).map(|(_, b)| b.len()).sum();
        queues.queued_bytes -= remaining;
        queues.bodies.retain(|(body_id, _)| *body_id != id);
    }

    /// Closes the connection; queued frames are not written.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify_one();
        self.close_notify.notify_waiters();
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        let notified = self.close_notify.notified();
        if !self.closed.get() {
            notified.await;
        }
    }

    /// Returns whether [`SendQueue::close`] was called; frames that are sent afterwards are discarded.
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

    /// Removes the next frames from the queue, and a chunk of a long body if the frames take less than
    /// [`BATCH_BYTES`].
    fn next_batch(&self) -> BytesMut {
        let mut queues = self.queues.borrow_mut();
        if queues.queued_bytes > MAX_QUEUED_BYTES {
            self.close();
        }
        let mut batch = BytesMut::new();
        while batch.len() < BATCH_BYTES {
            let Some(frame) = queues.frames.pop_front() else { break };
            queues.queued_bytes -= frame.len();
            batch.extend_from_slice(&frame);
        }
        if batch.len() < BATCH_BYTES
            && let Some((id, mut body)) = queues.bodies.pop_front()
        {
            let bytes = body.split_to(body.len().min(CHUNK_BYTES));
            queues.queued_bytes -= bytes.len();
            if !body.is_empty() {
                queues.bodies.push_back((id, body));
            }
            // Encoding does not fail here: a chunk is far below the maximum frame size.
            if let Ok(frame) = frames::encode(&Frame::Piece { id, bytes }) {
                batch.extend_from_slice(&frame);
            }
        }
        batch
    }
}
