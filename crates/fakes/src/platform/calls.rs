//! The HTTP API of the platform.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json as value;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Outage;
use super::Platform;
use super::store::Store;
use super::store::WriteOutcome;
use super::watch;
use crate::control;
use crate::control::handle_control_call;
use crate::control::replace_from_json;
use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::json;
use crate::responses::query_number;
use crate::responses::stall;

pub async fn serve_connection(connection: Connection, shared: Shared<Platform>) {
    control::serve_connection(connection, shared, handle_control, serve_call).await;
}

fn handle_control(req: &Request, platform: &mut Platform) -> Option<HttpResponse> {
    if req.uri().path() == "/_fake/instances" {
        let mut instances = Vec::new();
        let res = replace_from_json(req.body(), &mut instances);
        platform.set_instances(instances);
        return Some(res);
    }
    handle_control_call(req, platform, |platform| &mut platform.faults)
}

/// Responds to a call, or returns `None` to close the connection.
async fn serve_call(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<HttpResponse> {
    let delay = shared.lock().faults.delay;
    if !delay.is_zero() {
        monoio::time::sleep(delay).await;
    }
    let outage = shared.lock().faults.outage;
    if outage != Outage::None {
        shared.lock().calls.refused += 1;
    }
    match outage {
        Outage::None => (),
        Outage::Unavailable => return Some(empty(StatusCode::SERVICE_UNAVAILABLE)),
        Outage::Closing => return None,
        Outage::Silent => {
            stall(connection, || shared.lock().faults.outage != Outage::Silent).await;
            return None;
        }
    }
    if shared.lock().count_and_check_rate() {
        shared.lock().calls.refused += 1;
        let mut res = empty(StatusCode::TOO_MANY_REQUESTS);
        res.headers_mut().insert("retry-after", 1.into());
        return Some(res);
    }
    if req.uri().path() == "/v1/config" && query_number(req.uri(), "watch") == Some(1) {
        shared.lock().calls.watches += 1;
        return watch::watch(req, connection, shared).await;
    }
    respond(req, &mut shared.lock())
}

fn respond(req: &Request, platform: &mut Platform) -> Option<HttpResponse> {
    let is_write = req.method() != Method::GET;
    if !is_write {
        platform.calls.reads += 1;
        return Some(read(req, platform));
    }
    platform.calls.writes += 1;
    match write(req, &mut platform.store) {
        Some(WriteOutcome::Written(_)) if platform.consume_lost_response() => None,
        Some(outcome) => Some(outcome.into_response()),
        None => Some(empty(StatusCode::BAD_REQUEST)),
    }
}

fn read(req: &Request, platform: &mut Platform) -> HttpResponse {
    let store = &mut platform.store;
    let parts: Vec<&str> = req.uri().path().split('/').skip(1).collect();
    let found = match parts.as_slice() {
        ["v1", "config"] => {
            let all = value!({"revision": store.revision(), "objects": store.objects()});
            Some(json(StatusCode::OK, &all))
        }
        ["v1", "config", kind, name] => store
            .object(&format!("{kind}/{name}"))
            .map(|object| json(StatusCode::OK, object)),
        ["v1", "records", collection] => {
            let all = value!({"records": store.records(collection)});
            Some(json(StatusCode::OK, &all))
        }
        ["v1", "records", collection, name] => store
            .record(collection, name)
            .map(|record| json(StatusCode::OK, &record)),
        ["v1", "instances"] => {
            let all = value!({"instances": platform.visible_instances()});
            Some(json(StatusCode::OK, &all))
        }
        _ => None,
    };
    found.unwrap_or_else(|| empty(StatusCode::NOT_FOUND))
}

/// The body of a write.
#[serde_as]
#[derive(Deserialize)]
struct WriteBody {
    expected: u64,
    #[serde(default, alias = "spec")]
    value: Value,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "ttl_ms")]
    ttl: Option<Duration>,
}

fn write(req: &Request, store: &mut Store) -> Option<WriteOutcome> {
    let parts: Vec<&str> = req.uri().path().split('/').skip(1).collect();
    let parse_body = || serde_json::from_slice::<WriteBody>(req.body()).ok();
    match (req.method(), parts.as_slice()) {
        (&Method::PUT, ["v1", "config", kind, name]) => {
            let body = parse_body()?;
            Some(store.put_object(&format!("{kind}/{name}"), body.expected, body.value))
        }
        (&Method::PUT, ["v1", "records", collection, name]) => {
            let body = parse_body()?;
            Some(store.put_record(collection, name, body.expected, body.value, body.ttl))
        }
        (&Method::DELETE, ["v1", "records", collection, name]) => {
            let expected = query_number(req.uri(), "expected")?;
            Some(store.delete_record(collection, name, expected))
        }
        _ => Some(WriteOutcome::NotFound),
    }
}
