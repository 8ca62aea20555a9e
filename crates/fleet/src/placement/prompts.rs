//! The choice of an engine for a prompt.

use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use super::Placement;
use super::PlacementOptions;
use super::Surroundings;
use super::far;
use super::jitter;
use super::millis;
use crate::Name;
use crate::configuration::Engine;
use crate::configuration::KvStore;
use crate::configuration::store_hash;
use crate::directory::Certainty;
use crate::directory::Link;
use crate::directory::chain;
use crate::prompt::CacheSalt;
use crate::prompt::CacheUse;
use crate::prompt::Prompt;
use crate::upstreams::LONG_PROMPT_TOKENS;
use crate::upstreams::Upstream;
use crate::weights::NamedWeights;

/// The cost of leaving the failure domain, as the bytes cross a dearer link.
const OTHER_DOMAIN: Duration = Duration::from_millis(2);

/// What an upstream at which every request failed lately counts as slower.
const FAILING_PENALTY: Duration = Duration::from_secs(1);

/// The time to start a fetch, beside the transfer itself.
const FETCH_START: Duration = Duration::from_millis(3);

/// A `PromptRequest` is a request for a model engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// What its engines can do.
    pub engine: &'a Engine,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The team, where its prompts are kept apart.
    pub isolated: Option<&'a str>,
    /// The newest weights of the prompt's model, if any were named.
    pub named: Option<&'a NamedWeights>,
    /// The KV store of the prompt's shared parts, while it is up.
    pub store: Option<&'a KvStore>,
}

/// How often the reading of a part elsewhere than at its home counts, as other
/// requests for it are likely to be under way to the home and the part would be
/// read twice.
const NOT_HOME: f64 = 1.0;

/// What a fetch counts as slower than having the parts, beyond its time: the
/// copy takes memory that other parts lose.
const COPY_PENALTY: Duration = Duration::from_millis(15);

/// A `Candidate` is an engine with what it holds of a prompt.
struct Candidate<'a> {
    row: &'a Upstream,
    version: Option<u64>,
    held: u64,
    fetched: u64,
    source: Option<Source>,
}

/// A `SaltedChain` is the shared parts of a prompt as engines with one version of
/// weights keep them.
struct SaltedChain {
    version: u64,
    salt: CacheSalt,
    links: Vec<Link>,
}

/// A `Source` is where an engine fetches parts from.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    link_mbps: f64,
}

impl Source {
    const fn engine(row: &Upstream, engine: &Engine) -> Self {
        Self {
            address: row.entry.address,
            link_mbps: engine.link_mbps,
        }
    }
}

/// Chooses an engine for a prompt.
#[must_use]
pub fn place_prompt(
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
    around: &Surroundings<'_>,
) -> Option<Placement> {
    let model = req.prompt.model.as_deref().unwrap_or_default();
    let home = home(req, around).map(|row| row.hash);
    let mut chains: Vec<SaltedChain> = Vec::new();
    let mut best: Option<(f64, f64, Candidate<'_>)> = None;
    for row in around.candidates(req.service) {
        let version = row.weights(model);
        let chain = chain_for(version, model, req, &mut chains);
        let candidate = candidate(row, version, chain, req, around);
        let expected = expected_ms(&candidate, req, options, around);
        let Some(stale) = staleness(row, expected, req, options, around.now) else {
            continue;
        };
        let cost = expected
            + stale
            + extra_ms(&candidate, home, req, options)
            + pauses_ms(&candidate, req, around)
            + row.health.failing() * millis(FAILING_PENALTY)
            + far(row, around) * millis(OTHER_DOMAIN)
            + jitter(row, around);
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, expected, candidate));
        }
    }
    let (_, expected, chosen) = best?;
    let salted = chains
        .into_iter()
        .find(|c| Some(c.version) == chosen.version);
    let (salt, chain) = salted.map_or((None, Vec::new()), |c| (Some(c.salt), c.links));
    let save_to = save_to(req, &chain, around);
    let tail = req.prompt.input_tokens.saturating_sub(chosen.held);
    Some(Placement {
        upstream: Name::clone(&chosen.row.entry.id),
        address: chosen.row.entry.address,
        weights: chosen.version,
        cache: salt.map(|salt| CacheUse {
            salt,
            fetch_from: chosen.source.map(|source| source.address),
            save_to,
        }),
        prompt_tokens: tail.saturating_sub(chosen.fetched),
        new_tokens: tail + req.prompt.max_output_tokens,
        chain,
        expected: Duration::try_from_secs_f64(expected / 1_000.0).unwrap_or_default(),
    })
}

/// Returns the shared parts of the prompt under the salt for a version.
fn chain_for<'c>(
    version: Option<u64>,
    model: &str,
    req: &PromptRequest<'_>,
    chains: &'c mut Vec<SaltedChain>,
) -> &'c [Link] {
    let Some(version) = version else {
        return &[];
    };
    let known = chains.iter().position(|chain| chain.version == version);
    let at = known.unwrap_or_else(|| {
        let salt = CacheSalt::new(model, version, req.isolated);
        chains.push(SaltedChain {
            version,
            links: chain(req.prompt, &salt),
            salt,
        });
        chains.len() - 1
    });
    &chains[at].links
}

fn candidate<'a>(
    row: &'a Upstream,
    version: Option<u64>,
    chain: &[Link],
    req: &PromptRequest<'_>,
    around: &Surroundings<'a>,
) -> Candidate<'a> {
    let memory = req.engine.memory_tokens;
    let depth = |row: &Upstream, certainty| {
        let directory = around.directory;
        directory.depth(row.hash, chain, memory, certainty, around.now)
    };
    let tokens = |depth: usize| chain[..depth].iter().map(|link| link.tokens).sum::<u64>();
    let own = depth(row, Certainty::Likely);
    let engine = |certainty| {
        let others = around.upstreams.of_service(req.service);
        let others =
            others.filter(|other| other.hash != row.hash && !other.health.is_avoided(around.now));
        // The nearest of the engines that hold most.
        others
            .map(|other| {
                (
                    depth(other, certainty),
                    other.entry.domain == row.entry.domain,
                    other,
                )
            })
            .max_by_key(|(depth, near, _)| (*depth, *near))
            .map(|(depth, _, other)| (depth, Source::engine(other, req.engine)))
    };
    let store = req.store.map(|store| {
        let source = Source {
            address: store.address,
            link_mbps: store.link_mbps,
        };
        (store_depth(store, chain, around), source)
    });
    // Of equal depth, an engine that surely holds the parts is the quickest
    // source, and one that may have dropped them the last.
    let source = [engine(Certainty::Likely), store, engine(Certainty::Sure)]
        .into_iter()
        .flatten()
        .max_by_key(|(depth, _)| *depth)
        .filter(|(depth, _)| *depth > 0);
    let fetched = source.map_or(0, |(depth, _)| tokens(depth).saturating_sub(tokens(own)));
    Candidate {
        row,
        version,
        held: tokens(own),
        fetched,
        // An engine may have dropped what it is believed to hold; a source from
        // which nothing is needed costs nothing.
        source: source.map(|(_, source)| source),
    }
}

fn store_depth(store: &KvStore, chain: &[Link], around: &Surroundings<'_>) -> usize {
    let hash = store_hash(store.address);
    let directory = around.directory;
    directory.depth(
        hash,
        chain,
        store.memory_tokens,
        Certainty::Likely,
        around.now,
    )
}

/// The shared tokens from which a prompt is saved to the KV store.
const MIN_SAVE_TOKENS: u64 = 1_000;

/// Returns whether the parts of a prompt are to be saved: they are many, and
/// the store does not hold them.
fn save_to(
    req: &PromptRequest<'_>,
    chain: &[Link],
    around: &Surroundings<'_>,
) -> Option<SocketAddr> {
    let store = req.store?;
    let many = req.prompt.shared_tokens() >= MIN_SAVE_TOKENS;
    let missing = store_depth(store, chain, around) < chain.len();
    (many && missing).then_some(store.address)
}

/// Returns the home of the request's shared parts.
fn home<'a>(req: &PromptRequest<'_>, around: &Surroundings<'a>) -> Option<&'a Upstream> {
    let scope = req.isolated.unwrap_or_default();
    let parts = req.prompt.shared_hash(scope);
    let all = around.upstreams.of_service(req.service);
    all.max_by_key(|row| mix(row.hash ^ parts))
}

/// What a long prompt that is being read counts as slower for a request that
/// would stream meanwhile: its events come late.
const BESIDE_LONG_PROMPT: Duration = Duration::from_millis(120);

/// What each request at an engine counts as slower for a long prompt, which would
/// make its events come late.
const PAUSED_REQUEST: Duration = Duration::from_millis(20);

/// Returns what a choice costs by the pauses that long prompts make in streams.
fn pauses_ms(candidate: &Candidate<'_>, req: &PromptRequest<'_>, around: &Surroundings<'_>) -> f64 {
    let row = candidate.row;
    let elsewhere = around.peers.load(row.hash, around.now);
    let present = candidate.held + candidate.fetched;
    if req.prompt.input_tokens.saturating_sub(present) >= LONG_PROMPT_TOKENS {
        let requests = row.own.requests + elsewhere.requests;
        return millis(PAUSED_REQUEST) * f64::from(requests);
    }
    let long = row.own.long_prompts + elsewhere.long_prompts;
    millis(BESIDE_LONG_PROMPT) * f64::from(long)
}

/// Returns what a choice costs others, in milliseconds.
fn extra_ms(
    candidate: &Candidate<'_>,
    home: Option<u64>,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
) -> f64 {
    let shared = req.prompt.shared_tokens();
    let mut extra = 0.0;
    if candidate.fetched > 0 {
        extra += millis(COPY_PENALTY) * count(candidate.fetched) / count(shared.max(1));
    }
    let unknown = shared.saturating_sub(candidate.held + candidate.fetched);
    if unknown > 0 && home != Some(candidate.row.hash) {
        extra += NOT_HOME * count(unknown) / options.prefill_per_ms;
    }
    extra
}

/// Returns what old weights add to the cost in milliseconds, or `None` where
/// they may no longer be used.
fn staleness(
    row: &Upstream,
    expected_ms: f64,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
    now: Time,
) -> Option<f64> {
    let version = req.named.and_then(|n| row.weights(&n.model));
    let age = req
        .named
        .zip(version)
        .and_then(|(n, v)| n.behind_for(v, now));
    let Some(age) = age else {
        return Some(0.0);
    };
    // The request counts from when its engine begins with it.
    let begins = millis(age) + expected_ms * LATE_BEGIN;
    if begins >= millis(options.old_weights_end) {
        return None;
    }
    let counts = age >= options.old_weights_grace;
    Some(if counts {
        millis(options.old_weights)
    } else {
        0.0
    })
}

/// How much later than expected a request may begin.
const LATE_BEGIN: f64 = 2.0;

fn expected_ms(
    candidate: &Candidate<'_>,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
    around: &Surroundings<'_>,
) -> f64 {
    let row = candidate.row;
    let elsewhere = around.peers.load(row.hash, around.now);
    let waiting = u64::from(row.own.waiting_tokens) + u64::from(elsewhere.waiting_tokens);
    let held = u64::from(row.own.held_tokens) + u64::from(elsewhere.held_tokens);
    let present = candidate.held + candidate.fetched;
    let unread = req.prompt.input_tokens.saturating_sub(present);
    let needed = held + req.prompt.charged_tokens();
    // What does not fit into memory waits until others have ended, about as long
    // as it takes to read as many tokens.
    let overflow = needed.saturating_sub(req.engine.memory_tokens);
    let tokens = waiting + unread + overflow;
    let reading = count(tokens) / options.prefill_per_ms * row.slowness;
    reading + fetch_ms(candidate, req) + millis(options.base)
}

fn fetch_ms(candidate: &Candidate<'_>, req: &PromptRequest<'_>) -> f64 {
    let Some(source) = candidate.source.filter(|_| candidate.fetched > 0) else {
        return 0.0;
    };
    let bits = count(candidate.fetched * req.engine.token_bytes * 8);
    // Transfers between failure domains take twice as long.
    let transfer = bits / (source.link_mbps.max(1.0) * 1_000.0) * 2.0;
    transfer + millis(FETCH_START)
}

/// Takes a count into the arithmetic of costs.
#[expect(clippy::cast_precision_loss, reason = "costs need no exact counts")]
const fn count(value: u64) -> f64 {
    value as f64
}
