//! The platform's calls.

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
use super::store::Outcome;
use super::store::Store;
use super::watch;
use crate::answers::Answer;
use crate::answers::empty;
use crate::answers::hang;
use crate::answers::json;
use crate::answers::query_number;
use crate::control;
use crate::control::control;
use crate::control::replace;
use crate::host::Shared;

/// Serves the calls of one connection.
pub async fn attend(connection: Connection, shared: Shared<Platform>) {
    control::attend(connection, shared, control_call, serve_call).await;
}

fn control_call(req: &Request, platform: &mut Platform) -> Option<Answer> {
    if req.uri().path() == "/_fake/instances" {
        let mut instances = Vec::new();
        let res = replace(req.body(), &mut instances);
        platform.set_instances(instances);
        return Some(res);
    }
    control(req, platform, |platform| &mut platform.faults)
}

/// Answers a call, or returns `None` when the connection is to be closed.
async fn serve_call(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<Answer> {
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
            hang(connection, || shared.lock().faults.outage != Outage::Silent).await;
            return None;
        }
    }
    if shared.lock().is_over_rate() {
        shared.lock().calls.refused += 1;
        let mut res = empty(StatusCode::TOO_MANY_REQUESTS);
        res.headers_mut().insert("retry-after", 1.into());
        return Some(res);
    }
    if req.uri().path() == "/v1/config" && query_number(req.uri(), "watch") == Some(1) {
        shared.lock().calls.watches += 1;
        return watch::watch(req, connection, shared).await;
    }
    answer(req, &mut shared.lock())
}

fn answer(req: &Request, platform: &mut Platform) -> Option<Answer> {
    let writes = req.method() != Method::GET;
    if !writes {
        platform.calls.reads += 1;
        return Some(read(req, platform));
    }
    platform.calls.writes += 1;
    match write(req, &mut platform.store) {
        Some(Outcome::Done(_)) if platform.loses_answer() => None,
        Some(outcome) => Some(outcome.into_answer()),
        None => Some(empty(StatusCode::BAD_REQUEST)),
    }
}

fn read(req: &Request, platform: &mut Platform) -> Answer {
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
            let all = value!({"instances": platform.shown_instances()});
            Some(json(StatusCode::OK, &all))
        }
        _ => None,
    };
    found.unwrap_or_else(|| empty(StatusCode::NOT_FOUND))
}

/// The body of a write.
#[serde_as]
#[derive(Deserialize)]
struct Change {
    expected: u64,
    #[serde(default, alias = "spec")]
    value: Value,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "ttl_ms")]
    ttl: Option<Duration>,
}

fn write(req: &Request, store: &mut Store) -> Option<Outcome> {
    let parts: Vec<&str> = req.uri().path().split('/').skip(1).collect();
    let change = || serde_json::from_slice::<Change>(req.body()).ok();
    match (req.method(), parts.as_slice()) {
        (&Method::PUT, ["v1", "config", kind, name]) => {
            let change = change()?;
            Some(store.put_object(&format!("{kind}/{name}"), change.expected, change.value))
        }
        (&Method::PUT, ["v1", "records", collection, name]) => {
            let change = change()?;
            Some(store.put_record(collection, name, change.expected, change.value, change.ttl))
        }
        (&Method::DELETE, ["v1", "records", collection, name]) => {
            let expected = query_number(req.uri(), "expected")?;
            Some(store.delete_record(collection, name, expected))
        }
        _ => Some(Outcome::Missing),
    }
}
