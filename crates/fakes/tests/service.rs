//! Tests of the fake service and the fake KV store.

mod support;

use http::Method;
use limpetsaddle_fakes::FakeKvStore;
use limpetsaddle_fakes::FakeService;
use limpetsaddle_fakes::ServiceFault;
use limpetsaddle_fakes::ServiceFaultKind;
use limpetsaddle_fakes::any_port;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::call;
use yare::parameterized;

#[parameterized(
    close_not_run = { ServiceFaultKind::CloseNotRun, None, 0 },
    close_after_run = { ServiceFaultKind::CloseAfterRun, None, 1 },
    refuse = { ServiceFaultKind::RefuseNotRun, Some(503), 0 },
)]
fn verify_service_faults(kind: ServiceFaultKind, status: Option<u16>, runs: usize) {
    let service = FakeService::start(any_port()).unwrap();
    service.state().fault = Some(ServiceFault { kind, requests: 1 });
    let order = || {
        let res = block_on(call(
            service.address(),
            Method::POST,
            "/orders?a=b",
            &json!(1),
        ));
        res.ok().map(|(status, _)| status.as_u16())
    };
    assert_eq!(order(), status);
    assert_eq!(service.state().runs.len(), runs);
    assert_eq!(order(), Some(200));
    let state = service.state();
    let run = state.runs.last().unwrap();
    assert_eq!(
        (run.request_id.as_str(), run.path.as_str()),
        ("r1", "/orders?a=b")
    );
    assert_eq!(run.body, "1");
}

#[test]
fn verify_faults_can_be_set_over_http() {
    let service = FakeService::start(any_port()).unwrap();
    block_on(async {
        let fault = json!({"kind": "refuse_not_run", "requests": 1});
        let set = call(service.address(), Method::PUT, "/_fake/faults", &fault).await;
        assert_eq!(set.unwrap().0, 204);
        let refused = call(service.address(), Method::POST, "/orders", &json!(1)).await;
        assert_eq!(refused.unwrap().0, 503);
        let state = call(service.address(), Method::GET, "/_fake", &Value::Null).await;
        assert_eq!(state.unwrap().1["runs"], json!([]));
    });
}

#[test]
fn verify_kv_store_returns_stored_block() {
    let store = FakeKvStore::start(any_port()).unwrap();
    block_on(async {
        let path = "/blocks/17";
        let get = async || {
            call(store.address(), Method::GET, path, &Value::Null)
                .await
                .unwrap()
        };
        assert_eq!(get().await.0, 404);
        call(store.address(), Method::PUT, path, &json!([1, 2]))
            .await
            .unwrap();
        assert_eq!(get().await, (http::StatusCode::OK, json!([1, 2])));
    });
}
