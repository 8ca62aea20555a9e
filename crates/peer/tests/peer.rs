//! Contract tests of the calls between instances, over TCP on loopback.

mod peer_support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::limits::Grant;
use limpetsaddle_core::limits::GrantId;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantReport;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::limits::RequestId;
use limpetsaddle_core::limits::TokenRequest;
use limpetsaddle_core::membership::Heartbeat;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::Members;
use limpetsaddle_core::membership::MembersOptions;
use limpetsaddle_core::membership::Replaced;
use limpetsaddle_core::membership::exchange;
use limpetsaddle_core::membership::exchange::ExchangeOptions;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_core::membership::exchange::PeerState;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::store::ConfigStore;
use limpetsaddle_core::store::DigestReply;
use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_peer::PeerServer;
use limpetsaddle_peer::ServerOptions;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use yare::parameterized;

use crate::peer_support::RecordingService;
use crate::peer_support::Requests;
use crate::peer_support::client_with_long_timeout;
use crate::peer_support::confirmed;
use crate::peer_support::empty_request;
use crate::peer_support::loopback;
use crate::peer_support::object;
use crate::peer_support::record;
use crate::peer_support::request;
use crate::peer_support::retired;
use crate::peer_support::run;
use crate::peer_support::serve;
use crate::peer_support::state;
use crate::peer_support::versions_query;

#[parameterized(requests_tokens = { true }, only_reports = { false })]
fn verify_grant_messages_are_received_as_sent(requests_tokens: bool) {
    let team: TeamName = "yard".parse().unwrap();
    let tokens = TokenRequest {
        team: team.clone(),
        slot: 3,
        needed: Tokens(40),
        wanted: Tokens(2),
        partial: true,
    };
    let id = GrantId {
        incarnation: Incarnation(8),
        number: 9,
    };
    let report = GrantReport {
        id,
        team,
        slot: 255,
        used: Tokens(u64::MAX),
        returned: Tokens(6),
    };
    let call = GrantRequest {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(4),
        id: RequestId(5),
        tokens: requests_tokens.then_some(tokens),
        reports: vec![report],
    };
    let amount = Tokens(42);
    let expected = GrantReply {
        request: RequestId(5),
        grant: requests_tokens.then_some(Grant { id, amount }),
        retry_after: Duration::from_millis(6),
    };
    run(async {
        let grants = Rc::default();
        let service = RecordingService {
            reply: state(None),
            requests: Requests::default(),
            grants: Rc::clone(&grants),
        };
        let opts = ServerOptions::default();
        let server = PeerServer::bind(loopback(), Box::new(service), opts).unwrap();
        let reply = client_with_long_timeout()
            .grant(server.address(), &call)
            .await
            .unwrap();
        assert_eq!(reply, expected);
        assert_eq!(*grants.borrow(), vec![call]);
    });
}

#[parameterized(
    root = { empty_request(), state(None), state(None) },
    versions = { request(versions_query(), Vec::new()), state(Some(confirmed(5))), state(Some(confirmed(6))) },
    objects = { request(DigestRequest::Nothing, vec![object(4, "/"), retired()]), state(None), state(None) },
    replaced = { empty_request(), ExchangeReply::Replaced(Replaced { by: Incarnation(9) }), ExchangeReply::Replaced(Replaced { by: Incarnation(9) }) },
)]
fn verify_exchange_messages_are_received_as_sent(
    sent: ExchangeRequest,
    replied: ExchangeReply,
    received: ExchangeReply,
) {
    run(async {
        let (server, requests) = serve(loopback(), replied);
        let client = client_with_long_timeout();
        for _ in 0..3 {
            let reply = client.exchange(server.address(), &sent).await.unwrap();
            assert_eq!(reply, received);
        }
        assert_eq!(*requests.borrow(), vec![sent.clone(), sent.clone(), sent]);
        assert_eq!((client.connections(), server.counters().open), (1, 1));
    });
}

/// Forwards one connection to `to` and counts the bytes of both directions.
fn start_counting_proxy(to: SocketAddr, bytes: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(to).await.unwrap();
        let (client_in, client_out) = monoio::io::Splitable::into_split(client);
        let (server_in, server_out) = monoio::io::Splitable::into_split(server);
        monoio::spawn(forward(client_in, server_out, Rc::clone(&bytes)));
        forward(server_in, client_out, bytes).await;
    });
    address
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    sum: Rc<Cell<usize>>,
) {
    loop {
        let (read, mut buf) = from.read(vec![0; 16_384]).await;
        let Ok(n @ 1..) = read else { return };
        sum.set(sum.get() + n);
        buf.truncate(n);
        let (Ok(_), _) = to.write_all(buf).await else {
            return;
        };
    }
}

/// Returns the bytes per call on an open connection, both directions together.
async fn bytes_per_call(call: &ExchangeRequest, reply: &ExchangeReply) -> usize {
    let (server, _) = serve(loopback(), reply.clone());
    let bytes = Rc::new(Cell::new(0));
    let address = start_counting_proxy(server.address(), Rc::clone(&bytes));
    let client = client_with_long_timeout();
    client.exchange(address, call).await.unwrap();
    let before = bytes.get();
    for _ in 0..10 {
        client.exchange(address, call).await.unwrap();
    }
    (bytes.get() - before) / 10
}

fn size_bound(call: &ExchangeRequest, reply: &ExchangeReply) -> usize {
    let reply = match reply {
        ExchangeReply::State(state) => state.bytes(),
        ExchangeReply::Replaced(_) => 0,
    };
    call.bytes() + reply
}

#[parameterized(
    idle = { empty_request() },
    versions = { request(versions_query(), Vec::new()) },
    objects = { request(DigestRequest::Nothing, vec![object(4, "/echo"), retired()]) },
)]
fn verify_message_sizes_stay_within_the_bound_of_core(call: ExchangeRequest) {
    run(async {
        let reply = state(Some(confirmed(1)));
        let bytes = bytes_per_call(&call, &reply).await;
        let bound = size_bound(&call, &reply);
        assert!((bound / 2..=bound).contains(&bytes), "{bytes} of {bound}");
    });
}

const BUDGET_PER_SECOND: usize = 4_000;

/// Returns the bytes of an exchange between two of 24 instances with equal state.
async fn idle_bytes() -> usize {
    let name = |i: usize| record(&format!("bergen-a-{i:03}"), "10.200.100.10:7000");
    let records: Vec<MemberRecord> = (0..24).map(name).collect();
    let heartbeats: Vec<Heartbeat> = records.iter().map(MemberRecord::to_heartbeat).collect();
    let reply = ExchangeReply::State(Box::new(PeerState {
        from: records[0].clone(),
        records: records[..1].to_vec(),
        heartbeats: heartbeats[..12].to_vec(),
        root: 1,
        completeness: Some(confirmed(1)),
        digests: DigestReply::default(),
    }));
    let call = ExchangeRequest {
        records: records[..1].to_vec(),
        heartbeats,
        unknown: Vec::new(),
        ..empty_request()
    };
    bytes_per_call(&call, &reply).await
}

/// Returns the bytes needed to push a team with three keys to a peer.
async fn push_bytes() -> usize {
    let key = |i: u8| KeyRecord {
        id: format!("k{i}").parse().unwrap(),
        digest: Digest::of(&[i]),
        withdrawn: false,
    };
    let team = TeamSpec {
        rate: TokenRate(1_000),
        burst: Tokens(10_000),
        weight: 1,
        models: Vec::new(),
        allotments: Vec::new(),
        keys: (0..3).map(key).collect(),
    };
    let change = Object {
        id: "team/yard".parse().unwrap(),
        revision: Revision(1),
        spec: Some(Arc::new(Spec::Team(team))),
    };
    let (store, now) = (ConfigStore::default(), Time::ZERO);
    let own = record("bergen-a-000", "10.200.100.10:7000");
    let mut members = Members::new(own.clone(), MembersOptions::default(), now);
    let opts = ExchangeOptions::default();
    let request = exchange::push(&store, &members, vec![change], now).request;
    let mut other = ConfigStore::default();
    let call = request.clone();
    let (reply, _) = exchange::handle_request(&mut other, &mut members, call, &opts, now);
    bytes_per_call(&request, &reply).await
}

/// Each second an instance sends one request and one reply and receives as many, so an
/// exchange counts twice. A reply omits the heartbeats contained in the request.
#[test]
fn verify_idle_exchange_fits_the_control_traffic_budget() {
    run(async {
        let bytes = idle_bytes().await;
        println!("{bytes} bytes per exchange, request and reply");
        assert!(2 * bytes <= BUDGET_PER_SECOND, "{bytes}");
    });
}

/// The watching instance sends its exchanges and half of the pushes of each change.
#[test]
fn verify_watcher_fits_the_control_traffic_budget() {
    const CHANGES_PER_DAY: usize = 9_100;
    const SECONDS_PER_DAY: usize = 86_400;
    const TARGETS: usize = 12;
    run(async {
        let push = push_bytes().await;
        let pushes = push * TARGETS * CHANGES_PER_DAY / SECONDS_PER_DAY;
        println!("{push} bytes per push, {pushes} bytes per second for pushes");
        assert!(idle_bytes().await + pushes <= BUDGET_PER_SECOND);
    });
}
