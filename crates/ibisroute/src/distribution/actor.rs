//! Drives the distribution state machine with the platform, peers and the control socket.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::Recipient;
use actix::WrapFuture;
use metrics::counter;
use metrics::gauge;
use serde::Deserialize;

use super::body;
use super::body::CatalogueFunctions;
use super::distribution_settings::DistributionSettings;
use super::state::Action;
use super::state::Event;
use super::state::FetchError;
use super::state::Peer;
use super::state::Source;
use super::state::State;
use super::state::Status;
use crate::clock::Clock;
use crate::events;
use crate::events::distribution as codes;
use crate::membership::record::MemberView;
use crate::node::messages::ConfigurationApplied;
use crate::node::messages::DatagramReceived;
use crate::node::messages::HeadLearned;
use crate::node::messages::MembersChanged;
use crate::node::messages::PeerHead;
use crate::peers::ControlTransport;
use crate::peers::datagram::ControlSocket;
use crate::platform::Platform;
use crate::platform::model::Row;
use crate::snapshot::CompiledCatalogue;
use crate::types::ConfigVersion;
use crate::types::Digest;
use crate::types::Head;
use crate::types::Millis;
use crate::types::NodeId;
use crate::wire::CatalogueBody;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;
use crate::wire::Datagram;
use crate::wire::HeadNotice;

/// Table key of the head row.
const HEAD_ROW: &str = "head";

/// What the actor needs at its start.
pub struct DistributionParts {
    /// This node.
    pub node: NodeId,
    /// Where this node serves control requests, as peers reach it.
    pub peer_addr: SocketAddr,
    /// Where this node receives datagrams, as peers reach it.
    pub control_addr: SocketAddr,
    /// Settings.
    pub settings: DistributionSettings,
    /// Seed of all jitter.
    pub seed: u64,
    /// Table and object store.
    pub platform: Rc<dyn Platform>,
    /// Control requests to peers.
    pub transport: Rc<dyn ControlTransport>,
    /// Control datagrams.
    pub socket: Rc<ControlSocket>,
    /// Catalogue functions.
    pub functions: CatalogueFunctions,
}

/// Adds subscribers; they get the present value at once.
#[derive(Clone, Debug, Default, Message)]
#[rtype(result = "()")]
pub struct SubscribeDistribution {
    /// Get each configuration that comes into effect.
    pub applied: Vec<Recipient<ConfigurationApplied>>,
    /// Get the highest head known.
    pub heads: Vec<Recipient<HeadLearned>>,
}

/// A peer's `FetchCatalogue`.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct ServeCatalogue {
    /// What the peer holds.
    pub have: Head,
    /// What it needs.
    pub want: Head,
}

/// A peer's `FetchHead`.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct ServeHead;

/// Asks for the status.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct QueryDistribution;

#[derive(Message)]
#[rtype(result = "()")]
struct Done(Event);

#[derive(Message)]
#[rtype(result = "()")]
struct BodyReceived {
    head: Head,
    source: Source,
    body: Result<CatalogueBody, FetchError>,
}

/// The head row as operators write it. Other fields belong to the writer.
#[derive(Deserialize)]
struct HeadRow {
    version: u64,
    digest: Digest,
}

/// The distribution actor; lives on the control thread.
pub struct DistributionActor {
    parts: DistributionParts,
    state: State,
    clock: Clock,
    compiled: Option<CompiledCatalogue>,
    kept: VecDeque<Arc<CompiledCatalogue>>,
    subscribers: SubscribeDistribution,
    transfers: VecDeque<Millis>,
    applied: Option<Arc<CompiledCatalogue>>,
}

impl DistributionActor {
    /// An actor that holds no configuration yet.
    pub fn new(parts: DistributionParts) -> Self {
        let state = State::new(parts.settings.clone(), parts.seed);
        Self {
            parts,
            state,
            clock: Clock::start(),
            compiled: None,
            kept: VecDeque::new(),
            subscribers: SubscribeDistribution::default(),
            transfers: VecDeque::new(),
            applied: None,
        }
    }

    fn step(&mut self, event: Event, cx: &mut Context<Self>) {
        let now = self.clock.now();
        let actions = self.state.step(now, event);
        for action in actions {
            self.perform(action, cx);
        }
    }

    fn perform(&mut self, action: Action, cx: &mut Context<Self>) {
        match action {
            Action::Poll => self.poll(cx),
            Action::ReadHistory(version) => self.read_history(version, cx),
            Action::Notify { to, head } => {
                self.parts.socket.send(to, &Datagram::HeadNotice(self.notice(head)));
            }
            Action::Acknowledge { to, head } => {
                self.parts.socket.send(to, &Datagram::HeadAck(self.notice(head)));
            }
            Action::AskFloor(addr) => self.ask_floor(addr, cx),
            Action::Fetch { head, source, whole } => self.fetch(head, source, whole, cx),
            Action::Compile { head, bytes } => self.compile(head, &bytes, cx),
            Action::Apply(head) => self.apply(head),
            Action::HeadLearned(head) => {
                self.subscribers.heads.iter().for_each(|r| r.do_send(HeadLearned(head)));
            }
            Action::Log(code, detail) => events::emit(code, format_args!("{detail}")),
        }
    }

    fn notice(&self, head: Head) -> HeadNotice {
        HeadNotice {
            head,
            from: self.parts.node.clone().into(),
            peer_addr: self.parts.peer_addr,
            control_addr: self.parts.control_addr,
        }
    }

    /// Runs a request and feeds its outcome to the state machine.
    fn run<M>(&self, cx: &mut Context<Self>, future: impl Future<Output = M> + 'static)
    where
        M: Message<Result = ()> + Send + 'static,
        Self: Handler<M>,
    {
        let addr = cx.address();
        cx.spawn(async move { addr.do_send(future.await) }.into_actor(self));
    }

    fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.parts.settings.platform_timeout_ms)
    }

    fn poll(&self, cx: &mut Context<Self>) {
        counter!("ibis_distribution_polls_total").increment(1);
        let row = tokio::time::timeout(self.platform_timeout(), self.parts.platform.get(HEAD_ROW));
        self.run(cx, async move {
            Done(match row.await {
                Ok(Ok(row)) => head_event(row),
                Ok(Err(_)) | Err(_) => Event::TableFailed,
            })
        });
    }

    fn read_history(&self, version: ConfigVersion, cx: &mut Context<Self>) {
        let key = format!("history/{:012}", version.0);
        let row = tokio::time::timeout(self.platform_timeout(), self.parts.platform.get(&key));
        self.run(cx, async move {
            let row = row.await.ok().and_then(Result::ok).flatten();
            Done(Event::History(version, row.and_then(|r| parse_head(&r))))
        });
    }

    fn ask_floor(&self, addr: SocketAddr, cx: &mut Context<Self>) {
        let timeout = Millis(self.parts.settings.peer_timeout_ms);
        let reply = self.parts.transport.request(addr, ControlRequest::FetchHead, timeout);
        self.run(cx, async move {
            Done(match reply.await {
                Ok(ControlReply::Head(head)) => {
                    Event::FloorAnswer { peer_addr: addr, head: Some(head) }
                }
                Ok(ControlReply::Unknown) => Event::FloorUnknown(addr),
                _ => Event::FloorAnswer { peer_addr: addr, head: None },
            })
        });
    }

    fn fetch(&self, head: Head, source: Source, whole: bool, cx: &mut Context<Self>) {
        match source {
            Source::Objects => self.fetch_object(head, cx),
            Source::Peer(addr) => self.fetch_from_peer(head, addr, whole, cx),
        }
    }

    fn fetch_object(&self, head: Head, cx: &mut Context<Self>) {
        counter!("ibis_distribution_object_reads_total").increment(1);
        let name = format!("catalogue/{}", head.digest);
        let object = self.parts.platform.get_object(&name);
        let object = tokio::time::timeout(self.platform_timeout(), object);
        self.run(cx, async move {
            let body = match object.await {
                Ok(Ok(Some(bytes))) => Ok(CatalogueBody::Whole(bytes.to_vec())),
                Ok(Ok(None)) => Err(FetchError::NotThere),
                Ok(Err(_)) | Err(_) => Err(FetchError::Failed),
            };
            BodyReceived { head, source: Source::Objects, body }
        });
    }

    fn fetch_from_peer(&self, head: Head, addr: SocketAddr, whole: bool, cx: &mut Context<Self>) {
        counter!("ibis_distribution_peer_fetches_total").increment(1);
        let held = self.applied.as_ref().filter(|_| !whole).map(|c| c.head);
        let request = ControlRequest::FetchCatalogue { have: held.unwrap_or_default(), want: head };
        let timeout = Millis(self.parts.settings.peer_timeout_ms);
        let reply = self.parts.transport.request(addr, request, timeout);
        self.run(cx, async move {
            let body = match reply.await {
                Ok(ControlReply::Catalogue(body)) => Ok(body),
                Ok(ControlReply::Unknown | ControlReply::Busy) => Err(FetchError::NotThere),
                Ok(_) | Err(_) => Err(FetchError::Failed),
            };
            BodyReceived { head, source: Source::Peer(addr), body }
        });
    }

    fn compile(&mut self, head: Head, bytes: &[u8], cx: &mut Context<Self>) {
        let result = match (self.parts.functions.compile)(head, bytes) {
            Ok(compiled) => {
                self.compiled = Some(compiled);
                Ok(())
            }
            Err(reason) => Err(reason),
        };
        self.step(Event::Compiled { head, result }, cx);
    }

    fn apply(&mut self, head: Head) {
        let Some(compiled) = self.compiled.take_if(|c| c.head == head) else { return };
        let compiled = Arc::new(compiled);
        gauge!("ibis_configuration_version").set(head.version.0 as f64);
        self.kept.push_back(compiled.clone());
        while self.kept.len() > self.parts.settings.kept_catalogues {
            self.kept.pop_front();
        }
        self.applied = Some(compiled.clone());
        for subscriber in &self.subscribers.applied {
            subscriber.do_send(ConfigurationApplied(compiled.clone()));
        }
    }

    /// Whether one more transfer may run now. A transfer counts for a fixed time, because its end
    /// is not visible here.
    fn admit_transfer(&mut self) -> bool {
        let now = self.clock.now();
        let slot = self.parts.settings.transfer_slot_ms;
        self.transfers.retain(|start| now.since(*start).0 < slot);
        if self.transfers.len() >= self.parts.settings.transfers_max {
            return false;
        }
        self.transfers.push_back(now);
        true
    }

    fn serve(&mut self, have: Head, want: Head) -> ControlReply {
        let find = |head: Head| self.kept.iter().find(|c| c.head == head).cloned();
        // A compiled version that waits for its acknowledgement is served already.
        let waiting = self.compiled.as_ref().filter(|c| c.head == want);
        let Some(wanted) = find(want).or_else(|| waiting.cloned().map(Arc::new)) else {
            return ControlReply::Unknown;
        };
        let held = find(have);
        if !self.admit_transfer() {
            counter!("ibis_distribution_busy_total").increment(1);
            return ControlReply::Busy;
        }
        let delta = held.and_then(|held| (self.parts.functions.make_delta)(&held, &wanted));
        ControlReply::Catalogue(match delta {
            Some(delta) => CatalogueBody::Delta(delta),
            None => CatalogueBody::Whole(wanted.bytes.to_vec()),
        })
    }
}

/// An unreadable row is no answer: the floor must not be taken from it.
fn head_event(row: Option<Row>) -> Event {
    let Some(row) = row else { return Event::TableHead(None) };
    match parse_head(&row) {
        Some(head) => Event::TableHead(Some(head)),
        None => {
            events::emit(&codes::HEAD_ROW_INVALID, format_args!("{}", row.value));
            Event::TableFailed
        }
    }
}

fn parse_head(row: &Row) -> Option<Head> {
    let row = HeadRow::deserialize(&row.value).ok()?;
    Some(Head { version: ConfigVersion(row.version), digest: row.digest })
}

fn live_peers(view: &MemberView) -> Vec<Peer> {
    let live = view.live().filter(|m| m.node != view.local);
    let peer = |m: &crate::membership::record::MemberRecord| Peer {
        node: m.node.clone(),
        control_addr: m.addresses.control,
        peer_addr: m.addresses.peer,
    };
    live.map(peer).collect()
}

impl Actor for DistributionActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(1024);
        let period = Duration::from_millis(self.parts.settings.tick_period_ms);
        cx.run_interval(period, |actor, cx| actor.step(Event::Tick, cx));
    }
}

impl Handler<Done> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: Done, cx: &mut Self::Context) {
        self.step(msg.0, cx);
    }
}

impl Handler<BodyReceived> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: BodyReceived, cx: &mut Self::Context) {
        let BodyReceived { head, source, body } = msg;
        // A delta that does not apply is passed on as bytes without the digest, so that the whole
        // is fetched next.
        let body = body.map(|body| {
            let apply_delta = &self.parts.functions.apply_delta;
            let bytes = body::assemble(self.applied.as_deref(), body, apply_delta);
            Arc::from(bytes.unwrap_or_default())
        });
        self.step(Event::Fetched { head, source, body }, cx);
    }
}

impl Handler<MembersChanged> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: MembersChanged, cx: &mut Self::Context) {
        self.step(Event::Peers(live_peers(&msg.0)), cx);
    }
}

impl Handler<PeerHead> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: PeerHead, cx: &mut Self::Context) {
        self.step(Event::PeerHead { head: msg.head, peer_addr: msg.peer_addr }, cx);
    }
}

impl Handler<DatagramReceived> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: DatagramReceived, cx: &mut Self::Context) {
        match msg.datagram {
            Datagram::HeadNotice(n) => {
                let (head, control_addr, peer_addr) = (n.head, n.control_addr, n.peer_addr);
                self.step(Event::Notice { head, control_addr, peer_addr }, cx);
            }
            Datagram::HeadAck(n) => self.step(Event::Acknowledged(n.head), cx),
            Datagram::Member(_) | Datagram::MoveNotice(_) => {}
        }
    }
}

impl Handler<SubscribeDistribution> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: SubscribeDistribution, _: &mut Self::Context) {
        if let Some(applied) = &self.applied {
            msg.applied.iter().for_each(|r| r.do_send(ConfigurationApplied(applied.clone())));
        }
        if let Some(head) = self.state.best() {
            msg.heads.iter().for_each(|r| r.do_send(HeadLearned(head)));
        }
        self.subscribers.applied.extend(msg.applied);
        self.subscribers.heads.extend(msg.heads);
    }
}

impl Handler<ServeCatalogue> for DistributionActor {
    type Result = MessageResult<ServeCatalogue>;

    fn handle(&mut self, msg: ServeCatalogue, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.serve(msg.have, msg.want))
    }
}

impl Handler<ServeHead> for DistributionActor {
    type Result = MessageResult<ServeHead>;

    fn handle(&mut self, _: ServeHead, _: &mut Self::Context) -> Self::Result {
        let head = self.state.floor_reply();
        MessageResult(head.map_or(ControlReply::Unknown, ControlReply::Head))
    }
}

impl Handler<QueryDistribution> for DistributionActor {
    type Result = MessageResult<QueryDistribution>;

    fn handle(&mut self, _: QueryDistribution, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.state.status())
    }
}
