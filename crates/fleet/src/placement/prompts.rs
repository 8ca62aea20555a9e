//! Selection of an engine for a prompt.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use super::Placement;
use super::PlacementContext;
use super::PlacementOptions;
use super::crosses_domains;
use super::jitter;
use super::millis;
use super::sample::sample;
use super::sample::sample_size;
use super::sample::uneven_sample_size;
use crate::Name;
use crate::configuration::Engine;
use crate::configuration::KvStore;
use crate::configuration::store_hash;
use crate::directory::Certainty;
use crate::directory::ChainedPart;
use crate::directory::Depths;
use crate::directory::chain;
use crate::heartbeat::UpstreamLoad;
use crate::prompt::CacheDirectives;
use crate::prompt::CacheSalt;
use crate::prompt::Prompt;
use crate::speed::Work;
use crate::speed::WorkKind;
use crate::upstreams::LONG_PROMPT_TOKENS;
use crate::upstreams::Upstream;
use crate::weights::TargetWeights;

/// The cost of another failure domain, as traffic between domains is more expensive.
const OTHER_DOMAIN_COST: Duration = Duration::from_millis(2);

/// The penalty of an upstream at which all recent requests failed.
const FAILING_PENALTY: Duration = Duration::from_secs(1);

/// The time to set up a fetch, beside the transfer itself.
const FETCH_SETUP_TIME: Duration = Duration::from_millis(3);

/// A request for a model engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The specification of its engines.
    pub engine: &'a Engine,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The team, if its prompts are isolated from those of other teams.
    pub isolated_team: Option<&'a str>,
    /// The target weights of the prompt's model, if operators set any.
    pub target_weights: Option<&'a TargetWeights>,
    /// The KV store for the prompt's shared parts, while it is up.
    pub store: Option<&'a KvStore>,
    /// The requests that all instances place per second at the service.
    pub rate: f64,
}

/// The weight of prefilling a part at another engine than the preferred one: other
/// requests with that part are probably on their way to the preferred engine, so the
/// part would be prefilled twice.
const NOT_PREFERRED_FACTOR: f64 = 1.0;

/// The penalty of a fetch beyond its duration: the copy evicts other parts.
const COPY_PENALTY: Duration = Duration::from_millis(15);

/// An engine with the tokens of the prompt that it caches or can fetch.
struct Candidate<'a> {
    row: &'a Upstream,
    /// The load of other instances' requests.
    remote: UpstreamLoad,
    version: Option<u64>,
    cached_tokens: u64,
    fetched_tokens: u64,
    source: Option<Source>,
}

/// The shared parts of a prompt under the salt of one version of weights, and their
/// holders.
struct SaltedChain<'a> {
    version: u64,
    salt: CacheSalt,
    parts: Vec<ChainedPart>,
    depths: HashMap<u64, Depths>,
    /// The engines that may serve as sources, sorted by their probably cached parts, most
    /// first.
    likely: Vec<Holder<'a>>,
    /// The same engines, sorted by their almost certainly cached parts.
    sure: Vec<Holder<'a>>,
    /// The number of parts in the KV store.
    in_store: usize,
}

impl<'a> SaltedChain<'a> {
    fn new(version: u64, model: &str, req: &PromptRequest<'_>, cx: &PlacementContext<'a>) -> Self {
        let salt = CacheSalt::new(model, version, req.isolated_team);
        let parts = chain(req.prompt, &salt);
        let memory = req.engine.memory_tokens;
        let depths = cx.directory.depths(&parts, memory, cx.now);
        let ranked = |depth: fn(&Depths) -> usize| {
            let usable = cx.upstreams.of_service(req.service, cx.now);
            // A limited engine's permits are for requests, not for transfers.
            let usable =
                usable.filter(|row| row.limit().is_none() && !cx.upstreams.is_avoided(row, cx.now));
            let holders = usable.filter_map(|row| {
                let held_parts = depths.get(&row.hash).map(depth)?;
                (held_parts > 0).then_some(Holder { held_parts, row })
            });
            let mut holders: Vec<_> = holders.collect();
            // Transfers from one engine queue behind each other, so engines that hold the
            // same number of parts take turns.
            holders.sort_by_cached_key(|holder| {
                let tie_break = mix(holder.row.hash ^ cx.random);
                (Reverse(holder.held_parts), tie_break)
            });
            holders
        };
        Self {
            version,
            salt,
            likely: ranked(|depths| depths.likely),
            sure: ranked(|depths| depths.sure),
            in_store: req.store.map_or(0, |s| store_depth(s, &parts, cx)),
            depths,
            parts,
        }
    }

    fn tokens(&self, depth: usize) -> u64 {
        self.parts[..depth].iter().map(|part| part.tokens).sum()
    }

    /// Returns the best source for an engine, and the number of parts that it is known to
    /// hold.
    ///
    /// At equal depth, an engine that almost certainly caches the parts is the fastest
    /// source, and one that may have evicted them the slowest. If no holder of all parts
    /// is known, the store may hold more than is known: this instance may have just
    /// started, or the updates may not have arrived yet.
    fn source(&self, row: &Upstream, req: &PromptRequest<'_>) -> Option<(usize, Source)> {
        let engine = |holder: Holder<'_>| {
            let source = Source::engine(holder.row, req.engine);
            (holder.held_parts, source)
        };
        let store = req.store.map(|store| {
            let source = Source {
                address: store.address,
                link_mbps: store.link_mbps,
            };
            (self.in_store, source)
        });
        let likely = nearest(&self.likely, row).map(engine);
        let sure = nearest(&self.sure, row).map(engine);
        let known = [likely, store, sure].into_iter().flatten();
        let known = known.max_by_key(|(depth, _)| *depth);
        let depth = known.map_or(0, |(depth, _)| depth);
        let may_hold_more =
            is_worth_saving(req) && self.in_store == depth && depth < self.parts.len();
        store
            .filter(|_| may_hold_more)
            .or_else(|| known.filter(|(depth, _)| *depth > 0))
    }
}

/// An engine that caches leading parts of a prompt.
#[derive(Clone, Copy)]
struct Holder<'a> {
    held_parts: usize,
    row: &'a Upstream,
}

/// Returns the other engine that holds most parts; among equals, one in the same failure
/// domain.
fn nearest<'a>(ranked: &[Holder<'a>], row: &Upstream) -> Option<Holder<'a>> {
    let mut others = ranked.iter().filter(|o| o.row.hash != row.hash);
    let first = others.next()?;
    let is_local = |holder: &Holder<'_>| holder.row.entry.domain == row.entry.domain;
    if is_local(first) {
        return Some(*first);
    }
    let local = others
        .take_while(|other| other.held_parts == first.held_parts)
        .find(|other| is_local(other));
    Some(*local.unwrap_or(first))
}

/// The engine or store from which an engine fetches parts.
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

/// Selects the engine with the lowest cost for a prompt.
#[must_use]
pub fn place_prompt(
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
    cx: &PlacementContext<'_>,
) -> Option<Placement> {
    let model = req.prompt.model.as_deref().unwrap_or_default();
    let preferred = preferred(req, cx).map(|row| row.hash);
    let loads = cx.peers.remote_loads(cx.now);
    let mut chains: Vec<SaltedChain<'_>> = Vec::new();
    let mut best: Option<(f64, f64, Candidate<'_>)> = None;
    for row in compared(req, preferred, &mut chains, cx) {
        // An engine that states no version must confirm the newest one.
        let newest = req.target_weights.map(TargetWeights::newest);
        let version = row.weights(model).or(newest);
        let chain = chain_for(version, model, req, cx, &mut chains);
        let remote = loads.get(&row.hash).copied().unwrap_or_default();
        let candidate = candidate(row, remote, chain, req);
        let expected = expected_ms(&candidate, req, options);
        let Some(old_weights) = old_weights_ms(row, expected, req, options, cx.now) else {
            continue;
        };
        let cost = expected
            + old_weights
            + cost_to_others_ms(&candidate, preferred, req, options)
            + stall_ms(&candidate, req)
            + row.health.failure_rate() * millis(FAILING_PENALTY)
            + crosses_domains(row, cx) * millis(OTHER_DOMAIN_COST)
            + jitter(row, cx);
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, expected, candidate));
        }
    }
    let (_, expected, chosen) = best?;
    let salted = chains
        .into_iter()
        .find(|c| Some(c.version) == chosen.version);
    let save_to = salted.as_ref().and_then(|chain| save_to(req, chain));
    let (salt, chain) = salted.map_or((None, Vec::new()), |c| (Some(c.salt), c.parts));
    let tail = req.prompt.input_tokens.saturating_sub(chosen.cached_tokens);
    let work = prefill_work(&chosen, req, options);
    Some(Placement {
        upstream: Name::clone(&chosen.row.entry.id),
        address: chosen.row.entry.address,
        born_ms: chosen.row.entry.born_ms,
        weights: chosen.version,
        cache: salt.map(|salt| CacheDirectives {
            salt,
            fetch_from: chosen.source.map(|source| source.address),
            save_to,
        }),
        prompt_tokens: tail.saturating_sub(chosen.fetched_tokens),
        new_tokens: tail + req.prompt.max_output_tokens,
        chain,
        expected_latency: Duration::try_from_secs_f64(expected / 1_000.0).unwrap_or_default(),
        work,
    })
}

/// Returns the engines that are compared: all or a sample, and beside it the preferred
/// engine, at which requests with the same shared parts meet, and one that caches most.
fn compared<'a>(
    req: &PromptRequest<'_>,
    preferred: Option<u64>,
    chains: &mut Vec<SaltedChain<'a>>,
    cx: &PlacementContext<'a>,
) -> Vec<&'a Upstream> {
    let rows = cx.candidates(req.service);
    let report_age = cx.peers.heartbeat_interval();
    let is_uneven = rows
        .iter()
        .any(|row| row.speed(WorkKind::Prefill).is_some());
    let size = if is_uneven {
        uneven_sample_size(rows.len(), req.rate, report_age)
    } else {
        sample_size(rows.len(), req.rate, report_age)
    };
    if rows.len() <= size {
        return rows;
    }
    let model = req.prompt.model.as_deref().unwrap_or_default();
    let newest = rows.iter().filter_map(|row| row.weights(model)).max();
    let chain = chain_for(newest, model, req, cx, chains);
    let holder = chain.and_then(|chain| chain.sure.first());
    let holder = holder.map(|holder| holder.row.hash);
    // Few instances may send anything to an upstream with a window.
    let keep = |row: &Upstream| {
        Some(row.hash) == preferred || Some(row.hash) == holder || row.window().is_some()
    };
    sample(rows, size, cx.random, keep)
}

/// Returns the shared parts of the prompt under the salt for a version.
fn chain_for<'c, 'a>(
    version: Option<u64>,
    model: &str,
    req: &PromptRequest<'_>,
    cx: &PlacementContext<'a>,
    chains: &'c mut Vec<SaltedChain<'a>>,
) -> Option<&'c SaltedChain<'a>> {
    let version = version?;
    let known = chains.iter().position(|chain| chain.version == version);
    let at = known.unwrap_or_else(|| {
        chains.push(SaltedChain::new(version, model, req, cx));
        chains.len() - 1
    });
    chains.get(at)
}

fn candidate<'a>(
    row: &'a Upstream,
    remote: UpstreamLoad,
    chain: Option<&SaltedChain<'_>>,
    req: &PromptRequest<'_>,
) -> Candidate<'a> {
    let depths = chain.and_then(|chain| chain.depths.get(&row.hash));
    let cached = depths.map_or(0, |depths| depths.likely);
    let source = chain.and_then(|chain| chain.source(row, req));
    let tokens = |depth| chain.map_or(0, |chain| chain.tokens(depth));
    let fetched_tokens =
        source.map_or(0, |(depth, _)| tokens(depth).saturating_sub(tokens(cached)));
    Candidate {
        row,
        remote,
        version: chain.map(|chain| chain.version),
        cached_tokens: tokens(cached),
        fetched_tokens,
        // An engine may have evicted what it is believed to cache; a source from
        // which nothing is needed costs nothing.
        source: source.map(|(_, source)| source),
    }
}

fn store_depth(store: &KvStore, chain: &[ChainedPart], cx: &PlacementContext<'_>) -> usize {
    let hash = store_hash(store.address);
    let directory = cx.directory;
    directory.depth(hash, chain, store.memory_tokens, Certainty::Likely, cx.now)
}

/// The number of shared tokens from which a prompt is saved to the KV store.
const MIN_SAVE_TOKENS: u64 = 1_000;

/// Returns the store to which the prompt's parts are saved, if they are worth it and the
/// store lacks some.
fn save_to(req: &PromptRequest<'_>, chain: &SaltedChain<'_>) -> Option<SocketAddr> {
    let store = req.store?;
    let missing = chain.in_store < chain.parts.len();
    (is_worth_saving(req) && missing).then_some(store.address)
}

/// Returns whether the prompt has enough shared tokens to be saved.
fn is_worth_saving(req: &PromptRequest<'_>) -> bool {
    req.prompt.shared_tokens() >= MIN_SAVE_TOKENS
}

/// Returns the preferred engine of the prompt's shared parts, by rendezvous hashing.
fn preferred<'a>(req: &PromptRequest<'_>, cx: &PlacementContext<'a>) -> Option<&'a Upstream> {
    let scope = req.isolated_team.unwrap_or_default();
    let prefix_hash = req.prompt.shared_hash(scope);
    let all = cx.upstreams.of_service(req.service, cx.now);
    // An engine with a limit can't take all requests with the prefix.
    let all = all.filter(|row| cx.permits(row));
    all.max_by_key(|row| (row.limit().is_none(), mix(row.hash ^ prefix_hash)))
}

/// The cost of each long prompt in prefill at an engine, for a request that would stream
/// meanwhile: its events are delayed.
const LONG_PROMPT_STALL: Duration = Duration::from_millis(120);

/// The cost of each request at an engine, for a long prompt that would delay its events.
const STALLED_REQUEST: Duration = Duration::from_millis(20);

/// Returns the cost of stalls in streams during the prefill of long prompts, in
/// milliseconds.
fn stall_ms(candidate: &Candidate<'_>, req: &PromptRequest<'_>) -> f64 {
    let row = candidate.row;
    let remote = &candidate.remote;
    let present = candidate.cached_tokens + candidate.fetched_tokens;
    if req.prompt.input_tokens.saturating_sub(present) >= LONG_PROMPT_TOKENS {
        let requests = row.local_load.requests + remote.requests;
        return millis(STALLED_REQUEST) * f64::from(requests);
    }
    let long = row.local_load.long_prompts + remote.long_prompts;
    millis(LONG_PROMPT_STALL) * f64::from(long)
}

/// Returns the cost of a choice to other requests, in milliseconds.
fn cost_to_others_ms(
    candidate: &Candidate<'_>,
    preferred: Option<u64>,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
) -> f64 {
    let shared = req.prompt.shared_tokens();
    let mut extra = 0.0;
    if candidate.fetched_tokens > 0 {
        extra += millis(COPY_PENALTY) * to_f64(candidate.fetched_tokens) / to_f64(shared.max(1));
    }
    let unknown = shared.saturating_sub(candidate.cached_tokens + candidate.fetched_tokens);
    if unknown > 0 && preferred != Some(candidate.row.hash) {
        let prefill = candidate
            .row
            .speed(WorkKind::Prefill)
            .map_or(to_f64(unknown) / options.prefill_per_ms, |speed| {
                to_f64(unknown) * speed.unit_ms
            });
        extra += NOT_PREFERRED_FACTOR * prefill;
    }
    extra
}

/// Returns the penalty of old weights in milliseconds, or `None` if they may no longer be
/// used.
fn old_weights_ms(
    row: &Upstream,
    expected_ms: f64,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
    now: Time,
) -> Option<f64> {
    let version = req.target_weights.and_then(|n| row.weights(&n.model));
    let age = req
        .target_weights
        .zip(version)
        .and_then(|(n, v)| n.outdated_for(v, now));
    let Some(age) = age else {
        return Some(0.0);
    };
    // What matters is when the engine starts to run the request.
    let starts_ms = millis(age) + expected_ms * START_DELAY_FACTOR;
    if starts_ms >= millis(options.old_weights_max_age) {
        return None;
    }
    let is_penalized = age >= options.old_weights_grace;
    Some(if is_penalized {
        millis(options.old_weights_penalty)
    } else {
        0.0
    })
}

/// The factor by which a request may start later than expected.
const START_DELAY_FACTOR: f64 = 2.0;

fn expected_ms(
    candidate: &Candidate<'_>,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
) -> f64 {
    let row = candidate.row;
    let remote = &candidate.remote;
    let waiting = u64::from(row.local_load.waiting_tokens) + u64::from(remote.waiting_tokens);
    let held = u64::from(row.local_load.held_tokens) + u64::from(remote.held_tokens);
    let present = candidate.cached_tokens + candidate.fetched_tokens;
    let uncached = req.prompt.input_tokens.saturating_sub(present);
    let needed = held + req.prompt.charged_tokens();
    // Tokens that don't fit into the KV cache wait until other requests have ended, about
    // as long as their prefill takes.
    let overflow = needed.saturating_sub(req.engine.memory_tokens);
    let tokens = waiting + uncached + overflow;
    let prefill = row.speed(WorkKind::Prefill).map_or(
        to_f64(tokens) / options.prefill_per_ms * row.slowness,
        |speed| to_f64(tokens) * speed.unit_ms,
    );
    prefill + fetch_ms(candidate, req) + millis(options.base_latency)
}

/// The tokens that a prompt prefills from which its time counts in full: with fewer, most of
/// the time is that of anything else.
const FULL_SAMPLE_TOKENS: f64 = 2_000.0;

/// The tokens below which the time says nothing of the speed of prefill.
const MIN_SAMPLE_TOKENS: u64 = 500;

/// How much the time of a prompt with a fetch counts: transfers wait for each other.
const FETCH_CONFIDENCE: f64 = 0.25;

/// Returns the work of a prompt, whose time shows the engine's speed if little else delays it.
fn prefill_work(
    candidate: &Candidate<'_>,
    req: &PromptRequest<'_>,
    options: &PlacementOptions,
) -> Option<Work> {
    let row = candidate.row;
    let present = candidate.cached_tokens + candidate.fetched_tokens;
    let own = req.prompt.input_tokens.saturating_sub(present);
    let held = row
        .local_load
        .held_tokens
        .saturating_add(candidate.remote.held_tokens);
    let fits = u64::from(held) + req.prompt.charged_tokens() <= req.engine.memory_tokens;
    if own < MIN_SAMPLE_TOKENS || !fits {
        return None;
    }
    let found =
        u64::from(row.local_load.waiting_tokens) + u64::from(candidate.remote.waiting_tokens);
    let fetch = fetch_ms(candidate, req);
    let fetched = if fetch > 0.0 { FETCH_CONFIDENCE } else { 1.0 };
    let overhead = fetch + millis(options.base_latency);
    Some(Work {
        kind: WorkKind::Prefill,
        own: to_f64(own),
        found: to_f64(found),
        overhead: Duration::try_from_secs_f64(overhead / 1_000.0).unwrap_or_default(),
        confidence: (to_f64(own) / FULL_SAMPLE_TOKENS).min(1.0) * fetched,
    })
}

fn fetch_ms(candidate: &Candidate<'_>, req: &PromptRequest<'_>) -> f64 {
    let Some(source) = candidate.source.filter(|_| candidate.fetched_tokens > 0) else {
        return 0.0;
    };
    let bits = to_f64(candidate.fetched_tokens * req.engine.token_bytes * 8);
    // Transfers between failure domains take twice as long; all are counted like that.
    let transfer = bits / (source.link_mbps.max(1.0) * 1_000.0) * 2.0;
    transfer + millis(FETCH_SETUP_TIME)
}

/// Converts a count for the arithmetic of costs.
#[expect(clippy::cast_precision_loss, reason = "costs need no exact counts")]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
