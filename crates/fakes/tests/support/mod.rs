//! Helpers for calls to the fakes.

use std::future::Future;
use std::net::SocketAddr;

use http::Method;
use http::StatusCode;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Request;
use limpetsaddle_http::Response;
use limpetsaddle_http::Result;
use serde_json::Value;

const MAX_BODY_BYTES: usize = 1024 * 1024;

pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime can be built")
        .block_on(work)
}

pub async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Response> {
    let mut req = Request::default();
    if !body.is_null() {
        *req.body_mut() = body.to_string().into();
    }
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().expect("the tests' paths are valid");
    let id = http::HeaderValue::from_static("r1");
    req.headers_mut().insert("x-request-id", id);
    Client::new(ClientOptions::default())
        .send(address, req)
        .await
}

/// Makes a call and returns its status and JSON body, or `Null` for other bodies.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<(StatusCode, Value)> {
    let res = open(address, method, path, body).await?;
    let status = res.head.status;
    let body = res.collect(MAX_BODY_BYTES).await?;
    Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
}
