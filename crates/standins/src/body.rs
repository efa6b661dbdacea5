//! Bodies that a receiver can verify: checksums, deterministic filler, and responses of targets.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Header with the unique name that a caller stand-in gives to a call. A node may replace
/// `X-Request-Id`, but passes this header on unchanged.
pub const CALL_HEADER: &str = "x-standin-call";

/// Header with the number of further services that the receiving target has to call in a chain.
pub const CHAIN_HEADER: &str = "x-standin-chain";

/// Size of a chunk in a streamed request or response body.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Incremental 64-bit FNV-1a checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checksum(u64);

impl Default for Checksum {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Checksum {
    /// Continues the checksum with further bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Checksum of all bytes so far.
    pub fn value(self) -> u64 {
        self.0
    }

    /// Returns the checksum of `bytes`.
    pub fn of(bytes: &[u8]) -> u64 {
        let mut checksum = Self::default();
        checksum.update(bytes);
        checksum.value()
    }
}

/// Filler whose bytes depend on the call's name and on the position, so that bytes of another call,
/// missing bytes and repeated bytes all change the checksum.
#[derive(Clone, Debug)]
pub struct Filler {
    state: u64,
    remaining: usize,
}

impl Filler {
    /// Creates filler of `len` bytes for the named call.
    pub fn new(call: &str, len: usize) -> Self {
        Self { state: Checksum::of(call.as_bytes()) | 1, remaining: len }
    }

    /// Returns the next chunk, of at most `max` bytes; `None` when all bytes have been returned.
    pub fn next_chunk(&mut self, max: usize) -> Option<Bytes> {
        let len = self.remaining.min(max);
        if len == 0 {
            return None;
        }
        self.remaining -= len;
        let mut buf = Vec::with_capacity(len + 7);
        while buf.len() < len {
            // xorshift64
            self.state ^= self.state << 13;
            self.state ^= self.state >> 7;
            self.state ^= self.state << 17;
            buf.extend_from_slice(&self.state.to_le_bytes());
        }
        buf.truncate(len);
        Some(Bytes::from(buf))
    }

    /// Returns all remaining bytes.
    pub fn into_bytes(mut self) -> Bytes {
        self.next_chunk(usize::MAX).unwrap_or_default()
    }
}

/// First line of a target's response body, as JSON. `filler_bytes` bytes of filler follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Name of the call: the call header, or the request id when the call header is missing.
    pub call: String,
    /// Request id that the target received.
    pub request_id: String,
    /// Idempotency key that the target received.
    pub key: Option<String>,
    /// Path that the target received, including the query string.
    pub path: String,
    pub service: String,
    pub version: String,
    pub instance: String,
    /// Length of the request body.
    pub request_bytes: u64,
    pub request_checksum: u64,
    /// Length of the filler after the line.
    pub filler_bytes: usize,
    pub filler_checksum: u64,
}

/// Properties of a request that the response is checked against.
#[derive(Clone, Debug)]
pub struct SentRequest<'a> {
    /// Name of the call, as sent in the call header.
    pub call: &'a str,
    pub key: Option<&'a str>,
    /// Path of the request, including the query string.
    pub path: &'a str,
    /// Length of the body.
    pub body_bytes: u64,
    pub body_checksum: u64,
}

/// Why a successful response is not the complete response to the caller's own request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Bytes are missing, or the first line has no end.
    Short,
    /// The body is longer than the target's response.
    Long,
    /// The response belongs to another request: its path, or both its call name and key, differ.
    Foreign,
    /// The bytes differ from those that the target sent.
    Damaged,
    /// The target received a request body that differs from the one sent.
    RequestDamaged,
}

/// Checks that `body` is the complete response of a target to `sent`.
///
/// A retried booking gets the recorded response to the first request with its key. A response with
/// the key of `sent` therefore counts as the caller's own.
pub fn check(sent: &SentRequest<'_>, body: &[u8]) -> Result<ResponseHead, Defect> {
    let end = body.iter().position(|byte| *byte == b'\n').ok_or(Defect::Short)?;
    let head: ResponseHead = serde_json::from_slice(&body[..end]).map_err(|_| Defect::Damaged)?;
    let same_key = sent.key.is_some() && sent.key == head.key.as_deref();
    if head.path != sent.path || (head.call != sent.call && !same_key) {
        return Err(Defect::Foreign);
    }
    let filler = &body[end + 1..];
    if filler.len() < head.filler_bytes {
        return Err(Defect::Short);
    }
    if filler.len() > head.filler_bytes {
        return Err(Defect::Long);
    }
    if *filler != *Filler::new(&head.call, head.filler_bytes).into_bytes()
        || Checksum::of(filler) != head.filler_checksum
    {
        return Err(Defect::Damaged);
    }
    if head.request_bytes != sent.body_bytes || head.request_checksum != sent.body_checksum {
        return Err(Defect::RequestDamaged);
    }
    Ok(head)
}
