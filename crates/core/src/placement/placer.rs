//! The choice of an upstream by its estimated time to first token.

use std::time::Duration;

use super::CandidateSource;
use super::Choice;
use super::Feedback;
use super::PlacementError;
use super::PrefixChain;
use super::Query;
use super::hints::HintTable;
use super::hints::RequestCount;
use super::preferred::PrefixCounts;
use super::preferred::preferred;
use super::preferred::preferred_depth;
use super::shortlist::Candidate;
use super::shortlist::Shortlist;
use crate::hash::mix;
use crate::units::Time;
use crate::units::TokenRate;
use crate::units::Tokens;
use crate::upstreams::CacheEpoch;
use crate::upstreams::Health;
use crate::upstreams::Member;
use crate::upstreams::Upstream;
use crate::upstreams::UpstreamId;
use crate::upstreams::UpstreamTable;

/// The number of randomly drawn candidates.
const RANDOM_CANDIDATES: u64 = 2;

/// The maximum number of candidates from hints.
const MAX_HINTED: usize = 6;

/// The minimum time for which a hint is valid.
const MIN_HINT_TTL: Duration = Duration::from_millis(500);

/// The smoothing divisor of the prefill time: a response has the weight 1/divisor.
const PREFILL_DIVISOR: u64 = 8;

/// The maximum number of requests assumed to be delayed by one computation.
const MAX_DELAYED: u32 = 64;

/// The initial estimate of the tokens computed per request.
const INITIAL_COMPUTED: u64 = 1_000;

/// The denominator of ratios, which are in thousandths.
const RATIO_SCALE: u64 = 1_000;

/// The smoothing divisor of the miss ratio.
const MISS_DIVISOR: u64 = 32;

/// The smoothing divisor of the hit ratio of preferred upstreams.
const HIT_DIVISOR: u64 = 32;

/// The maximum factor by which one sample may differ from the current estimate.
const MAX_PREFILL_CHANGE: u64 = 4;

/// The maximum number of failures that count towards the penalty of a suspect upstream.
const MAX_PENALTIES: u32 = 8;

/// A `PlacerOptions` contains the limits and initial values of a [`Placer`].
#[derive(Clone, Copy, Debug)]
pub struct PlacerOptions {
    /// The maximum number of blocks with hints; zero disables hints.
    pub hint_capacity: usize,
    /// The maximum time for which a hint is valid.
    pub hint_ttl: Duration,
    /// The minimum number of upstreams in a failure domain for it to have preferred
    /// upstreams of its own.
    pub min_domain_upstreams: usize,
    /// The maximum queue delay of an engine that gets more requests; beyond it a
    /// request waits at the instance, whose queue is fair among teams.
    pub max_queue_delay: Duration,
    /// The initial estimate of an engine's prefill rate.
    pub prefill_rate: TokenRate,
    /// Whether the estimate includes the delay that a computation causes to other
    /// requests.
    pub charge_delays: bool,
    /// The time added for each outstanding request of an engine.
    pub request_cost: Duration,
    /// The time added for each failure of a suspect upstream.
    pub suspect_penalty: Duration,
    /// The time added for an upstream that is warming up.
    pub warm_up_penalty: Duration,
}

impl Default for PlacerOptions {
    fn default() -> Self {
        Self {
            hint_capacity: 16_384,
            hint_ttl: Duration::from_secs(10),
            min_domain_upstreams: 16,
            max_queue_delay: Duration::from_millis(800),
            prefill_rate: TokenRate(20_000),
            charge_delays: true,
            request_cost: Duration::from_millis(1),
            suspect_penalty: Duration::from_millis(250),
            warm_up_penalty: Duration::from_millis(20),
        }
    }
}

/// A `Placer` chooses the upstreams of one pool.
///
/// ```
/// use limpetsaddle_core::config::Phase;
/// use limpetsaddle_core::config::Policy;
/// use limpetsaddle_core::config::UpstreamSpec;
/// use limpetsaddle_core::placement::Placer;
/// use limpetsaddle_core::placement::PlacerOptions;
/// use limpetsaddle_core::placement::PrefixChain;
/// use limpetsaddle_core::placement::Query;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::upstreams::Arrival;
/// use limpetsaddle_core::upstreams::UpstreamOptions;
/// use limpetsaddle_core::upstreams::UpstreamTable;
///
/// let mut table = UpstreamTable::new(UpstreamOptions::default());
/// let spec = UpstreamSpec {
///     pool: "lm-pool".parse()?,
///     domain: "bergen-a".parse()?,
///     address: ([127, 0, 0, 1], 9000).into(),
///     phase: Phase::Live,
/// };
/// let now = Time::ZERO;
/// let id = table.insert("engine-1".parse()?, spec.clone(), Arrival::InService, now);
/// let placer = Placer::new(PlacerOptions::default());
/// let query = Query {
///     pool: &spec.pool,
///     domain: &spec.domain,
///     chain: &PrefixChain::EMPTY,
///     weights: None,
///     exclude: &[],
///     policy: &Policy::default(),
/// };
/// let choice = placer.choose(&query, &table, now, 0).expect("one upstream is live");
/// assert_eq!(choice.upstream, id);
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug)]
pub struct Placer {
    options: PlacerOptions,
    hints: HintTable,
    requests: RequestCount,
    prefixes: PrefixCounts,
    /// The mean cached fraction of a prefix at preferred upstreams, in thousandths.
    hit_ratio: u64,
    hint_ttl: Duration,
    /// The prefill time per token in nanoseconds.
    prefill_nanos: u64,
    /// The mean computed fraction of a prompt, in thousandths.
    miss_ratio: u64,
    /// The mean number of computed tokens per request.
    computed: u64,
}

impl Placer {
    /// The size of one hint in bytes, without the spare capacity of its map.
    pub const HINT_BYTES: usize = HintTable::HINT_BYTES;

    /// Returns a placer without hints.
    #[must_use]
    pub fn new(options: PlacerOptions) -> Self {
        Self {
            options,
            hints: HintTable::new(options.hint_capacity, options.hint_ttl),
            requests: RequestCount::default(),
            prefixes: PrefixCounts::default(),
            hit_ratio: RATIO_SCALE / 2,
            hint_ttl: options.hint_ttl,
            miss_ratio: RATIO_SCALE / 2,
            computed: INITIAL_COMPUTED,
            prefill_nanos: 1_000_000_000 / options.prefill_rate.0.max(1),
        }
    }

    /// Returns the number of blocks with hints.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Returns the measured prefill rate of the engines.
    #[must_use]
    pub const fn prefill_rate(&self) -> TokenRate {
        TokenRate(1_000_000_000 / self.prefill_nanos)
    }

    /// Chooses an upstream for a request.
    ///
    /// Compares the hinted engines, the preferred upstream of the prompt and two
    /// upstreams drawn by `random`. The whole pool is scanned only if none of these
    /// is available.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::AllFull`] if all eligible upstreams are full, and
    /// [`PlacementError::NoUpstream`] if no upstream is eligible.
    pub fn choose(
        &self,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
        random: u64,
    ) -> Result<Choice, PlacementError> {
        let mut shortlist = Shortlist::default();
        self.add_hinted(&mut shortlist, query, table, now);
        self.add_preferred(&mut shortlist, query, table, now);
        add_random(&mut shortlist, query, table, random);
        let mut open: Vec<Choice> = shortlist
            .iter()
            .filter(|c| is_below_limit(c.id, query, table, now))
            .filter_map(|c| self.estimate(c, query, table, now))
            .collect();
        self.charge_delays(&mut open, query.policy.recompute_weight);
        open.into_iter()
            .min_by_key(|choice| choice.estimate)
            .map_or_else(|| self.scan_pool(&shortlist, query, table, now), Ok)
            .and_then(|choice| self.check_queue(choice))
    }

    fn check_queue(&self, choice: Choice) -> Result<Choice, PlacementError> {
        if choice.queue_delay > self.options.max_queue_delay {
            return Err(PlacementError::AllFull);
        }
        Ok(choice)
    }

    /// Adds to each estimate the delay that its computation causes to other requests.
    ///
    /// The number of delayed requests is derived from the shortest queue: computation
    /// at an idle engine delays no other request, while under load each recomputed
    /// token delays all waiting requests.
    fn charge_delays(&self, open: &mut [Choice], weight: u32) {
        let shortest = open.iter().map(|choice| choice.queue_delay).min();
        if !self.options.charge_delays {
            return;
        }
        let queue = shortest.unwrap_or_default().as_nanos();
        let computation = self.prefill_time(Tokens(self.computed)).as_nanos().max(1);
        let delayed = u32::try_from(queue / computation).unwrap_or(u32::MAX);
        for choice in open {
            let compute = self.prefill_time(choice.prefill_tokens) * weight / 100;
            choice.estimate += compute * delayed.min(MAX_DELAYED);
        }
    }

    /// Adds the engines that cache the longest prefixes according to hints.
    fn add_hinted(
        &self,
        shortlist: &mut Shortlist,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) {
        let mut found = 0;
        for (i, block) in query.chain.blocks().iter().enumerate().rev() {
            let Some(hint) = self.hints.get(*block) else {
                continue;
            };
            for (holder, age) in hint.holders(now, self.hint_ttl) {
                let row = table.get(holder.upstream);
                let current = row.is_some_and(|row| row.epoch == holder.epoch);
                if current && !shortlist.contains(holder.upstream) {
                    let cached = query.chain.tokens_in_blocks(i + 1);
                    shortlist.add(holder.upstream, cached, CandidateSource::Hint { age });
                    found += 1;
                }
            }
            if found >= MAX_HINTED {
                break;
            }
        }
    }

    fn add_preferred(
        &self,
        shortlist: &mut Shortlist,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) {
        let blocks = query.chain.blocks();
        let members = self.preferred_group(query, table);
        let depth = self.depth(blocks, members.len(), now);
        let Some(block) = depth.checked_sub(1).and_then(|last| blocks.get(last)) else {
            return;
        };
        let prefix = query.chain.tokens_in_blocks(blocks.len()).0;
        let cached = Tokens(prefix * self.hit_ratio / RATIO_SCALE);
        let available = |id: &UpstreamId| table.get(*id).is_some_and(Upstream::accepts_requests);
        let mut ranked = preferred(*block, members).into_iter().flatten();
        if let Some(id) = ranked.find(available) {
            shortlist.add(id, cached, CandidateSource::Preferred);
        }
    }

    /// Returns the number of blocks that determine the preferred upstream.
    fn depth(&self, blocks: &[u64], members: usize, now: Time) -> usize {
        let rate = |block: &u64| self.hints.get(*block).map_or(0, |hint| hint.requests(now));
        let rates: Vec<u32> = blocks.iter().map(rate).collect();
        let nested = self.prefixes.depth_with(members);
        let depth = nested.unwrap_or(blocks.len().div_ceil(2));
        preferred_depth(&rates, self.requests.recent(now), members, depth)
    }

    /// Returns the upstreams of the failure domain if it has enough of them, and
    /// those of the whole pool otherwise.
    fn preferred_group<'t>(&self, query: &Query<'_>, table: &'t UpstreamTable) -> &'t [Member] {
        let domain = table.members(query.pool, Some(query.domain));
        if domain.len() >= self.options.min_domain_upstreams {
            return domain;
        }
        table.members(query.pool, None)
    }

    /// Returns the best upstream of the whole pool. The lower limits of upstreams
    /// that are warming up don't apply: a slow response is better than a refusal.
    fn scan_pool(
        &self,
        shortlist: &Shortlist,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) -> Result<Choice, PlacementError> {
        let mut unplaced = PlacementError::NoUpstream;
        let mut best: Option<Choice> = None;
        for member in table.members(query.pool, None) {
            let listed = shortlist.iter().find(|c| c.id == member.id);
            let candidate = listed.copied().unwrap_or(Candidate {
                id: member.id,
                cached: Tokens::ZERO,
                source: CandidateSource::Load,
            });
            let Some(choice) = self.estimate(&candidate, query, table, now) else {
                continue;
            };
            unplaced = PlacementError::AllFull;
            let full = table.load(member.id, now).requests >= query.policy.max_outstanding;
            if !full && best.is_none_or(|other| choice.estimate < other.estimate) {
                best = Some(choice);
            }
        }
        best.ok_or(unplaced)
    }

    /// Returns the estimate for an upstream, or `None` if it is not eligible.
    fn estimate(
        &self,
        candidate: &Candidate,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) -> Option<Choice> {
        let row = table.get(candidate.id)?;
        let other_weights = query
            .weights
            .is_some_and(|weights| row.has_other_weights(weights));
        if !row.accepts_requests() || other_weights || query.exclude.contains(&candidate.id) {
            return None;
        }
        let load = table.load(candidate.id, now);
        // Other requests' prompts are assumed to be cached to the same extent.
        let others = Tokens(load.reported_tokens.0 * self.miss_ratio / RATIO_SCALE);
        let waiting = self.prefill_time(load.queued_tokens + others);
        let queue = waiting + self.options.request_cost * load.requests;
        let prefill = query.chain.prompt_tokens().saturating_sub(candidate.cached);
        let compute = self.prefill_time(prefill) * query.policy.recompute_weight / 100;
        let mut estimate = queue + compute;
        if row.spec.domain != *query.domain {
            estimate += query.policy.leave_domain;
        }
        estimate += match row.health {
            Health::Suspect => {
                self.options.suspect_penalty * row.consecutive_failures.clamp(1, MAX_PENALTIES)
            }
            Health::Warming { .. } => self.options.warm_up_penalty,
            Health::Healthy | Health::Down { .. } => Duration::ZERO,
        };
        Some(Choice {
            upstream: candidate.id,
            epoch: row.epoch,
            estimate,
            queue_delay: queue,
            cached: candidate.cached,
            prefill_tokens: prefill,
            source: candidate.source,
        })
    }

    fn prefill_time(&self, tokens: Tokens) -> Duration {
        Duration::from_nanos(tokens.0.saturating_mul(self.prefill_nanos))
    }

    /// Records that a request was sent to the chosen upstream, which will then cache
    /// the blocks of the prompt.
    pub fn record_placement(&mut self, chain: &PrefixChain, choice: &Choice, now: Time) {
        if self.options.hint_capacity == 0 {
            return;
        }
        self.requests.add(now);
        self.prefixes.add(chain.blocks(), now);
        for block in chain.blocks() {
            self.hints.count_request(*block, now);
            self.hints
                .record_use(*block, choice.upstream, choice.epoch, now);
        }
    }

    /// Updates the estimates and hints from the response to a placed request.
    ///
    /// `epoch` is the epoch of the engine's cache after the engine was identified by
    /// the response; the hints refer to this epoch.
    pub fn record_response(
        &mut self,
        chain: &PrefixChain,
        choice: &Choice,
        epoch: CacheEpoch,
        feedback: Feedback,
        now: Time,
    ) {
        match choice.source {
            CandidateSource::Hint { age } => self.update_ttl(feedback.cached >= choice.cached, age),
            CandidateSource::Preferred => self.update_hit_ratio(chain, feedback.cached),
            CandidateSource::Load => {}
        }
        let prompt = chain.prompt_tokens().0;
        let computed = prompt.saturating_sub(feedback.cached.0);
        let ratio = computed * RATIO_SCALE / prompt.max(1);
        self.computed = (self.computed * (MISS_DIVISOR - 1) + computed) / MISS_DIVISOR;
        self.miss_ratio = (self.miss_ratio * (MISS_DIVISOR - 1) + ratio) / MISS_DIVISOR;
        self.update_prefill_time(chain, choice, feedback);
        if self.options.hint_capacity > 0 {
            for block in chain.blocks() {
                self.hints.record_use(*block, choice.upstream, epoch, now);
            }
        }
    }

    /// Shortens the lifetime of hints after a wrong hint of the given age, and extends
    /// it gradually while old hints are right.
    fn update_ttl(&mut self, right: bool, age: Duration) {
        if !right && age < self.hint_ttl {
            self.hint_ttl = ((self.hint_ttl * 3 + age) / 4).max(MIN_HINT_TTL);
        }
        if right && age > self.hint_ttl / 2 {
            self.hint_ttl = (self.hint_ttl + self.hint_ttl / 16).min(self.options.hint_ttl);
        }
    }

    fn update_hit_ratio(&mut self, chain: &PrefixChain, cached: Tokens) {
        let prefix = chain.tokens_in_blocks(chain.blocks().len()).0;
        let ratio = cached.0.min(prefix) * RATIO_SCALE / prefix.max(1);
        self.hit_ratio = (self.hit_ratio * (HIT_DIVISOR - 1) + ratio) / HIT_DIVISOR;
    }

    /// Updates the prefill time from responses that did not wait for other requests.
    fn update_prefill_time(&mut self, chain: &PrefixChain, choice: &Choice, feedback: Feedback) {
        let computed = chain.prompt_tokens().saturating_sub(feedback.cached);
        if choice.queue_delay > Duration::ZERO || computed < chain.tokens_in_blocks(1) {
            return;
        }
        let nanos = u64::try_from(feedback.time_to_first_token.as_nanos()).unwrap_or(u64::MAX);
        // A single slow response must not change the rate by an order of magnitude.
        let sample = (nanos / computed.0.max(1)).clamp(
            self.prefill_nanos / MAX_PREFILL_CHANGE,
            self.prefill_nanos.saturating_mul(MAX_PREFILL_CHANGE),
        );
        let kept = self.prefill_nanos * (PREFILL_DIVISOR - 1);
        self.prefill_nanos = (kept.saturating_add(sample) / PREFILL_DIVISOR).max(1);
    }
}

fn is_below_limit(id: UpstreamId, query: &Query<'_>, table: &UpstreamTable, now: Time) -> bool {
    let limit = table.request_limit(id, query.policy.max_outstanding, now);
    table.load(id, now).requests < limit
}

/// Adds an upstream of the failure domain and one of the whole pool, so that load
/// also reaches upstreams that are not preferred.
fn add_random(shortlist: &mut Shortlist, query: &Query<'_>, table: &UpstreamTable, random: u64) {
    let groups = [Some(query.domain), None];
    for (draw, domain) in (0..RANDOM_CANDIDATES).zip(groups) {
        let members = table.members(query.pool, domain);
        let Some(last) = (members.len() as u64).checked_sub(1) else {
            continue;
        };
        let pick = mix(random.wrapping_add(draw)) % (last + 1);
        if let Some(member) = usize::try_from(pick).ok().and_then(|i| members.get(i)) {
            shortlist.add(member.id, Tokens::ZERO, CandidateSource::Load);
        }
    }
}
