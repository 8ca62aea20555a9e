//! Orders to engines through whole daemons: one giver, and no older weights.

mod support;

use std::collections::BTreeSet;
use std::thread;

use limpetsaddle_fakes::FakeEngine;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::FleetOptions;
use support::MODEL;
use support::chat;
use support::get;
use support::wait_until;

/// A prompt of several cache blocks.
fn long_prompt() -> String {
    "dry birch in stacks ".repeat(400)
}

fn start() -> Fleet {
    Fleet::start(&FleetOptions {
        daemons: vec!["a", "a"],
        engines: vec!["a", "a", "a", "a"],
        ..FleetOptions::default()
    })
}

fn want(fleet: &Fleet, weights: u64) -> u64 {
    let kind = json!({"engine": {"model": MODEL, "weights": weights, "block": 256}});
    let pool = json!({"pool": {"kind": kind, "checks_fencing": true}});
    fleet.put("pool/lm-pool", pool)
}

fn state(engine: &FakeEngine) -> Value {
    serde_json::to_value(&*engine.state()).expect("a state is JSON")
}

fn wait_weights(fleet: &Fleet, weights: u64) {
    for engine in &fleet.engines {
        wait_until("the weights on an engine", || {
            state(engine)["weights"] == weights
        });
    }
}

/// Returns the index of the daemon that holds the lease.
fn holder(fleet: &Fleet) -> usize {
    let path = "/v1/records/leases/orders.a";
    let mut found = None;
    wait_until("a holder", || {
        let lease = get(fleet.platform.address(), path, &[]).json();
        let name = lease["value"]["holder"]["instance"].clone();
        found = fleet.daemons.iter().position(|d| name == *d.options.name);
        found.is_some()
    });
    found.expect("there is a holder")
}

/// Checks that no engine carried out an order after one of a later holder.
fn check_order(fleet: &Fleet) {
    for engine in &fleet.engines {
        let orders = engine.state().orders.clone();
        assert!(orders.is_sorted(), "{orders:?}");
    }
}

#[test]
fn verify_a_roll_out_reaches_all_engines_and_answers_go_on() {
    let fleet = start();
    let prompt = long_prompt();
    let key = &fleet.team.key;
    for _ in 0..8 {
        assert!(chat(fleet.daemons[0].listen(), key, &prompt, 3).is_done());
    }
    let hot = |e: &FakeEngine| e.state().runs.iter().any(|run| run.cached_tokens > 0);
    assert!(fleet.engines.iter().any(hot));
    thread::scope(|scope| {
        let rolled = scope.spawn(|| {
            want(&fleet, 2);
            wait_weights(&fleet, 2);
        });
        while !rolled.is_finished() {
            for daemon in &fleet.daemons {
                let answer = chat(daemon.listen(), key, &prompt, 3);
                assert!(answer.is_done(), "{answer:?}");
            }
        }
    });
    wait_until("answers from the new weights", || {
        assert!(chat(fleet.daemons[0].listen(), key, &prompt, 3).is_done());
        salts(&fleet).len() >= 2
    });
    check_order(&fleet);
    for engine in &fleet.engines {
        let mut seen = BTreeSet::new();
        for run in &engine.state().runs {
            let first = seen.insert(run.cache_salt.clone());
            assert!(!first || run.cached_tokens == 0, "{run:?}");
        }
    }
}

fn salts(fleet: &Fleet) -> BTreeSet<String> {
    let mut salts = BTreeSet::new();
    for engine in &fleet.engines {
        salts.extend(engine.state().runs.iter().map(|r| r.cache_salt.clone()));
    }
    salts
}

#[test]
fn verify_another_daemon_takes_over_from_a_killed_holder() {
    let mut fleet = start();
    let first = holder(&fleet);
    fleet.daemons[first].kill();
    want(&fleet, 2);
    wait_weights(&fleet, 2);
    assert_eq!(holder(&fleet), 1 - first);
    check_order(&fleet);
}

#[test]
fn verify_a_thawed_holder_brings_no_older_weights_back() {
    let fleet = start();
    let first = holder(&fleet);
    want(&fleet, 2);
    wait_until("the first order", || {
        let mut engines = fleet.engines.iter();
        engines.any(|engine| !engine.state().orders.is_empty())
    });
    fleet.daemons[first].freeze();
    let revision = want(&fleet, 3);
    wait_weights(&fleet, 3);
    fleet.daemons[first].thaw();
    fleet.wait_revision(&[first], revision);
    want(&fleet, 4);
    wait_weights(&fleet, 4);
    check_order(&fleet);
    assert_eq!(holder(&fleet), 1 - first);
}
