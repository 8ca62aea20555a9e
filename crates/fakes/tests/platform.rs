//! Tests of the fake platform.

mod support;

use std::time::Duration;

use http::Method;
use limpetsaddle_fakes::FakePlatform;
use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::PlatformFaults;
use limpetsaddle_fakes::PlatformOptions;
use limpetsaddle_fakes::WatchFault;
use limpetsaddle_http::Response;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::call;
use support::open;
use yare::parameterized;

const YARD: &str = "/v1/config/team/yard";
const CLAIM: &str = "/v1/records/claims/c1";

fn start() -> FakePlatform {
    let options = PlatformOptions {
        bookmark_interval: Duration::from_millis(20),
        history: 8,
        ..PlatformOptions::default()
    };
    FakePlatform::start(options).expect("loopback has a free port")
}

#[test]
fn verify_conditional_updates_of_objects_and_records() {
    let platform = start();
    let address = platform.address();
    block_on(async {
        let put = async |path, body| call(address, Method::PUT, path, &body).await.unwrap();
        let get = async |path| {
            call(address, Method::GET, path, &Value::Null)
                .await
                .unwrap()
        };

        assert_eq!(get(YARD).await.0, 404);
        let created = put(YARD, json!({"expected": 0, "spec": {"a": 1}})).await;
        assert_eq!(created.0, 200);
        assert_eq!(
            created.1,
            json!({"id": "team/yard", "revision": 1, "spec": {"a": 1}})
        );
        let raced = put(YARD, json!({"expected": 0, "spec": {"a": 2}})).await;
        assert_eq!((raced.0.as_u16(), &raced.1), (409, &created.1));
        let retired = put(YARD, json!({"expected": 1, "spec": null})).await;
        assert_eq!(
            retired.1,
            json!({"id": "team/yard", "revision": 2, "spec": null})
        );
        assert_eq!(
            get("/v1/config").await.1,
            json!({"revision": 2, "objects": [retired.1]})
        );

        let absent = put(CLAIM, json!({"expected": 7, "value": 1})).await;
        assert_eq!((absent.0.as_u16(), absent.1), (409, Value::Null));
        let made = put(CLAIM, json!({"expected": 0, "value": 1})).await;
        assert_eq!(made.1, json!({"name": "c1", "revision": 1, "value": 1}));
        assert_eq!(
            get("/v1/records/claims").await.1,
            json!({"records": [made.1]})
        );
        let delete = async |path| {
            call(address, Method::DELETE, path, &Value::Null)
                .await
                .unwrap()
                .0
        };
        assert_eq!(delete("/v1/records/claims/c1?expected=2").await, 409);
        assert_eq!(delete("/v1/records/claims/c1?expected=1").await, 200);
        assert_eq!(delete("/v1/records/claims/c1?expected=1").await, 404);
        let remade = put(CLAIM, json!({"expected": 0, "value": 1, "ttl_ms": 1})).await;
        assert_eq!(remade.1["revision"], 2);
        while get(CLAIM).await.0 != 404 {}
    });
}

#[test]
fn verify_write_with_lost_response_takes_effect() {
    let platform = start();
    platform.state().faults.lost_answers = 1;
    let address = platform.address();
    block_on(async {
        let body = json!({"expected": 0, "spec": 1});
        let lost = call(address, Method::PUT, YARD, &body).await.unwrap_err();
        assert!(!lost.not_sent());
        let (status, _) = call(address, Method::PUT, YARD, &body).await.unwrap();
        assert_eq!(status, 409);
    });
    assert_eq!(platform.state().calls.writes, 2);
}

#[parameterized(
    unavailable = { Outage::Unavailable, None, Some(503) },
    closing = { Outage::Closing, None, None },
    limited = { Outage::None, Some(0), Some(429) },
)]
fn verify_outages(outage: Outage, max_calls_per_second: Option<u32>, expected: Option<u16>) {
    let platform = start();
    platform.state().faults = PlatformFaults {
        outage,
        max_calls_per_second,
        ..PlatformFaults::default()
    };
    let res = block_on(call(platform.address(), Method::GET, YARD, &Value::Null));
    assert_eq!(res.ok().map(|(status, _)| status.as_u16()), expected);
    assert_eq!(platform.state().calls.refused, 1);
    platform.state().faults = PlatformFaults::default();
    let res = block_on(call(platform.address(), Method::GET, YARD, &Value::Null));
    assert_eq!(res.unwrap().0, 404);
}

/// Returns the revisions of the changes before the bookmark `last`.
async fn revisions_until(last: u64, watch: &mut Response) -> Vec<u64> {
    let mut revisions = Vec::new();
    loop {
        let line = watch.next().await.unwrap().expect("the watch stays open");
        let line: Value = serde_json::from_slice(&line).unwrap();
        if line["bookmark"] == last {
            return revisions;
        }
        revisions.extend(line["object"]["revision"].as_u64());
    }
}

#[parameterized(
    none = { WatchFault::None, &[2, 3, 4] },
    skip = { WatchFault::Skip, &[3] },
    repeat = { WatchFault::Repeat, &[2, 2, 3, 3, 4, 4] },
    reorder = { WatchFault::Reorder, &[4, 3, 2] },
)]
fn verify_watch_faults(fault: WatchFault, expected: &[u64]) {
    let platform = start();
    platform.state().faults.watch = fault;
    for n in 0..4 {
        platform.state().put_config("team/yard", json!(n));
    }
    block_on(async {
        let path = "/v1/config?watch=1&after=1";
        let mut watch = open(platform.address(), Method::GET, path, &Value::Null)
            .await
            .unwrap();
        assert_eq!(revisions_until(4, &mut watch).await, expected);
        platform.state().faults.watch = WatchFault::None;
        platform.state().put_config("team/yard", json!(5));
        assert_eq!(revisions_until(5, &mut watch).await, [5]);
    });
}

#[test]
fn verify_watch_from_before_the_history_gets_410() {
    let platform = start();
    for n in 0..10 {
        platform.state().put_config("team/yard", json!(n));
    }
    let path = "/v1/config?watch=1&after=1";
    let res = block_on(call(platform.address(), Method::GET, path, &Value::Null));
    assert_eq!(res.unwrap().0, 410);
}
