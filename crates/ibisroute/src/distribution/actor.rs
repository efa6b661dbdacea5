//! Connects the distribution state machine to the platform, peers and the control socket.

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
use crate::node::messages::HeadDiscovered;
use crate::node::messages::MembersChanged;
use crate::node::messages::PeerHeadReceived;
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

/// Key of the table row that holds the newest head.
const HEAD_ROW: &str = "head";

/// Addresses, settings and dependencies of a [`DistributionActor`].
pub struct DistributionParts {
    pub node: NodeId,
    /// Advertised address at which this node serves control requests.
    pub peer_addr: SocketAddr,
    /// Advertised address at which this node receives control datagrams.
    pub control_addr: SocketAddr,
    pub settings: DistributionSettings,
    /// Seeds all jitter and random choices.
    pub seed: u64,
    /// Provides the table and the object store.
    pub platform: Rc<dyn Platform>,
    /// Sends control requests to peers.
    pub transport: Rc<dyn ControlTransport>,
    /// Sends control datagrams.
    pub socket: Rc<ControlSocket>,
    pub functions: CatalogueFunctions,
}

/// Adds subscribers. They immediately receive the configuration in effect and the highest head, if
/// there are any.
#[derive(Clone, Debug, Default, Message)]
#[rtype(result = "()")]
pub struct SubscribeDistribution {
    /// Receivers of each configuration that is put into effect.
    pub applied: Vec<Recipient<ConfigurationApplied>>,
    /// Receivers of the highest head that this node knows and has not rejected, when it changes.
    pub heads: Vec<Recipient<HeadDiscovered>>,
}

/// Serves the `FetchCatalogue` request of a peer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct ServeCatalogue {
    /// Head in effect at the peer, from which a delta may be sent; the default when it has none.
    pub have: Head,
    /// Head whose body the peer requests.
    pub want: Head,
}

/// Serves the `FetchHead` request of a peer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct ServeHead;

/// Requests the status that is reported to operators.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct QueryDistribution;

/// Outcome of an asynchronous request, as an event for the state machine.
#[derive(Message)]
#[rtype(result = "()")]
struct RequestOutcome(Event);

/// Outcome of a fetch; the body may still be a delta.
#[derive(Message)]
#[rtype(result = "()")]
struct FetchOutcome {
    head: Head,
    source: Source,
    body: Result<CatalogueBody, FetchError>,
}

/// The head row as operators write it; fields used only by the writer are ignored.
#[derive(Deserialize)]
struct HeadRow {
    version: u64,
    digest: Digest,
}

/// Actor on the control thread that drives the configuration distribution of one node.
pub struct DistributionActor {
    parts: DistributionParts,
    state: State,
    clock: Clock,
    /// Compiled catalogue that has not been applied yet.
    compiled: Option<CompiledCatalogue>,
    /// The last catalogues applied, at most as many as the setting `kept_catalogues`, oldest first.
    kept_catalogues: VecDeque<Arc<CompiledCatalogue>>,
    subscribers: SubscribeDistribution,
    /// Start times of the catalogue transfers to peers that still count as in progress.
    transfer_starts: VecDeque<Millis>,
    /// Last applied catalogue; `None` before the first one.
    in_effect: Option<Arc<CompiledCatalogue>>,
}

impl DistributionActor {
    /// Creates an actor that has no configuration yet.
    pub fn new(parts: DistributionParts) -> Self {
        let state = State::new(parts.settings.clone(), parts.seed);
        Self {
            parts,
            state,
            clock: Clock::start(),
            compiled: None,
            kept_catalogues: VecDeque::new(),
            subscribers: SubscribeDistribution::default(),
            transfer_starts: VecDeque::new(),
            in_effect: None,
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
            Action::QueryFloor(addr) => self.query_floor(addr, cx),
            Action::Fetch { head, source, whole } => self.fetch(head, source, whole, cx),
            Action::Compile { head, bytes } => self.compile(head, &bytes, cx),
            Action::Apply(head) => self.apply(head),
            Action::HeadDiscovered(head) => {
                self.subscribers.heads.iter().for_each(|r| r.do_send(HeadDiscovered(head)));
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

    /// Spawns a request and sends its outcome to this actor as a message.
    fn spawn_request<M>(&self, cx: &mut Context<Self>, future: impl Future<Output = M> + 'static)
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
        let read = tokio::time::timeout(self.platform_timeout(), self.parts.platform.get(HEAD_ROW));
        self.spawn_request(cx, async move {
            RequestOutcome(match read.await {
                Ok(Ok(row)) => head_event(row),
                Ok(Err(_)) | Err(_) => Event::TableFailed,
            })
        });
    }

    fn read_history(&self, version: ConfigVersion, cx: &mut Context<Self>) {
        let key = format!("history/{:012}", version.0);
        let read = tokio::time::timeout(self.platform_timeout(), self.parts.platform.get(&key));
        self.spawn_request(cx, async move {
            let row = read.await.ok().and_then(Result::ok).flatten();
            RequestOutcome(Event::History(version, row.and_then(|r| parse_head(&r))))
        });
    }

    fn query_floor(&self, addr: SocketAddr, cx: &mut Context<Self>) {
        let timeout = Millis(self.parts.settings.peer_timeout_ms);
        let reply = self.parts.transport.request(addr, ControlRequest::FetchHead, timeout);
        self.spawn_request(cx, async move {
            RequestOutcome(match reply.await {
                Ok(ControlReply::Head(head)) => {
                    Event::FloorResponse { peer_addr: addr, head: Some(head) }
                }
                Ok(ControlReply::Unknown) => Event::FloorUnknown(addr),
                _ => Event::FloorResponse { peer_addr: addr, head: None },
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
        let read = self.parts.platform.get_object(&name);
        let read = tokio::time::timeout(self.platform_timeout(), read);
        self.spawn_request(cx, async move {
            let body = match read.await {
                Ok(Ok(Some(bytes))) => Ok(CatalogueBody::Whole(bytes.to_vec())),
                Ok(Ok(None)) => Err(FetchError::Unavailable),
                Ok(Err(_)) | Err(_) => Err(FetchError::Failed),
            };
            FetchOutcome { head, source: Source::Objects, body }
        });
    }

    fn fetch_from_peer(&self, head: Head, addr: SocketAddr, whole: bool, cx: &mut Context<Self>) {
        counter!("ibis_distribution_peer_fetches_total").increment(1);
        let base_head = self.in_effect.as_ref().filter(|_| !whole).map(|c| c.head);
        let request =
            ControlRequest::FetchCatalogue { have: base_head.unwrap_or_default(), want: head };
        let timeout = Millis(self.parts.settings.peer_timeout_ms);
        let reply = self.parts.transport.request(addr, request, timeout);
        self.spawn_request(cx, async move {
            let body = match reply.await {
                Ok(ControlReply::Catalogue(body)) => Ok(body),
                Ok(ControlReply::Unknown | ControlReply::Busy) => Err(FetchError::Unavailable),
                Ok(_) | Err(_) => Err(FetchError::Failed),
            };
            FetchOutcome { head, source: Source::Peer(addr), body }
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
        self.kept_catalogues.push_back(compiled.clone());
        while self.kept_catalogues.len() > self.parts.settings.kept_catalogues {
            self.kept_catalogues.pop_front();
        }
        self.in_effect = Some(compiled.clone());
        for subscriber in &self.subscribers.applied {
            subscriber.do_send(ConfigurationApplied(compiled.clone()));
        }
    }

    /// Returns whether another catalogue transfer may start, and if so counts it as in progress for
    /// `transfer_slot_ms`, because the actor is not notified of its end.
    fn admit_transfer(&mut self) -> bool {
        let now = self.clock.now();
        let transfer_time_ms = self.parts.settings.transfer_slot_ms;
        self.transfer_starts.retain(|start| now.since(*start).0 < transfer_time_ms);
        if self.transfer_starts.len() >= self.parts.settings.transfers_max {
            return false;
        }
        self.transfer_starts.push_back(now);
        true
    }

    fn serve_catalogue(&mut self, have: Head, want: Head) -> ControlReply {
        let find_kept = |head: Head| self.kept_catalogues.iter().find(|c| c.head == head).cloned();
        // A compiled catalogue is served to peers even before it is applied.
        let not_applied = self.compiled.as_ref().filter(|c| c.head == want);
        let Some(wanted) = find_kept(want).or_else(|| not_applied.cloned().map(Arc::new)) else {
            return ControlReply::Unknown;
        };
        let base = find_kept(have);
        if !self.admit_transfer() {
            counter!("ibis_distribution_busy_total").increment(1);
            return ControlReply::Busy;
        }
        let delta = base.and_then(|base| (self.parts.functions.make_delta)(&base, &wanted));
        ControlReply::Catalogue(match delta {
            Some(delta) => CatalogueBody::Delta(delta),
            None => CatalogueBody::Whole(wanted.bytes.to_vec()),
        })
    }
}

/// Converts a head row to an event. An invalid row counts as a failed poll, so that no floor is
/// derived from it.
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
    let to_peer = |m: &crate::membership::record::MemberRecord| Peer {
        node: m.node.clone(),
        control_addr: m.addresses.control,
        peer_addr: m.addresses.peer,
    };
    live.map(to_peer).collect()
}

impl Actor for DistributionActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(1024);
        let period = Duration::from_millis(self.parts.settings.tick_period_ms);
        cx.run_interval(period, |actor, cx| actor.step(Event::Tick, cx));
    }
}

impl Handler<RequestOutcome> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: RequestOutcome, cx: &mut Self::Context) {
        self.step(msg.0, cx);
    }
}

impl Handler<FetchOutcome> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: FetchOutcome, cx: &mut Self::Context) {
        let FetchOutcome { head, source, body } = msg;
        // A delta that cannot be applied is passed on as empty bytes, whose digest does not match,
        // so that the complete body is fetched next.
        let body = body.map(|body| {
            let apply_delta = &self.parts.functions.apply_delta;
            let bytes = body::assemble(self.in_effect.as_deref(), body, apply_delta);
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

impl Handler<PeerHeadReceived> for DistributionActor {
    type Result = ();

    fn handle(&mut self, msg: PeerHeadReceived, cx: &mut Self::Context) {
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
        if let Some(in_effect) = &self.in_effect {
            msg.applied.iter().for_each(|r| r.do_send(ConfigurationApplied(in_effect.clone())));
        }
        if let Some(head) = self.state.best_head() {
            msg.heads.iter().for_each(|r| r.do_send(HeadDiscovered(head)));
        }
        self.subscribers.applied.extend(msg.applied);
        self.subscribers.heads.extend(msg.heads);
    }
}

impl Handler<ServeCatalogue> for DistributionActor {
    type Result = MessageResult<ServeCatalogue>;

    fn handle(&mut self, msg: ServeCatalogue, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.serve_catalogue(msg.have, msg.want))
    }
}

impl Handler<ServeHead> for DistributionActor {
    type Result = MessageResult<ServeHead>;

    fn handle(&mut self, _: ServeHead, _: &mut Self::Context) -> Self::Result {
        let head = self.state.floor_response();
        MessageResult(head.map_or(ControlReply::Unknown, ControlReply::Head))
    }
}

impl Handler<QueryDistribution> for DistributionActor {
    type Result = MessageResult<QueryDistribution>;

    fn handle(&mut self, _: QueryDistribution, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.state.status())
    }
}
