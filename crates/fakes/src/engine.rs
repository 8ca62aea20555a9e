//! A fake model engine.

mod cache;
mod prompt;
mod schedule;
mod serving;
mod streaming;

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher as _;
use std::hash::Hasher as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use self::cache::BlockCache;
pub use self::prompt::expected_completion;
pub use self::prompt::prompt_bytes;
use self::schedule::Schedule;
use crate::host::Fake;

/// A running fake model engine.
pub type FakeEngine = Fake<Engine>;

/// The parameters of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The initial model.
    pub model: String,
    /// The initial weights version.
    pub weights: WeightsVersion,
    /// The number of tokens in a cache block.
    pub block_tokens: usize,
    /// The capacity of the cache, in blocks.
    pub cache_blocks: usize,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_rate: u64,
    /// The delay before each token of a completion.
    pub token_delay: Duration,
    /// The maximum number of concurrent requests.
    pub slots: usize,
    /// The time that loading weights takes.
    pub load_time: Duration,
    /// The time for which a load report is cached.
    pub report_lag: Duration,
    /// The delay of cache events.
    pub event_lag: Duration,
    /// Drops each cache event whose sequence number is a multiple of this, none if 0.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are rejected.
    pub checks_fencing: bool,
    /// Whether requests and runs are recorded.
    pub records: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: crate::host::any_port(),
            model: "birch-7b".to_owned(),
            weights: WeightsVersion(1),
            block_tokens: 256,
            cache_blocks: 64,
            prefill_rate: 1_000_000,
            token_delay: Duration::ZERO,
            slots: 256,
            load_time: Duration::from_millis(330),
            report_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_gap: 0,
            checks_fencing: true,
            records: true,
        }
    }
}

/// The phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Both,
}

/// A received request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Received {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The header fields, as `name: value`.
    pub headers: Vec<String>,
    /// The body as text.
    pub body: String,
}

impl Received {
    /// Returns whether the path, the headers or the body contain `text`.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        let in_headers = self.headers.iter().any(|line| line.contains(text));
        in_headers || self.path.contains(text) || self.body.contains(text)
    }
}

/// An execution of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The router's request ID.
    pub request_id: String,
    /// The salt of the cached blocks.
    pub cache_salt: String,
    /// The index of the first generated token.
    pub resume_from: u64,
    /// The number of tokens sent.
    pub sent: u64,
    /// The number of prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Whether the whole response was sent.
    pub finished: bool,
}

/// A fault that affects the next streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamFault {
    /// The kind of fault.
    pub kind: StreamFaultKind,
    /// The number of tokens sent before the fault.
    pub after: u64,
    /// The number of streams that it still affects.
    pub streams: u32,
}

/// The kinds of stream faults.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFaultKind {
    /// Closes the connection.
    Die,
    /// Ends the body properly, but without the remaining events.
    End,
    /// Sends nothing more and keeps the connection open.
    Stall,
    /// Sends the token twice.
    Repeat,
    /// Omits the token.
    Skip,
    /// Sends the first token of the stream again.
    Late,
    /// Inserts a token of another request.
    Cross,
}

/// The faults of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Whether requests are rejected with 503 and `x-not-run`.
    pub refuses: bool,
    /// The fault of streams.
    pub stream: Option<StreamFault>,
}

/// The state of a model engine.
#[derive(Debug, Serialize)]
pub struct Engine {
    /// The active faults.
    pub faults: EngineFaults,
    /// All received requests, in order.
    pub received: Vec<Received>,
    /// All runs, in order.
    pub runs: Vec<Run>,
    /// The fencing numbers of the executed orders, in order.
    pub orders: Vec<FencingNumber>,
    incarnation: Incarnation,
    model: String,
    weights: WeightsVersion,
    role: Role,
    is_down: bool,
    #[serde(skip)]
    loading_until: Instant,
    #[serde(skip)]
    options: EngineOptions,
    #[serde(skip)]
    cache: BlockCache,
    #[serde(skip)]
    schedule: Schedule,
    #[serde(skip)]
    report: Option<serving::CachedLoadReport>,
}

impl Engine {
    /// Returns the current incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Closes all connections and responds to no further request.
    pub const fn crash(&mut self) {
        self.is_down = true;
    }

    /// Restarts, also after a crash, as a new incarnation with an empty cache.
    pub fn restart_empty(&mut self) {
        self.is_down = false;
        self.incarnation = random_incarnation();
        self.cache.clear();
        self.schedule = Schedule::new(self.options.slots, self.options.prefill_rate);
    }

    /// Returns the number of runs of the request `request_id`.
    #[must_use]
    pub fn runs_of(&self, request_id: &str) -> usize {
        let runs = self.runs.iter();
        runs.filter(|run| run.request_id == request_id).count()
    }

    /// Returns whether `incarnation` no longer runs.
    const fn is_stopped(&self, incarnation: Incarnation) -> bool {
        self.is_down || self.incarnation.0 != incarnation.0
    }

    fn is_loading(&self) -> bool {
        Instant::now() < self.loading_until
    }

    fn next_stream_fault(&mut self) -> Option<StreamFault> {
        let fault = self.faults.stream.as_mut()?;
        fault.streams = fault.streams.checked_sub(1)?;
        Some(*fault)
    }
}

impl Fake<Engine> {
    /// Starts an engine with an empty cache.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    ///
    /// ```
    /// use limpetsaddle_fakes::EngineOptions;
    /// use limpetsaddle_fakes::FakeEngine;
    ///
    /// let engine = FakeEngine::start(EngineOptions::default())?;
    /// let before = engine.state().incarnation();
    /// engine.state().restart_empty();
    /// assert_ne!(engine.state().incarnation(), before);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let state = Engine {
            faults: EngineFaults::default(),
            received: Vec::new(),
            runs: Vec::new(),
            orders: Vec::new(),
            incarnation: random_incarnation(),
            model: options.model.clone(),
            weights: options.weights,
            role: Role::Both,
            is_down: false,
            loading_until: Instant::now(),
            cache: BlockCache::new(options.cache_blocks),
            schedule: Schedule::new(options.slots, options.prefill_rate),
            report: None,
            options,
        };
        let listen = state.options.listen;
        Self::launch(listen, state, serving::serve_connection)
    }
}

fn random_incarnation() -> Incarnation {
    Incarnation(RandomState::new().build_hasher().finish())
}
