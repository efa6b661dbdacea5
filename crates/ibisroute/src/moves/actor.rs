//! Actor that runs the [`Evaluator`] of a node and performs its actions with the table, peers and
//! datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::Recipient;
use actix::WrapFuture;
use actix::fut::ActorFutureExt;
use awc::Client;

use crate::clock::Clock;
use crate::events;
use crate::moves::evaluator::Action;
use crate::moves::evaluator::Evaluator;
use crate::moves::evaluator::Event;
use crate::moves::evaluator::MoveReport;
use crate::moves::move_settings::MoveSettings;
use crate::moves::outcome::OwnerReport;
use crate::moves::outcome::RecordedOutcome;
use crate::moves::outcome::outcome_key;
use crate::moves::outcome::report_key;
use crate::node::messages::ConfigurationApplied;
use crate::node::messages::CountsCollected;
use crate::node::messages::DatagramReceived;
use crate::node::messages::MembersChanged;
use crate::node::messages::MovesChanged;
use crate::node::messages::PeerMovesDiffer;
use crate::peers::ControlTransport;
use crate::platform::Platform;
use crate::platform::model::Condition;
use crate::platform::model::Outcome;
use crate::platform::model::Put;
use crate::platform::model::Transaction;
use crate::types::Millis;
use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::UnixMillis;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;
use crate::wire::Datagram;

/// Interval of [`Event::Tick`]: half of the shortest delay that the evaluator uses.
const TICK_INTERVAL: Millis = Millis(50);

/// Sends a control datagram. If one is lost, the receiver later detects from the hash in the
/// membership probes that the states differ, and fetches them.
pub type SendDatagram = Rc<dyn Fn(SocketAddr, Datagram)>;

/// Dependencies and settings of the actor.
#[derive(Clone)]
pub struct MovesParts {
    pub node: NodeId,
    /// Start of the process in Unix milliseconds.
    pub incarnation: u64,
    pub settings: MoveSettings,
    /// Seed of the random choice of peers and of jitter.
    pub seed: u64,
    /// Table with the outcome and report rows.
    pub platform: Rc<dyn Platform>,
    /// Transport of control requests to peers.
    pub transport: Rc<dyn ControlTransport>,
    pub send: SendDatagram,
    /// Receivers of the traffic shares and of the hash of the move states, whenever either changes.
    pub subscribers: Vec<Recipient<MovesChanged>>,
}

/// Serves an `Evidence` or `FetchMoves` request of a peer; the reply to any other request is
/// `Unknown`.
#[derive(Clone, Debug, Message)]
#[rtype(result = "ControlReply")]
pub struct MovesRequest(pub ControlRequest);

/// Reports that a traffic thread observed consecutive failures of the new version of a move.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ConsecutiveFailuresDetected(pub MoveId);

/// Requests the status of the declared moves.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<MoveReport>")]
pub struct QueryMoves;

/// Actor on the control thread that drives the moves of one node.
pub struct MovesActor {
    parts: MovesParts,
    clock: Clock,
    evaluator: Evaluator,
    client: Client,
}

impl MovesActor {
    /// Creates an actor that tracks no moves until it receives a configuration.
    pub fn new(parts: MovesParts) -> Self {
        let evaluator = Evaluator::new(
            parts.node.clone(),
            parts.incarnation,
            parts.settings.clone(),
            parts.seed,
        );
        let client =
            Client::builder().timeout(parts.settings.report_timeout.to_duration()).finish();
        Self { parts, clock: Clock::start(), evaluator, client }
    }

    fn step(&mut self, event: Event, cx: &mut Context<Self>) {
        for action in self.evaluator.step(self.clock.now(), UnixMillis::now(), event) {
            self.perform(action, cx);
        }
    }

    fn perform(&mut self, action: Action, cx: &mut Context<Self>) {
        match action {
            Action::Notify { to, states } => {
                to.into_iter()
                    .for_each(|addr| (self.parts.send)(addr, Datagram::MoveNotice(states.clone())));
            }
            Action::SendEvidence { to, evidence } => {
                let request = ControlRequest::Evidence(evidence);
                let reply =
                    self.parts.transport.request(to, request, self.parts.settings.peer_timeout);
                // The reply is ignored: counters are cumulative, so the next evidence includes the
                // counts of evidence that was lost.
                cx.spawn(reply.into_actor(self).map(|_, _, _| ()));
            }
            Action::FetchMoves(addr) => self.fetch_moves(addr, cx),
            Action::ReadOutcome(id) => {
                let read = read_outcome(self.parts.platform.clone(), id.clone());
                let future = read.into_actor(self).map(move |result, actor, cx| {
                    actor.step(Event::OutcomeRead(id, result), cx);
                });
                cx.spawn(future);
            }
            Action::WriteOutcome(id, outcome) => {
                let write = write_outcome(self.parts.platform.clone(), id.clone(), outcome);
                let future = write.into_actor(self).map(move |result, actor, cx| {
                    actor.step(Event::OutcomeWritten(id, result), cx);
                });
                cx.spawn(future);
            }
            Action::Report { url, report } => {
                let id = report.id.clone();
                let client = self.client.clone();
                let delivery = deliver_report(
                    self.parts.platform.clone(),
                    client,
                    url.map(String::from),
                    report,
                );
                let future = delivery.into_actor(self).map(move |result, actor, cx| {
                    actor.step(Event::Reported(id, result), cx);
                });
                cx.spawn(future);
            }
            Action::Publish { views, hash } => {
                let msg = MovesChanged { views, moves_hash: hash };
                self.parts.subscribers.iter().for_each(|r| r.do_send(msg.clone()));
            }
            Action::Log(code, detail) => events::emit(&code, format_args!("{detail}")),
        }
    }

    fn fetch_moves(&mut self, addr: SocketAddr, cx: &mut Context<Self>) {
        let timeout = self.parts.settings.peer_timeout;
        let reply = self.parts.transport.request(addr, ControlRequest::FetchMoves, timeout);
        let future = reply.into_actor(self).map(|reply, actor, cx| {
            if let Ok(ControlReply::Moves(states)) = reply {
                actor.step(Event::States(states), cx);
            }
        });
        cx.spawn(future);
    }
}

impl Actor for MovesActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.run_interval(TICK_INTERVAL.to_duration(), |actor, cx| actor.step(Event::Tick, cx));
    }
}

impl Handler<ConfigurationApplied> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: ConfigurationApplied, cx: &mut Context<Self>) {
        self.step(Event::Configuration(msg.0), cx);
    }
}

impl Handler<MembersChanged> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: MembersChanged, cx: &mut Context<Self>) {
        self.step(Event::Members(msg.0), cx);
    }
}

impl Handler<CountsCollected> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: CountsCollected, cx: &mut Context<Self>) {
        self.step(Event::Counts(msg.0), cx);
    }
}

impl Handler<DatagramReceived> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: DatagramReceived, cx: &mut Context<Self>) {
        if let Datagram::MoveNotice(states) = msg.datagram {
            self.step(Event::States(states), cx);
        }
    }
}

impl Handler<PeerMovesDiffer> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: PeerMovesDiffer, cx: &mut Context<Self>) {
        self.step(Event::PeerStatesDiffer(msg.peer_addr), cx);
    }
}

impl Handler<ConsecutiveFailuresDetected> for MovesActor {
    type Result = ();

    fn handle(&mut self, msg: ConsecutiveFailuresDetected, cx: &mut Context<Self>) {
        self.step(Event::ConsecutiveFailures(msg.0), cx);
    }
}

impl Handler<MovesRequest> for MovesActor {
    type Result = actix::MessageResult<MovesRequest>;

    fn handle(&mut self, msg: MovesRequest, cx: &mut Context<Self>) -> Self::Result {
        actix::MessageResult(match msg.0 {
            ControlRequest::Evidence(evidence) => {
                self.step(Event::Evidence(evidence), cx);
                ControlReply::Done
            }
            ControlRequest::FetchMoves => ControlReply::Moves(self.evaluator.states()),
            _ => ControlReply::Unknown,
        })
    }
}

impl Handler<QueryMoves> for MovesActor {
    type Result = Vec<MoveReport>;

    fn handle(&mut self, _: QueryMoves, _: &mut Context<Self>) -> Vec<MoveReport> {
        self.evaluator.move_reports(self.clock.now(), UnixMillis::now())
    }
}

async fn read_outcome(
    platform: Rc<dyn Platform>,
    id: MoveId,
) -> Result<Option<RecordedOutcome>, String> {
    let row = platform.get(&outcome_key(&id)).await.map_err(|e| e.to_string())?;
    row.map(|row| serde_json::from_value(row.value).map_err(|e| e.to_string())).transpose()
}

/// Inserts the outcome unless its row exists, and returns the recorded outcome. If the row exists
/// or the response is lost, the row is read: it holds the outcome of the first writer.
async fn write_outcome(
    platform: Rc<dyn Platform>,
    id: MoveId,
    outcome: RecordedOutcome,
) -> Result<RecordedOutcome, String> {
    let insert_result = match insert_row(&platform, outcome_key(&id), &outcome).await {
        Ok(true) => return Ok(outcome),
        Ok(false) => Ok(()),
        Err(error) => Err(error),
    };
    match read_outcome(platform, id).await? {
        Some(recorded) => Ok(recorded),
        None => Err(insert_result
            .err()
            .unwrap_or_else(|| "outcome row not found after the write".to_string())),
    }
}

/// Inserts a row; returns `false` if its key exists already.
async fn insert_row<T: serde::Serialize>(
    platform: &Rc<dyn Platform>,
    key: String,
    value: &T,
) -> Result<bool, String> {
    let value = serde_json::to_value(value).map_err(|e| e.to_string())?;
    let transaction = Transaction {
        conditions: vec![Condition { key: key.as_str().into(), revision: None }],
        puts: vec![Put { key: key.into(), value }],
        ..Transaction::default()
    };
    let outcome = platform.transact(transaction).await.map_err(|e| e.to_string())?;
    Ok(outcome == Outcome::Committed)
}

/// Delivers a report unless its row exists. The row is written after the delivery, so that a
/// failure between the two leads to a duplicate report rather than a lost one.
async fn deliver_report(
    platform: Rc<dyn Platform>,
    client: Client,
    url: Option<String>,
    report: OwnerReport,
) -> Result<(), String> {
    let key = report_key(&report.id);
    if platform.get(&key).await.map_err(|e| e.to_string())?.is_some() {
        return Ok(());
    }
    if let Some(url) = url {
        let response = client.post(&url).send_json(&report).await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("{url} responded with {}", response.status()));
        }
    }
    insert_row(&platform, key, &report).await.map(|_| ())
}
