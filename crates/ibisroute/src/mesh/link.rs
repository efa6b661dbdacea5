//! Connections between nodes. The node that connects sends calls; the node that accepts serves them.

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
use super::send_queue::SendQueue;
use super::slot_queue::Load;
use super::socket;
use crate::types::Millis;
use crate::types::NodeId;

/// Initial size of a connection's read buffer; most frames are shorter.
const BUFFER_BYTES: usize = 2 * 1024;

/// Buffer space reserved for a read while a long frame arrives.
const LONG_READ_BYTES: usize = 16 * 1024;

/// Maximum size of a body that a peer may announce, in bytes. The configured limit on the bodies of
/// callers is enforced by the node at which their requests arrive.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// Maximum number of bytes reserved in advance for a long body.
const MAX_RESERVED_BYTES: u64 = 1024 * 1024;

/// Handles the calls and other frames that arrive from peers.
pub trait LinkHandler: Clone {
    /// Handles a frame that does not belong to a call. `reply` is the send queue back to the peer.
    fn on_frame(&self, from: &NodeId, frame: Frame, reply: &SendQueue);

    /// Refuses a call before its long body is sent, or waits for a permit to receive the body. The
    /// permit is held until the body is complete.
    fn admit_body(
        &self,
        head: &ForwardHead,
    ) -> impl Future<Output = Result<OwnedSemaphorePermit, (Outcome, Load)>> + 'static;

    /// Serves a call. The future is dropped when the call is cancelled or the connection closes.
    fn serve_call(&self, head: ForwardHead, body: Bytes) -> impl Future<Output = (Outcome, Load)>;
}

/// Senders that deliver the outcomes of calls to the waiting futures, by call id.
type PendingCalls = HashMap<u64, oneshot::Sender<(Outcome, Option<Load>)>>;

/// A connection that this node opened to a peer; sends calls and receives their outcomes.
#[derive(Debug)]
pub struct Link {
    pub descriptor: NodeDescriptor,
    /// Nodes that the peer knew when the connection was opened; empty when this node knew at least as
    /// many.
    pub known_nodes: Vec<NodeDescriptor>,
    pub send_queue: Rc<SendQueue>,
    pending: RefCell<PendingCalls>,
    /// Long bodies that the peer has not permitted with [`Frame::Grant`] yet, by call id.
    ungranted: RefCell<HashMap<u64, Bytes>>,
    last_id: Cell<u64>,
    last_frame_at: Cell<Instant>,
}

/// Cancels a call at the peer if the call's future is dropped before the outcome.
struct CallGuard<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.ungranted.borrow_mut().remove(&self.id);
        if self.link.pending.borrow_mut().remove(&self.id).is_some() {
            self.link.send_queue.drop_body(self.id);
            self.link.send_queue.send(&Frame::Cancel { id: self.id });
        }
    }
}

impl Link {
    /// Connects to a node and exchanges greetings, both within `open_timeout`. The peer returns the nodes
    /// that it knows if they are more than `known_count`.
    pub async fn open(
        peer: &NodeDescriptor,
        own: &NodeDescriptor,
        known_count: usize,
        open_timeout: Millis,
    ) -> io::Result<(Rc<Self>, LinkReader)> {
        let opening = async {
            let stream = socket::connect_node(peer.address, open_timeout).await?;
            let (read, write) = stream.into_split();
            let send_queue = Rc::new(SendQueue::default());
            send_queue.send(&Frame::Hello(own.clone(), known_count as u32));
            let writer = send_queue.clone();
            actix_rt::spawn(async move {
                // A failed write needs no handling, since the reader detects the end of the connection
                // as well.
                let _ = writer.clone().write_to(write).await;
                writer.close();
            });
            let mut reader = LinkReader { stream: read, buf: BytesMut::new() };
            match reader.next().await {
                Ok(Frame::Welcome(descriptor, known_nodes)) => {
                    Ok((send_queue, reader, descriptor, known_nodes))
                }
                Ok(_) => Err(io::ErrorKind::InvalidData.into()),
                Err(e) => Err(e),
            }
        };
        let opened = timeout(open_timeout.to_duration(), opening).await;
        let (send_queue, reader, descriptor, known_nodes) =
            opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let link = Rc::new(Self {
            descriptor,
            known_nodes,
            send_queue,
            pending: RefCell::default(),
            ungranted: RefCell::default(),
            last_id: Cell::new(0),
            last_frame_at: Cell::new(Instant::now()),
        });
        Ok((link, reader))
    }

    /// Returns the time since the last frame from the peer, to detect a silent connection.
    pub fn silent_for(&self) -> Millis {
        self.last_frame_at.get().elapsed().into()
    }

    /// Reads frames until the connection ends. Calls that have no outcome by then fail; they may have
    /// run.
    pub async fn run<H: LinkHandler>(&self, mut reader: LinkReader, handler: &H) {
        let mut partial_responses: HashMap<u64, PartialResponse> = HashMap::new();
        while let Ok(frame) = reader.next_unless_closed(&self.send_queue).await {
            self.last_frame_at.set(Instant::now());
            match frame {
                Frame::Reply { id, outcome, load } => match *outcome {
                    Outcome::Answer { status, headers, body, body_bytes }
                        if body.len() as u64 != body_bytes =>
                    {
                        let body =
                            BytesMut::with_capacity(body_bytes.min(MAX_RESERVED_BYTES) as usize);
                        let partial = PartialResponse { status, headers, body, body_bytes, load };
                        partial_responses.insert(id, partial);
                    }
                    outcome => self.complete_call(id, outcome, Some(load)),
                },
                Frame::Piece { id, bytes } => {
                    let Some(response) = partial_responses.get_mut(&id) else { continue };
                    response.body.extend_from_slice(&bytes);
                    if response.body.len() as u64 >= response.body_bytes
                        && let Some(PartialResponse { status, headers, body, body_bytes, load }) =
                            partial_responses.remove(&id)
                    {
                        let body = body.freeze();
                        let outcome = Outcome::Answer { status, headers, body, body_bytes };
                        self.complete_call(id, outcome, Some(load));
                    }
                }
                Frame::Grant { id } => {
                    if let Some(body) = self.ungranted.borrow_mut().remove(&id) {
                        self.send_queue.send_body(id, body);
                    }
                }
                frame => handler.on_frame(&self.descriptor.node, frame, &self.send_queue),
            }
        }
        self.send_queue.close();
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for (_, tx) in pending {
            // The future of the call may have been dropped.
            let _ = tx.send((Outcome::Failed(Failure::LinkLost), None));
        }
    }

    fn complete_call(&self, id: u64, outcome: Outcome, load: Option<Load>) {
        self.send_queue.drop_body(id);
        if let Some(tx) = self.pending.borrow_mut().remove(&id) {
            // The future of the call may have been dropped.
            let _ = tx.send((outcome, load));
        }
    }

    /// Sends a call and waits for its outcome. Dropping the future cancels the call at the peer.
    pub async fn call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Option<Load>) {
        if self.send_queue.is_closed() {
            return (super::proxy::unreachable_outcome(), None);
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (tx, rx) = oneshot::channel();
        self.pending.borrow_mut().insert(id, tx);
        let _guard = CallGuard { link: self, id };
        let body_bytes = body.len() as u64;
        let head = Box::new(head);
        if body.len() <= CHUNK_BYTES {
            self.send_queue.send(&Frame::Call { id, head, body, body_bytes });
        } else {
            // The peer grants a long body when it can receive it, or refuses the call before the body
            // is sent.
            self.ungranted.borrow_mut().insert(id, body);
            self.send_queue.send(&Frame::Call { id, head, body: Bytes::new(), body_bytes });
        }
        rx.await.unwrap_or((Outcome::Failed(Failure::LinkLost), None))
    }
}

/// A response whose long body has not been received completely.
struct PartialResponse {
    status: u16,
    headers: Vec<(smol_str::SmolStr, Bytes)>,
    body: BytesMut,
    body_bytes: u64,
    load: Load,
}

/// Reads the frames that arrive on a connection.
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
                // Idle connections keep no buffer, because a node has two connections for each
                // peer.
                self.buf = BytesMut::new();
                self.stream.readable().await?;
            }
            let has_long_frame = self.buf.len() > BUFFER_BYTES;
            self.buf.reserve(if has_long_frame { LONG_READ_BYTES } else { BUFFER_BYTES });
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn next_unless_closed(&mut self, send_queue: &SendQueue) -> io::Result<Frame> {
        tokio::select! {
            biased;
            () = send_queue.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
            frame = self.next() => frame,
        }
    }
}

/// A call whose long body has not been received completely.
struct IncomingCall {
    head: ForwardHead,
    body: BytesMut,
    body_bytes: u64,
    head_arrived_at: Instant,
    /// Permit to receive the body; set when the body is granted and released when it is complete.
    permit: Rc<RefCell<Option<OwnedSemaphorePermit>>>,
    /// Task that grants the body or refuses the call.
    admission: AbortHandle,
}

impl Drop for IncomingCall {
    fn drop(&mut self) {
        self.admission.abort();
        self.permit.borrow_mut().take();
    }
}

impl IncomingCall {
    /// Returns the head and the complete body. The times to the latency objective and to the deadline
    /// are reduced by the time that the body took to arrive.
    fn into_call(mut self) -> (ForwardHead, Bytes) {
        let elapsed_ms = self.head_arrived_at.elapsed().as_millis() as u32;
        let body = std::mem::take(&mut self.body);
        let mut head = self.head.clone();
        head.aim_ms = head.aim_ms.saturating_sub(elapsed_ms);
        head.deadline_ms = head.deadline_ms.saturating_sub(elapsed_ms);
        (head, body.freeze())
    }
}

/// Serves a connection that a peer opened, until it closes or no frame arrives for `silence_timeout`.
/// Responds to the greeting with `own` and the nodes that `on_hello` returns for the peer and
/// the number of nodes that it knows.
pub async fn accept<H: LinkHandler + 'static>(
    stream: TcpStream,
    own: NodeDescriptor,
    on_hello: impl FnOnce(&NodeDescriptor, usize) -> Vec<NodeDescriptor>,
    handler: H,
    silence_timeout: Millis,
) -> io::Result<()> {
    socket::set_node_options(&stream)?;
    let (read, write) = stream.into_split();
    let send_queue = Rc::new(SendQueue::default());
    let mut reader = LinkReader { stream: read, buf: BytesMut::new() };
    let hello = timeout(silence_timeout.to_duration(), reader.next()).await;
    let Ok(Ok(Frame::Hello(peer, peer_known_count))) = hello else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let known_nodes = on_hello(&peer, peer_known_count as usize);
    send_queue.send(&Frame::Welcome(own, known_nodes));
    let writer = send_queue.clone();
    actix_rt::spawn(async move {
        // A failed write needs no handling, since the reader detects the end of the connection as well.
        let _ = writer.clone().write_to(write).await;
        writer.close();
    });
    let calls: Rc<RefCell<HashMap<u64, AbortHandle>>> = Rc::default();
    let mut incoming: HashMap<u64, IncomingCall> = HashMap::new();
    let start_call = |id: u64, head: ForwardHead, body: Bytes| {
        let (handler, send_queue, calls_of_task) =
            (handler.clone(), send_queue.clone(), calls.clone());
        let task = actix_rt::spawn(async move {
            let (outcome, load) = handler.serve_call(head, body).await;
            calls_of_task.borrow_mut().remove(&id);
            send_reply(&send_queue, id, outcome, load);
        });
        calls.borrow_mut().insert(id, task.abort_handle());
    };
    let result = loop {
        let received =
            timeout(silence_timeout.to_duration(), reader.next_unless_closed(&send_queue)).await;
        let frame = match received {
            Ok(Ok(frame)) => frame,
            Ok(Err(e)) => break Err(e),
            Err(_) => break Err(io::ErrorKind::TimedOut.into()),
        };
        match frame {
            Frame::Call { body_bytes, .. } if body_bytes > MAX_BODY_BYTES => {
                break Err(io::ErrorKind::InvalidData.into());
            }
            Frame::Call { id, head, body, body_bytes } if body.len() as u64 == body_bytes => {
                start_call(id, *head, body);
            }
            Frame::Call { id, head, body_bytes, .. } => {
                let permit: Rc<RefCell<Option<OwnedSemaphorePermit>>> = Rc::default();
                let (held_permit, send_queue) = (permit.clone(), send_queue.clone());
                let admitting = handler.admit_body(&head);
                let admission = actix_rt::spawn(async move {
                    match admitting.await {
                        Ok(permit) => {
                            *held_permit.borrow_mut() = Some(permit);
                            send_queue.send(&Frame::Grant { id });
                        }
                        Err((outcome, load)) => send_reply(&send_queue, id, outcome, load),
                    }
                });
                let admission = admission.abort_handle();
                let (body, head_arrived_at) = (BytesMut::new(), Instant::now());
                let head = *head;
                incoming.insert(
                    id,
                    IncomingCall { head, body, body_bytes, head_arrived_at, permit, admission },
                );
            }
            Frame::Piece { id, bytes } => {
                let Some(call) = incoming.get_mut(&id) else { continue };
                if call.body.is_empty() {
                    call.body.reserve(call.body_bytes.min(MAX_RESERVED_BYTES) as usize);
                }
                call.body.extend_from_slice(&bytes);
                if call.body.len() as u64 >= call.body_bytes
                    && let Some(complete_call) = incoming.remove(&id)
                {
                    let (head, body) = complete_call.into_call();
                    start_call(id, head, body);
                }
            }
            Frame::Cancel { id } => {
                incoming.remove(&id);
                if let Some(task) = calls.borrow_mut().remove(&id) {
                    task.abort();
                }
            }
            frame => handler.on_frame(&peer.node, frame, &send_queue),
        }
    };
    send_queue.close();
    for (_, task) in calls.borrow_mut().drain() {
        task.abort();
    }
    result
}

fn send_reply(send_queue: &SendQueue, id: u64, outcome: Outcome, load: Load) {
    match outcome {
        Outcome::Answer { status, headers, body, body_bytes } if body.len() > CHUNK_BYTES => {
            let head = Outcome::Answer { status, headers, body: Bytes::new(), body_bytes };
            send_queue.send(&Frame::Reply { id, outcome: Box::new(head), load });
            send_queue.send_body(id, body);
        }
        outcome => send_queue.send(&Frame::Reply { id, outcome: Box::new(outcome), load }),
    }
}
