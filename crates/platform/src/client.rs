//! Calls to the platform and the classification of their failures.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http::response::Parts;
use limpetsaddle_core::outline::Outline;
use limpetsaddle_core::units::Revision;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Response;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::counts::Call;
use crate::counts::Counts;
use crate::entries;
use crate::error::Error;
use crate::error::Result;

/// The maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// The `Host` field of requests.
const PLATFORM_HOST: &str = "platform";

/// Timeouts and retry limits of calls to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformOptions {
    /// The time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// The time limit for writing a request, for the head of its response, and for each wait
    /// for more of the body.
    pub response_timeout: Duration,
    /// The maximum time without data on a watch, which carries a bookmark every second.
    pub watch_idle_timeout: Duration,
    /// The maximum number of retries of a confirmed write.
    pub max_confirm_retries: u32,
    /// The delay between two of these retries.
    pub confirm_retry_delay: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(2),
            watch_idle_timeout: Duration::from_secs(4),
            max_confirm_retries: 4,
            confirm_retry_delay: Duration::from_millis(200),
        }
    }
}

/// A client of the platform's object API.
///
/// Clones share the counters and the current address.
///
/// ```no_run
/// use limpetsaddle_platform::Platform;
/// use limpetsaddle_platform::PlatformOptions;
///
/// # async fn example() -> limpetsaddle_platform::Result<()> {
/// let addresses = vec!["127.0.0.1:7100".parse().unwrap()];
/// let platform = Platform::new(addresses, PlatformOptions::default());
/// let listing = platform.list().await?;
/// println!("revision {}", listing.revision);
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct Platform {
    shared: Rc<Shared>,
}

struct Shared {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    options: PlatformOptions,
    calls: Client,
    watches: Client,
    counts: Counts,
}

/// A response of the platform with its complete body.
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    body: Bytes,
    call: Call,
    platform: Platform,
}

impl ReceivedResponse {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        self.checked(serde_json::from_slice(&self.body))
    }

    /// Returns the revision of a record that cannot be decoded as a `T`, or `None` if it can be
    /// or if the body holds no record at all.
    pub(crate) fn unreadable_record<T: DeserializeOwned>(&self) -> Option<Revision> {
        if serde_json::from_slice::<T>(&self.body).is_ok() {
            return None;
        }
        entries::revision(&self.body)
    }

    /// Returns the outline of the body without what is inside `depth` objects and lists.
    pub(crate) fn outline(&self, depth: usize) -> Outline<'_> {
        Outline::new(&self.body, depth)
    }

    /// Decodes the outline of the body.
    pub(crate) fn decode<'t, T: Deserialize<'t>>(&self, outline: &'t Outline<'_>) -> Result<T> {
        self.checked(outline.decode())
    }

    fn checked<T>(&self, value: serde_json::Result<T>) -> Result<T> {
        if value.is_err() {
            self.platform.counts().fail(self.call);
        }
        Ok(value?)
    }
}

impl Platform {
    /// Returns a client that uses one of `addresses` and switches to the next one when it
    /// cannot be reached.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, options: PlatformOptions) -> Self {
        let client = |idle_timeout| {
            Client::new(ClientOptions {
                connect_timeout: options.connect_timeout,
                write_timeout: options.response_timeout,
                head_timeout: options.response_timeout,
                idle_timeout,
                ..ClientOptions::default()
            })
        };
        Self {
            shared: Rc::new(Shared {
                addresses,
                current: Cell::new(0),
                options,
                calls: client(options.response_timeout),
                watches: client(options.watch_idle_timeout),
                counts: Counts::default(),
            }),
        }
    }

    /// Returns the counters of the calls.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    pub(crate) fn options(&self) -> PlatformOptions {
        self.shared.options
    }

    /// Reads `path`; statuses other than 200 and 404 are errors.
    pub(crate) async fn read(&self, call: Call, path: &str) -> Result<ReceivedResponse> {
        self.counted(call, self.send_read(call, path)).await
    }

    /// Writes `body` to `path`; statuses other than 200, 404 and 409 are errors.
    pub(crate) async fn write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ReceivedResponse> {
        self.counted(Call::Write, self.send_write(method, path, body))
            .await
    }

    /// Starts a watch of `path`.
    pub(crate) async fn start_watch(&self, path: &str) -> Result<Response> {
        self.counted(Call::Watch, self.send_watch(path)).await
    }

    async fn counted<T>(&self, call: Call, future: impl Future<Output = Result<T>>) -> Result<T> {
        self.shared.counts.begin(call);
        let result = future.await;
        if result.is_err() {
            self.shared.counts.fail(call);
        }
        result
    }

    async fn send_read(&self, call: Call, path: &str) -> Result<ReceivedResponse> {
        let req = request(Method::GET, path, Bytes::new())?;
        let sent = self.send(&self.shared.calls, req).await;
        let res = sent.map_err(read_failure)?;
        check_read_status(&res.head)?;
        let status = res.head.status;
        let body = res
            .collect(MAX_RESPONSE_BYTES)
            .await
            .map_err(read_failure)?;
        Ok(self.response(call, status, body))
    }

    async fn send_write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ReceivedResponse> {
        let req = request(method, path, body)?;
        let sent = self.send(&self.shared.calls, req).await;
        let res = sent.map_err(|e| write_failure(&e))?;
        check_write_status(&res.head)?;
        let status = res.head.status;
        let collected = res.collect(MAX_RESPONSE_BYTES).await;
        let body = collected.map_err(|_| Error::OutcomeUnknown)?;
        Ok(self.response(Call::Write, status, body))
    }

    fn response(&self, call: Call, status: StatusCode, body: Bytes) -> ReceivedResponse {
        ReceivedResponse {
            status,
            body,
            call,
            platform: self.clone(),
        }
    }

    async fn send_watch(&self, path: &str) -> Result<Response> {
        let req = request(Method::GET, path, Bytes::new())?;
        let sent = self.send(&self.shared.watches, req).await;
        let res = sent.map_err(read_failure)?;
        if res.head.status == StatusCode::GONE {
            return Err(Error::HistoryCompacted);
        }
        check_read_status(&res.head)?;
        Ok(res)
    }

    /// Sends `req` to the current address, or to the next one that can be reached.
    async fn send(
        &self,
        client: &Client,
        req: Request<Bytes>,
    ) -> limpetsaddle_http::Result<Response> {
        let addresses = &self.shared.addresses;
        let mut last = None;
        for _ in 0..addresses.len() {
            let current = self.shared.current.get();
            match client.send(addresses[current], req.clone()).await {
                Err(e) if e.not_sent() => {
                    self.shared.current.set((current + 1) % addresses.len());
                    last = Some(e);
                }
                result => return result,
            }
        }
        Err(last.unwrap_or_else(no_address))
    }
}

fn no_address() -> limpetsaddle_http::Error {
    let phase = limpetsaddle_http::Phase::Connect;
    limpetsaddle_http::Error::NotSent(Box::new(limpetsaddle_http::Error::ClosedEarly { phase }))
}

fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>> {
    let builder = Request::builder().method(method).uri(path);
    Ok(builder.header(HOST, PLATFORM_HOST).body(body)?)
}

fn read_failure(e: limpetsaddle_http::Error) -> Error {
    if e.is_timeout() {
        return Error::Timeout;
    }
    if e.not_sent() {
        return Error::Unavailable { retry_after: None };
    }
    Error::Transport(e)
}

fn write_failure(e: &limpetsaddle_http::Error) -> Error {
    if e.not_sent() {
        return Error::Unavailable { retry_after: None };
    }
    Error::OutcomeUnknown
}

fn check_read_status(head: &Parts) -> Result<()> {
    match head.status {
        StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
        status => Err(failure(head).unwrap_or(Error::Rejected { status })),
    }
}

fn check_write_status(head: &Parts) -> Result<()> {
    match head.status {
        StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::CONFLICT => Ok(()),
        status if status.is_client_error() => {
            Err(failure(head).unwrap_or(Error::Rejected { status }))
        }
        // Other server errors may occur after a write has taken effect.
        _ => Err(failure(head).unwrap_or(Error::OutcomeUnknown)),
    }
}

fn failure(head: &Parts) -> Option<Error> {
    let retry_after = retry_after(head);
    match head.status {
        StatusCode::TOO_MANY_REQUESTS => Some(Error::RateLimited { retry_after }),
        StatusCode::SERVICE_UNAVAILABLE => Some(Error::Unavailable { retry_after }),
        _ => None,
    }
}

fn retry_after(head: &Parts) -> Option<Duration> {
    let text = head.headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}
