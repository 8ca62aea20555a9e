//! Configuration objects and member records for tests of the exchange.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::RouteSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;

pub fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

pub fn object(id: &str, revision: u64, spec: Option<Spec>) -> Object {
    Object {
        id: id.parse().unwrap(),
        revision: Revision(revision),
        spec: spec.map(Arc::new),
    }
}

pub fn route(path: &str, cost: u64) -> Spec {
    Spec::Route(RouteSpec {
        path: path.to_owned(),
        pool: "desk".parse().unwrap(),
        idempotent: false,
        open: false,
        cost: Tokens(cost),
    })
}

pub fn team(weight: u32, keys: Vec<KeyRecord>) -> Spec {
    Spec::Team(TeamSpec {
        rate: TokenRate(100),
        burst: Tokens(1_000),
        weight,
        models: Vec::new(),
        allotments: Vec::new(),
        keys,
    })
}

pub fn member_record(name: &str, domain: &str, incarnation: u64, heartbeat: u32) -> MemberRecord {
    MemberRecord {
        name: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: domain.parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        phase: Phase::Live,
        heartbeat,
        revision: Revision(1),
    }
}
