//! Length-prefixed heads and flow-controlled bodies on HTTP/2 streams.

use std::future::poll_fn;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use futures_util::StreamExt;
use h2::RecvStream;
use h2::SendStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::traffic::call::BodyReader;
use crate::traffic::call::BodyWriter;
use crate::wire;
use crate::wire::MAX_CALL_HEAD_BYTES;
use crate::wire::WireError;

/// Size of the length prefix of a head: a little-endian `u32`.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Maximum size of a chunk that is passed to h2; bounds what h2 buffers for one stream.
const CHUNK_BYTES: usize = 64 * 1024;

/// Reason why a head or body could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum FrameError {
    /// The stream or its connection ended early.
    #[display("stream ended early: {_0}")]
    Broken(String),
    /// The peer reset the stream.
    #[display("stream reset: {_0}")]
    Reset(String),
    /// The data does not follow the protocol.
    #[display("{_0}")]
    Malformed(WireError),
}

impl std::error::Error for FrameError {}

/// Encodes the head of a call or reply with its length prefix.
pub fn encode_head<T: Serialize>(head: &T) -> Result<BytesMut, WireError> {
    let encoded_head = wire::encode(head, MAX_CALL_HEAD_BYTES)?;
    let len = u32::try_from(encoded_head.len())
        .map_err(|_| WireError::TooLong(encoded_head.len(), MAX_CALL_HEAD_BYTES))?;
    let mut buf = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + encoded_head.len());
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&encoded_head);
    Ok(buf)
}

/// Removes a complete head from the front of `buf` and returns it; `None` if `buf` does not hold
/// all of it yet.
pub fn decode_head<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(prefix) = buf.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_CALL_HEAD_BYTES {
        return Err(WireError::TooLong(len, MAX_CALL_HEAD_BYTES));
    }
    if buf.len() < LENGTH_PREFIX_BYTES + len {
        return Ok(None);
    }
    buf.advance(LENGTH_PREFIX_BYTES);
    wire::decode(&buf.split_to(len), MAX_CALL_HEAD_BYTES).map(Some)
}

/// Reads a head; returns it with the body bytes that arrived together with it.
pub async fn read_head<T: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<(T, Bytes), FrameError> {
    let mut buf = BytesMut::new();
    loop {
        if let Some(head) = decode_head(&mut buf).map_err(FrameError::Malformed)? {
            return Ok((head, buf.freeze()));
        }
        let data = next_data(stream).await?;
        buf.extend_from_slice(
            &data.ok_or_else(|| FrameError::Broken("incomplete head".to_string()))?,
        );
    }
}

/// Reads a complete body of at most `max_bytes` bytes.
pub async fn read_all(stream: &mut RecvStream, max_bytes: usize) -> Result<Bytes, FrameError> {
    let mut buf = BytesMut::new();
    while let Some(data) = next_data(stream).await? {
        if buf.len() + data.len() > max_bytes {
            return Err(FrameError::Malformed(WireError::TooLong(
                buf.len() + data.len(),
                max_bytes,
            )));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

async fn next_data(stream: &mut RecvStream) -> Result<Option<Bytes>, FrameError> {
    let Some(data) = stream.data().await else { return Ok(None) };
    let data = data.map_err(|e| match e.is_reset() && e.is_remote() {
        true => FrameError::Reset(e.to_string()),
        false => FrameError::Broken(e.to_string()),
    })?;
    // Fails only when the stream is closed, which the next read reports.
    let _ = stream.flow_control().release_capacity(data.len());
    Ok(Some(data))
}

/// Sends `data` as the peer's flow-control window allows, then ends the stream if `end_stream` is
/// true. Returns `false` if the stream is closed.
pub async fn send_all(stream: &mut SendStream<Bytes>, mut data: Bytes, end_stream: bool) -> bool {
    while !data.is_empty() {
        stream.reserve_capacity(data.len().min(CHUNK_BYTES));
        let Some(Ok(capacity)) = poll_fn(|cx| stream.poll_capacity(cx)).await else { return false };
        let chunk = data.split_to(capacity.min(data.len()));
        if !chunk.is_empty() && stream.send_data(chunk, false).is_err() {
            return false;
        }
    }
    !end_stream || stream.send_data(Bytes::new(), true).is_ok()
}

/// Copies a body from a stream to `writer`, beginning with `body_start`, the bytes that arrived
/// with the head. The flow-control window is replenished only after `writer` has accepted a chunk,
/// so that a slow reader slows the sender. The body is marked complete only if it has
/// `expected_bytes`; `None` means that the length is unknown.
pub async fn receive_body(
    mut stream: RecvStream,
    body_start: Bytes,
    expected_bytes: Option<u64>,
    writer: BodyWriter,
) {
    let mut received_bytes = body_start.len() as u64;
    if !body_start.is_empty() && !writer.send(body_start).await {
        return;
    }
    loop {
        let data = tokio::select! {
            biased;
            () = writer.closed() => return,
            data = stream.data() => data,
        };
        let Some(data) = data else { break };
        let Ok(data) = data else { return };
        let len = data.len();
        received_bytes += len as u64;
        if !writer.send(data).await || stream.flow_control().release_capacity(len).is_err() {
            return;
        }
    }
    if expected_bytes.is_none_or(|n| n == received_bytes) {
        writer.end().await;
    }
}

/// Copies a body to a stream and ends the stream. Returns `false` if the body is truncated or the
/// stream is closed.
pub async fn send_body(stream: &mut SendStream<Bytes>, reader: &mut BodyReader) -> bool {
    loop {
        let chunk = tokio::select! {
            biased;
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return false,
            chunk = reader.next() => chunk,
        };
        match chunk {
            Some(Ok(data)) => {
                if !send_all(stream, data, false).await {
                    return false;
                }
            }
            Some(Err(_)) => return false,
            None => return stream.send_data(Bytes::new(), true).is_ok(),
        }
    }
}
