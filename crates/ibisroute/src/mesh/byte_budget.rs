//! Memory that several buffers share, and how much of it one of them may take.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Limit on the total size of several buffers. Clones share the limit.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    held_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { held_bytes: Arc::default(), max_bytes }
    }

    /// Returns the total size of all reservations, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes of a [`ByteBudget`] that one buffer takes until this is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteReservation {
    /// Raises the reservation to `bytes` if it is lower. Returns whether the budget permits it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more_bytes = bytes.saturating_sub(self.bytes);
        if more_bytes > self.free_bytes() {
            return false;
        }
        self.budget.held_bytes.fetch_add(more_bytes, Ordering::Relaxed);
        self.bytes += more_bytes;
        true
    }

    /// Raises the reservation to `bytes` like [`ByteReservation::grow_to`], but only while as many bytes
    /// stay free as this reservation takes. However many buffers grow without an end, a new one then
    /// finds room.
    pub fn grow_fairly_to(&mut self, bytes: usize) -> bool {
        self.permits_fairly(bytes) && self.grow_to(bytes)
    }

    /// Returns whether [`ByteReservation::grow_fairly_to`] would succeed.
    pub fn permits_fairly(&self, bytes: usize) -> bool {
        bytes <= self.bytes || bytes <= (self.free_bytes() + self.bytes) / 2
    }

    /// Returns `body` so that the reservation lasts until its last clone is dropped.
    pub fn hold(self, body: Bytes) -> Bytes {
        if self.bytes == 0 {
            return body;
        }
        Bytes::from_owner(HeldBytes { body, _reservation: self })
    }

    fn free_bytes(&self) -> usize {
        self.budget.max_bytes.saturating_sub(self.budget.held_bytes())
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct HeldBytes {
    body: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
