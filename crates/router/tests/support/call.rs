//! Requests of callers.

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

/// The largest answer that a test reads, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// An `Answer` is a whole answer, or the part that came before it broke off.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status, 0 when no answer came.
    pub status: u16,
    /// The head's fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
    /// Whether the answer ended in order.
    pub complete: bool,
}

impl Answer {
    /// Returns the code of a refusal, or an empty text.
    pub fn code(&self) -> String {
        self.error("code")
    }

    /// Returns whether a refusal says that the request has not run.
    pub fn says_not_run(&self) -> bool {
        self.error("ran") == "not_run"
    }

    fn error(&self, field: &str) -> String {
        let last = self
            .body
            .lines()
            .rev()
            .find(|line| line.contains("\"error\""));
        let text = last.map_or(self.body.as_str(), |l| l.trim_start_matches("data: "));
        let body: Value = serde_json::from_str(text).unwrap_or_default();
        body["error"][field].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the answer's body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns whether a streamed answer says that it is complete.
    pub fn is_done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }
}

/// Runs a future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime can be built")
        .block_on(future)
}

/// Sends a request and reads the answer to its end.
pub fn call(address: SocketAddr, req: Request) -> Answer {
    block_on(async move {
        let client = Client::new(ClientOptions {
            head_timeout: super::PATIENCE,
            idle_timeout: super::PATIENCE,
            ..ClientOptions::default()
        });
        let mut answer = Answer {
            status: 0,
            headers: HeaderMap::new(),
            body: String::new(),
            complete: false,
        };
        let Ok(mut res) = client.send(address, req).await else {
            return answer;
        };
        answer.status = res.head.status.as_u16();
        answer.headers = res.head.headers.clone();
        let mut body = Vec::new();
        while body.len() <= MAX_ANSWER_BYTES {
            match res.next().await {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => {
                    answer.complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
        answer.body = String::from_utf8_lossy(&body).into_owned();
        answer
    })
}

fn request(method: Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Request {
    let mut req = http::Request::builder().method(method).uri(path);
    req = req.header("host", "limpetsaddle.test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(body).expect("a valid request")
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    call(address, request(Method::GET, path, headers, Bytes::new()))
}

/// Sends a POST request.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call(address, request(Method::POST, path, headers, body))
}

/// Asks for a streamed chat completion.
pub fn chat(address: SocketAddr, key: &str, prompt: &str, max_tokens: u64) -> Answer {
    let body = chat_body(prompt, max_tokens).to_string();
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    post(address, "/v1/chat/completions", &headers, &body)
}

/// Returns the body of a streamed chat completion.
pub fn chat_body(prompt: &str, max_tokens: u64) -> Value {
    json!({
        "model": super::MODEL,
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Returns the texts of the tokens of a streamed answer, in order.
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

/// Sends raw bytes and returns all that comes back until the peer closes.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream
        .set_read_timeout(Some(super::PATIENCE))
        .expect("a timeout can be set");
    // A daemon that refuses early may close before all has been written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
