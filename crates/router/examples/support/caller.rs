//! A caller that streams completions and notes when each piece comes.

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

/// The time between two tries at a fleet that does not serve yet.
const WARM_UP_PAUSE: Duration = Duration::from_millis(200);

/// The tries at a fleet that does not serve yet, a minute's worth.
const WARM_UP_TRIES: u32 = 300;

/// A `Streamed` is what a caller saw of one answer.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// The status, 0 when no answer came.
    pub status: u16,
    /// The time to the first piece.
    pub first: Option<Duration>,
    /// The times between pieces.
    pub gaps: Vec<Duration>,
    /// Whether the answer ended as a complete one.
    pub complete: bool,
    /// The end of the body, where the account of tokens or the refusal stands.
    pub tail: Vec<u8>,
}

impl Streamed {
    /// Returns the JSON document of the last event before the end, or of the
    /// body.
    pub fn document(&self) -> Value {
        let text = self.tail.strip_prefix(b"data: ").unwrap_or(&self.tail);
        serde_json::from_slice(text).unwrap_or_default()
    }

    /// Returns the code of a refusal or of the event that ended a stream.
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
/// An engine that is asked without a router needs `request_id` itself.
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
        .expect("a valid request")
}

/// Returns a request for an engine itself, whose blocks are kept under `salt`.
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
        .expect("a valid request")
}

/// Sends a request and reads the answer as it comes.
pub async fn stream(client: &Client, address: SocketAddr, req: Request) -> Streamed {
    let mut seen = Streamed::default();
    let sent = Instant::now();
    let Ok(mut res) = client.send(address, req).await else {
        return seen;
    };
    seen.status = res.head.status.as_u16();
    let mut last = sent;
    while let Ok(Some(piece)) = res.next().await {
        let now = Instant::now();
        match seen.first {
            None => seen.first = Some(now - sent),
            Some(_) => seen.gaps.push(now - last),
        }
        last = now;
        seen.complete = piece.ends_with(b"data: [DONE]\n\n");
        if !seen.complete {
            seen.tail = piece.to_vec();
        }
    }
    seen
}

/// Repeats a request until it is answered completely, as a new fleet has no
/// tokens at first.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] after a minute without an answer.
pub async fn until_served(
    client: &Client,
    address: SocketAddr,
    req: impl Fn() -> Request,
) -> io::Result<()> {
    for _ in 0..WARM_UP_TRIES {
        if stream(client, address, req()).await.complete {
            return Ok(());
        }
        monoio::time::sleep(WARM_UP_PAUSE).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}
