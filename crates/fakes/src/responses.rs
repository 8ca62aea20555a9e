//! Responses, query parsing and delays that the fakes share.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use limpetsaddle_http::Connection;
use serde::Serialize;

use crate::host::POLL_INTERVAL;

pub type HttpResponse = Response<Bytes>;

/// Returns a response with `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("values of the fakes serialize to JSON");
    let mut res = empty(status);
    *res.body_mut() = body.into();
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    let mut res = Response::new(Bytes::new());
    *res.status_mut() = status;
    res
}

/// Returns a response with `x-not-run`, which reports that the request has not run.
pub fn not_run(status: StatusCode) -> HttpResponse {
    let mut res = empty(status);
    let yes = header::HeaderValue::from_static("true");
    res.headers_mut().insert("x-not-run", yes);
    res
}

/// Returns the head of a streamed response that ends with its connection.
pub fn stream_head() -> Response<()> {
    let mut res = Response::new(());
    let close = header::HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    res
}

/// Returns the numeric value of the query parameter `name`.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let values = pairs.filter_map(|pair| pair.split_once('='));
    let mut found = values.filter(|(key, _)| *key == name);
    found.next()?.1.parse().ok()
}

/// Waits for `time` and returns whether the connection is still open.
pub async fn sleep_while_connected(connection: &mut Connection, time: Duration) -> bool {
    monoio::time::timeout(time, connection.closed())
        .await
        .is_err()
}

/// Waits until the connection closes or `is_over` returns `true`.
pub async fn stall(connection: &mut Connection, is_over: impl Fn() -> bool) {
    while !is_over() && sleep_while_connected(connection, POLL_INTERVAL).await {}
}
