//! Restarted daemons serve without waiting for the platform.

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

/// Starts a fleet and returns it with the revision that all its daemons have applied.
fn start_fleet() -> (Fleet, u64) {
    let fleet = Fleet::start_without_waiting(&options());
    let open = json!({"route": {"path": "/hours", "pool": "order-desk", "idempotent": true, "open": true}});
    let revision = fleet.put("route/hours", open);
    fleet.wait_revision(&[0, 1, 2, 3], revision);
    (fleet, revision)
}

/// Checks that a daemon serves a request on an open route and an authorized
/// request that costs no tokens.
#[track_caller]
fn assert_serves(fleet: &Fleet, i: usize) {
    let listen = fleet.daemons[i].listen();
    let bearer = format!("Bearer {}", fleet.team.key);
    let response = get(listen, "/hours", &[]);
    assert_eq!(response.status, 200, "{}", response.body);
    let response = get(listen, "/lookups", &[("authorization", &bearer)]);
    assert_eq!(response.status, 200, "{}", response.body);
}

fn restart(fleet: &mut Fleet, restarted: &[usize]) {
    for i in restarted {
        fleet.daemons[*i].kill();
    }
    for i in restarted {
        fleet.daemons[*i].restart();
    }
}

const HEALTHY: PlatformFaults = PlatformFaults {
    outage: Outage::None,
    delay: Duration::ZERO,
    lost_answers: 0,
    max_calls_per_second: None,
    watch: limpetsaddle_fakes::WatchFault::None,
};

const SLOW: PlatformFaults = PlatformFaults {
    delay: Duration::from_secs(3),
    ..HEALTHY
};

const fn with_outage(outage: Outage) -> PlatformFaults {
    PlatformFaults { outage, ..HEALTHY }
}

#[parameterized(
    one = { &[0], HEALTHY },
    one_slow_platform = { &[0], SLOW },
    one_platform_unavailable = { &[0], with_outage(Outage::Unavailable) },
    one_platform_silent = { &[0], with_outage(Outage::Silent) },
    domain = { &[0, 1], HEALTHY },
    domain_slow_platform = { &[0, 1], SLOW },
    domain_platform_unavailable = { &[0, 1], with_outage(Outage::Unavailable) },
    domain_platform_silent = { &[0, 1], with_outage(Outage::Silent) },
    domain_platform_closing = { &[0, 1], with_outage(Outage::Closing) },
    all = { &[0, 1, 2, 3], HEALTHY },
)]
fn verify_restarted_daemon_serves(restarted: &[usize], faults: PlatformFaults) {
    let (mut fleet, before) = start_fleet();
    fleet.platform.state().faults = faults;
    restart(&mut fleet, restarted);
    let started = Instant::now();
    for i in restarted {
        fleet.daemons[*i].wait_ready();
        assert_serves(&fleet, *i);
    }
    println!("{restarted:?} served after {:?}", started.elapsed());
    for i in restarted {
        assert!(fleet.daemons[*i].revision() >= before);
    }
}

#[parameterized(
    one = { &[0] },
    domain = { &[0, 1] },
)]
fn verify_restarted_daemon_loads_configuration_from_peers(restarted: &[usize]) {
    let (mut fleet, before) = start_fleet();
    fleet.platform.state().faults = with_outage(Outage::Unavailable);
    // Peers cannot push the configuration to the restarted daemons.
    for i in restarted {
        fleet.peer_paths[*i].cut();
    }
    restart(&mut fleet, restarted);
    for i in restarted {
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
fn verify_restarted_daemon_gets_tokens(restarted: &[usize]) {
    let mut fleet = Fleet::start(&options());
    restart(&mut fleet, restarted);
    let started = Instant::now();
    let key = fleet.team.key.clone();
    for i in restarted {
        fleet.daemons[*i].wait_ready();
        let listen = fleet.daemons[*i].listen();
        wait_until("a metered response", || {
            chat(listen, &key, "question", 4).status == 200
        });
    }
    println!(
        "{restarted:?}: metered response after {:?}",
        started.elapsed()
    );
}

#[test]
fn verify_isolated_daemon_refuses_all_requests() {
    let (mut fleet, _) = start_fleet();
    fleet.service.state().runs.clear();
    fleet.platform_paths[0].cut();
    for i in [1, 2, 3] {
        fleet.peer_paths[i].cut();
    }
    fleet.peer_paths[0].cut();
    fleet.daemons[0].restart();
    let listen = fleet.daemons[0].listen();
    wait_until("a response", || get(listen, "/healthz", &[]).status == 200);
    let bearer = format!("Bearer {}", fleet.team.key);
    for path in ["/hours", "/lookups", "/orders", "/nowhere", "/v1/models"] {
        let response = get(listen, path, &[("authorization", &bearer)]);
        assert_eq!(
            (response.status, response.code().as_str()),
            (503, "not_ready")
        );
        assert!(response.reports_not_run());
        assert!(response.headers.contains_key("retry-after"));
    }
    let response = chat(listen, &fleet.team.key, "question", 4);
    assert_eq!(
        (response.status, response.code().as_str()),
        (503, "not_ready")
    );
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
