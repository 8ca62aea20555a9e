//! Contract tests of the calls between instances, over TCP on loopback.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::RouteSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::limits::GrantAsk;
use limpetsaddle_core::limits::GrantId;
use limpetsaddle_core::limits::GrantOffer;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantReport;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::limits::Refund;
use limpetsaddle_core::limits::RequestId;
use limpetsaddle_core::membership::Beat;
use limpetsaddle_core::membership::Replaced;
use limpetsaddle_core::membership::Row;
use limpetsaddle_core::membership::exchange::Completeness;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_core::membership::exchange::State;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::store::DigestAnswer;
use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_core::store::Version;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_peer::ClientOptions;
use limpetsaddle_peer::Error;
use limpetsaddle_peer::MAX_MESSAGE_BYTES;
use limpetsaddle_peer::PeerClient;
use limpetsaddle_peer::PeerServer;
use limpetsaddle_peer::PeerService;
use limpetsaddle_peer::ServerOptions;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use yare::parameterized;

const DEADLINE: Duration = Duration::from_secs(30);
const IDLE: Duration = Duration::from_millis(300);

fn run<F: Future<Output = ()>>(test: F) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test);
}

async fn eventually(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < DEADLINE, "the condition never held");
        sleep(Duration::from_millis(5)).await;
    }
}

fn row(name: &str, address: &str) -> Row {
    Row {
        name: name.parse().unwrap(),
        incarnation: Incarnation(u64::MAX - 1),
        domain: "bergen-a".parse().unwrap(),
        address: address.parse().unwrap(),
        phase: Phase::Leaving,
        heartbeat: 41,
        revision: Revision(7),
    }
}

fn object(revision: u64, path: &str) -> Object {
    let route = RouteSpec {
        path: path.to_owned(),
        pool: "desk".parse().unwrap(),
        idempotent: true,
        open: false,
        cost: Tokens(3),
    };
    Object {
        id: "route/echo".parse().unwrap(),
        revision: Revision(revision),
        spec: Some(Arc::new(Spec::Route(route))),
    }
}

fn retired() -> Object {
    Object {
        spec: None,
        ..object(9, "/")
    }
}

fn request(query: DigestRequest, objects: Vec<Object>) -> ExchangeRequest {
    let rows: Vec<Row> = vec![row("b", "[::1]:9"), row("c", "10.0.0.1:80")];
    ExchangeRequest {
        from: row("a", "127.0.0.1:7000"),
        beats: rows.iter().map(Row::beat).collect(),
        rows,
        unknown: vec![Incarnation(3)],
        root: u64::MAX,
        query,
        objects,
    }
}

fn empty_request() -> ExchangeRequest {
    request(DigestRequest::Root, Vec::new())
}

fn state(completeness: Option<Completeness>) -> ExchangeReply {
    ExchangeReply::State(Box::new(State {
        from: row("d", "127.0.0.1:7001"),
        rows: vec![row("e", "127.0.0.1:7002")],
        beats: vec![row("e", "127.0.0.1:7002").beat()],
        root: 5,
        completeness,
        digests: DigestAnswer {
            buckets: (0..64).collect(),
            objects: vec![object(4, "/echo"), retired()],
            wanted: vec!["team/yard".parse().unwrap()],
            more: true,
        },
    }))
}

struct Recorder {
    reply: ExchangeReply,
    requests: Requests,
    grants: Rc<RefCell<Vec<GrantRequest>>>,
}

impl PeerService for Recorder {
    fn exchange(&self, request: ExchangeRequest) -> ExchangeReply {
        self.requests.borrow_mut().push(request);
        self.reply.clone()
    }

    fn grant(&self, request: GrantRequest) -> GrantReply {
        let granted = request.ask.as_ref().map(|ask| GrantOffer {
            id: request.reports[0].id,
            amount: ask.needed + ask.wanted,
        });
        let reply = GrantReply {
            request: request.id,
            offer: granted,
            retry_after: Duration::from_millis(u64::from(request.reports[0].batch)),
        };
        self.grants.borrow_mut().push(request);
        reply
    }
}

#[parameterized(asks = { true }, only_reports = { false })]
fn verify_grants_arrive_as_sent(asks: bool) {
    let team: TeamName = "yard".parse().unwrap();
    let ask = GrantAsk {
        team: team.clone(),
        slot: 3,
        needed: Tokens(40),
        wanted: Tokens(2),
    };
    let id = GrantId {
        incarnation: Incarnation(8),
        number: 9,
    };
    let refunds = (1..=2).map(|batch| Refund {
        batch,
        amount: Tokens(u64::MAX),
    });
    let report = GrantReport {
        id,
        team,
        slot: 255,
        batch: 7,
        spent: Tokens(5),
        refunds: refunds.collect(),
        returned: Tokens(6),
    };
    let call = GrantRequest {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(4),
        id: RequestId(5),
        ask: asks.then_some(ask),
        reports: vec![report],
    };
    let amount = Tokens(42);
    let expected = GrantReply {
        request: RequestId(5),
        offer: asks.then_some(GrantOffer { id, amount }),
        retry_after: Duration::from_millis(7),
    };
    run(async {
        let grants = Rc::default();
        let service = Recorder {
            reply: state(None),
            requests: Requests::default(),
            grants: Rc::clone(&grants),
        };
        let opts = ServerOptions::default();
        let server = PeerServer::bind(loopback(), Box::new(service), opts).unwrap();
        let reply = patient().grant(server.address(), &call).await.unwrap();
        assert_eq!(reply, expected);
        assert_eq!(*grants.borrow(), vec![call]);
    });
}

type Requests = Rc<RefCell<Vec<ExchangeRequest>>>;

fn serve(address: SocketAddr, reply: ExchangeReply) -> (PeerServer, Requests) {
    let requests = Requests::default();
    let service = Recorder {
        reply,
        requests: Rc::clone(&requests),
        grants: Rc::default(),
    };
    let opts = ServerOptions {
        idle_timeout: IDLE,
        max_connections: 4,
    };
    let server = PeerServer::bind(address, Box::new(service), opts).unwrap();
    (server, requests)
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn patient() -> PeerClient {
    PeerClient::new(ClientOptions {
        call_timeout: DEADLINE,
        ..ClientOptions::default()
    })
}

fn versions_query() -> DigestRequest {
    let version = Version {
        id: "route/echo".parse().unwrap(),
        revision: Revision(2),
        rejected: Revision(6),
    };
    DigestRequest::Versions {
        buckets: vec![0, 63],
        held: vec![version],
    }
}

fn confirmed(millis: u64) -> Completeness {
    Completeness {
        revision: Revision(8),
        age: Duration::from_millis(millis),
    }
}

#[parameterized(
    root = { empty_request(), state(None), state(None) },
    versions = { request(versions_query(), Vec::new()), state(Some(confirmed(5))), state(Some(confirmed(6))) },
    objects = { request(DigestRequest::Nothing, vec![object(4, "/"), retired()]), state(None), state(None) },
    replaced = { empty_request(), ExchangeReply::Replaced(Replaced { by: Incarnation(9) }), ExchangeReply::Replaced(Replaced { by: Incarnation(9) }) },
)]
fn verify_messages_arrive_as_sent(
    sent: ExchangeRequest,
    replied: ExchangeReply,
    received: ExchangeReply,
) {
    run(async {
        let (server, requests) = serve(loopback(), replied);
        let client = patient();
        for _ in 0..3 {
            let reply = client.exchange(server.address(), &sent).await.unwrap();
            assert_eq!(reply, received);
        }
        assert_eq!(*requests.borrow(), vec![sent.clone(), sent.clone(), sent]);
        assert_eq!((client.connections(), server.counters().open), (1, 1));
    });
}

/// Reads what a client sends for its first call.
async fn captured_call() -> Vec<u8> {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let client = PeerClient::new(ClientOptions {
            call_timeout: Duration::from_secs(1),
            ..ClientOptions::default()
        });
        let call = request(versions_query(), vec![object(4, "/echo")]);
        assert!(matches!(
            client.exchange(address, &call).await,
            Err(Error::Timeout)
        ));
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    loop {
        let (read, buf) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => return bytes,
        }
    }
}

async fn send(address: SocketAddr, bytes: Vec<u8>) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    stream
}

async fn verify_still_serves(server: &PeerServer) {
    eventually(|| server.counters().open == 0).await;
    let reply = patient().exchange(server.address(), &empty_request()).await;
    assert_eq!(reply.unwrap(), state(None));
}

#[parameterized(
    text = { b"GET / HTTP/1.1\r\n\r\n".to_vec() },
    zeros = { vec![0; 64] },
    ones = { vec![0xff; 64] },
    segment_of_a_gigabyte = { [0_u32, 1 << 27].map(u32::to_le_bytes).concat() },
    half_a_message = { [0_u32, 8, 0].map(u32::to_le_bytes).concat() },
    nothing = { Vec::new() },
)]
fn verify_malformed_bytes_end_only_their_connection(bytes: Vec<u8>) {
    run(async {
        let (server, requests) = serve(loopback(), state(None));
        drop(send(server.address(), bytes.clone()).await);
        let stream = send(server.address(), bytes).await;
        verify_still_serves(&server).await;
        assert_eq!(requests.borrow().len(), 1);
        drop(stream);
    });
}

#[test]
fn verify_corrupted_calls_end_only_their_connection() {
    run(async {
        let call = captured_call().await;
        let (server, requests) = serve(loopback(), state(None));
        let mut sent = 0;
        for position in (0..call.len()).step_by(3) {
            let mut bytes = call.clone();
            bytes[position] ^= 0x55;
            drop(send(server.address(), bytes).await);
            sent += 1;
            eventually(|| server.counters().open == 0).await;
        }
        let counters = server.counters();
        assert!(counters.malformed > 0, "{counters:?}");
        assert!(requests.borrow().len() < sent);
        verify_still_serves(&server).await;
    });
}

#[test]
fn verify_oversized_message_is_refused() {
    run(async {
        let (server, requests) = serve(loopback(), state(None));
        let path = "/".repeat(MAX_MESSAGE_BYTES + 1);
        let large = request(DigestRequest::Nothing, vec![object(4, &path)]);
        let client = patient();
        assert!(client.exchange(server.address(), &large).await.is_err());
        assert!(requests.borrow().is_empty());
        assert_eq!(client.connections(), 0);
        verify_still_serves(&server).await;
    });
}

#[test]
fn verify_slow_sender_is_disconnected() {
    run(async {
        let call = captured_call().await;
        let (server, _) = serve(loopback(), state(None));
        let half = call[..call.len() / 2].to_vec();
        let mut stream = send(server.address(), half).await;
        eventually(|| server.counters().idle == 1).await;
        while let (Ok(1..), _) = stream.read(vec![0; 4_096]).await {}
        verify_still_serves(&server).await;
    });
}

#[test]
fn verify_connections_are_bounded() {
    run(async {
        let (server, _) = serve(loopback(), state(None));
        let mut streams = Vec::new();
        for _ in 0..5 {
            streams.push(send(server.address(), vec![0; 4]).await);
        }
        eventually(|| server.counters().refused > 0).await;
        assert!(server.counters().open <= 4);
        drop(streams);
        verify_still_serves(&server).await;
    });
}

#[test]
fn verify_silent_peer_ends_in_a_timeout() {
    run(async {
        let listener = TcpListener::bind(loopback()).unwrap();
        let client = PeerClient::new(ClientOptions {
            call_timeout: Duration::from_millis(50),
            ..ClientOptions::default()
        });
        let address = listener.local_addr().unwrap();
        let outcome = client.exchange(address, &empty_request()).await;
        assert!(matches!(outcome, Err(Error::Timeout)), "{outcome:?}");
        assert_eq!(client.connections(), 0);
    });
}

#[test]
fn verify_killed_connection_is_dialled_again() {
    run(async {
        let (server, _) = serve(loopback(), state(None));
        let address = server.address();
        let client = patient();
        client.exchange(address, &empty_request()).await.unwrap();
        drop(server);
        let outcome = client.exchange(address, &empty_request()).await;
        assert!(outcome.is_err(), "{outcome:?}");
        let (_server, _) = serve(address, state(None));
        client.exchange(address, &empty_request()).await.unwrap();
    });
}

/// Passes one connection on to `to` and counts the bytes of both directions.
fn count_bytes(to: SocketAddr, bytes: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(to).await.unwrap();
        let (near_in, near_out) = monoio::io::Splitable::into_split(near);
        let (far_in, far_out) = monoio::io::Splitable::into_split(far);
        monoio::spawn(pass_on(near_in, far_out, Rc::clone(&bytes)));
        pass_on(far_in, near_out, bytes).await;
    });
    address
}

async fn pass_on(
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

/// Returns the bytes of one call on a kept connection, in both directions.
async fn bytes_of(call: &ExchangeRequest, reply: &ExchangeReply) -> usize {
    let (server, _) = serve(loopback(), reply.clone());
    let bytes = Rc::new(Cell::new(0));
    let address = count_bytes(server.address(), Rc::clone(&bytes));
    let client = patient();
    client.exchange(address, call).await.unwrap();
    let before = bytes.get();
    for _ in 0..10 {
        client.exchange(address, call).await.unwrap();
    }
    (bytes.get() - before) / 10
}

fn bound_of(call: &ExchangeRequest, reply: &ExchangeReply) -> usize {
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
fn verify_messages_take_no_more_than_the_core_reckons(call: ExchangeRequest) {
    run(async {
        let reply = state(Some(confirmed(1)));
        let bytes = bytes_of(&call, &reply).await;
        let bound = bound_of(&call, &reply);
        assert!((bound / 2..=bound).contains(&bytes), "{bytes} of {bound}");
    });
}

/// Each second an instance sends one request and one reply and receives as many,
/// so that an exchange counts twice. A reply leaves out the beats of the request.
#[test]
fn verify_idle_exchange_fits_the_budget_of_control() {
    const BUDGET_PER_SECOND: usize = 4_000;
    run(async {
        let name = |i: usize| row(&format!("bergen-a-{i:03}"), "10.200.100.10:7000");
        let rows: Vec<Row> = (0..24).map(name).collect();
        let beats: Vec<Beat> = rows.iter().map(Row::beat).collect();
        let reply = ExchangeReply::State(Box::new(State {
            from: rows[0].clone(),
            rows: rows[..1].to_vec(),
            beats: beats[..12].to_vec(),
            root: 1,
            completeness: Some(confirmed(1)),
            digests: DigestAnswer::default(),
        }));
        let call = ExchangeRequest {
            rows: rows[..1].to_vec(),
            beats,
            unknown: Vec::new(),
            ..empty_request()
        };
        let bytes = bytes_of(&call, &reply).await;
        println!("{bytes} bytes an exchange, request and reply");
        assert!(2 * bytes <= BUDGET_PER_SECOND, "{bytes}");
    });
}
