//! Connects the membership state machine to timers, the control socket, peers and the table.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::Recipient;
use actix::ResponseActFuture;
use actix::WrapFuture;
use metrics::counter;
use metrics::gauge;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::membership_settings::MembershipSettings;
use super::record::MemberRecord;
use super::record::MemberView;
use super::state::Action;
use super::state::Event;
use super::state::State;
use crate::clock::Clock;
use crate::events;
use crate::events::membership as codes;
use crate::node::messages::DatagramReceived;
use crate::node::messages::HeadDiscovered;
use crate::node::messages::LocalTargetsChanged;
use crate::node::messages::MembersChanged;
use crate::node::messages::MovesChanged;
use crate::node::messages::PeerHeadReceived;
use crate::node::messages::PeerMovesDiffer;
use crate::peers::ControlTransport;
use crate::peers::datagram::ControlSocket;
use crate::platform::Platform;
use crate::platform::model::Put;
use crate::platform::model::Row;
use crate::platform::model::Transaction;
use crate::types::Millis;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;
use crate::wire::Datagram;
use crate::wire::MemberRecordWire;

/// Prefix of the table keys of entry points; the node id follows.
const ENTRY_PREFIX: &str = "node/";

/// Initial record, settings and dependencies of a [`MembershipActor`].
pub struct MembershipParts {
    /// This node's record, without targets yet.
    pub local: MemberRecord,
    pub settings: MembershipSettings,
    /// Seeds all jitter and random choices.
    pub seed: u64,
    /// Provides the table with the entry-point rows.
    pub platform: Rc<dyn Platform>,
    /// Sends join requests to peers.
    pub transport: Rc<dyn ControlTransport>,
    /// Sends control datagrams.
    pub socket: Rc<ControlSocket>,
}

/// Adds subscribers. Those in `members` receive the current view immediately.
#[derive(Clone, Debug, Default, Message)]
#[rtype(result = "()")]
pub struct SubscribeMembership {
    /// Receivers of each changed view.
    pub members: Vec<Recipient<MembersChanged>>,
    /// Receivers of the heads of peers that differ from this node's.
    pub heads: Vec<Recipient<PeerHeadReceived>>,
    /// Receivers of a notification when the move states of a peer differ from this node's.
    pub moves: Vec<Recipient<PeerMovesDiffer>>,
}

/// Serves the `Join` request of a peer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct ServeJoin(pub MemberRecordWire);

/// Requests the current view.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "MemberView")]
pub struct QueryMembers;

/// Announces that this node leaves; resolves after `leave_ms`, in which the announcement is
/// disseminated.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Outcome of a join request.
#[derive(Message)]
#[rtype(result = "()")]
struct JoinOutcome {
    peer: SocketAddr,
    members: Result<Vec<MemberRecordWire>, String>,
}

/// Entry points read from the table; `None` when the read failed or timed out.
#[derive(Message)]
#[rtype(result = "()")]
struct EntryPointsReadResult(Option<Vec<Row>>);

/// Whether the entry-point row was written.
#[derive(Message)]
#[rtype(result = "()")]
struct EntryPointWriteResult(bool);

/// Value of an entry-point row: the address at which a node serves join requests.
#[derive(Serialize, Deserialize)]
struct EntryPoint {
    peer: SocketAddr,
}

/// Actor on the control thread that drives the membership of one node.
pub struct MembershipActor {
    parts: MembershipParts,
    state: State,
    rng: SmallRng,
    clock: Clock,
    subscribers: SubscribeMembership,
    /// Whether the records changed since the last publication.
    view_changed: bool,
    published_at: Option<Millis>,
    published_view: Option<Arc<MemberView>>,
    /// Start times of the state transfers to peers that still count as in progress.
    transfer_starts: VecDeque<Millis>,
    joins_in_flight: usize,
    /// When the entry-point rows of other nodes are read next; `None` while a read is in flight.
    entry_points_read_at: Option<Millis>,
    read_failures: u32,
    /// Interval until the next read of entry points, once this node has joined.
    read_interval_ms: u64,
    /// When this node's entry-point row is written next; `None` while a write is in flight.
    entry_point_write_at: Option<Millis>,
    write_failures: u32,
    leaving: bool,
}

impl MembershipActor {
    /// Creates an actor that knows no peers yet.
    pub fn new(parts: MembershipParts) -> Self {
        let state = State::new(parts.local.clone(), parts.settings.clone(), parts.seed);
        Self {
            rng: SmallRng::seed_from_u64(parts.seed.wrapping_add(1)),
            read_interval_ms: parts.settings.read_gap_min_ms,
            parts,
            state,
            clock: Clock::start(),
            subscribers: SubscribeMembership::default(),
            view_changed: true,
            published_at: None,
            published_view: None,
            transfer_starts: VecDeque::new(),
            joins_in_flight: 0,
            entry_points_read_at: Some(Millis(0)),
            read_failures: 0,
            entry_point_write_at: Some(Millis(0)),
            write_failures: 0,
            leaving: false,
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
            Action::Send { to, datagram } => {
                self.parts.socket.send(to, &Datagram::Member(datagram));
            }
            Action::Sync(peer) => self.request_join(peer, cx),
            Action::ViewChanged => self.view_changed = true,
            Action::PeerHead { node, peer_addr, head } => {
                let msg = PeerHeadReceived { node, peer_addr, head };
                self.subscribers.heads.iter().for_each(|r| r.do_send(msg.clone()));
            }
            Action::PeerMovesDiffer(peer_addr) => {
                let msg = PeerMovesDiffer { peer_addr };
                self.subscribers.moves.iter().for_each(|r| r.do_send(msg.clone()));
            }
            Action::Log(code, detail) => events::emit(code, format_args!("{detail}")),
        }
    }

    fn tick(&mut self, cx: &mut Context<Self>) {
        self.step(Event::Tick, cx);
        let now = self.clock.now();
        self.publish(now);
        if self.leaving {
            return;
        }
        if self.entry_points_read_at.is_some_and(|t| now >= t) {
            self.entry_points_read_at = None;
            self.read_entry_points(cx);
        }
        if self.entry_point_write_at.is_some_and(|t| now >= t) {
            self.entry_point_write_at = None;
            self.write_entry_point(cx);
        }
    }

    fn publish(&mut self, now: Millis) {
        let period = self.parts.settings.publish_period_ms;
        if !self.view_changed || self.published_at.is_some_and(|t| now.since(t).0 < period) {
            return;
        }
        self.view_changed = false;
        let view = self.state.view();
        if self.published_view.as_deref() == Some(&view) {
            return;
        }
        gauge!("ibis_members_live").set(view.live().count() as f64);
        let view = Arc::new(view);
        self.published_at = Some(now);
        self.published_view = Some(view.clone());
        for subscriber in &self.subscribers.members {
            subscriber.do_send(MembersChanged(view.clone()));
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

    /// Returns the time of the next table request after `failures` failed ones: exponential backoff
    /// with full jitter.
    fn retry_at(&mut self, failures: u32) -> Millis {
        let settings = &self.parts.settings;
        let bound = (settings.retry_min_ms << failures.min(16)).min(settings.retry_max_ms);
        Millis(self.clock.now().0 + self.rng.random_range(0..=bound))
    }

    /// Returns the time of the next read of entry points by a node that has joined, and lengthens
    /// the interval. Such a node keeps reading, since nodes that started together may have read
    /// only each other's rows.
    fn next_read_at(&mut self) -> Millis {
        let interval = self.read_interval_ms;
        self.read_interval_ms = (interval * 4).min(self.parts.settings.entry_refresh_ms);
        Millis(self.clock.now().0 + interval * 9 / 10 + self.rng.random_range(0..=interval / 5))
    }

    /// Reads entry-point rows from a random position, and from the start when too few rows follow
    /// that position.
    fn read_entry_points(&mut self, cx: &mut Context<Self>) {
        let limit = self.parts.settings.entry_rows;
        let position = random_position(self.state.local().node.as_str(), &mut self.rng);
        let after = format!("{ENTRY_PREFIX}{position}");
        let timeout = Duration::from_millis(self.parts.settings.platform_timeout_ms);
        let platform = self.parts.platform.clone();
        self.spawn_request(cx, async move {
            let read = async {
                let mut rows = platform.scan(ENTRY_PREFIX, &after, limit).await?;
                if rows.len() < limit {
                    rows.extend(platform.scan(ENTRY_PREFIX, "", limit - rows.len()).await?);
                }
                Ok::<_, crate::platform::model::PlatformError>(rows)
            };
            EntryPointsReadResult(
                tokio::time::timeout(timeout, read).await.ok().and_then(Result::ok),
            )
        });
    }

    fn write_entry_point(&mut self, cx: &mut Context<Self>) {
        let local = self.state.local();
        let key = SmolStr::new(format!("{ENTRY_PREFIX}{}", local.node));
        let entry = EntryPoint { peer: local.addresses.peer };
        let value = serde_json::to_value(entry).unwrap_or_default();
        let transaction = Transaction { puts: vec![Put { key, value }], ..Transaction::default() };
        let timeout = Duration::from_millis(self.parts.settings.platform_timeout_ms);
        let write = tokio::time::timeout(timeout, self.parts.platform.transact(transaction));
        self.spawn_request(
            cx,
            async move { EntryPointWriteResult(matches!(write.await, Ok(Ok(_)))) },
        );
    }

    /// Sends a join request to the peer, unless too many are in flight or this node leaves.
    fn request_join(&mut self, peer: SocketAddr, cx: &mut Context<Self>) {
        if self.joins_in_flight >= self.parts.settings.join_peers || self.leaving {
            return;
        }
        self.joins_in_flight += 1;
        counter!("ibis_membership_joins_total").increment(1);
        let record = MemberRecordWire::from(self.state.local());
        let timeout = Millis(self.parts.settings.join_timeout_ms);
        let reply = self.parts.transport.request(peer, ControlRequest::Join(record), timeout);
        self.spawn_request(cx, async move {
            let members = match reply.await {
                Ok(ControlReply::Members(members)) => Ok(members),
                Ok(ControlReply::Busy) => Err("peer is busy".to_string()),
                Ok(_) => Err("unexpected reply".to_string()),
                Err(e) => Err(e.to_string()),
            };
            JoinOutcome { peer, members }
        });
    }

    /// Returns whether another state transfer may start, and if so counts it as in progress for
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
}

/// Returns a random position among the entry points: this node's id with random digits, since the
/// node ids of a fleet usually differ only in their digits. With random letters, nearly all reads
/// would start at the same row.
fn random_position(own_id: &str, rng: &mut SmallRng) -> String {
    let mut digit = |c: char| {
        if c.is_ascii_digit() { char::from(rng.random_range(b'0'..=b'9')) } else { c }
    };
    own_id.chars().map(&mut digit).collect()
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        // Full jitter prevents a thundering herd on the peers and the table after a mass restart.
        // Writes are spread over a longer time than reads: the table accepts fewer writes than
        // reads per second, and the row that the previous process wrote is usually still valid.
        let jitter = self.parts.settings.start_jitter_ms;
        self.entry_points_read_at = Some(Millis(self.rng.random_range(0..=jitter)));
        self.entry_point_write_at = Some(Millis(self.rng.random_range(0..=2 * jitter)));
        cx.set_mailbox_capacity(1024);
        let period = Duration::from_millis(self.parts.settings.tick_period_ms);
        cx.run_interval(period, |actor, cx| actor.tick(cx));
    }
}

impl Handler<EntryPointsReadResult> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: EntryPointsReadResult, cx: &mut Self::Context) {
        let Some(rows) = msg.0 else {
            self.entry_points_read_at = Some(self.retry_at(self.read_failures));
            self.read_failures += 1;
            counter!("ibis_membership_entry_failures_total").increment(1);
            if self.read_failures == 1 {
                events::emit(&codes::ENTRY_POINT_FAILED, format_args!("could not read rows"));
            }
            return;
        };
        let own_addr = self.state.local().addresses.peer;
        let entry_points = rows.iter().filter_map(|r| EntryPoint::deserialize(&r.value).ok());
        let mut peers: Vec<SocketAddr> =
            entry_points.map(|e| e.peer).filter(|addr| *addr != own_addr).collect();
        peers.sort();
        peers.dedup();
        peers.shuffle(&mut self.rng);
        let has_joined = self.state.has_joined();
        let live_addrs: Vec<SocketAddr> =
            self.state.view().live().map(|m| m.addresses.peer).collect();
        // A node that has joined contacts only nodes that it does not count as live, for example
        // those whose records it dropped because a network partition lasted longer than
        // `dead_keep_ms`.
        peers.retain(|addr| !has_joined || !live_addrs.contains(addr));
        let is_alone = peers.is_empty() && live_addrs.len() == 1;
        let count = if has_joined { 1 } else { self.parts.settings.join_peers };
        for peer in peers.into_iter().take(count) {
            self.request_join(peer, cx);
        }
        if has_joined && !is_alone {
            self.read_failures = 0;
            self.entry_points_read_at = Some(self.next_read_at());
        } else {
            self.entry_points_read_at = Some(self.retry_at(self.read_failures));
            self.read_failures += 1;
        }
    }
}

impl Handler<EntryPointWriteResult> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: EntryPointWriteResult, _: &mut Self::Context) {
        if !msg.0 {
            self.entry_point_write_at = Some(self.retry_at(self.write_failures));
            self.write_failures += 1;
            return;
        }
        self.write_failures = 0;
        let period = self.parts.settings.entry_refresh_ms;
        let jitter = self.rng.random_range(0..=period / 5);
        self.entry_point_write_at = Some(Millis(self.clock.now().0 + period * 9 / 10 + jitter));
    }
}

impl Handler<JoinOutcome> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: JoinOutcome, cx: &mut Self::Context) {
        self.joins_in_flight = self.joins_in_flight.saturating_sub(1);
        match msg.members {
            Ok(members) => {
                let detail = format!("{} records from {}", members.len(), msg.peer);
                events::emit(&codes::STATE_RECEIVED, format_args!("{detail}"));
                if !self.state.has_joined() {
                    self.entry_points_read_at = Some(self.next_read_at());
                }
                self.step(Event::FullState(members), cx);
            }
            Err(reason) => {
                counter!("ibis_membership_join_failures_total").increment(1);
                events::emit(&codes::JOIN_FAILED, format_args!("{}: {reason}", msg.peer));
            }
        }
    }
}

impl Handler<ServeJoin> for MembershipActor {
    type Result = MessageResult<ServeJoin>;

    fn handle(&mut self, msg: ServeJoin, cx: &mut Self::Context) -> Self::Result {
        self.step(Event::JoinRequest(msg.0), cx);
        if self.leaving || !self.admit_transfer() {
            counter!("ibis_membership_busy_total").increment(1);
            return MessageResult(ControlReply::Busy);
        }
        MessageResult(ControlReply::Members(self.state.full_state()))
    }
}

impl Handler<SubscribeMembership> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: SubscribeMembership, _: &mut Self::Context) {
        let view = Arc::new(self.state.view());
        msg.members.iter().for_each(|r| r.do_send(MembersChanged(view.clone())));
        self.subscribers.members.extend(msg.members);
        self.subscribers.heads.extend(msg.heads);
        self.subscribers.moves.extend(msg.moves);
    }
}

impl Handler<QueryMembers> for MembershipActor {
    type Result = MessageResult<QueryMembers>;

    fn handle(&mut self, _: QueryMembers, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.state.view())
    }
}

impl Handler<DatagramReceived> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: DatagramReceived, cx: &mut Self::Context) {
        if let Datagram::Member(datagram) = msg.datagram {
            self.step(Event::Received(datagram), cx);
        }
    }
}

impl Handler<HeadDiscovered> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: HeadDiscovered, cx: &mut Self::Context) {
        self.step(Event::Head(msg.0), cx);
    }
}

impl Handler<MovesChanged> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: MovesChanged, cx: &mut Self::Context) {
        self.step(Event::MovesHash(msg.moves_hash), cx);
    }
}

impl Handler<LocalTargetsChanged> for MembershipActor {
    type Result = ();

    fn handle(&mut self, msg: LocalTargetsChanged, cx: &mut Self::Context) {
        self.step(Event::LocalTargets(msg.0), cx);
    }
}

impl Handler<Leave> for MembershipActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, cx: &mut Self::Context) -> Self::Result {
        self.leaving = true;
        self.step(Event::Leave, cx);
        // A failed delete is ignored: the row that remains only costs a joining node one failed
        // join request.
        let key = SmolStr::new(format!("{ENTRY_PREFIX}{}", self.state.local().node));
        let transaction = Transaction { deletes: vec![key], ..Transaction::default() };
        let delete = self.parts.platform.transact(transaction);
        cx.spawn(async move { drop(delete.await) }.into_actor(self));
        let wait = Duration::from_millis(self.parts.settings.leave_ms);
        let future = tokio::time::sleep(wait).into_actor(self);
        Box::pin(future.map(|(), _, _| ()))
    }
}
