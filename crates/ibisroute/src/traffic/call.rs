//! Calls and bodies as they pass between the threads of a node.

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

/// Chunks that wait between two threads; with chunks of at most 64 KB this bounds the memory of one
/// body to a few hundred kilobytes.
const BODY_CHUNKS: usize = 4;

/// A body that ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("body ended before it was whole")]
pub struct BodyBroken;

impl std::error::Error for BodyBroken {}

enum BodyPart {
    Data(Bytes),
    End,
}

/// Writing end of a streamed body. Dropping it without [`BodyWriter::end`] breaks the body.
#[derive(Debug)]
pub struct BodyWriter {
    tx: mpsc::Sender<BodyPart>,
}

impl BodyWriter {
    /// Sends a chunk and waits for room; `false` when the reader is gone.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(BodyPart::Data(data)).await.is_ok()
    }

    /// Marks the body as whole.
    pub async fn end(self) -> bool {
        self.tx.send(BodyPart::End).await.is_ok()
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Reading end of a streamed body. The first read asks the writer to begin.
#[derive(Debug)]
pub struct BodyReader {
    begin: Option<oneshot::Sender<()>>,
    rx: mpsc::Receiver<BodyPart>,
    ended: bool,
}

impl Stream for BodyReader {
    type Item = Result<Bytes, BodyBroken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(begin) = self.begin.take() {
            // The writer may be gone; the channel tells.
            let _ = begin.send(());
        }
        let part = std::task::ready!(self.rx.poll_recv(cx));
        self.ended = !matches!(part, Some(BodyPart::Data(_)));
        Poll::Ready(match part {
            Some(BodyPart::Data(data)) => Some(Ok(data)),
            Some(BodyPart::End) => None,
            None => Some(Err(BodyBroken)),
        })
    }
}

/// Makes a streamed body. The receiver resolves at the first read, and fails when the reader is
/// dropped before, which proves that nothing of the body was consumed.
pub fn body_stream() -> (BodyWriter, oneshot::Receiver<()>, BodyReader) {
    let (tx, rx) = mpsc::channel(BODY_CHUNKS);
    let (begin, begun) = oneshot::channel();
    (BodyWriter { tx }, begun, BodyReader { begin: Some(begin), rx, ended: false })
}

/// Body of a request.
#[derive(Debug)]
pub enum CallBody {
    /// Held in memory.
    Whole(Bytes),
    /// Streamed; nothing is read from the caller before the target is connected.
    Stream(BodyReader),
}

/// Reply to a call.
#[derive(Debug)]
pub struct CallReply {
    /// Head.
    pub head: ReplyHead,
    /// Body of an answer; absent for other replies and answers without a body.
    pub body: Option<BodyReader>,
}

/// A call for the dispatch thread.
#[derive(Debug)]
pub struct CallJob {
    /// Head.
    pub head: CallHead,
    /// Body.
    pub body: CallBody,
    /// Takes the reply; the call is abandoned when its receiver is dropped.
    pub reply: oneshot::Sender<CallReply>,
}
