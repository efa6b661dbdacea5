//! Calls and bodies that pass between the threads of a node.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use futures_util::Stream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::wire::CallHead;
use crate::wire::ReplyHead;

/// Capacity of the channel of a streamed body, in chunks. With chunks of at most 64 KB this limits
/// the memory of one body to a few hundred kilobytes.
const BODY_CHANNEL_CHUNKS: usize = 4;

/// Error of a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("body ended before it was complete")]
pub struct BodyTruncated;

impl std::error::Error for BodyTruncated {}

/// Item in the channel of a streamed body.
enum BodyItem {
    Data(Bytes),
    /// Marks the body as complete.
    End,
}

/// Writing end of a streamed body. Dropping it without [`BodyWriter::end`] truncates the body.
#[derive(Debug)]
pub struct BodyWriter {
    tx: mpsc::Sender<BodyItem>,
}

impl BodyWriter {
    /// Sends a chunk, waiting for room in the channel; `false` when the reader has been dropped.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(BodyItem::Data(data)).await.is_ok()
    }

    /// Marks the body as complete; `false` when the reader has been dropped.
    pub async fn end(self) -> bool {
        self.tx.send(BodyItem::End).await.is_ok()
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Reading end of a streamed body. The first read resolves the receiver that [`body_stream`]
/// returned, which lets the writer start.
#[derive(Debug)]
pub struct BodyReader {
    first_read_tx: Option<oneshot::Sender<()>>,
    rx: mpsc::Receiver<BodyItem>,
    ended: bool,
}

impl Stream for BodyReader {
    type Item = Result<Bytes, BodyTruncated>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(tx) = self.first_read_tx.take() {
            // Fails if the writer side has been dropped; the channel then reports a truncated body
            // below.
            let _ = tx.send(());
        }
        let item = std::task::ready!(self.rx.poll_recv(cx));
        self.ended = !matches!(item, Some(BodyItem::Data(_)));
        Poll::Ready(match item {
            Some(BodyItem::Data(data)) => Some(Ok(data)),
            Some(BodyItem::End) => None,
            None => Some(Err(BodyTruncated)),
        })
    }
}

/// Creates a streamed body: the writer, a receiver that resolves at the first read, and the reader.
/// The receiver fails when the reader is dropped before its first read, which proves that no part
/// of the body was consumed.
pub fn body_stream() -> (BodyWriter, oneshot::Receiver<()>, BodyReader) {
    let (tx, rx) = mpsc::channel(BODY_CHANNEL_CHUNKS);
    let (first_read_tx, first_read_rx) = oneshot::channel();
    (
        BodyWriter { tx },
        first_read_rx,
        BodyReader { first_read_tx: Some(first_read_tx), rx, ended: false },
    )
}

/// Body of a request that is being sent to a target.
#[derive(Debug)]
pub enum CallBody {
    /// In memory.
    Whole(Bytes),
    /// Streamed; nothing is read from the caller before the connection to the target is open.
    Stream(BodyReader),
}

/// Reply to a call: a response of the target, a refusal or a failure.
#[derive(Debug)]
pub struct CallReply {
    pub head: ReplyHead,
    /// Body of a response; `None` for other replies and for responses without a body.
    pub body: Option<BodyReader>,
}

/// A call for the dispatch thread.
#[derive(Debug)]
pub struct CallJob {
    pub head: CallHead,
    pub body: CallBody,
    /// Receives the reply. The call is abandoned when the receiver is dropped.
    pub reply_tx: oneshot::Sender<CallReply>,
}
