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
use super::homes::PrefixCounts;
use super::homes::home_depth;
use super::homes::homes;
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

/// The candidates that are drawn at random.
const RANDOM_CANDIDATES: u64 = 2;

/// The hinted candidates at most.
const MAX_HINTED: usize = 6;

/// The shortest time for which a hint is believed.
const MIN_HINT_LIFE: Duration = Duration::from_millis(500);

/// The divisor of the weight that one answer has in the learned prefill time.
const PREFILL_WEIGHT: u64 = 8;

/// The requests that one computation is taken to delay at most.
const MAX_BEHIND: u32 = 64;

/// The tokens that a request is taken to compute at first.
const FIRST_COMPUTED: u64 = 1_000;

/// The whole of a share in thousandths.
const WHOLE: u64 = 1_000;

/// The divisor of the weight that one answer has in the share of missed tokens.
const MISSED_WEIGHT: u64 = 32;

/// The divisor of the weight that one answer has in the share held by homes.
const SHARE_WEIGHT: u64 = 32;

/// The largest factor by which one answer may differ from the learned time.
const MAX_PREFILL_CHANGE: u64 = 4;

/// The failures that count towards the penalty of a suspect upstream at most.
const MAX_PENALTIES: u32 = 8;

/// A `PlacerOptions` holds the bounds and starting values of a [`Placer`].
#[derive(Clone, Copy, Debug)]
pub struct PlacerOptions {
    /// The blocks for which hints are kept at most; zero keeps none.
    pub capacity: usize,
    /// The longest time for which a hint is believed.
    pub hint_ttl: Duration,
    /// The upstreams that a failure domain needs to have homes of its own.
    pub home_group: usize,
    /// The longest queue of an engine that gets more work; beyond it the request
    /// waits at the instance, where teams share fairly.
    pub max_queue: Duration,
    /// The rate at which an engine is taken to compute prompts at first.
    pub prefill: TokenRate,
    /// Whether a computation is charged for the requests that it delays.
    pub charge_delays: bool,
    /// The time that each outstanding request of an engine adds.
    pub request_cost: Duration,
    /// The time that is added for each failure of a suspect upstream.
    pub suspect_penalty: Duration,
    /// The time that is added for an upstream that warms up.
    pub warm_up_penalty: Duration,
}

impl Default for PlacerOptions {
    fn default() -> Self {
        Self {
            capacity: 16_384,
            hint_ttl: Duration::from_secs(10),
            home_group: 16,
            max_queue: Duration::from_millis(800),
            prefill: TokenRate(20_000),
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
    home_share: u64,
    life: Duration,
    prefill_nanos: u64,
    missed: u64,
    computed: u64,
}

impl Placer {
    /// The bytes that one hint takes, without the spare room of its map.
    pub const HINT_BYTES: usize = HintTable::HINT_BYTES;

    /// Returns a placer without hints.
    #[must_use]
    pub fn new(options: PlacerOptions) -> Self {
        Self {
            options,
            hints: HintTable::new(options.capacity, options.hint_ttl),
            requests: RequestCount::default(),
            prefixes: PrefixCounts::default(),
            home_share: WHOLE / 2,
            life: options.hint_ttl,
            missed: WHOLE / 2,
            computed: FIRST_COMPUTED,
            prefill_nanos: 1_000_000_000 / options.prefill.0.max(1),
        }
    }

    /// Returns the number of blocks for which hints are kept.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Returns the rate at which engines were found to compute prompts.
    #[must_use]
    pub const fn prefill_rate(&self) -> TokenRate {
        TokenRate(1_000_000_000 / self.prefill_nanos)
    }

    /// Chooses an upstream for a request.
    ///
    /// Compares the engines that hints name, the homes of the prompt
    /// and two drawn by `random`; only when none of them may take the request
    /// does it look at the whole pool.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::AllFull`] when an upstream may take the request as
    /// soon as others end, and [`PlacementError::NoUpstream`] otherwise.
    pub fn choose(
        &self,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
        random: u64,
    ) -> Result<Choice, PlacementError> {
        let mut shortlist = Shortlist::default();
        self.add_hinted(&mut shortlist, query, table, now);
        self.add_homes(&mut shortlist, query, table, now);
        add_random(&mut shortlist, query, table, random);
        let mut open: Vec<Choice> = shortlist
            .iter()
            .filter(|c| is_below_bound(c.id, query, table, now))
            .filter_map(|c| self.estimate(c, query, table, now))
            .collect();
        self.charge_delays(&mut open, query.policy.recompute_weight);
        open.into_iter()
            .min_by_key(|choice| choice.estimate)
            .map_or_else(|| self.scan(&shortlist, query, table, now), Ok)
            .and_then(|choice| self.check_queue(choice))
    }

    fn check_queue(&self, choice: Choice) -> Result<Choice, PlacementError> {
        if choice.queue_delay > self.options.max_queue {
            return Err(PlacementError::AllFull);
        }
        Ok(choice)
    }

    /// Charges each choice for the requests that its computation delays.
    ///
    /// Their number is taken from the shortest queue: while an engine is idle,
    /// computing there delays no one, and under load every token that is
    /// computed again is paid by all who wait.
    fn charge_delays(&self, open: &mut [Choice], weight: u32) {
        let least = open.iter().map(|choice| choice.queue_delay).min();
        if !self.options.charge_delays {
            return;
        }
        let queue = least.unwrap_or_default().as_nanos();
        let one = self.prefill_time(Tokens(self.computed)).as_nanos().max(1);
        let behind = u32::try_from(queue / one).unwrap_or(u32::MAX);
        for choice in open {
            let compute = self.prefill_time(choice.prefill_tokens) * weight / 100;
            choice.estimate += compute * behind.min(MAX_BEHIND);
        }
    }

    /// Adds the holders of the deepest hinted blocks.
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
            for (holder, age) in hint.holders(now, self.life) {
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

    fn add_homes(
        &self,
        shortlist: &mut Shortlist,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) {
        let blocks = query.chain.blocks();
        let members = self.home_group(query, table);
        let depth = self.depth(blocks, members.len(), now);
        let Some(block) = depth.checked_sub(1).and_then(|last| blocks.get(last)) else {
            return;
        };
        let prefix = query.chain.tokens_in_blocks(blocks.len()).0;
        let cached = Tokens(prefix * self.home_share / WHOLE);
        let able = |id: &UpstreamId| table.get(*id).is_some_and(Upstream::takes_work);
        let mut ranked = homes(*block, members).into_iter().flatten();
        if let Some(home) = ranked.find(able) {
            shortlist.add(home, cached, CandidateSource::Preferred);
        }
    }

    /// Returns the number of blocks by which the home is looked up.
    fn depth(&self, blocks: &[u64], members: usize, now: Time) -> usize {
        let rate = |block: &u64| self.hints.get(*block).map_or(0, |hint| hint.requests(now));
        let rates: Vec<u32> = blocks.iter().map(rate).collect();
        let nested = self.prefixes.depth_of(members);
        let depth = nested.unwrap_or(blocks.len().div_ceil(2));
        home_depth(&rates, self.requests.recent(now), members, depth)
    }

    /// Returns the failure domain's upstreams where it has enough of them, and
    /// those of the whole pool otherwise.
    fn home_group<'t>(&self, query: &Query<'_>, table: &'t UpstreamTable) -> &'t [Member] {
        let domain = table.members(query.pool, Some(query.domain));
        if domain.len() >= self.options.home_group {
            return domain;
        }
        table.members(query.pool, None)
    }

    /// Looks for the best upstream of the whole pool. A warm-up bound does not
    /// count here: a slow start beats a refusal.
    fn scan(
        &self,
        shortlist: &Shortlist,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) -> Result<Choice, PlacementError> {
        let mut unplaced = PlacementError::NoUpstream;
        let mut best: Option<Choice> = None;
        for member in table.members(query.pool, None) {
            let known = shortlist.iter().find(|c| c.id == member.id);
            let candidate = known.copied().unwrap_or(Candidate {
                id: member.id,
                cached: Tokens::ZERO,
                source: CandidateSource::Load,
            });
            let Some(choice) = self.estimate(&candidate, query, table, now) else {
                continue;
            };
            unplaced = PlacementError::AllFull;
            let full = table.load(member.id, now).requests >= query.policy.max_outstanding;
            if !full && best.is_none_or(|held| choice.estimate < held.estimate) {
                best = Some(choice);
            }
        }
        best.ok_or(unplaced)
    }

    /// Returns the estimate for an upstream that may take the request at all.
    fn estimate(
        &self,
        candidate: &Candidate,
        query: &Query<'_>,
        table: &UpstreamTable,
        now: Time,
    ) -> Option<Choice> {
        let row = table.get(candidate.id)?;
        let contradicts = query
            .weights
            .is_some_and(|weights| row.contradicts(weights));
        if !row.takes_work() || contradicts || query.exclude.contains(&candidate.id) {
            return None;
        }
        let load = table.load(candidate.id, now);
        // Of what others wait for, a part is cached there, as it is here.
        let others = Tokens(load.reported.0 * self.missed / WHOLE);
        let waiting = self.prefill_time(load.queued + others);
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

    /// Records that a request was sent to the chosen upstream, which will hold
    /// the prompt's blocks.
    pub fn record_placement(&mut self, chain: &PrefixChain, choice: &Choice, now: Time) {
        if self.options.capacity == 0 {
            return;
        }
        self.requests.add(now);
        self.prefixes.add(chain.blocks(), now);
        for block in chain.blocks() {
            self.hints.count_request(*block, now);
            self.hints.hold(*block, choice.upstream, choice.epoch, now);
        }
    }

    /// Learns from the answer to a placed request.
    ///
    /// `epoch` is the epoch of the engine's cache after its answer was
    /// identified; the blocks are held under it.
    pub fn record_response(
        &mut self,
        chain: &PrefixChain,
        choice: &Choice,
        epoch: CacheEpoch,
        feedback: Feedback,
        now: Time,
    ) {
        match choice.source {
            CandidateSource::Hint { age } => self.learn_ttl(feedback.cached >= choice.cached, age),
            CandidateSource::Preferred => self.learn_home_share(chain, feedback.cached),
            CandidateSource::Load => {}
        }
        let prompt = chain.prompt_tokens().0;
        let computed = prompt.saturating_sub(feedback.cached.0);
        let missed = computed * WHOLE / prompt.max(1);
        self.computed = (self.computed * (MISSED_WEIGHT - 1) + computed) / MISSED_WEIGHT;
        self.missed = (self.missed * (MISSED_WEIGHT - 1) + missed) / MISSED_WEIGHT;
        self.learn_prefill(chain, choice, feedback);
        if self.options.capacity > 0 {
            for block in chain.blocks() {
                self.hints.hold(*block, choice.upstream, epoch, now);
            }
        }
    }

    /// Shortens the time for which hints are believed when one of that age was
    /// wrong, and lengthens it step by step while old ones are right.
    fn learn_ttl(&mut self, right: bool, age: Duration) {
        if !right && age < self.life {
            self.life = ((self.life * 3 + age) / 4).max(MIN_HINT_LIFE);
        }
        if right && age > self.life / 2 {
            self.life = (self.life + self.life / 16).min(self.options.hint_ttl);
        }
    }

    fn learn_home_share(&mut self, chain: &PrefixChain, cached: Tokens) {
        let prefix = chain.tokens_in_blocks(chain.blocks().len()).0;
        let share = cached.0.min(prefix) * WHOLE / prefix.max(1);
        self.home_share = (self.home_share * (SHARE_WEIGHT - 1) + share) / SHARE_WEIGHT;
    }

    /// Learns the prefill time from answers that did not wait for other work.
    fn learn_prefill(&mut self, chain: &PrefixChain, choice: &Choice, feedback: Feedback) {
        let computed = chain.prompt_tokens().saturating_sub(feedback.cached);
        if choice.queue_delay > Duration::ZERO || computed < chain.tokens_in_blocks(1) {
            return;
        }
        let nanos = u64::try_from(feedback.time_to_first_token.as_nanos()).unwrap_or(u64::MAX);
        // One slow answer must not change the rate by an order of magnitude.
        let sample = (nanos / computed.0.max(1)).clamp(
            self.prefill_nanos / MAX_PREFILL_CHANGE,
            self.prefill_nanos.saturating_mul(MAX_PREFILL_CHANGE),
        );
        let kept = self.prefill_nanos * (PREFILL_WEIGHT - 1);
        self.prefill_nanos = (kept.saturating_add(sample) / PREFILL_WEIGHT).max(1);
    }
}

fn is_below_bound(id: UpstreamId, query: &Query<'_>, table: &UpstreamTable, now: Time) -> bool {
    let bound = table.bound(id, query.policy.max_outstanding, now);
    table.load(id, now).requests < bound
}

/// Adds an upstream of the failure domain and one of the pool, so that load
/// finds its way past the homes.
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
