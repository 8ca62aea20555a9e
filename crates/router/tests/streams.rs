//! Streams through whole daemons: complete, in order and the caller's own.

mod support;

use limpetsaddle_fakes::StreamFault;
use limpetsaddle_fakes::StreamFaultKind;
use support::Answer;
use support::Fleet;
use support::FleetOptions;
use support::chat;
use support::chat_body;
use support::tokens;
use support::wait_until;

/// The tokens of each answer.
const TOKENS: u64 = 20;

fn expected(prompt: &str) -> Vec<String> {
    limpetsaddle_fakes::expected_completion(&chat_body(prompt, TOKENS), TOKENS)
}

#[track_caller]
fn assert_whole(answer: &Answer, prompt: &str) {
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(answer.complete && answer.is_done(), "{}", answer.body);
    assert_eq!(tokens(&answer.body), expected(prompt));
}

/// Checks that an answer that could not be completed says so.
#[track_caller]
fn assert_broken(answer: &Answer, prompt: &str) {
    assert!(!answer.is_done(), "{}", answer.body);
    assert!(!answer.code().is_empty(), "{}", answer.body);
    assert!(!answer.says_not_run(), "{}", answer.body);
    let sent = tokens(&answer.body);
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
fn verify_answers_are_complete_and_in_order() {
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
                let answer = chat(address, &key, &prompt, TOKENS);
                assert_whole(&answer, &prompt);
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("an answer is whole");
    }
    for engine in &fleet.engines {
        let state = engine.state();
        let seen = state.received.iter().any(|r| r.contains(&fleet.team.key));
        assert!(!seen, "an engine saw a key");
    }
}

#[test]
fn verify_faults_of_one_stream_are_mended() {
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
        // One engine fails once; the others stand by.
        let prompt = format!("case {number}");
        fleet.engines[0].state().faults.stream = Some(StreamFault {
            kind,
            after,
            streams: 1,
        });
        wait_until("the fault", || {
            let answer = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
            assert_whole(&answer, &prompt);
            let fault = fleet.engines[0].state().faults.stream;
            fault.is_some_and(|fault| fault.streams == 0)
        });
    }
    let resumed = daemon.metric("limpetsaddle_events_total{event=\"stream_resumed\"");
    assert!(resumed >= 3, "only {resumed} streams were resumed");
}

#[test]
fn verify_a_stream_that_cannot_be_completed_says_so() {
    let fleet = three_engines();
    let daemon = &fleet.daemons[0];
    for (number, kind) in [StreamFaultKind::Die, StreamFaultKind::End]
        .into_iter()
        .enumerate()
    {
        fault(&fleet, kind, 3, 1_000);
        let prompt = format!("hopeless {number}");
        let answer = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
        assert_eq!(answer.status, 200);
        assert_broken(&answer, &prompt);
        fault(&fleet, kind, 3, 0);
        wait_until("service after the faults", || {
            let answer = chat(daemon.listen(), &fleet.team.key, &prompt, TOKENS);
            answer.status == 200 && answer.is_done()
        });
    }
}

#[test]
fn verify_an_engine_restarted_under_its_address_is_another() {
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
    let answer = caller.join().expect("an answer");
    assert_whole(&answer, prompt);
}
