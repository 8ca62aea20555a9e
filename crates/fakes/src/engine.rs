//! A stand-in for a model engine.

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

/// A `FakeEngine` is a running stand-in of a model engine.
pub type FakeEngine = Fake<Engine>;

/// How an engine works when nothing is wrong.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The model that is loaded at first.
    pub model: String,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The number of tokens in a cache block.
    pub block_tokens: usize,
    /// The number of blocks that the cache holds.
    pub cache_blocks: usize,
    /// The number of prompt tokens computed in a second.
    pub prefill_rate: u64,
    /// The time between two tokens of an answer.
    pub token_delay: Duration,
    /// The number of requests that run at once.
    pub slots: usize,
    /// The time for loading weights.
    pub load_time: Duration,
    /// The age that a load report may have.
    pub report_lag: Duration,
    /// The time by which cache events are late.
    pub event_lag: Duration,
    /// Each cache event whose number is a multiple of this is lost, unless 0.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are refused.
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

/// A `Role` is the part of the work that an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
    /// Prompts and answers.
    Both,
}

/// A `Received` is a request as it arrived.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Received {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The fields of the head, one `name: value` each.
    pub headers: Vec<String>,
    /// The body as text.
    pub body: String,
}

impl Received {
    /// Returns whether `text` stands anywhere in the request.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        let in_headers = self.headers.iter().any(|line| line.contains(text));
        in_headers || self.path.contains(text) || self.body.contains(text)
    }
}

/// A `Run` is one execution of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The router's id of the request.
    pub request_id: String,
    /// The salt of the cached blocks.
    pub cache_salt: String,
    /// The number of the first token that was generated.
    pub resume_from: u64,
    /// The number of tokens that were sent.
    pub sent: u64,
    /// The prompt's tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Whether the answer was sent to its end.
    pub finished: bool,
}

/// A `StreamFault` is what goes wrong with the next streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamFault {
    /// What goes wrong.
    pub kind: StreamFaultKind,
    /// The number of tokens of the stream that are sent before.
    pub after: u64,
    /// How many more streams it befalls.
    pub streams: u32,
}

/// A `StreamFaultKind` is a way in which a stream goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFaultKind {
    /// The connection is closed.
    Die,
    /// The body ends in order, but without the last event.
    End,
    /// Nothing more comes.
    Stall,
    /// The token comes twice.
    Repeat,
    /// The token is left out.
    Skip,
    /// The first token of the stream comes once more.
    Late,
    /// A token of another request comes in between.
    Cross,
}

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Whether requests get 503 with `x-not-run`.
    pub refuses: bool,
    /// What is wrong with streams.
    pub stream: Option<StreamFault>,
}

/// An `Engine` is the state of a model engine.
#[derive(Debug, Serialize)]
pub struct Engine {
    /// What is wrong.
    pub faults: EngineFaults,
    /// Every request, in order.
    pub received: Vec<Received>,
    /// Every run, in order.
    pub runs: Vec<Run>,
    /// The orders that were carried out, in order.
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
    report: Option<serving::Report>,
}

impl Engine {
    /// Returns the incarnation in force.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Ends every connection and answers no further one.
    pub const fn crash(&mut self) {
        self.is_down = true;
    }

    /// Comes back, or starts again, as a new incarnation with an empty cache.
    pub fn restart_empty(&mut self) {
        self.is_down = false;
        self.incarnation = draw_incarnation();
        self.cache.clear();
        self.schedule = Schedule::new(self.options.slots, self.options.prefill_rate);
    }

    /// Returns how often the request `request_id` was run.
    #[must_use]
    pub fn runs_of(&self, request_id: &str) -> usize {
        let runs = self.runs.iter();
        runs.filter(|run| run.request_id == request_id).count()
    }

    /// Returns whether work of `incarnation` has to end.
    const fn is_gone(&self, incarnation: Incarnation) -> bool {
        self.is_down || self.incarnation.0 != incarnation.0
    }

    fn is_loading(&self) -> bool {
        Instant::now() < self.loading_until
    }

    fn take_stream_fault(&mut self) -> Option<StreamFault> {
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
            incarnation: draw_incarnation(),
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
        Self::launch(listen, state, serving::attend)
    }
}

fn draw_incarnation() -> Incarnation {
    Incarnation(RandomState::new().build_hasher().finish())
}
