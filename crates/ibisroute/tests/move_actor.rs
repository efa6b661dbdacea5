//! Guards against an actor that loses an outcome when the table's response is lost, does not report
//! to the owner, or responds wrongly to control requests. The table, peers and owner are fakes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::Context;
use actix::Handler;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::http::StatusCode;
use actix_web::web;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Move;
use ibisroute::catalogue::model::Service;
use ibisroute::catalogue::model::WithdrawalSensitivity;
use ibisroute::membership::record::Addresses;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::moves::actor::MovesActor;
use ibisroute::moves::actor::MovesParts;
use ibisroute::moves::actor::MovesRequest;
use ibisroute::moves::actor::QueryMoves;
use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::state::Phase;
use ibisroute::node::messages::ConfigurationApplied;
use ibisroute::node::messages::DatagramReceived;
use ibisroute::node::messages::MembersChanged;
use ibisroute::node::messages::MovesChanged;
use ibisroute::node::messages::PeerMovesDiffer;
use ibisroute::peers::ControlTransport;
use ibisroute::peers::PeerError;
use ibisroute::platform::Platform;
use ibisroute::platform::PlatformFuture;
use ibisroute::platform::model::Conflict;
use ibisroute::platform::model::Outcome;
use ibisroute::platform::model::PlatformError;
use ibisroute::platform::model::PutOutcome;
use ibisroute::platform::model::Revision;
use ibisroute::platform::model::Row;
use ibisroute::platform::model::Transaction;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::UnixMillis;
use ibisroute::wire::ControlReply;
use ibisroute::wire::ControlRequest;
use ibisroute::wire::Datagram;
use ibisroute::wire::MoveStateWire;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Default)]
struct FakeTable {
    rows: Rc<RefCell<BTreeMap<String, serde_json::Value>>>,
    /// Number of upcoming transactions whose response is lost.
    lost_responses: Rc<RefCell<u32>>,
}

impl Platform for FakeTable {
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>> {
        let value = self.rows.borrow().get(key).cloned();
        let row = value.map(|value| Row { key: key.into(), value, revision: Revision(1) });
        Box::pin(async move { Ok(row) })
    }

    fn scan(&self, _: &str, _: &str, _: usize) -> PlatformFuture<Vec<Row>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome> {
        let mut rows = self.rows.borrow_mut();
        let conflicting = transaction.conditions.iter().find(|c| rows.contains_key(c.key.as_str()));
        let outcome = match conflicting {
            Some(c) => Outcome::Conflicts(vec![Conflict {
                key: c.key.clone(),
                revision: Some(Revision(1)),
                value: rows.get(c.key.as_str()).cloned(),
            }]),
            None => {
                let puts = transaction.puts.into_iter();
                rows.extend(puts.map(|put| (put.key.to_string(), put.value)));
                Outcome::Committed
            }
        };
        let mut lost_responses = self.lost_responses.borrow_mut();
        let is_lost = *lost_responses > 0;
        *lost_responses = lost_responses.saturating_sub(1);
        Box::pin(async move {
            if is_lost { Err(PlatformError::NoAnswer("lost".to_string())) } else { Ok(outcome) }
        })
    }

    fn put_object(&self, _: &str, _: Bytes) -> PlatformFuture<PutOutcome> {
        Box::pin(async { Ok(PutOutcome::Created) })
    }

    fn get_object(&self, _: &str) -> PlatformFuture<Option<Bytes>> {
        Box::pin(async { Ok(None) })
    }

    fn delete_object(&self, _: &str) -> PlatformFuture<()> {
        Box::pin(async { Ok(()) })
    }
}

/// Transport on which peers respond to every request with these move states.
struct FakePeers(Vec<MoveStateWire>);

impl ControlTransport for FakePeers {
    fn request(
        &self,
        _: SocketAddr,
        _: ControlRequest,
        _: Millis,
    ) -> LocalBoxFuture<'static, Result<ControlReply, PeerError>> {
        let states = self.0.clone();
        Box::pin(async move { Ok(ControlReply::Moves(states)) })
    }
}

/// Forwards published shares to the test.
struct Subscriber(mpsc::UnboundedSender<MovesChanged>);

impl Actor for Subscriber {
    type Context = Context<Self>;
}

impl Handler<MovesChanged> for Subscriber {
    type Result = ();

    fn handle(&mut self, msg: MovesChanged, _: &mut Context<Self>) {
        // Sending fails if the test has ended and dropped the receiver.
        let _ = self.0.send(msg);
    }
}

struct Node {
    addr: actix::Addr<MovesActor>,
    table: FakeTable,
    changes: mpsc::UnboundedReceiver<MovesChanged>,
    datagrams: Rc<RefCell<Vec<Datagram>>>,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn member(id: &str, port: u16) -> MemberRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    MemberRecord {
        node: name(id),
        incarnation: 1,
        revision: 1,
        status: Status::Alive,
        data_centre: name("dc"),
        region: name("region"),
        addresses: Addresses { control: addr, peer: addr, caller: addr, admin: addr },
        targets: Vec::new(),
    }
}

/// Starts an actor with one declared move that starts now and must finish within `duration_ms`. Its
/// peers reply with `peer_states`.
fn start_node(
    report_url: Option<String>,
    duration_ms: u64,
    peer_states: Vec<MoveStateWire>,
) -> Node {
    let (tx, changes) = mpsc::unbounded_channel();
    let subscriber = Subscriber(tx).start();
    let table = FakeTable::default();
    let datagrams = Rc::new(RefCell::new(Vec::new()));
    let sent_datagrams = datagrams.clone();
    let parts = MovesParts {
        node: name("n1"),
        incarnation: 1,
        // The member n2 is not running. If it ranks first as the writer of the outcome or the
        // report, n1 must take over within the timeouts set here.
        settings: MoveSettings {
            settle: Millis(50),
            outcome_takeover: Millis(100),
            report_takeover: Millis(100),
            ..MoveSettings::default()
        },
        seed: 1,
        platform: Rc::new(table.clone()),
        transport: Rc::new(FakePeers(peer_states)),
        send: Rc::new(move |_, datagram| sent_datagrams.borrow_mut().push(datagram)),
        subscribers: vec![subscriber.recipient()],
    };
    let addr = MovesActor::new(parts).start();
    let now = UnixMillis::now().0;
    let service = Service {
        name: name("counter"),
        owner: "desk".into(),
        version: name("v1"),
        report_url: report_url.map(Into::into),
        withdrawal: WithdrawalSensitivity::Balanced,
    };
    let declared = Move {
        id: name("m"),
        service: name("counter"),
        from: name("v1"),
        to: name("v2"),
        start: UnixMillis(now),
        finish_by: UnixMillis(now + duration_ms),
    };
    let catalogue = Catalogue {
        name: "test".into(),
        services: vec![service],
        entries: Vec::new(),
        moves: vec![declared],
    };
    let config = CompiledCatalogue::new(Head::default(), catalogue, Arc::from(Vec::new()));
    addr.do_send(ConfigurationApplied(Arc::new(config)));
    let members = vec![member("n1", 1), member("n2", 2)];
    addr.do_send(MembersChanged(Arc::new(MemberView { local: name("n1"), members })));
    Node { addr, table, changes, datagrams }
}

/// Waits for published shares that satisfy `wanted`.
async fn wait_for_change(node: &mut Node, wanted: impl Fn(&MovesChanged) -> bool) -> MovesChanged {
    let changed = async {
        loop {
            let change = node.changes.recv().await.expect("the subscriber is running");
            if wanted(&change) {
                return change;
            }
        }
    };
    timeout(WAIT_TIMEOUT, changed).await.expect("the shares change in time")
}

fn withdrawn_state() -> MoveStateWire {
    MoveStateWire {
        id: "m".into(),
        stage: 3,
        finished: false,
        withdrawn: true,
        reason: "failures on entry search: 40%".into(),
    }
}

/// Guards against an outcome or a report that is lost with the response to the write of the outcome
/// row.
#[actix_rt::test]
async fn owner_receives_report_although_table_response_is_lost() {
    let (tx, mut reports) = mpsc::unbounded_channel::<serde_json::Value>();
    let server = HttpServer::new(move || {
        let tx = tx.clone();
        let receive = move |body: web::Json<serde_json::Value>| {
            let forwarded = tx.send(body.into_inner());
            let status = if forwarded.is_ok() { StatusCode::OK } else { StatusCode::GONE };
            async move { HttpResponse::new(status) }
        };
        App::new().route("/report", web::post().to(receive))
    });
    let server = server.workers(1).bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}/report", server.addrs()[0]);
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);

    let mut node = start_node(Some(url), 1_500, Vec::new());
    *node.table.lost_responses.borrow_mut() = 1;
    wait_for_change(&mut node, |c| c.views.values().any(|v| v.share == 1.0)).await;
    let report =
        timeout(WAIT_TIMEOUT, reports.recv()).await.expect("report in time").expect("report");
    assert_eq!(report["outcome"], "finished", "{report}");
    assert_eq!(report["move"], "m", "{report}");
    assert!(report["identity"].as_str().is_some_and(|s| s.starts_with("m/")), "{report}");
    let row = node.table.rows.borrow().get("move/m/outcome").cloned().expect("outcome row");
    assert_eq!((&row["outcome"], &row["by"]), (&"finished".into(), &"n1".into()), "{row}");
    handle.stop(false).await;
}

/// Guards against a node that does not apply a withdrawal notice or does not forward it to peers.
#[actix_rt::test]
async fn withdrawal_notice_is_applied_and_forwarded() {
    let mut node = start_node(None, 60_000, Vec::new());
    let from = SocketAddr::from(([127, 0, 0, 1], 2));
    node.addr.do_send(DatagramReceived {
        from,
        datagram: Datagram::MoveNotice(vec![withdrawn_state()]),
    });
    let change = wait_for_change(&mut node, |c| c.views.values().any(|v| v.withdrawn)).await;
    assert_ne!(change.moves_hash, 0);
    let forwarded =
        node.datagrams.borrow().iter().any(
            |d| matches!(d, Datagram::MoveNotice(states) if states.iter().any(|s| s.withdrawn)),
        );
    assert!(forwarded, "{:?}", node.datagrams.borrow());
}

/// Guards against a node that does not fetch the states of a peer with differing ones, so that a
/// lost notice is never made up for, and against wrong replies to control requests.
#[actix_rt::test]
async fn states_of_differing_peer_are_fetched() {
    let mut node = start_node(None, 60_000, vec![withdrawn_state()]);
    node.addr.do_send(PeerMovesDiffer { peer_addr: SocketAddr::from(([127, 0, 0, 1], 2)) });
    wait_for_change(&mut node, |c| c.views.values().any(|v| v.withdrawn)).await;
    let reply = node
        .addr
        .send(MovesRequest(ControlRequest::FetchMoves))
        .await
        .expect("the actor is running");
    assert!(matches!(reply, ControlReply::Moves(states) if states[0].withdrawn));
    let reply = node
        .addr
        .send(MovesRequest(ControlRequest::FetchHead))
        .await
        .expect("the actor is running");
    assert_eq!(reply, ControlReply::Unknown);
    let moves = node.addr.send(QueryMoves).await.expect("the actor is running");
    assert_eq!(moves[0].phase, Phase::Withdrawn);
    assert_eq!(moves[0].reason, withdrawn_state().reason);
}
