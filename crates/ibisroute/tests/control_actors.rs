//! The membership and distribution actors over real UDP sockets on loopback.

#[path = "support/fakes.rs"]
mod fakes;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use bytes::Bytes;
use fakes::FakePlatform;
use fakes::FakeTransport;
use futures_util::FutureExt;
use ibisroute::catalogue::model::Catalogue;
use ibisroute::distribution::actor::DistributionActor;
use ibisroute::distribution::actor::DistributionParts;
use ibisroute::distribution::actor::QueryDistribution;
use ibisroute::distribution::actor::ServeCatalogue;
use ibisroute::distribution::actor::ServeHead;
use ibisroute::distribution::actor::SubscribeDistribution;
use ibisroute::distribution::body::CatalogueFunctions;
use ibisroute::distribution::distribution_settings::DistributionSettings;
use ibisroute::membership::actor::Leave;
use ibisroute::membership::actor::MembershipActor;
use ibisroute::membership::actor::MembershipParts;
use ibisroute::membership::actor::QueryMembers;
use ibisroute::membership::actor::ServeJoin;
use ibisroute::membership::actor::SubscribeMembership;
use ibisroute::membership::membership_settings::MembershipSettings;
use ibisroute::membership::record::Addresses;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::Status;
use ibisroute::node::messages::DatagramReceived;
use ibisroute::peers::datagram::ControlSocket;
use ibisroute::peers::datagram::DatagramRoutes;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::types::ConfigVersion;
use ibisroute::types::Digest;
use ibisroute::types::Head;
use ibisroute::wire::CatalogueBody;
use ibisroute::wire::ControlReply;
use ibisroute::wire::ControlRequest;
use ibisroute::wire::MemberRecordWire;

/// Timeout of every wait; far above the 3 s within which nodes must converge, so that tests pass
/// on busy hosts.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Node {
    membership: Addr<MembershipActor>,
    distribution: Addr<DistributionActor>,
    record: MemberRecord,
}

/// Receiver of move notices, which these tests do not send.
struct IgnoreDatagrams;

impl Actor for IgnoreDatagrams {
    type Context = actix::Context<Self>;
}

impl actix::Handler<DatagramReceived> for IgnoreDatagrams {
    type Result = ();

    fn handle(&mut self, _: DatagramReceived, _: &mut Self::Context) {}
}

/// Returns functions for which bodies that begin with `good` are valid, and for which a delta is
/// what the new body appends to the old one.
fn catalogue_functions() -> CatalogueFunctions {
    CatalogueFunctions {
        compile: Rc::new(|head, bytes| {
            if !bytes.starts_with(b"good") {
                return Err("does not parse".to_string());
            }
            let catalogue = Catalogue {
                name: "kuiseb".into(),
                services: Vec::new(),
                entries: Vec::new(),
                moves: Vec::new(),
            };
            Ok(CompiledCatalogue::new(head, catalogue, bytes.into()))
        }),
        apply_delta: Rc::new(|base, delta| Ok([base.bytes.as_ref(), delta].concat())),
        make_delta: Rc::new(|from, to| to.bytes.strip_prefix(from.bytes.as_ref()).map(Into::into)),
    }
}

fn start_node(index: u16, platform: &Rc<FakePlatform>, transport: &FakeTransport) -> Node {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback socket");
    let socket = Rc::new(ControlSocket::new(socket).expect("control socket"));
    let control = socket.local_addr().expect("bound address");
    // Requests to peers go through the fake transport, which uses the address only as a key.
    let peer = SocketAddr::from(([127, 0, 0, 1], 20_000 + index));
    let record = MemberRecord {
        node: format!("node-{index}").parse().expect("node id"),
        incarnation: 1,
        revision: 0,
        status: Status::Alive,
        data_centre: "erongo-a".parse().expect("data centre"),
        region: "erongo".parse().expect("region"),
        addresses: Addresses { control, peer, caller: peer, admin: peer },
        targets: Vec::new(),
    };
    let membership = MembershipActor::new(MembershipParts {
        local: record.clone(),
        settings: MembershipSettings::default(),
        seed: u64::from(index),
        platform: platform.clone(),
        transport: Rc::new(transport.clone()),
        socket: socket.clone(),
    })
    .start();
    let distribution = DistributionActor::new(DistributionParts {
        node: record.node.clone(),
        peer_addr: peer,
        control_addr: control,
        settings: DistributionSettings::default(),
        seed: u64::from(index),
        platform: platform.clone(),
        transport: Rc::new(transport.clone()),
        socket: socket.clone(),
        functions: catalogue_functions(),
    })
    .start();
    membership.do_send(SubscribeMembership {
        members: vec![distribution.clone().recipient()],
        heads: vec![distribution.clone().recipient()],
        moves: Vec::new(),
    });
    distribution.do_send(SubscribeDistribution {
        applied: Vec::new(),
        heads: vec![membership.clone().recipient()],
    });
    let routes = DatagramRoutes {
        membership: membership.clone().recipient(),
        distribution: distribution.clone().recipient(),
        moves: IgnoreDatagrams.start().recipient(),
    };
    actix::spawn(async move { socket.receive(routes).await });
    register_server(transport, peer, &membership, &distribution);
    Node { membership, distribution, record }
}

/// Registers these actors in the fake transport as the receivers of requests to the address `peer`.
fn register_server(
    transport: &FakeTransport,
    peer: SocketAddr,
    membership: &Addr<MembershipActor>,
    distribution: &Addr<DistributionActor>,
) {
    let (membership, distribution) = (membership.clone(), distribution.clone());
    let server = move |request| {
        let (membership, distribution) = (membership.clone(), distribution.clone());
        async move {
            let reply = match request {
                ControlRequest::Join(record) => membership.send(ServeJoin(record)).await,
                ControlRequest::FetchHead => distribution.send(ServeHead).await,
                ControlRequest::FetchCatalogue { have, want } => {
                    distribution.send(ServeCatalogue { have, want }).await
                }
                _ => Ok(ControlReply::Unknown),
            };
            reply.unwrap_or(ControlReply::Unknown)
        }
        .boxed_local()
    };
    transport.servers.borrow_mut().insert(peer, Rc::new(server));
}

/// Stores a catalogue and its head on the platform.
fn publish(platform: &FakePlatform, version: u64, bytes: &'static [u8]) -> Head {
    let head = Head { version: ConfigVersion(version), digest: Digest::of(bytes) };
    let name = format!("catalogue/{}", head.digest);
    platform.objects.borrow_mut().insert(name, Bytes::from_static(bytes));
    let row = serde_json::json!({
        "version": version, "digest": head.digest, "author": "desk", "token": "t"
    });
    platform.rows.borrow_mut().insert("head".to_string(), row);
    head
}

/// Waits until every node serves `head`; panics after [`WAIT_TIMEOUT`].
async fn wait_until_all_serve(nodes: &[Node], head: Head) {
    let wait = async {
        for node in nodes {
            loop {
                let status = node.distribution.send(QueryDistribution).await.expect("actor");
                if status.in_effect == Some(head) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("every node serves the head in time");
}

/// Waits until every node sees `count` live nodes; panics after [`WAIT_TIMEOUT`].
async fn wait_live_count(nodes: &[Node], count: usize) {
    let wait = async {
        for node in nodes {
            loop {
                let view = node.membership.send(QueryMembers).await.expect("actor");
                if view.live().count() == count {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("every node sees the live nodes in time");
}

/// Guards against actors that do not join by means of the entry points in the table, do not
/// distribute a head, or do not leave.
#[actix_rt::test]
async fn fleet_joins_distributes_heads_and_leaves() {
    let platform = Rc::new(FakePlatform::default());
    let transport = FakeTransport::default();
    let first_head = publish(&platform, 1, b"good one");
    let mut nodes: Vec<Node> = (0..4).map(|i| start_node(i, &platform, &transport)).collect();
    wait_live_count(&nodes, 4).await;
    wait_until_all_serve(&nodes, first_head).await;
    let second_head = publish(&platform, 2, b"good one and two");
    wait_until_all_serve(&nodes, second_head).await;
    let invalid_head = publish(&platform, 3, b"bad");
    let wait = async {
        for node in &nodes {
            loop {
                let status = node.distribution.send(QueryDistribution).await.expect("actor");
                if status.rejected.as_ref().is_some_and(|(head, _)| *head == invalid_head) {
                    assert_eq!(status.in_effect, Some(second_head));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("every node reports the invalid version in time");
    let leaving_node = nodes.pop().expect("four nodes");
    leaving_node.membership.send(Leave).await.expect("actor");
    wait_live_count(&nodes, 3).await;
    assert!(!platform.rows.borrow().contains_key("node/node-3"), "entry point of a left node");
}

/// Guards against a restarted node that needs the table to join and to serve.
#[actix_rt::test]
async fn restarted_node_needs_no_table() {
    let platform = Rc::new(FakePlatform::default());
    let transport = FakeTransport::default();
    let head = publish(&platform, 1, b"good one");
    let mut nodes: Vec<Node> = (0..4).map(|i| start_node(i, &platform, &transport)).collect();
    wait_live_count(&nodes, 4).await;
    wait_until_all_serve(&nodes, head).await;
    platform.down.set(true);
    let old_node = nodes.remove(0);
    old_node.membership.send(Leave).await.expect("actor");
    wait_live_count(&nodes, 3).await;
    // The new process has another socket, which its peers discover when it announces itself to one
    // of them; the platform stays down.
    let new_node = start_node(0, &platform, &transport);
    let mut record = MemberRecordWire::from(&new_node.record);
    record.incarnation += 1;
    nodes[0].membership.send(ServeJoin(record)).await.expect("actor");
    nodes.push(new_node);
    wait_live_count(&nodes, 4).await;
    wait_until_all_serve(&nodes, head).await;
}

/// Guards against a node that serves more concurrent transfers than its limit, and against the
/// transfer of a complete body where a delta suffices.
#[actix_rt::test]
async fn transfers_are_limited_and_use_deltas() {
    let platform = Rc::new(FakePlatform::default());
    let transport = FakeTransport::default();
    let first_head = publish(&platform, 1, b"good one");
    let nodes = [start_node(0, &platform, &transport)];
    wait_until_all_serve(&nodes, first_head).await;
    let second_head = publish(&platform, 2, b"good one and two");
    wait_until_all_serve(&nodes, second_head).await;
    let delta =
        nodes[0].distribution.send(ServeCatalogue { have: first_head, want: second_head }).await;
    let expected = ControlReply::Catalogue(CatalogueBody::Delta(b" and two".to_vec()));
    assert_eq!(delta.expect("actor"), expected);
    let requests = (0..50).map(|_| {
        nodes[0].distribution.send(ServeCatalogue { have: Head::default(), want: second_head })
    });
    let replies = futures_util::future::join_all(requests).await;
    assert!(replies.iter().flatten().any(|r| *r == ControlReply::Busy), "no transfer was refused");
    let join_requests = (0..50)
        .map(|_| nodes[0].membership.send(ServeJoin(MemberRecordWire::from(&nodes[0].record))));
    let replies = futures_util::future::join_all(join_requests).await;
    assert!(replies.iter().flatten().any(|r| *r == ControlReply::Busy), "no join was refused");
}
