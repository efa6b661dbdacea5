//! Bodies that a receiver can check: checksums, deterministic filler, and the answers of targets.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Header that names a call of a caller stand-in. Unlike `X-Request-Id`, no node may replace it.
pub const CALL_HEADER: &str = "x-standin-call";

/// Header with the number of further services that a target shall call.
pub const CHAIN_HEADER: &str = "x-standin-chain";

/// Bytes a chunk of a streamed answer.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// FNV-1a checksum of 64 bits, fed piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checksum(u64);

impl Default for Checksum {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Checksum {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// The checksum of all bytes so far.
    pub fn value(self) -> u64 {
        self.0
    }

    /// Checksum of one piece.
    pub fn of(bytes: &[u8]) -> u64 {
        let mut sum = Self::default();
        sum.update(bytes);
        sum.value()
    }
}

/// Filler whose bytes depend on the call's name and on the position, so that bytes of another call,
/// missing bytes and repeated bytes all change the checksum.
#[derive(Clone, Debug)]
pub struct Filler {
    state: u64,
    left: usize,
}

impl Filler {
    /// Filler of `len` bytes for the call `call`.
    pub fn new(call: &str, len: usize) -> Self {
        Self { state: Checksum::of(call.as_bytes()) | 1, left: len }
    }

    /// The next at most `max` bytes; `None` at the end.
    pub fn next_chunk(&mut self, max: usize) -> Option<Bytes> {
        let len = self.left.min(max);
        if len == 0 {
            return None;
        }
        self.left -= len;
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

    /// All bytes that are left.
    pub fn whole(mut self) -> Bytes {
        self.next_chunk(usize::MAX).unwrap_or_default()
    }
}

/// First line of a target's answer, as JSON; `filler_bytes` of filler follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The call's name: the call header, or else the request id.
    pub call: String,
    /// Request id that the target got.
    pub request_id: String,
    /// Idempotency key that the target got.
    pub key: Option<String>,
    /// Path with query.
    pub path: String,
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Instance.
    pub instance: String,
    /// Bytes of the request's body.
    pub request_bytes: u64,
    /// Checksum of the request's body.
    pub request_checksum: u64,
    /// Bytes of filler after the line.
    pub filler_bytes: usize,
    /// Checksum of the filler.
    pub filler_checksum: u64,
}

/// What a caller sent, for the check of the answer.
#[derive(Clone, Debug)]
pub struct Sent<'a> {
    /// The call's name.
    pub call: &'a str,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Path with query.
    pub path: &'a str,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Checksum of the body.
    pub body_checksum: u64,
}

/// Why an answer with a good status is not the whole answer to the caller's own request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Bytes are missing, or the first line is not that of a target.
    Short,
    /// There are more bytes than the target sent.
    Long,
    /// The answer belongs to another request.
    Foreign,
    /// The bytes are not those that the target sent.
    Damaged,
    /// The target got other bytes than the caller sent.
    RequestDamaged,
}

/// Checks that `body` is the whole answer of a target to `sent`.
///
/// A repeated booking gets the recorded answer to the first request with its key, so an equal key
/// makes an answer the caller's own.
pub fn check(sent: &Sent<'_>, body: &[u8]) -> Result<AnswerHead, Defect> {
    let end = body.iter().position(|byte| *byte == b'\n').ok_or(Defect::Short)?;
    let head: AnswerHead = serde_json::from_slice(&body[..end]).map_err(|_| Defect::Damaged)?;
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
    if *filler != *Filler::new(&head.call, head.filler_bytes).whole()
        || Checksum::of(filler) != head.filler_checksum
    {
        return Err(Defect::Damaged);
    }
    if head.request_bytes != sent.body_bytes || head.request_checksum != sent.body_checksum {
        return Err(Defect::RequestDamaged);
    }
    Ok(head)
}
