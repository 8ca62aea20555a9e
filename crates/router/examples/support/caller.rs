//! Streams completions and measures the time of each chunk.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::header::HeaderName;
use limpetsaddle_http::Client;
use limpetsaddle_http::Request;
use serde_json::Value;
use serde_json::json;

use super::setup::MODEL;

/// The delay between two requests to a fleet that does not serve yet.
const WARM_UP_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The maximum number of requests to a fleet that does not serve yet: one minute
/// at `WARM_UP_RETRY_DELAY`.
const MAX_WARM_UP_ATTEMPTS: u32 = 300;

/// The result of one streamed request.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    /// The status, 0 if no response was received.
    pub status: u16,
    /// The time from sending the request to the first chunk.
    pub time_to_first_chunk: Option<Duration>,
    /// The times between successive chunks.
    pub gaps: Vec<Duration>,
    /// Whether the response ended with the `[DONE]` event.
    pub complete: bool,
    /// The last chunk before the `[DONE]` event, with the token usage or the refusal.
    pub tail: Vec<u8>,
}

impl StreamResult {
    /// Returns the JSON document of the last event before `[DONE]`, or of the
    /// body.
    pub fn document(&self) -> Value {
        let text = self.tail.strip_prefix(b"data: ").unwrap_or(&self.tail);
        serde_json::from_slice(text).unwrap_or_default()
    }

    /// Returns the error code of the refusal or of the event that ended the stream.
    pub fn code(&self) -> String {
        if self.status == 0 {
            return "no_answer".to_owned();
        }
        match self.document()["error"]["code"].as_str() {
            Some(code) => code.to_owned(),
            None if self.status == 200 => "broken".to_owned(),
            None => self.status.to_string(),
        }
    }
}

/// Returns a request for a streamed chat completion.
///
/// Requests sent directly to an engine need a `request_id`.
pub fn request(key: &str, request_id: Option<&str>, prompt: &str, max_tokens: u64) -> Request {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "stream_options": {"include_usage": true},
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let mut req = http::Request::post("/v1/chat/completions")
        .header("host", "localhost")
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json");
    if let Some(id) = request_id {
        req = req.header(HeaderName::from_static("x-request-id"), id);
    }
    req.body(Bytes::from(body.to_string()))
        .expect("invalid request")
}

/// Returns a request for an engine, which caches its blocks under `salt`.
pub fn salted_request(salt: &str, prompt: &str, max_tokens: u64) -> Request {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": max_tokens,
        "cache_salt": salt,
        "messages": [{"role": "user", "content": prompt}],
    });
    http::Request::post("/v1/chat/completions")
        .header("host", "localhost")
        .header("content-type", "application/json")
        .header("x-request-id", "direct")
        .body(Bytes::from(body.to_string()))
        .expect("invalid request")
}

/// Sends a request and reads the response as a stream.
pub async fn stream(client: &Client, address: SocketAddr, req: Request) -> StreamResult {
    let mut result = StreamResult::default();
    let sent = Instant::now();
    let Ok(mut res) = client.send(address, req).await else {
        return result;
    };
    result.status = res.head.status.as_u16();
    let mut previous = sent;
    while let Ok(Some(chunk)) = res.next().await {
        let now = Instant::now();
        match result.time_to_first_chunk {
            None => result.time_to_first_chunk = Some(now - sent),
            Some(_) => result.gaps.push(now - previous),
        }
        previous = now;
        result.complete = chunk.ends_with(b"data: [DONE]\n\n");
        if !result.complete {
            result.tail = chunk.to_vec();
        }
    }
    result
}

/// Repeats a request until its response is complete; a new fleet initially has no
/// tokens.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] after a minute without a complete response.
pub async fn wait_until_served(
    client: &Client,
    address: SocketAddr,
    req: impl Fn() -> Request,
) -> io::Result<()> {
    for _ in 0..MAX_WARM_UP_ATTEMPTS {
        if stream(client, address, req()).await.complete {
            return Ok(());
        }
        monoio::time::sleep(WARM_UP_RETRY_DELAY).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}
