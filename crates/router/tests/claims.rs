//! Non-idempotent requests through whole daemons: at most one run, and true
//! refusals. The service's own record of its runs is what counts.

mod support;

use std::thread;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::ServiceFault;
use limpetsaddle_fakes::ServiceFaultKind as Kind;
use support::Answer;
use support::Fleet;
use support::FleetOptions;
use support::get;
use support::post;
use support::wait_until;
use yare::parameterized;

/// The environment variable that replaces the seed of the randomised run.
const SEED: &str = "CLAIMS_SEED";

/// The callers of the randomised run, and the orders of each.
const CALLERS: u64 = 4;
const ORDERS: u64 = 10;

fn start() -> Fleet {
    let fleet = Fleet::start_cold(&FleetOptions {
        daemons: vec!["a", "a"],
        engines: Vec::new(),
        ..FleetOptions::default()
    });
    // Further ways to the same service, so that a retry always finds one.
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

fn send(fleet: &Fleet, daemon: usize, path: &str, key: Option<&str>, body: &str) -> Answer {
    let bearer = format!("Bearer {}", fleet.team.key);
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    post(fleet.daemons[daemon].listen(), path, &headers, body)
}

fn order(fleet: &Fleet, daemon: usize, key: &str) -> Answer {
    send(fleet, daemon, "/orders", Some(key), key)
}

fn fail(fleet: &Fleet, kind: Kind, requests: u32) {
    fleet.service.state().fault = Some(ServiceFault { kind, requests });
}

/// Returns how often the service ran the request with `body`.
fn runs(fleet: &Fleet, body: &str) -> usize {
    let service = fleet.service.state();
    let runs = service.runs.iter().filter(|run| run.path != "/healthz");
    runs.filter(|run| run.body == body).count()
}

/// Checks one answer against what the service has run.
#[track_caller]
fn check(fleet: &Fleet, body: &str, answer: &Answer) {
    let count = runs(fleet, body);
    assert!(count <= 1, "{body} ran {count} times: {answer:?}");
    if answer.status == 200 {
        assert_eq!(count, 1, "{body} is answered but did not run: {answer:?}");
    }
    let id = answer.headers.get("x-request-id");
    let Some(id) = id.filter(|_| answer.says_not_run()) else {
        return;
    };
    let service = fleet.service.state();
    let ran = service.runs.iter().any(|run| run.request_id == *id);
    assert!(!ran, "{body} ran under {id:?}, but {answer:?}");
}

/// Returns the states of the claims on the platform.
fn claims(fleet: &Fleet) -> Vec<String> {
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
fn verify_a_request_that_may_have_run_is_not_sent_again(kind: Kind, expected: usize) {
    let fleet = start();
    fail(&fleet, kind, 100);
    let sent = [(None, "without a key"), (Some("keyed"), "keyed")];
    thread::scope(|scope| {
        for (key, body) in sent {
            let fleet = &fleet;
            scope.spawn(move || {
                let answer = send(fleet, 0, "/orders", key, body);
                assert_ne!(answer.status, 200);
                assert!(!answer.says_not_run(), "{answer:?}");
                assert_eq!(runs(fleet, body), expected);
                check(fleet, body, &answer);
            });
        }
    });
    fleet.service.state().fault = None;
    // Nobody knows whether the keyed one ran, so no repetition may send it.
    for daemon in [0, 1] {
        let repeated = order(&fleet, daemon, "keyed");
        assert_eq!(repeated.code(), "idempotency_conflict");
        assert!(!repeated.says_not_run());
    }
    assert_eq!(runs(&fleet, "keyed"), expected);
}

#[test]
fn verify_a_request_that_was_not_run_is_sent_again() {
    let fleet = start();
    fail(&fleet, Kind::RefuseNotRun, 1);
    let answer = order(&fleet, 0, "refused once");
    assert_eq!(answer.status, 200, "{answer:?}");
    fail(&fleet, Kind::RefuseNotRun, 100);
    let refused = order(&fleet, 0, "refused");
    assert!(refused.says_not_run(), "{refused:?}");
    check(&fleet, "refused", &refused);
    fleet.service.state().fault = None;
    wait_until("the repetition on another daemon", || {
        let repeated = order(&fleet, 1, "refused");
        check(&fleet, "refused", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "refused"), 1);
}

#[parameterized(
    close_not_run = { Kind::CloseNotRun },
    close_after_run = { Kind::CloseAfterRun },
    refuse_not_run = { Kind::RefuseNotRun },
)]
fn verify_an_idempotent_request_is_retried(kind: Kind) {
    let fleet = start();
    fail(&fleet, kind, 1);
    let answer = send(&fleet, 0, "/lookups", None, "lookup");
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn verify_a_repetition_gets_the_first_answer() {
    let mut fleet = start();
    let first = order(&fleet, 0, "repeated");
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("the record of the outcome", || {
        claims(&fleet).iter().all(|state| state.contains("done"))
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
    assert!(other.says_not_run());
    assert_eq!(runs(&fleet, "another order"), 0);
    assert_eq!(runs(&fleet, "repeated"), 1);
}

#[test]
fn verify_a_simultaneous_repetition_does_not_run() {
    let fleet = start();
    for i in 0..20 {
        let key = format!("twice-{i}");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let (fleet, key) = (&fleet, &key);
            let calls = [0, 1, 0, 1].map(|daemon| scope.spawn(move || order(fleet, daemon, key)));
            calls
                .into_iter()
                .map(|call| call.join().expect("no panic"))
                .collect()
        });
        for answer in &answers {
            check(&fleet, &key, answer);
        }
        assert!(answers.iter().any(|a| a.status == 200), "{answers:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}

#[test]
fn verify_a_lost_claim_answer_is_told_apart() {
    let fleet = start();
    for i in 0..5 {
        let key = format!("lost-{i}");
        fleet.platform.state().faults.lost_answers = 2;
        let answer = order(&fleet, i % 2, &key);
        check(&fleet, &key, &answer);
        fleet.platform.state().faults.lost_answers = 0;
        wait_until("an answer to the repetition", || {
            let repeated = order(&fleet, (i + 1) % 2, &key);
            check(&fleet, &key, &repeated);
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
    assert!(refused.says_not_run());
    assert_eq!(runs(&fleet, "no claim"), 0);
    // Requests that need no claim are served.
    let lookup = send(&fleet, 0, "/lookups", None, "lookup");
    assert_eq!(lookup.status, 200, "{lookup:?}");
    fleet.platform.state().faults.outage = Outage::None;
    wait_until("the run after the outage", || {
        let repeated = order(&fleet, 1, "no claim");
        check(&fleet, "no claim", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "no claim"), 1);
}

/// Freezes a daemon that has its claim and has not sent, for `span`.
#[parameterized(
    within_the_window = { Duration::from_secs(1) },
    beyond_the_window = { Duration::from_secs(11) },
)]
fn verify_a_frozen_daemon_does_not_run_a_repeated_request(span: Duration) {
    let fleet = start();
    // Each write takes effect, but the daemon does not learn it.
    fleet.platform.state().faults.lost_answers = u32::MAX;
    let (frozen, repeated) = thread::scope(|scope| {
        let frozen = scope.spawn(|| order(&fleet, 0, "frozen"));
        wait_until("the claim", || !claims(&fleet).is_empty());
        fleet.daemons[0].freeze();
        fleet.platform.state().faults.lost_answers = 0;
        let repeated = order(&fleet, 1, "frozen");
        thread::sleep(span);
        fleet.daemons[0].thaw();
        (frozen.join().expect("no panic"), repeated)
    });
    assert_eq!(repeated.code(), "idempotency_conflict", "{repeated:?}");
    check(&fleet, "frozen", &frozen);
    wait_until("the end of the request", || {
        let repeated = order(&fleet, 1, "frozen");
        check(&fleet, "frozen", &repeated);
        repeated.status == 200
    });
    assert_eq!(runs(&fleet, "frozen"), 1);
}

#[test]
fn verify_a_daemon_killed_in_flight_leaves_at_most_one_run() {
    let mut fleet = start();
    fail(&fleet, Kind::SilentAfterRun, 1);
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
    assert_eq!(cut.join().expect("no panic").status, 0);
    fleet.daemons[0].wait_ready();
    for daemon in [0, 1] {
        let repeated = order(&fleet, daemon, "cut");
        assert_eq!(repeated.code(), "idempotency_conflict", "{repeated:?}");
    }
    assert_eq!(runs(&fleet, "cut"), 1);
}

/// An `Asked` is an order with the answers that its caller got.
struct Asked {
    key: String,
    answers: Vec<Answer>,
}

#[test]
fn verify_orders_run_at_most_once_under_random_faults() {
    let seed = std::env::var(SEED).ok().and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("{SEED}={seed}");
    let fleet = start();
    let asked: Vec<Asked> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || call_at_random(fleet, seed, caller))
            })
            .collect();
        let mut step = 0;
        while callers.iter().any(|caller| !caller.is_finished()) {
            step += 1;
            break_at_random(&fleet, mix(seed ^ mix(step)));
        }
        let asked = callers.into_iter().map(|c| c.join().expect("no panic"));
        asked.flatten().collect()
    });
    fleet.service.state().fault = None;
    fleet.platform.state().faults.lost_answers = 0;
    let mut ran = 0;
    for Asked { key, answers } in &asked {
        for answer in answers {
            check(&fleet, key, answer);
        }
        let known = answers.iter().all(Answer::says_not_run);
        wait_until("a last answer", || {
            let last = order(&fleet, 0, key);
            check(&fleet, key, &last);
            let unknown = last.code() == "idempotency_conflict";
            last.status == 200 || (unknown && !known)
        });
        ran += runs(&fleet, key);
    }
    println!("{} orders, {ran} runs", asked.len());
    assert!(ran > 0);
}

fn call_at_random(fleet: &Fleet, seed: u64, caller: u64) -> Vec<Asked> {
    let orders = (0..ORDERS).map(|i| {
        let key = format!("order-{seed}-{caller}-{i}");
        let random = mix(seed ^ mix(caller << 32 | i));
        let first = usize::from(random & 1 == 1);
        let mut answers = Vec::new();
        if random & 2 == 2 {
            answers.extend(thread::scope(|scope| {
                let other = scope.spawn(|| order(fleet, 1 - first, &key));
                [order(fleet, first, &key), other.join().expect("no panic")]
            }));
        } else {
            answers.push(order(fleet, first, &key));
        }
        if !answers.iter().any(|answer| answer.status == 200) {
            answers.push(order(fleet, 1 - first, &key));
        }
        Asked { key, answers }
    });
    orders.collect()
}

fn break_at_random(fleet: &Fleet, random: u64) {
    let daemon = usize::from(random & 64 == 64);
    let span = Duration::from_millis(random >> 8 & 127);
    match random % 8 {
        0 => fail(fleet, Kind::CloseNotRun, 1),
        1 => fail(fleet, Kind::CloseAfterRun, 1),
        2 => fail(fleet, Kind::RefuseNotRun, 2),
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
