//! The choice of an upstream for one request.
//!
//! Answers the load of long shared prompts. A prompt goes to the engine with the
//! shortest expected time to its first event: an engine that holds the shared
//! parts only reads the rest, any other fetches them from an engine that does.
//! Parts that no engine holds are read at their home, which every instance
//! computes alike, so that requests which begin alike meet there.

mod prompts;

use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use crate::Name;
use crate::directory::ChainedPart;
use crate::directory::PrefixDirectory;
use crate::peers::Peers;
use crate::prompt::CacheDirectives;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;

pub use self::prompts::PromptRequest;
pub use self::prompts::place_prompt;

/// The `PlacementOptions` are the figures by which engines are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The prompt tokens that an engine of ordinary speed reads in a millisecond.
    pub prefill_per_ms: f64,
    /// The time from an idle engine's reading of a prompt to the first event.
    pub base_latency: Duration,
    /// What an engine with old weights counts as slower, once newer weights have
    /// been named for [`Self::old_weights_grace`].
    pub old_weights_penalty: Duration,
    /// The time in which old weights count as good as new ones.
    pub old_weights_grace: Duration,
    /// The time after the naming of new weights from which older ones are not used.
    pub old_weights_max_age: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            // The reading speed on the users' sheets of their engines.
            prefill_per_ms: 44.0,
            base_latency: Duration::from_millis(15),
            old_weights_penalty: Duration::from_millis(250),
            old_weights_grace: Duration::from_millis(1_200),
            old_weights_max_age: Duration::from_secs(5),
        }
    }
}

/// A `Placement` is the upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream's id.
    pub upstream: Name,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The version of weights that the upstream must have.
    pub weights: Option<u64>,
    /// How the upstream uses cached prompts.
    pub cache: Option<CacheDirectives>,
    /// The tokens that the upstream has to read.
    pub prompt_tokens: u64,
    /// The tokens that the upstream takes into memory.
    pub new_tokens: u64,
    /// The shared parts that the upstream holds once it has read the prompt.
    pub chain: Vec<ChainedPart>,
    /// The expected time to the first event.
    pub expected_latency: Duration,
}

/// The `PlacementContext` are what a placement is decided on, beside the request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The upstreams.
    pub upstreams: &'a Upstreams,
    /// The other instances and their work.
    pub peers: &'a Peers,
    /// Which engines hold which parts of prompts.
    pub directory: &'a PrefixDirectory,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// The upstreams that were tried for this request.
    pub tried: &'a [Name],
    /// The present time.
    pub now: Time,
    /// A random number, to tell equal upstreams apart.
    pub random: u64,
}

impl<'a> PlacementContext<'a> {
    /// Returns the upstreams that may be chosen.
    ///
    /// Upstreams that failed lately are left out as long as others remain, and
    /// so are upstreams that turn requests away while they load weights.
    fn candidates(&self, service: &str) -> Vec<&'a Upstream> {
        let untried = |row: &&Upstream| !self.tried.contains(&row.entry.id);
        let all: Vec<_> = self.upstreams.of_service(service).filter(untried).collect();
        let good = |row: &&&Upstream| {
            !self.upstreams.is_avoided(row, self.now) && !row.is_paused(self.now)
        };
        let best: Vec<_> = all.iter().filter(good).copied().collect();
        if best.is_empty() { all } else { best }
    }
}

/// Chooses an upstream of a plain service: the one with the fewest requests for
/// its slots.
#[must_use]
pub fn place_plain(service: &str, cx: &PlacementContext<'_>) -> Option<Placement> {
    let candidates = cx.candidates(service);
    let loads = cx.peers.remote_loads(cx.now);
    let scored = candidates.into_iter().map(|row| {
        let remote = loads.get(&row.hash).map_or(0, |load| load.requests);
        (plain_cost(row, remote, cx), row)
    });
    let (_, row) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Placement {
        upstream: Name::clone(&row.entry.id),
        address: row.entry.address,
        weights: None,
        cache: None,
        prompt_tokens: 0,
        new_tokens: 0,
        chain: Vec::new(),
        expected_latency: Duration::ZERO,
    })
}

fn plain_cost(row: &Upstream, remote: u32, cx: &PlacementContext<'_>) -> f64 {
    let requests = f64::from(row.local_load.requests + remote);
    let filled = requests / f64::from(row.entry.slots.max(1));
    filled
        + row.health.failure_rate() * 4.0
        + domain_penalty(row, cx) * 0.05
        + jitter(row, cx) * 0.1
}

fn domain_penalty(row: &Upstream, cx: &PlacementContext<'_>) -> f64 {
    f64::from(u8::from(&*row.entry.domain != cx.domain))
}

/// Returns a number from 0 to 1 that differs by upstream and request.
fn jitter(row: &Upstream, cx: &PlacementContext<'_>) -> f64 {
    let draw = mix(row.hash ^ cx.random) >> 40;
    f64::from(u32::try_from(draw).unwrap_or(0)) / f64::from(1_u32 << 24)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
