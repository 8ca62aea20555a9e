//! Selection of an upstream for a request.
//!
//! Prompts share long prefixes. A prompt goes to the engine with the shortest expected
//! time to the first event: an engine that caches the shared parts prefills only the
//! rest, any other fetches them from an engine that does. Parts that no engine caches
//! are prefilled at the preferred engine, which every instance computes alike by
//! rendezvous hashing, so that requests with the same prefix meet there.

mod prompts;
mod sample;

use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use crate::Name;
use crate::availability::Incarnation;
use crate::canary::Admission;
use crate::directory::ChainedPart;
use crate::directory::PrefixDirectory;
use crate::peers::Peers;
use crate::prompt::CacheDirectives;
use crate::speed::Work;
use crate::speed::WorkKind;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;

pub use self::prompts::PromptRequest;
pub use self::prompts::place_prompt;
pub use self::sample::sample_size;

/// The cost model by which engines are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The prompt tokens that an engine of ordinary speed prefills per millisecond, as long
    /// as no difference between the service's engines was observed.
    pub prefill_per_ms: f64,
    /// The time to the first event at an idle engine, without prefill.
    pub base_latency: Duration,
    /// The penalty of an engine with old weights, once the target has been newer for
    /// [`Self::old_weights_grace`].
    pub old_weights_penalty: Duration,
    /// The time after a new target version in which old weights have no penalty.
    pub old_weights_grace: Duration,
    /// The time after a new target version from which old weights are not used.
    pub old_weights_max_age: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            // The prefill speed in the users' engine specifications.
            prefill_per_ms: 44.0,
            base_latency: Duration::from_millis(15),
            old_weights_penalty: Duration::from_millis(250),
            old_weights_grace: Duration::from_millis(1_200),
            old_weights_max_age: Duration::from_secs(5),
        }
    }
}

/// The upstream selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream's id.
    pub upstream: Name,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The start of the upstream's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The version of weights that the upstream must have.
    pub weights: Option<u64>,
    /// How the upstream uses cached prompts.
    pub cache: Option<CacheDirectives>,
    /// The prompt tokens that the upstream has to prefill.
    pub prompt_tokens: u64,
    /// The tokens that the upstream adds to its KV cache.
    pub new_tokens: u64,
    /// The shared parts that the upstream caches once it has prefilled the prompt.
    pub chain: Vec<ChainedPart>,
    /// The expected time to the first event.
    pub expected_latency: Duration,
    /// The work to which the time to the first event is attributed.
    pub work: Option<Work>,
}

impl Placement {
    /// Returns the incarnation of the upstream.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            upstream: Name::clone(&self.upstream),
            born_ms: self.born_ms,
        }
    }
}

/// The state on which a placement is decided, beside the request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The upstreams.
    pub upstreams: &'a Upstreams,
    /// The other instances and their load.
    pub peers: &'a Peers,
    /// The parts of prompts that engines cache.
    pub directory: &'a PrefixDirectory,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// The upstreams that were attempted for this request.
    pub attempted: &'a [Name],
    /// The upstreams that may be selected, if not all.
    pub permitted: Option<&'a Admission>,
    /// The present time.
    pub now: Time,
    /// A random number that breaks ties.
    pub random: u64,
}

impl<'a> PlacementContext<'a> {
    /// Returns whether an upstream may be selected as far as its version is concerned.
    fn permits(&self, row: &Upstream) -> bool {
        self.permitted
            .is_none_or(|admission| admission.permits(&row.entry.id))
    }

    /// Returns the upstreams that may be selected.
    ///
    /// Avoided and paused upstreams, and those with a full window, are left out as long as
    /// others remain.
    fn candidates(&self, service: &str) -> Vec<&'a Upstream> {
        let not_attempted = |row: &&Upstream| !self.attempted.contains(&row.entry.id);
        let all: Vec<_> = self
            .upstreams
            .of_service(service, self.now)
            .filter(not_attempted)
            .filter(|row| self.permits(row))
            .collect();
        let usable = |row: &&&Upstream| {
            let remote = || self.peers.remote_load(row.hash, self.now).requests;
            !self.upstreams.is_avoided(row, self.now)
                && !row.is_paused(self.now)
                && row.is_within_window(remote)
        };
        let usable_rows: Vec<_> = all.iter().filter(usable).copied().collect();
        if usable_rows.is_empty() {
            all
        } else {
            usable_rows
        }
    }
}

/// Selects the upstream of a plain service that is expected to finish the request first, or
/// the one with the lowest utilization of its slots if all are equally fast.
#[must_use]
pub fn place_plain(service: &str, cx: &PlacementContext<'_>) -> Option<Placement> {
    let loads = cx.peers.remote_loads(cx.now);
    let remote = |row: &Upstream| loads.get(&row.hash).map_or(0, |load| load.requests);
    let candidates = spread_plain(cx.candidates(service), remote, cx);
    let scored = candidates
        .into_iter()
        .map(|row| (plain_cost(row, remote(row), cx), row));
    let (_, row) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Placement {
        upstream: Name::clone(&row.entry.id),
        address: row.entry.address,
        born_ms: row.entry.born_ms,
        weights: None,
        cache: None,
        prompt_tokens: 0,
        new_tokens: 0,
        chain: Vec::new(),
        expected_latency: Duration::ZERO,
        work: plain_work(row, remote(row)),
    })
}

/// Returns the work of a plain request. Its time says nothing of the upstream's speed if it
/// may wait for a slot.
fn plain_work(row: &Upstream, remote: u32) -> Option<Work> {
    let requests = row.local_load.requests + remote;
    (requests < row.entry.slots).then_some(Work {
        kind: WorkKind::Plain,
        own: 1.0,
        found: 0.0,
        overhead: Duration::ZERO,
        confidence: 1.0,
    })
}

/// Draws a sample of upstreams that differ in speed, of which all instances would otherwise
/// select the fastest between two heartbeats.
fn spread_plain<'a>(
    rows: Vec<&'a Upstream>,
    remote: impl Fn(&Upstream) -> u32,
    cx: &PlacementContext<'_>,
) -> Vec<&'a Upstream> {
    let unit_ms = |row: &&Upstream| row.speed(WorkKind::Plain).map(|speed| speed.unit_ms);
    let known: Vec<f64> = rows.iter().filter_map(unit_ms).collect();
    let Ok(count) = u32::try_from(known.len()) else {
        return rows;
    };
    if count == 0 {
        return rows;
    }
    // As many requests begin in a second as run divided by the time of each.
    let mean_ms = known.iter().sum::<f64>() / f64::from(count);
    let requests: u32 = rows
        .iter()
        .map(|row| row.local_load.requests + remote(row))
        .sum();
    let rate = f64::from(requests) / mean_ms * 1_000.0;
    let size = sample::uneven_sample_size(rows.len(), rate, cx.peers.heartbeat_interval());
    sample::sample(rows, size, cx.random, |row| row.window().is_some())
}

fn plain_cost(row: &Upstream, remote: u32, cx: &PlacementContext<'_>) -> f64 {
    let requests = f64::from(row.local_load.requests + remote);
    let slots = f64::from(row.entry.slots.max(1));
    let finish = match row.speed(WorkKind::Plain) {
        // The request itself takes longer at a slow upstream, too.
        Some(speed) => (requests + 1.0) / slots * speed.relative,
        None => requests / slots,
    };
    finish
        + row.health.failure_rate() * 4.0
        + crosses_domains(row, cx) * 0.05
        + jitter(row, cx) * 0.1
}

fn crosses_domains(row: &Upstream, cx: &PlacementContext<'_>) -> f64 {
    f64::from(u8::from(&*row.entry.domain != cx.domain))
}

/// Returns a number from 0 to 1 that depends on the upstream and the request.
fn jitter(row: &Upstream, cx: &PlacementContext<'_>) -> f64 {
    let draw = mix(row.hash ^ cx.random) >> 40;
    f64::from(u32::try_from(draw).unwrap_or(0)) / f64::from(1_u32 << 24)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
