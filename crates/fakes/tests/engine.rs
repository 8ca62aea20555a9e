//! Tests of the fake model engine.

mod support;

use std::time::Duration;

use http::Method;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;
use limpetsaddle_fakes::StreamFault;
use limpetsaddle_fakes::StreamFaultKind;
use limpetsaddle_fakes::expected_completion;
use limpetsaddle_http::Result;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::call;
use support::open;
use yare::parameterized;

const CHAT: &str = "/v1/chat/completions";

fn start(options: EngineOptions) -> FakeEngine {
    FakeEngine::start(options).expect("loopback has a free port")
}

fn request(prompt: &str) -> Value {
    json!({
        "model": "birch-7b",
        "messages": [{"role": "user", "content": prompt}],
        "cache_salt": "s1",
        "max_tokens": 4,
    })
}

/// Returns the events of a response and whether its body was complete.
async fn events(engine: &FakeEngine, body: &Value) -> Result<(Vec<Value>, bool)> {
    let mut res = open(engine.address(), Method::POST, CHAT, body).await?;
    assert_eq!(res.head.status, 200);
    assert_eq!(res.head.headers["x-request-id"], "r1");
    let mut events = Vec::new();
    loop {
        match res.next().await {
            Ok(None) => return Ok((events, true)),
            Ok(Some(event)) => {
                let data = std::str::from_utf8(&event)
                    .unwrap()
                    .strip_prefix("data: ")
                    .unwrap();
                events.push(serde_json::from_str(data).unwrap_or_else(|_| json!(data.trim())));
            }
            Err(_) => return Ok((events, false)),
        }
    }
}

fn text(events: &[Value]) -> String {
    let content = |event: &Value| {
        event["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    };
    events.iter().filter_map(content).collect()
}

fn cached_tokens(events: &[Value]) -> u64 {
    let usage = |event: &Value| event["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    events
        .iter()
        .find_map(usage)
        .expect("the last token has the usage")
}

#[test]
fn verify_response_is_complete_and_can_be_resumed() {
    let engine = start(EngineOptions::default());
    let mut body = request("How dry is it?");
    let (all, is_complete) = block_on(events(&engine, &body)).unwrap();
    assert!(is_complete);
    assert_eq!(text(&all), expected_completion(&body, 4).concat());
    assert_eq!(all[3]["choices"][0]["finish_reason"], "stop");
    assert_eq!(all[4], "[DONE]");

    body["resume_from"] = json!(2);
    let (rest, _) = block_on(events(&engine, &body)).unwrap();
    assert_eq!(rest[0]["index"], 2);
    assert_eq!(text(&rest), expected_completion(&body, 4)[2..].concat());
    assert_eq!(engine.state().runs_of("r1"), 2);
    assert!(engine.state().received[0].contains("How dry"));
}

#[test]
fn verify_cache_is_bounded_salted_and_lost_in_a_crash() {
    let options = EngineOptions {
        block_tokens: 4,
        cache_blocks: 4,
        ..EngineOptions::default()
    };
    let engine = start(options);
    let cached = |body: &Value| cached_tokens(&block_on(events(&engine, body)).unwrap().0);
    let body = request(&"a".repeat(40));
    assert_eq!(cached(&body), 0);
    assert_eq!(cached(&body), 8);
    let mut other_salt = body.clone();
    other_salt["cache_salt"] = json!("s2");
    assert_eq!(cached(&other_salt), 0);
    // Two more prompts of two blocks each evict the first one.
    assert_eq!(cached(&request(&"b".repeat(40))), 0);
    assert_eq!(cached(&body), 0);

    engine.state().crash();
    assert!(block_on(events(&engine, &body)).is_err());
    let before = engine.state().incarnation();
    engine.state().restart_empty();
    assert_ne!(engine.state().incarnation(), before);
    assert_eq!(cached(&body), 0);
}

#[parameterized(
    die = { StreamFaultKind::Die, &[0, 1], false },
    end = { StreamFaultKind::End, &[0, 1], true },
    repeat = { StreamFaultKind::Repeat, &[0, 1, 2, 2, 3], true },
    skip = { StreamFaultKind::Skip, &[0, 1, 3], true },
    late = { StreamFaultKind::Late, &[0, 1, 0, 2, 3], true },
    cross = { StreamFaultKind::Cross, &[0, 1, 2, 2, 3], true },
)]
fn verify_stream_faults(kind: StreamFaultKind, expected: &[u64], is_complete: bool) {
    let engine = start(EngineOptions::default());
    engine.state().faults.stream = Some(StreamFault {
        kind,
        after: 2,
        streams: 1,
    });
    let body = request("a");
    let (faulty, found_complete) = block_on(events(&engine, &body)).unwrap();
    let indices: Vec<u64> = faulty
        .iter()
        .filter_map(|event| event["index"].as_u64())
        .collect();
    assert_eq!(
        (indices.as_slice(), found_complete),
        (expected, is_complete)
    );
    let (next, _) = block_on(events(&engine, &body)).unwrap();
    assert_eq!(text(&next), expected_completion(&body, 4).concat());
}

#[parameterized(
    checked = { true, 409 },
    ignored = { false, 200 },
)]
fn verify_orders_with_an_old_fencing_number(checks_fencing: bool, expected: u16) {
    let options = EngineOptions {
        checks_fencing,
        ..EngineOptions::default()
    };
    let engine = start(options);
    let order = |fencing: u64| {
        let body = json!({"fencing": fencing, "order": {"role": "decode"}});
        block_on(call(engine.address(), Method::POST, "/orders", &body)).unwrap()
    };
    assert_eq!(order(5).1["fencing"], 5);
    assert_eq!(order(5).0, 200);
    assert_eq!(order(4).0, expected);
}

#[test]
fn verify_loading_rejects_requests_and_changes_the_weights() {
    let options = EngineOptions {
        load_time: Duration::from_hours(1),
        ..EngineOptions::default()
    };
    let engine = start(options);
    let order = json!({"fencing": 1, "order": {"load": {"model": "birch-7b", "weights": 2}}});
    block_on(call(engine.address(), Method::POST, "/orders", &order)).unwrap();
    let rejected = block_on(open(engine.address(), Method::POST, CHAT, &request("a"))).unwrap();
    assert_eq!(rejected.head.status, 503);
    assert_eq!(rejected.head.headers["x-not-run"], "true");
    let load = block_on(call(engine.address(), Method::GET, "/load", &Value::Null)).unwrap();
    assert_eq!(load.1["weights"], 2);
    assert!(engine.state().runs.is_empty());
}

#[test]
fn verify_next_slot_goes_to_the_smallest_priority() {
    let options = EngineOptions {
        slots: 1,
        token_delay: Duration::from_millis(1),
        ..EngineOptions::default()
    };
    let engine = start(options);
    // The first stream holds the slot until it is dropped.
    engine.state().faults.stream = Some(StreamFault {
        kind: StreamFaultKind::Stall,
        after: 0,
        streams: 1,
    });
    block_on(async {
        let holder = open(engine.address(), Method::POST, CHAT, &request("a"))
            .await
            .unwrap();
        let send = |priority: i64| {
            let mut body = request("b");
            body["priority"] = json!(priority);
            body["cache_salt"] = json!(priority.to_string());
            let address = engine.address();
            monoio::spawn(async move { call(address, Method::POST, CHAT, &body).await })
        };
        let second = send(9);
        while engine_load(&engine).await["waiting"] != 1 {}
        let first = send(1);
        while engine_load(&engine).await["waiting"] != 2 {}
        drop(holder);
        first.await.unwrap();
        second.await.unwrap();
    });
    let salts: Vec<String> = engine
        .state()
        .runs
        .iter()
        .map(|run| run.cache_salt.clone())
        .collect();
    assert_eq!(salts, ["s1", "1", "9"]);
}

async fn engine_load(engine: &FakeEngine) -> Value {
    let res = call(engine.address(), Method::GET, "/load", &Value::Null).await;
    res.expect("the engine reports its load").1
}

#[test]
fn verify_cache_events_have_configured_gaps() {
    let options = EngineOptions {
        block_tokens: 4,
        event_gap: 2,
        ..EngineOptions::default()
    };
    let engine = start(options);
    for prompt in ["a", "b", "c"] {
        block_on(events(&engine, &request(&prompt.repeat(20)))).unwrap();
    }
    let seqs = block_on(async {
        let path = "/cache/events?after=0";
        let mut res = open(engine.address(), Method::GET, path, &Value::Null)
            .await
            .unwrap();
        let mut text = String::new();
        while !text.contains("\"seq\":3") {
            let piece = res
                .next()
                .await
                .unwrap()
                .expect("the stream of events stays open");
            text.push_str(std::str::from_utf8(&piece).unwrap());
        }
        text.matches("\"seq\":").count()
    });
    assert_eq!(seqs, 2);
}
