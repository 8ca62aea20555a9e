//! A stand-in for the platform's object API.

mod store;
mod watch;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json as value;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use self::store::Outcome;
use self::store::Store;
use crate::answers::Answer;
use crate::answers::empty;
use crate::answers::hang;
use crate::answers::json;
use crate::answers::query_number;
use crate::control::control;
use crate::control::replace;
use crate::host::Fake;
use crate::host::Shared;

/// A `FakePlatform` is a running stand-in of the platform.
pub type FakePlatform = Fake<Platform>;

/// How the platform's stand-in behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The time between bookmarks of a watch.
    pub bookmark_interval: Duration,
    /// The time after which a watch is ended.
    pub watch_duration: Duration,
    /// The number of changes that a watch can look back.
    pub history: usize,
    /// The time by which the list of instances lags.
    pub instances_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: crate::host::any_port(),
            bookmark_interval: Duration::from_secs(1),
            watch_duration: Duration::from_secs(30),
            history: 1000,
            instances_lag: Duration::ZERO,
        }
    }
}

/// An `Instance` is an entry of the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address for other instances.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub phase: String,
}

/// An `Outage` is a way in which the whole platform fails.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The platform answers.
    #[default]
    None,
    /// Each call gets 503.
    Unavailable,
    /// No call gets an answer.
    Silent,
    /// Each connection is closed.
    Closing,
}

/// A `WatchFault` is a way in which watches go wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// Watches are right.
    #[default]
    None,
    /// Changes of an even revision are left out.
    Skip,
    /// Each change comes twice.
    Repeat,
    /// Changes come in the wrong order.
    Reorder,
    /// Neither changes nor bookmarks come.
    Silent,
}

/// What is wrong with the platform.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// The outage, if any.
    pub outage: Outage,
    /// The time by which each answer is late.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// How many of the next writes take effect without an answer.
    pub lost_answers: u32,
    /// The calls that are answered in a second; the others get 429.
    pub max_calls_per_second: Option<u32>,
    /// What is wrong with watches.
    pub watch: WatchFault,
}

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Calls that read.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
    /// Watches that were begun.
    pub watches: u64,
    /// Calls that got 429 or fell into an outage.
    pub refused: u64,
}

/// A `Platform` is the state of the platform.
#[derive(Debug, Serialize)]
pub struct Platform {
    /// What is wrong.
    pub faults: PlatformFaults,
    /// The calls so far.
    pub calls: PlatformCalls,
    store: Store,
    #[serde(skip)]
    options: PlatformOptions,
    #[serde(skip)]
    instances: VecDeque<InstanceList>,
    #[serde(skip)]
    window: CallWindow,
}

/// An `InstanceList` is a list of instances with the time at which it shows.
#[derive(Debug)]
struct InstanceList {
    shows_at: Instant,
    instances: Vec<Instance>,
}

/// A `CallWindow` counts the calls of the current second.
#[derive(Debug)]
struct CallWindow {
    since: Instant,
    calls: u32,
}

impl Platform {
    /// Replaces the list of instances, which shows after the lag.
    pub fn set_instances(&mut self, instances: Vec<Instance>) {
        self.instances.push_back(InstanceList {
            shows_at: Instant::now() + self.options.instances_lag,
            instances,
        });
    }

    /// Writes a configuration object regardless of its revision, which is returned.
    pub fn put_config(&mut self, id: &str, spec: Value) -> u64 {
        let expected = self.store.object(id).map_or(0, |object| object.revision);
        let _ = self.store.put_object(id, expected, spec);
        self.store.revision()
    }

    /// Returns the revision of the last change of the configuration.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    fn shown_instances(&mut self) -> &[Instance] {
        let now = Instant::now();
        while self
            .instances
            .get(1)
            .is_some_and(|next| next.shows_at <= now)
        {
            self.instances.pop_front();
        }
        let first = self.instances.front().filter(|list| list.shows_at <= now);
        first.map_or(&[], |list| &list.instances)
    }

    fn is_over_rate(&mut self) -> bool {
        let Some(limit) = self.faults.max_calls_per_second else {
            return false;
        };
        if self.window.since.elapsed() >= Duration::from_secs(1) {
            self.window = CallWindow::start();
        }
        self.window.calls = self.window.calls.saturating_add(1);
        self.window.calls > limit
    }

    /// Consumes one lost answer, if one is due.
    fn loses_answer(&mut self) -> bool {
        let due = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        due
    }
}

impl CallWindow {
    fn start() -> Self {
        Self {
            since: Instant::now(),
            calls: 0,
        }
    }
}

impl Fake<Platform> {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    ///
    /// ```
    /// use limpetsaddle_fakes::FakePlatform;
    /// use limpetsaddle_fakes::PlatformOptions;
    ///
    /// let platform = FakePlatform::start(PlatformOptions::default())?;
    /// platform.state().faults.lost_answers = 1;
    /// assert_eq!(platform.state().revision(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let state = Platform {
            faults: PlatformFaults::default(),
            calls: PlatformCalls::default(),
            store: Store::new(options.history),
            options,
            instances: VecDeque::new(),
            window: CallWindow::start(),
        };
        Self::launch(options.listen, state, attend)
    }
}

async fn attend(mut connection: Connection, shared: Shared<Platform>) {
    while let Ok(Some(req)) = connection.next_request().await {
        let controlled = control_call(&req, &mut shared.lock());
        let res = match controlled {
            Some(res) => Some(res),
            None => serve_call(&req, &mut connection, &shared).await,
        };
        let Some(res) = res else {
            return;
        };
        if connection.respond(res).await.is_err() {
            return;
        }
    }
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
