//! Connections between nodes. The node that connects sends calls; the other one answers them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::frames;
use super::frames::CHUNK_BYTES;
use super::frames::Failure;
use super::frames::ForwardHead;
use super::frames::Frame;
use super::frames::NodeDescriptor;
use super::frames::Outcome;
use super::outbox::Outbox;
use super::slot_queue::Load;
use super::socket;
use crate::types::Millis;
use crate::types::NodeId;

/// First size of a connection's read buffer; most frames are shorter.
const BUFFER_BYTES: usize = 2 * 1024;

/// Read size while a long body arrives.
const LONG_READ_BYTES: usize = 16 * 1024;

/// Longest body that a peer may announce; the limit on callers is checked where they are served.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// What the owner of the connections does with frames that are not about calls.
pub trait LinkEvents: Clone {
    /// A frame arrived from a peer. `reply` leads back to it.
    fn frame(&self, from: &NodeId, frame: Frame, reply: &Outbox);

    /// Refuses a call before its long body is sent, or waits until the body may come. The body may
    /// arrive as long as the permit lives.
    fn admit_body(
        &self,
        head: &ForwardHead,
    ) -> impl Future<Output = Result<OwnedSemaphorePermit, (Outcome, Load)>> + 'static;

    /// A call arrived; the future is dropped when its caller leaves or the connection ends.
    fn call(&self, head: ForwardHead, body: Bytes) -> impl Future<Output = (Outcome, Load)>;
}

type Waiting = HashMap<u64, oneshot::Sender<(Outcome, Option<Load>)>>;

/// The sending side of a connection to a peer.
#[derive(Debug)]
pub struct Link {
    /// The peer.
    pub card: NodeDescriptor,
    /// Nodes that the peer knew when the connection began.
    pub known: Vec<NodeDescriptor>,
    /// Frames to the peer.
    pub outbox: Rc<Outbox>,
    waiting: RefCell<Waiting>,
    /// Long bodies that the peer has not asked for yet.
    held: RefCell<HashMap<u64, Bytes>>,
    last_id: Cell<u64>,
    heard: Cell<Instant>,
}

/// Cancels a call whose future is dropped.
struct CallGuard<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.held.borrow_mut().remove(&self.id);
        if self.link.waiting.borrow_mut().remove(&self.id).is_some() {
            self.link.outbox.drop_long(self.id);
            self.link.outbox.send(&Frame::Cancel { id: self.id });
        }
    }
}

impl Link {
    /// Connects to a node and exchanges greetings.
    pub async fn open(
        peer: &NodeDescriptor,
        own: &NodeDescriptor,
        known: usize,
        limit: Millis,
    ) -> io::Result<(Rc<Self>, LinkReader)> {
        let opening = async {
            let stream = socket::connect(peer.address, limit).await?;
            let (read, write) = stream.into_split();
            let outbox = Rc::new(Outbox::default());
            outbox.send(&Frame::Hello(own.clone(), known as u32));
            let writer = outbox.clone();
            actix_rt::spawn(async move {
                // The reader sees the end of the connection too.
                let _ = writer.clone().write_to(write).await;
                writer.close();
            });
            let mut reader = LinkReader { stream: read, buf: BytesMut::new() };
            match reader.next().await {
                Ok(Frame::Welcome(card, known)) => Ok((outbox, reader, card, known)),
                Ok(_) => Err(io::ErrorKind::InvalidData.into()),
                Err(e) => Err(e),
            }
        };
        let opened = timeout(limit.to_duration(), opening).await;
        let (outbox, reader, card, known) =
            opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let link = Rc::new(Self {
            card,
            known,
            outbox,
            waiting: RefCell::default(),
            held: RefCell::default(),
            last_id: Cell::new(0),
            heard: Cell::new(Instant::now()),
        });
        Ok((link, reader))
    }

    /// Time since the peer was last heard.
    pub fn silent_for(&self) -> Millis {
        self.heard.get().elapsed().into()
    }

    /// Reads replies until the connection ends; calls that wait then fail as possibly run.
    pub async fn run<E: LinkEvents>(&self, mut reader: LinkReader, events: &E) {
        let mut answers: HashMap<u64, PartialAnswer> = HashMap::new();
        while let Ok(frame) = reader.next_unless_closed(&self.outbox).await {
            self.heard.set(Instant::now());
            match frame {
                Frame::Reply { id, outcome, load } => match *outcome {
                    Outcome::Answer { status, headers, body, body_bytes }
                        if body.len() as u64 != body_bytes =>
                    {
                        let body = BytesMut::with_capacity(body_bytes.min(1 << 20) as usize);
                        let part = PartialAnswer { status, headers, body, body_bytes, load };
                        answers.insert(id, part);
                    }
                    outcome => self.finish(id, outcome, Some(load)),
                },
                Frame::Piece { id, bytes } => {
                    let Some(answer) = answers.get_mut(&id) else { continue };
                    answer.body.extend_from_slice(&bytes);
                    if answer.body.len() as u64 >= answer.body_bytes
                        && let Some(PartialAnswer { status, headers, body, body_bytes, load }) =
                            answers.remove(&id)
                    {
                        let body = body.freeze();
                        let outcome = Outcome::Answer { status, headers, body, body_bytes };
                        self.finish(id, outcome, Some(load));
                    }
                }
                Frame::Grant { id } => {
                    if let Some(body) = self.held.borrow_mut().remove(&id) {
                        self.outbox.send_long(id, body);
                    }
                }
                frame => events.frame(&self.card.node, frame, &self.outbox),
            }
        }
        self.outbox.close();
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for (_, tx) in waiting {
            // The caller may have left.
            let _ = tx.send((Outcome::Failed(Failure::LinkLost), None));
        }
    }

    fn finish(&self, id: u64, outcome: Outcome, load: Option<Load>) {
        self.outbox.drop_long(id);
        if let Some(tx) = self.waiting.borrow_mut().remove(&id) {
            // The caller may have left.
            let _ = tx.send((outcome, load));
        }
    }

    /// Makes a call. Dropping the future cancels it at the peer.
    pub async fn call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Option<Load>) {
        if self.outbox.is_closed() {
            return (super::proxy::unreachable(), None);
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tx);
        let _guard = CallGuard { link: self, id };
        let body_bytes = body.len() as u64;
        let head = Box::new(head);
        if body.len() <= CHUNK_BYTES {
            self.outbox.send(&Frame::Call { id, head, body, body_bytes });
        } else {
            // The peer asks for a long body when it can take it, or refuses the call without it.
            self.held.borrow_mut().insert(id, body);
            self.outbox.send(&Frame::Call { id, head, body: Bytes::new(), body_bytes });
        }
        rx.await.unwrap_or((Outcome::Failed(Failure::LinkLost), None))
    }
}

struct PartialAnswer {
    status: u16,
    headers: Vec<(smol_str::SmolStr, Bytes)>,
    body: BytesMut,
    body_bytes: u64,
    load: Load,
}

/// Reads frames of a connection.
#[derive(Debug)]
pub struct LinkReader {
    stream: OwnedReadHalf,
    buf: BytesMut,
}

impl LinkReader {
    async fn next(&mut self) -> io::Result<Frame> {
        loop {
            match frames::decode(&mut self.buf) {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => {}
                Err(_) => return Err(io::ErrorKind::InvalidData.into()),
            }
            if self.buf.is_empty() {
                // A node has two connections for each peer; idle ones keep no buffers.
                self.buf = BytesMut::new();
                self.stream.readable().await?;
            }
            let long = self.buf.len() > BUFFER_BYTES;
            self.buf.reserve(if long { LONG_READ_BYTES } else { BUFFER_BYTES });
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn next_unless_closed(&mut self, outbox: &Outbox) -> io::Result<Frame> {
        tokio::select! {
            biased;
            () = outbox.ended() => Err(io::ErrorKind::ConnectionAborted.into()),
            frame = self.next() => frame,
        }
    }
}

/// A call whose body still arrives.
struct Arriving {
    head: ForwardHead,
    body: BytesMut,
    body_bytes: u64,
    began: Instant,
    /// Permits the body to come; held until it is whole.
    permit: Rc<RefCell<Option<OwnedSemaphorePermit>>>,
    /// Asks for the body, or refuses the call.
    asking: AbortHandle,
}

impl Drop for Arriving {
    fn drop(&mut self) {
        self.asking.abort();
        self.permit.borrow_mut().take();
    }
}

impl Arriving {
    /// The head with the time that is left now that the body is whole.
    fn into_call(mut self) -> (ForwardHead, Bytes) {
        let passed = self.began.elapsed().as_millis() as u32;
        let body = std::mem::take(&mut self.body);
        let mut head = self.head.clone();
        head.aim_ms = head.aim_ms.saturating_sub(passed);
        head.deadline_ms = head.deadline_ms.saturating_sub(passed);
        (head, body.freeze())
    }
}

/// Serves a connection that a peer opened, until it ends or is silent for `silence`. The greeting is
/// answered with `own` and the nodes that `known` returns.
pub async fn accept<E: LinkEvents + 'static>(
    stream: TcpStream,
    own: NodeDescriptor,
    known: impl FnOnce(&NodeDescriptor) -> Vec<NodeDescriptor>,
    events: E,
    silence: Millis,
) -> io::Result<()> {
    socket::set_options(&stream)?;
    let (read, write) = stream.into_split();
    let outbox = Rc::new(Outbox::default());
    let mut reader = LinkReader { stream: read, buf: BytesMut::new() };
    let hello = timeout(silence.to_duration(), reader.next()).await;
    let Ok(Ok(Frame::Hello(peer, knows))) = hello else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let mut cards = known(&peer);
    if cards.len() <= knows as usize {
        // Rows of the store have told the peer already.
        cards.clear();
    }
    outbox.send(&Frame::Welcome(own, cards));
    let writer = outbox.clone();
    actix_rt::spawn(async move {
        // The reader sees the end of the connection too.
        let _ = writer.clone().write_to(write).await;
        writer.close();
    });
    let calls: Rc<RefCell<HashMap<u64, AbortHandle>>> = Rc::default();
    let mut arriving: HashMap<u64, Arriving> = HashMap::new();
    let start = |id: u64, head: ForwardHead, body: Bytes| {
        let (events, outbox, ended) = (events.clone(), outbox.clone(), calls.clone());
        let task = actix_rt::spawn(async move {
            let (outcome, load) = events.call(head, body).await;
            ended.borrow_mut().remove(&id);
            send_reply(&outbox, id, outcome, load);
        });
        calls.borrow_mut().insert(id, task.abort_handle());
    };
    let ended = loop {
        let next = timeout(silence.to_duration(), reader.next_unless_closed(&outbox)).await;
        let frame = match next {
            Ok(Ok(frame)) => frame,
            Ok(Err(e)) => break Err(e),
            Err(_) => break Err(io::ErrorKind::TimedOut.into()),
        };
        match frame {
            Frame::Call { body_bytes, .. } if body_bytes > MAX_BODY_BYTES => {
                break Err(io::ErrorKind::InvalidData.into());
            }
            Frame::Call { id, head, body, body_bytes } if body.len() as u64 == body_bytes => {
                start(id, *head, body);
            }
            Frame::Call { id, head, body_bytes, .. } => {
                let permit: Rc<RefCell<Option<OwnedSemaphorePermit>>> = Rc::default();
                let (kept, outbox) = (permit.clone(), outbox.clone());
                let admitting = events.admit_body(&head);
                let asking = actix_rt::spawn(async move {
                    match admitting.await {
                        Ok(permit) => {
                            *kept.borrow_mut() = Some(permit);
                            outbox.send(&Frame::Grant { id });
                        }
                        Err((outcome, load)) => send_reply(&outbox, id, outcome, load),
                    }
                });
                let asking = asking.abort_handle();
                let (body, began) = (BytesMut::new(), Instant::now());
                let head = *head;
                arriving.insert(id, Arriving { head, body, body_bytes, began, permit, asking });
            }
            Frame::Piece { id, bytes } => {
                let Some(part) = arriving.get_mut(&id) else { continue };
                if part.body.is_empty() {
                    part.body.reserve(part.body_bytes.min(1 << 20) as usize);
                }
                part.body.extend_from_slice(&bytes);
                if part.body.len() as u64 >= part.body_bytes
                    && let Some(whole) = arriving.remove(&id)
                {
                    let (head, body) = whole.into_call();
                    start(id, head, body);
                }
            }
            Frame::Cancel { id } => {
                arriving.remove(&id);
                if let Some(task) = calls.borrow_mut().remove(&id) {
                    task.abort();
                }
            }
            frame => events.frame(&peer.node, frame, &outbox),
        }
    };
    outbox.close();
    for (_, task) in calls.borrow_mut().drain() {
        task.abort();
    }
    ended
}

fn send_reply(outbox: &Outbox, id: u64, outcome: Outcome, load: Load) {
    match outcome {
        Outcome::Answer { status, headers, body, body_bytes } if body.len() > CHUNK_BYTES => {
            let head = Outcome::Answer { status, headers, body: Bytes::new(), body_bytes };
            outbox.send(&Frame::Reply { id, outcome: Box::new(head), load });
            outbox.send_long(id, body);
        }
        outcome => outbox.send(&Frame::Reply { id, outcome: Box::new(outcome), load }),
    }
}
