//! Restarts: a daemon that starts anew serves at once.

mod support;

use std::time::Duration;
use std::time::Instant;

use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::PlatformFaults;
use serde_json::json;
use support::Fleet;
use support::FleetOptions;
use support::chat;
use support::get;
use support::wait_until;
use yare::parameterized;

fn options() -> FleetOptions {
    FleetOptions {
        daemons: vec!["a", "a", "b", "b"],
        engines: vec!["a", "b"],
        ..FleetOptions::default()
    }
}

/// Starts a fleet and returns it with the revision that is in force in it.
fn cold() -> (Fleet, u64) {
    let fleet = Fleet::start_cold(&options());
    let open = json!({"route": {"path": "/hours", "pool": "order-desk", "idempotent": true, "open": true}});
    let revision = fleet.put("route/hours", open);
    fleet.wait_revision(&[0, 1, 2, 3], revision);
    (fleet, revision)
}

/// Checks that the next request to a daemon is served: one on an open route
/// and one that costs no tokens.
#[track_caller]
fn assert_serves(fleet: &Fleet, i: usize) {
    let listen = fleet.daemons[i].listen();
    let bearer = format!("Bearer {}", fleet.team.key);
    let answer = get(listen, "/hours", &[]);
    assert_eq!(answer.status, 200, "{}", answer.body);
    let answer = get(listen, "/lookups", &[("authorization", &bearer)]);
    assert_eq!(answer.status, 200, "{}", answer.body);
}

fn restart(fleet: &mut Fleet, herd: &[usize]) {
    for i in herd {
        fleet.daemons[*i].kill();
    }
    for i in herd {
        fleet.daemons[*i].restart();
    }
}

const UP: PlatformFaults = PlatformFaults {
    outage: Outage::None,
    delay: Duration::ZERO,
    lost_answers: 0,
    max_calls_per_second: None,
    watch: limpetsaddle_fakes::WatchFault::None,
};

const SLOW: PlatformFaults = PlatformFaults {
    delay: Duration::from_secs(3),
    ..UP
};

const fn down(outage: Outage) -> PlatformFaults {
    PlatformFaults { outage, ..UP }
}

#[parameterized(
    one = { &[0], UP },
    one_slow_platform = { &[0], SLOW },
    one_platform_unavailable = { &[0], down(Outage::Unavailable) },
    one_platform_silent = { &[0], down(Outage::Silent) },
    domain = { &[0, 1], UP },
    domain_slow_platform = { &[0, 1], SLOW },
    domain_platform_unavailable = { &[0, 1], down(Outage::Unavailable) },
    domain_platform_silent = { &[0, 1], down(Outage::Silent) },
    domain_platform_closing = { &[0, 1], down(Outage::Closing) },
    all = { &[0, 1, 2, 3], UP },
)]
fn verify_a_restarted_daemon_serves(herd: &[usize], faults: PlatformFaults) {
    let (mut fleet, before) = cold();
    fleet.platform.state().faults = faults;
    restart(&mut fleet, herd);
    let started = Instant::now();
    for i in herd {
        fleet.daemons[*i].wait_ready();
        assert_serves(&fleet, *i);
    }
    println!("{herd:?} served {:?} after the start", started.elapsed());
    for i in herd {
        assert!(fleet.daemons[*i].revision() >= before);
    }
}

#[parameterized(
    one = { &[0] },
    domain = { &[0, 1] },
)]
fn verify_a_restarted_daemon_asks_its_peers(herd: &[usize]) {
    let (mut fleet, before) = cold();
    fleet.platform.state().faults = down(Outage::Unavailable);
    // Nobody can bring the configuration to those that start anew.
    for i in herd {
        fleet.peer_paths[*i].cut();
    }
    restart(&mut fleet, herd);
    for i in herd {
        fleet.daemons[*i].wait_ready();
        assert_serves(&fleet, *i);
        assert!(fleet.daemons[*i].revision() >= before);
    }
}

#[parameterized(
    one = { &[0] },
    another = { &[1] },
    domain = { &[0, 1] },
)]
fn verify_a_restarted_daemon_gets_tokens(herd: &[usize]) {
    let mut fleet = Fleet::start(&options());
    restart(&mut fleet, herd);
    let started = Instant::now();
    let key = fleet.team.key.clone();
    for i in herd {
        fleet.daemons[*i].wait_ready();
        let listen = fleet.daemons[*i].listen();
        wait_until("a metered answer", || {
            chat(listen, &key, "question", 4).status == 200
        });
    }
    println!(
        "{herd:?}: metered answer {:?} after the start",
        started.elapsed()
    );
}

#[test]
fn verify_a_daemon_that_reaches_nobody_runs_nothing() {
    let (mut fleet, _) = cold();
    fleet.service.state().runs.clear();
    fleet.platform_paths[0].cut();
    for i in [1, 2, 3] {
        fleet.peer_paths[i].cut();
    }
    fleet.peer_paths[0].cut();
    fleet.daemons[0].restart();
    let listen = fleet.daemons[0].listen();
    wait_until("an answer", || get(listen, "/healthz", &[]).status == 200);
    let bearer = format!("Bearer {}", fleet.team.key);
    for path in ["/hours", "/lookups", "/orders", "/nowhere", "/v1/models"] {
        let answer = get(listen, path, &[("authorization", &bearer)]);
        assert_eq!((answer.status, answer.code().as_str()), (503, "not_ready"));
        assert!(answer.says_not_run());
        assert!(answer.headers.contains_key("retry-after"));
    }
    let answer = chat(listen, &fleet.team.key, "question", 4);
    assert_eq!((answer.status, answer.code().as_str()), (503, "not_ready"));
    assert!(!fleet.daemons[0].is_ready());
    assert!(
        fleet
            .service
            .state()
            .runs
            .iter()
            .all(|run| run.path == "/healthz")
    );
    fleet.peer_paths[2].heal();
    fleet.daemons[0].wait_ready();
    assert_serves(&fleet, 0);
}
