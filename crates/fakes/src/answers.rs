//! Answers and queries that the stand-ins have in common.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use limpetsaddle_http::Connection;
use serde::Serialize;

use crate::host::POLL;

pub type Answer = Response<Bytes>;

/// Returns an answer with `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("the stand-ins' values can be written as JSON");
    let mut res = empty(status);
    *res.body_mut() = body.into();
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns an answer without a body.
pub fn empty(status: StatusCode) -> Answer {
    let mut res = Response::new(Bytes::new());
    *res.status_mut() = status;
    res
}

/// Returns the answer that says that nothing has been run.
pub fn not_run(status: StatusCode) -> Answer {
    let mut res = empty(status);
    let yes = header::HeaderValue::from_static("true");
    res.headers_mut().insert("x-not-run", yes);
    res
}

/// Returns the head of a stream, which ends with its connection.
pub fn stream_head() -> Response<()> {
    let mut res = Response::new(());
    let close = header::HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    res
}

/// Returns the number that `name` has in the query of `uri`.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let values = pairs.filter_map(|pair| pair.split_once('='));
    let mut found = values.filter(|(key, _)| *key == name);
    found.next()?.1.parse().ok()
}

/// Waits for `time` and returns whether the caller is still there.
pub async fn pause(connection: &mut Connection, time: Duration) -> bool {
    monoio::time::timeout(time, connection.closed())
        .await
        .is_err()
}

/// Waits until the caller leaves or `is_over` holds.
pub async fn hang(connection: &mut Connection, is_over: impl Fn() -> bool) {
    while !is_over() && pause(connection, POLL).await {}
}
