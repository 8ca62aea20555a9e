//! A recording server and sample messages for the tests of calls.
#![allow(dead_code)]

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
use limpetsaddle_core::limits::Grant;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::exchange::Completeness;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_core::membership::exchange::PeerState;
use limpetsaddle_core::store::DigestReply;
use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_core::store::ObjectVersion;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_peer::ClientOptions;
use limpetsaddle_peer::PeerClient;
use limpetsaddle_peer::PeerServer;
use limpetsaddle_peer::PeerService;
use limpetsaddle_peer::ServerOptions;
use monoio::time::sleep;

pub const DEADLINE: Duration = Duration::from_secs(30);

pub const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

pub fn run<F: Future<Output = ()>>(test: F) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test);
}

pub async fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < DEADLINE,
            "the condition did not become true in time"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

pub fn record(name: &str, address: &str) -> MemberRecord {
    MemberRecord {
        name: name.parse().unwrap(),
        incarnation: Incarnation(u64::MAX - 1),
        domain: "bergen-a".parse().unwrap(),
        address: address.parse().unwrap(),
        phase: Phase::Leaving,
        heartbeat: 41,
        revision: Revision(7),
    }
}

pub fn object(revision: u64, path: &str) -> Object {
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

pub fn retired() -> Object {
    Object {
        spec: None,
        ..object(9, "/")
    }
}

pub fn request(query: DigestRequest, objects: Vec<Object>) -> ExchangeRequest {
    let records: Vec<MemberRecord> = vec![record("b", "[::1]:9"), record("c", "10.0.0.1:80")];
    ExchangeRequest {
        from: record("a", "127.0.0.1:7000"),
        heartbeats: records.iter().map(MemberRecord::to_heartbeat).collect(),
        records,
        unknown: vec![Incarnation(3)],
        root: u64::MAX,
        query,
        objects,
    }
}

pub fn empty_request() -> ExchangeRequest {
    request(DigestRequest::Root, Vec::new())
}

pub fn state(completeness: Option<Completeness>) -> ExchangeReply {
    ExchangeReply::State(Box::new(PeerState {
        from: record("d", "127.0.0.1:7001"),
        records: vec![record("e", "127.0.0.1:7002")],
        heartbeats: vec![record("e", "127.0.0.1:7002").to_heartbeat()],
        root: 5,
        completeness,
        digests: DigestReply {
            buckets: (0..64).collect(),
            objects: vec![object(4, "/echo"), retired()],
            wanted: vec!["team/yard".parse().unwrap()],
            more: true,
        },
    }))
}

pub struct RecordingService {
    pub reply: ExchangeReply,
    pub requests: Requests,
    pub grants: Rc<RefCell<Vec<GrantRequest>>>,
}

impl PeerService for RecordingService {
    fn exchange(&self, request: ExchangeRequest) -> ExchangeReply {
        self.requests.borrow_mut().push(request);
        self.reply.clone()
    }

    fn grant(&self, request: GrantRequest) -> GrantReply {
        let granted = request.tokens.as_ref().map(|tokens| Grant {
            id: request.reports[0].id,
            amount: tokens.needed + tokens.wanted,
        });
        let reply = GrantReply {
            request: request.id,
            grant: granted,
            retry_after: Duration::from_millis(request.reports[0].returned.0),
        };
        self.grants.borrow_mut().push(request);
        reply
    }
}

pub type Requests = Rc<RefCell<Vec<ExchangeRequest>>>;

pub fn serve(address: SocketAddr, reply: ExchangeReply) -> (PeerServer, Requests) {
    let requests = Requests::default();
    let service = RecordingService {
        reply,
        requests: Rc::clone(&requests),
        grants: Rc::default(),
    };
    let opts = ServerOptions {
        idle_timeout: IDLE_TIMEOUT,
        max_connections: 4,
    };
    let server = PeerServer::bind(address, Box::new(service), opts).unwrap();
    (server, requests)
}

pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

pub fn client_with_long_timeout() -> PeerClient {
    PeerClient::new(ClientOptions {
        call_timeout: DEADLINE,
        ..ClientOptions::default()
    })
}

pub fn versions_query() -> DigestRequest {
    let version = ObjectVersion {
        id: "route/echo".parse().unwrap(),
        revision: Revision(2),
        rejected: Revision(6),
    };
    DigestRequest::Versions {
        buckets: vec![0, 63],
        held: vec![version],
    }
}

pub fn confirmed(millis: u64) -> Completeness {
    Completeness {
        revision: Revision(8),
        age: Duration::from_millis(millis),
    }
}
