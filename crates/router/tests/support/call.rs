//! Sends requests as a caller.

use std::future::Future;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Request;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use serde_json::Value;
use serde_json::json;

/// The largest response body that a test reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A response, or the part of it that was received before the connection failed.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status, 0 if no response head was received.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Response {
    /// Returns the error code of a refusal, or an empty string.
    pub fn code(&self) -> String {
        self.error_field("code")
    }

    /// Returns whether a refusal reports that the request has not run.
    pub fn reports_not_run(&self) -> bool {
        self.error_field("ran") == "not_run"
    }

    fn error_field(&self, field: &str) -> String {
        let last = self
            .body
            .lines()
            .rev()
            .find(|line| line.contains("\"error\""));
        let text = last.map_or(self.body.as_str(), |l| l.trim_start_matches("data: "));
        let body: Value = serde_json::from_str(text).unwrap_or_default();
        body["error"][field].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns whether a streamed response ends with the `[DONE]` event.
    pub fn is_done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("failed to build the runtime")
        .block_on(future)
}

/// Sends a request and reads the whole response.
pub fn call(address: SocketAddr, req: Request) -> Response {
    block_on(async move {
        let client = Client::new(ClientOptions {
            head_timeout: super::WAIT_TIMEOUT,
            idle_timeout: super::WAIT_TIMEOUT,
            ..ClientOptions::default()
        });
        let mut response = Response {
            status: 0,
            headers: HeaderMap::new(),
            body: String::new(),
            complete: false,
        };
        let Ok(mut res) = client.send(address, req).await else {
            return response;
        };
        response.status = res.head.status.as_u16();
        response.headers = res.head.headers.clone();
        let mut body = Vec::new();
        while body.len() <= MAX_RESPONSE_BYTES {
            match res.next().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => {
                    response.complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
        response.body = String::from_utf8_lossy(&body).into_owned();
        response
    })
}

fn request(method: Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Request {
    let mut req = http::Request::builder().method(method).uri(path);
    req = req.header("host", "limpetsaddle.test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(body).expect("invalid request")
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Response {
    call(address, request(Method::GET, path, headers, Bytes::new()))
}

/// Sends a POST request.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call(address, request(Method::POST, path, headers, body))
}

/// Sends a PUT request with a JSON body.
pub fn put(address: SocketAddr, path: &str, body: &Value) -> Response {
    let body = Bytes::from(body.to_string());
    call(address, request(Method::PUT, path, &[], body))
}

/// Requests a streamed chat completion.
pub fn chat(address: SocketAddr, key: &str, prompt: &str, max_tokens: u64) -> Response {
    let body = chat_body(prompt, max_tokens).to_string();
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    post(address, "/v1/chat/completions", &headers, &body)
}

/// Returns the request body for a streamed chat completion.
pub fn chat_body(prompt: &str, max_tokens: u64) -> Value {
    json!({
        "model": super::MODEL,
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Returns the text of each token of a streamed response, in order.
pub fn tokens(body: &str) -> Vec<String> {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let choices = events.filter(|event| event["choices"].is_array());
    choices
        .map(|event| {
            let text = &event["choices"][0]["delta"]["content"];
            text.as_str().unwrap_or_default().to_owned()
        })
        .collect()
}

/// Sends raw bytes and returns everything received until the peer closes.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("failed to connect to the daemon");
    stream
        .set_read_timeout(Some(super::WAIT_TIMEOUT))
        .expect("failed to set the read timeout");
    // A daemon that refuses early may close before everything is written.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}
