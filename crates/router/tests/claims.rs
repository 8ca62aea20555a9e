//! Non-idempotent requests run at most once, and refusals report correctly
//! whether a request has run. Checked against the runs that the service records.

mod support;

use std::thread;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::ServiceFault;
use limpetsaddle_fakes::ServiceFaultKind as Kind;
use support::Fleet;
use support::FleetOptions;
use support::Response;
use support::get;
use support::post;
use support::wait_until;
use yare::parameterized;

/// The environment variable that overrides the seed of the randomized test.
const SEED_VARIABLE: &str = "CLAIMS_SEED";

/// The number of callers in the randomized test.
const CALLERS: u64 = 4;

/// The number of orders per caller in the randomized test.
const ORDERS: u64 = 10;

fn start() -> Fleet {
    let fleet = Fleet::start_without_waiting(&FleetOptions {
        daemons: vec!["a", "a"],
        engines: Vec::new(),
        ..FleetOptions::default()
    });
    // Further upstreams for the same service, so that every retry has one left.
    let mut revision = 0;
    for i in 2..10 {
        let spec = serde_json::json!({"upstream": {
            "pool": "order-desk", "domain": "a", "address": fleet.service.address(),
        }});
        revision = fleet.put(&format!("upstream/desk-{i}"), spec);
    }
    for daemon in &fleet.daemons {
        daemon.wait_ready();
    }
    fleet.wait_revision(&[0, 1], revision);
    fleet
}

fn send(fleet: &Fleet, daemon: usize, path: &str, key: Option<&str>, body: &str) -> Response {
    let bearer = format!("Bearer {}", fleet.team.key);
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    post(fleet.daemons[daemon].listen(), path, &headers, body)
}

fn order(fleet: &Fleet, daemon: usize, key: &str) -> Response {
    send(fleet, daemon, "/orders", Some(key), key)
}

fn inject_fault(fleet: &Fleet, kind: Kind, requests: u32) {
    fleet.service.state().fault = Some(ServiceFault { kind, requests });
}

/// Returns the number of times that the service ran the request with `body`.
fn runs(fleet: &Fleet, body: &str) -> usize {
    let service = fleet.service.state();
    let runs = service.runs.iter().filter(|run| run.path != "/healthz");
    runs.filter(|run| run.body == body).count()
}

/// Checks a response against the runs of the service.
#[track_caller]
fn assert_consistent(fleet: &Fleet, body: &str, response: &Response) {
    let count = runs(fleet, body);
    assert!(count <= 1, "{body} ran {count} times: {response:?}");
    if response.status == 200 {
        assert_eq!(count, 1, "{body} succeeded without a run: {response:?}");
    }
    let id = response.headers.get("x-request-id");
    let Some(id) = id.filter(|_| response.reports_not_run()) else {
        return;
    };
    let service = fleet.service.state();
    let ran = service.runs.iter().any(|run| run.request_id == *id);
    assert!(!ran, "{body} ran under {id:?}, but {response:?}");
}

/// Returns the states of all claims stored at the platform.
fn claim_states(fleet: &Fleet) -> Vec<String> {
    let all = get(fleet.platform.address(), "/v1/records/claims", &[]).json();
    let records = all["records"].as_array().cloned().unwrap_or_default();
    let states = records.iter().map(|r| r["value"]["state"].to_string());
    states.collect()
}

#[parameterized(
    close_not_run = { Kind::CloseNotRun, 0 },
    close_after_run = { Kind::CloseAfterRun, 1 },
    silent_after_run = { Kind::SilentAfterRun, 1 },
    silent_not_run = { Kind::SilentNotRun, 0 },
)]
fn verify_request_that_may_have_run_is_not_retried(kind: Kind, expected: usize) {
    let fleet = start();
    inject_fault(&fleet, kind, 100);
    let sent = [(None, "without a key"), (Some("keyed"), "keyed")];
    thread::scope(|scope| {
        for (key, body) in sent {
            let fleet = &fleet;
            scope.spawn(move || {
                let response = send(fleet, 0, "/orders", key, body);
                assert_ne!(response.status, 200);
                assert!(!response.reports_not_run(), "{response:?}");
                assert_eq!(runs(fleet, body), expected);
                assert_consistent(fleet, body, &response);
            });
        }
    });
    fleet.service.state().fault = None;
    // Whether the keyed request ran is unknown, so no repetition may be sent.
    for daemon in [0, 1] {
        let repeated = order(&fleet, daemon, "keyed");
        assert_eq!(repeated.code(), "idempotency_conflict");
        assert!(!repeated.reports_not_run());
    }
    assert_eq!(runs(&fleet, "keyed"), expected);
}

#[test]
fn verify_request_that_was_not_run_is_retried() {
    let fleet = start();
    inject_fault(&fleet, Kind::RefuseNotRun, 1);
    let response = order(&fleet, 0, "refused once");
    assert_eq!(response.status, 200, "{response:?}");
    inject_fault(&fleet, Kind::RefuseNotRun, 100);
    let refused = order(&fleet, 0, "refused");
    assert!(refused.reports_not_run(), "{refused:?}");
    assert_consistent(&fleet, "refused", &refused);
    fleet.service.state().fault = None;
    wait_until("success of the repetition at another daemon", || {
        let repeated = order(&fleet, 1, "refused");
        assert_consistent(&fleet, "refused", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "refused"), 1);
}

#[parameterized(
    close_not_run = { Kind::CloseNotRun },
    close_after_run = { Kind::CloseAfterRun },
    refuse_not_run = { Kind::RefuseNotRun },
)]
fn verify_idempotent_request_is_retried(kind: Kind) {
    let fleet = start();
    inject_fault(&fleet, kind, 1);
    let response = send(&fleet, 0, "/lookups", None, "lookup");
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn verify_repeated_request_gets_first_response() {
    let mut fleet = start();
    let first = order(&fleet, 0, "repeated");
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("the record of the outcome", || {
        claim_states(&fleet)
            .iter()
            .all(|state| state.contains("done"))
    });
    fleet.daemons[0].restart();
    fleet.daemons[0].wait_ready();
    for daemon in [0, 1] {
        let repeated = order(&fleet, daemon, "repeated");
        assert_eq!(repeated.status, 200, "{repeated:?}");
        assert_eq!(repeated.body, first.body);
    }
    let other = send(&fleet, 1, "/orders", Some("repeated"), "another order");
    assert_eq!(other.code(), "idempotency_mismatch");
    assert!(other.reports_not_run());
    assert_eq!(runs(&fleet, "another order"), 0);
    assert_eq!(runs(&fleet, "repeated"), 1);
}

#[test]
fn verify_concurrent_duplicates_run_once() {
    let fleet = start();
    for i in 0..20 {
        let key = format!("twice-{i}");
        let responses: Vec<Response> = thread::scope(|scope| {
            let (fleet, key) = (&fleet, &key);
            let calls = [0, 1, 0, 1].map(|daemon| scope.spawn(move || order(fleet, daemon, key)));
            calls
                .into_iter()
                .map(|call| call.join().expect("a caller panicked"))
                .collect()
        });
        for response in &responses {
            assert_consistent(&fleet, &key, response);
        }
        assert!(responses.iter().any(|a| a.status == 200), "{responses:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}

#[test]
fn verify_lost_claim_reply_is_resolved() {
    let fleet = start();
    for i in 0..5 {
        let key = format!("lost-{i}");
        fleet.platform.state().faults.lost_answers = 2;
        let response = order(&fleet, i % 2, &key);
        assert_consistent(&fleet, &key, &response);
        fleet.platform.state().faults.lost_answers = 0;
        wait_until("success of the repetition", || {
            let repeated = order(&fleet, (i + 1) % 2, &key);
            assert_consistent(&fleet, &key, &repeated);
            repeated.status == 200
        });
        assert_eq!(runs(&fleet, &key), 1);
    }
}

#[parameterized(
    unavailable = { Outage::Unavailable },
    silent = { Outage::Silent },
    closing = { Outage::Closing },
)]
fn verify_nothing_is_sent_without_a_claim(outage: Outage) {
    let fleet = start();
    fleet.platform.state().faults.outage = outage;
    let refused = order(&fleet, 0, "no claim");
    assert_eq!(refused.code(), "claim_unavailable", "{refused:?}");
    assert!(refused.reports_not_run());
    assert_eq!(runs(&fleet, "no claim"), 0);
    // Idempotent requests need no claim and are served.
    let lookup = send(&fleet, 0, "/lookups", None, "lookup");
    assert_eq!(lookup.status, 200, "{lookup:?}");
    fleet.platform.state().faults.outage = Outage::None;
    wait_until("success after the outage", || {
        let repeated = order(&fleet, 1, "no claim");
        assert_consistent(&fleet, "no claim", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "no claim"), 1);
}

/// Freezes a daemon for `span` after it has claimed a request, before it sends it.
#[parameterized(
    within_the_window = { Duration::from_secs(1) },
    beyond_the_window = { Duration::from_secs(11) },
)]
fn verify_frozen_daemon_does_not_run_repeated_request(span: Duration) {
    let fleet = start();
    // Each write takes effect, but the daemon receives no reply.
    fleet.platform.state().faults.lost_answers = u32::MAX;
    let (frozen, repeated) = thread::scope(|scope| {
        let frozen = scope.spawn(|| order(&fleet, 0, "frozen"));
        wait_until("the claim", || !claim_states(&fleet).is_empty());
        fleet.daemons[0].freeze();
        fleet.platform.state().faults.lost_answers = 0;
        let repeated = order(&fleet, 1, "frozen");
        thread::sleep(span);
        fleet.daemons[0].thaw();
        (frozen.join().expect("a caller panicked"), repeated)
    });
    assert_eq!(repeated.code(), "idempotency_conflict", "{repeated:?}");
    assert_consistent(&fleet, "frozen", &frozen);
    wait_until("success of the repetition", || {
        let repeated = order(&fleet, 1, "frozen");
        assert_consistent(&fleet, "frozen", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "frozen"), 1);
}

#[test]
fn verify_daemon_killed_mid_request_leaves_at_most_one_run() {
    let mut fleet = start();
    inject_fault(&fleet, Kind::SilentAfterRun, 1);
    let bearer = format!("Bearer {}", fleet.team.key);
    let address = fleet.daemons[0].listen();
    let cut = thread::spawn(move || {
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", "cut"),
        ];
        post(address, "/orders", &headers, "cut")
    });
    wait_until("the run", || runs(&fleet, "cut") == 1);
    fleet.daemons[0].restart();
    assert_eq!(cut.join().expect("a caller panicked").status, 0);
    fleet.daemons[0].wait_ready();
    for daemon in [0, 1] {
        let repeated = order(&fleet, daemon, "cut");
        assert_eq!(repeated.code(), "idempotency_conflict", "{repeated:?}");
    }
    assert_eq!(runs(&fleet, "cut"), 1);
}

/// An order and the responses that its caller received.
struct OrderResult {
    key: String,
    responses: Vec<Response>,
}

#[test]
fn verify_orders_run_at_most_once_under_random_faults() {
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("{SEED_VARIABLE}={seed}");
    let fleet = start();
    let results: Vec<OrderResult> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || send_random_orders(fleet, seed, caller))
            })
            .collect();
        let mut step = 0;
        while callers.iter().any(|caller| !caller.is_finished()) {
            step += 1;
            inject_random_fault(&fleet, mix(seed ^ mix(step)));
        }
        let results = callers
            .into_iter()
            .map(|c| c.join().expect("a caller panicked"));
        results.flatten().collect()
    });
    fleet.service.state().fault = None;
    fleet.platform.state().faults.lost_answers = 0;
    let mut ran = 0;
    for OrderResult { key, responses } in &results {
        for response in responses {
            assert_consistent(&fleet, key, response);
        }
        let known = responses.iter().all(Response::reports_not_run);
        wait_until("the final response", || {
            let last = order(&fleet, 0, key);
            assert_consistent(&fleet, key, &last);
            let unknown = last.code() == "idempotency_conflict";
            last.status == 200 || (unknown && !known)
        });
        ran += runs(&fleet, key);
    }
    println!("{} orders, {ran} runs", results.len());
    assert!(ran > 0);
}

fn send_random_orders(fleet: &Fleet, seed: u64, caller: u64) -> Vec<OrderResult> {
    let orders = (0..ORDERS).map(|i| {
        let key = format!("order-{seed}-{caller}-{i}");
        let random = mix(seed ^ mix(caller << 32 | i));
        let first = usize::from(random & 1 == 1);
        let mut responses = Vec::new();
        if random & 2 == 2 {
            responses.extend(thread::scope(|scope| {
                let other = scope.spawn(|| order(fleet, 1 - first, &key));
                [
                    order(fleet, first, &key),
                    other.join().expect("a caller panicked"),
                ]
            }));
        } else {
            responses.push(order(fleet, first, &key));
        }
        if !responses.iter().any(|response| response.status == 200) {
            responses.push(order(fleet, 1 - first, &key));
        }
        OrderResult { key, responses }
    });
    orders.collect()
}

fn inject_random_fault(fleet: &Fleet, random: u64) {
    let daemon = usize::from(random & 64 == 64);
    let span = Duration::from_millis(random >> 8 & 127);
    match random % 8 {
        0 => inject_fault(fleet, Kind::CloseNotRun, 1),
        1 => inject_fault(fleet, Kind::CloseAfterRun, 1),
        2 => inject_fault(fleet, Kind::RefuseNotRun, 2),
        3 => fleet.platform.state().faults.lost_answers = 2,
        4 => {
            fleet.platform.state().faults.outage = Outage::Closing;
            thread::sleep(span);
            fleet.platform.state().faults.outage = Outage::None;
        }
        5 => {
            fleet.daemons[daemon].freeze();
            thread::sleep(span);
            fleet.daemons[daemon].thaw();
        }
        6 => {
            fleet.platform_paths[daemon].cut();
            thread::sleep(span);
            fleet.platform_paths[daemon].heal();
        }
        _ => thread::sleep(span),
    }
    thread::sleep(Duration::from_millis(50));
}
