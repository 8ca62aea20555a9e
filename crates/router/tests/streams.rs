//! Streamed responses are complete, in order and belong to their request.

mod support;

use limpetsaddle_fakes::StreamFault;
use limpetsaddle_fakes::StreamFaultKind;
use support::Fleet;
use support::FleetOptions;
use support::Response;
use support::chat;
use support::chat_body;
use support::tokens;
use support::wait_until;

/// The number of tokens in each response.
const TOKENS: u64 = 20;

fn expected(prompt: &str) -> Vec<String> {
    limpetsaddle_fakes::expected_completion(&chat_body(prompt, TOKENS), TOKENS)
}

#[track_caller]
fn assert_complete(response: &Response, prompt: &str) {
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.complete && response.is_done(), "{}", response.body);
    assert_eq!(tokens(&response.body), expected(prompt));
}

/// Checks that an incomplete response ends with an error and that its tokens are
/// a prefix of the expected ones.
#[track_caller]
fn assert_broken(response: &Response, prompt: &str) {
    assert!(!response.is_done(), "{}", response.body);
    assert!(!response.code().is_empty(), "{}", response.body);
    assert!(!response.reports_not_run(), "{}", response.body);
    let sent = tokens(&response.body);
    let expected = expected(prompt);
    assert_eq!(sent, expected[..sent.len()]);
}

fn fault(fleet: &Fleet, kind: StreamFaultKind, after: u64, streams: u32) {
    for engine in &fleet.engines {
        engine.state().faults.stream = Some(StreamFault {
            kind,
            after,
            streams,
        });
    }
}

fn three_engines() -> Fleet {
    Fleet::start(&FleetOptions {
        daemons: vec!["a"],
        engines: vec!["a", "a", "a"],
        ..FleetOptions::default()
    })
}

#[test]
fn verify_streams_are_complete_and_in_order() {
    let fleet = Fleet::start(&FleetOptions {
        daemons: vec!["a", "a"],
        engines: vec!["a", "a", "a"],
        ..FleetOptions::default()
    });
    let callers: Vec<_> = (0..10)
        .map(|i| {
            let address = fleet.daemons[i % 2].listen();
            let key = fleet.team.key.clone();
            let prompt = format!("question {i}");
            std::thread::spawn(move || {
                let response = chat(address, &key, &prompt, TOKENS);
                assert_complete(&response, &prompt);
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a caller panicked");
    }
    for engine in &fleet.engines {
        let state = engine.state();
        let seen = state.received.iter().any(|r| r.contains(&fleet.team.key));
        assert!(!seen, "an engine received a key");
    }
}

#[test]
fn verify_stream_faults_are_recovered() {
    let fleet = three_engines();
    let daemon = &fleet.daemons[0];
    let cases = [
        (StreamFaultKind::Die, 0),
        (StreamFaultKind::Die, 7),
        (StreamFaultKind::Die, TOKENS - 1),
        (StreamFaultKind::End, 0),
        (StreamFaultKind::End, 7),
        (StreamFaultKind::Repeat, 7),
        (StreamFaultKind::Skip, 7),
        (StreamFaultKind::Late, 7),
        (StreamFaultKind::Cross, 7),
    ];
    for (number, (kind, after)) in cases.into_iter().enumerate() {
        // One engine fails once; the others stay healthy.
        let prompt = format!("case {number}");
        fleet.engines[0].state().faults.stream = Some(StreamFault {
            kind,
            after,
            streams: 1,
        });
        wait_until("the fault", || {
            let response = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
            assert_complete(&response, &prompt);
            let fault = fleet.engines[0].state().faults.stream;
            fault.is_some_and(|fault| fault.streams == 0)
        });
    }
    let resumed = daemon.metric("limpetsaddle_events_total{event=\"stream_resumed\"");
    assert!(resumed >= 3, "only {resumed} streams were resumed");
}

#[test]
fn verify_unrecoverable_stream_ends_with_error() {
    let fleet = three_engines();
    let daemon = &fleet.daemons[0];
    for (number, kind) in [StreamFaultKind::Die, StreamFaultKind::End]
        .into_iter()
        .enumerate()
    {
        fault(&fleet, kind, 3, 1_000);
        let prompt = format!("hopeless {number}");
        let response = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
        assert_eq!(response.status, 200);
        assert_broken(&response, &prompt);
        fault(&fleet, kind, 3, 0);
        wait_until("a complete stream after the faults", || {
            let response = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
            response.status == 200 && response.is_done()
        });
    }
}

#[test]
fn verify_engine_restarted_at_same_address_is_detected() {
    let fleet = Fleet::start(&FleetOptions {
        engine: limpetsaddle_fakes::EngineOptions {
            token_delay: std::time::Duration::from_millis(20),
            ..limpetsaddle_fakes::EngineOptions::default()
        },
        engines: vec!["a", "a"],
        ..FleetOptions::default()
    });
    let prompt = "restarted in the middle";
    let address = fleet.daemons[0].listen();
    let key = fleet.team.key.clone();
    let caller = std::thread::spawn(move || chat(address, &key, prompt, TOKENS));
    wait_until("a running stream", || {
        let started =
            |e: &limpetsaddle_fakes::FakeEngine| e.state().runs.iter().any(|r| r.sent > 3);
        fleet.engines.iter().any(started)
    });
    for engine in &fleet.engines {
        let runs = engine.state().runs.iter().any(|r| r.sent > 3);
        if runs {
            engine.state().restart_empty();
        }
    }
    let response = caller.join().expect("a caller panicked");
    assert_complete(&response, prompt);
}
