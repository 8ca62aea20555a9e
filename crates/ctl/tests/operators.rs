//! Tests of command sequences against a fake platform with injected faults.

use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::Digest;
use limpetsaddle_ctl::ExitCode;
use limpetsaddle_ctl::run;
use limpetsaddle_fakes::FakePlatform;
use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::PlatformOptions;
use serde_json::Value;
use yare::parameterized;

/// The delay of each response, so that both operators read before either writes.
const RACE_DELAY: Duration = Duration::from_millis(200);

/// The maximum number of races until a conflict must have occurred.
const MAX_RACES: usize = 20;

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    runtime.block_on(test)
}

/// Runs a command and returns its exit code and report.
async fn ctl(platform: SocketAddr, line: &str) -> (ExitCode, Value) {
    let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let variable = |name: &str| match name {
        "LIMPETSADDLE_PLATFORM" => Some(platform.to_string()),
        "LIMPETSADDLE_JSON" => Some("true".to_owned()),
        _ => None,
    };
    let mut out = Vec::new();
    let code = run(&args, variable, &mut out, &mut Vec::new()).await;
    (code, serde_json::from_slice(&out).unwrap_or_default())
}

const SESSION: [&str; 12] = [
    "domain set bergen-a --region vestland --slots 9",
    "domain set voss-c --region vestland --slots 9",
    "pool set order-desk --kind service",
    "upstream set desk-1 --pool order-desk --domain voss-c --address 127.0.0.1:9",
    "route set orders --path /orders --pool order-desk",
    "team create yard --rate 20000 --burst 400000",
    "team set yard --domain bergen-a=300 --domain voss-c=700",
    "key issue yard",
    "preset switch peak",
    "upstream leave desk-1",
    "route retire orders",
    "team retire yard",
];

#[parameterized(
    no_response_lost = { 0 },
    first_response_of_each_command_lost = { 1 },
)]
fn verify_operator_session(lost_answers: u32) {
    let fake = FakePlatform::start(PlatformOptions::default()).unwrap();
    block_on(async {
        for line in SESSION {
            fake.state().faults.lost_answers = lost_answers;
            let (code, _) = ctl(fake.address(), line).await;
            assert_eq!(code, ExitCode::Success, "{line}");
        }
    });
    // The twelve commands make 13 writes, because moving parts takes two.
    assert_eq!(fake.state().revision(), 13);
}

#[test]
fn verify_issued_key_matches_stored_digest() {
    let fake = FakePlatform::start(PlatformOptions::default()).unwrap();
    block_on(async {
        ctl(fake.address(), SESSION[0]).await;
        ctl(fake.address(), SESSION[5]).await;
        fake.state().faults.lost_answers = 1;
        let (_, issued) = ctl(fake.address(), "key issue yard").await;
        let key = issued["key"]["key"].as_str().unwrap().to_owned();
        let (_, listed) = ctl(fake.address(), "key list yard").await;
        let stored = listed["keys"][0]["digest"].as_str().unwrap().to_owned();
        assert_eq!(stored, Digest::of(key.as_bytes()).to_string());
        let id = issued["key"]["id"].as_str().unwrap();
        let (code, _) = ctl(fake.address(), &format!("key withdraw yard {id}")).await;
        assert_eq!(code, ExitCode::Success);
        let (_, listed) = ctl(fake.address(), "key list yard").await;
        assert_eq!(listed["keys"][0]["withdrawn"], true);
    });
}

#[test]
fn verify_apply_neither_reactivates_nor_deletes_keys() {
    let fake = FakePlatform::start(PlatformOptions::default()).unwrap();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/keys.json");
    block_on(async {
        for line in [SESSION[0], SESSION[5], SESSION[7], SESSION[7]] {
            ctl(fake.address(), line).await;
        }
        let (_, shown) = ctl(fake.address(), "team show yard").await;
        let mut team = shown["objects"][0].clone();
        team.as_object_mut().unwrap().remove("revision");
        let first = team["spec"]["team"]["keys"][0]["id"].clone();
        let line = format!("key withdraw yard {}", first.as_str().unwrap());
        ctl(fake.address(), &line).await;
        // The file predates the withdrawal and lacks the second key.
        team["spec"]["team"]["keys"].as_array_mut().unwrap().pop();
        std::fs::write(path, Value::from(vec![team]).to_string()).unwrap();
        let (code, _) = ctl(fake.address(), &format!("apply {path}")).await;
        assert_eq!(code, ExitCode::Success);
        let (_, listed) = ctl(fake.address(), "key list yard").await;
        let keys = listed["keys"].as_array().unwrap();
        assert_eq!(keys.len(), 2);
        assert_eq!(
            (&keys[0]["withdrawn"], &keys[1]["withdrawn"]),
            (&true.into(), &false.into())
        );
    });
}

/// Runs two concurrent preset switches and returns their exit codes.
async fn race(fake: &FakePlatform) -> [ExitCode; 2] {
    let address = fake.address();
    let other = monoio::spawn(async move { ctl(address, "preset switch maintenance").await.0 });
    let (one, _) = ctl(address, "preset switch peak").await;
    [one, other.await]
}

#[test]
fn verify_concurrent_writes_conflict() {
    let fake = FakePlatform::start(PlatformOptions::default()).unwrap();
    fake.state().faults.delay = RACE_DELAY;
    block_on(async {
        let mut writes = 0;
        for _ in 0..MAX_RACES {
            let exit_codes = race(&fake).await;
            let successes = exit_codes
                .iter()
                .filter(|c| **c == ExitCode::Success)
                .count();
            writes += successes as u64;
            assert_eq!(fake.state().revision(), writes);
            if successes == 1 {
                assert!(exit_codes.contains(&ExitCode::Conflict), "{exit_codes:?}");
                return;
            }
            // One read the preset only after the other had written it.
            assert_eq!(successes, 2, "{exit_codes:?}");
        }
        panic!("no conflict occurred in {MAX_RACES} races");
    });
}

#[parameterized(
    unavailable = { Outage::Unavailable },
    closing = { Outage::Closing },
)]
fn verify_platform_outage(outage: Outage) {
    let fake = FakePlatform::start(PlatformOptions::default()).unwrap();
    fake.state().faults.outage = outage;
    block_on(async {
        for line in ["team list", "preset switch peak", "status"] {
            let (code, _) = ctl(fake.address(), line).await;
            assert_eq!(code, ExitCode::Unavailable, "{line}");
        }
    });
}
