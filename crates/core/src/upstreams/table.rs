//! The table of upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CacheEpoch;
use super::Identity;
use super::Upstream;
use super::UpstreamId;
use super::health::AttemptOutcome as Outcome;
use super::health::Health;
use super::health::probe_delay;
use super::load::Load;
use super::load::LoadReport;
use super::load::LoadState;
use crate::config::Phase;
use crate::config::UpstreamSpec;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::units::Time;
use crate::units::Tokens;

/// An `UpstreamOptions` contains the time constants of an [`UpstreamTable`].
#[derive(Clone, Copy, Debug)]
pub struct UpstreamOptions {
    /// The time in which the request limit of a new upstream rises to the full limit.
    pub warm_up: Duration,
    /// The maximum delay before the first probe of an upstream that is down.
    pub probe_delay: Duration,
    /// The age at which a load report is no longer used.
    pub report_max_age: Duration,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            warm_up: Duration::from_secs(3),
            probe_delay: Duration::from_millis(250),
            report_max_age: Duration::from_secs(2),
        }
    }
}

/// An `Arrival` is how an upstream was added to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The upstream was already in service when this instance started.
    InService,
    /// The upstream is new and has to warm up.
    New,
}

/// A `Ticket` represents an outstanding attempt at an upstream.
///
/// It must be passed to [`UpstreamTable::finish`] at the end of the attempt; until then
/// the attempt counts as outstanding.
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    upstream: UpstreamId,
    epoch: CacheEpoch,
    prompt: Tokens,
    prefill: Tokens,
}

impl Ticket {
    /// Returns the upstream of the attempt.
    #[must_use]
    pub const fn upstream(&self) -> UpstreamId {
        self.upstream
    }

    /// Returns the epoch of the engine's cache at the start of the attempt.
    #[must_use]
    pub const fn epoch(&self) -> CacheEpoch {
        self.epoch
    }
}

/// A `Member` is an upstream of a pool with the seed for its rendezvous hash.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) seed: u64,
    pub(crate) id: UpstreamId,
}

#[derive(Debug, Default)]
struct PoolMembers {
    all: Vec<Member>,
    by_domain: BTreeMap<DomainName, Vec<Member>>,
}

/// An `UpstreamTable` contains the state of each upstream as known to this instance.
///
/// ```
/// use limpetsaddle_core::config::Phase;
/// use limpetsaddle_core::config::UpstreamSpec;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
/// use limpetsaddle_core::upstreams::Arrival;
/// use limpetsaddle_core::upstreams::AttemptOutcome;
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
/// let id = table.insert("engine-1".parse()?, spec, Arrival::InService, now);
/// let ticket = table.start(id, Tokens(2_000), Tokens(2_000)).expect("the upstream is known");
/// assert_eq!(table.load(id, now).requests, 1);
/// table.finish(ticket, AttemptOutcome::Responded, now, 0);
/// assert_eq!(table.load(id, now).requests, 0);
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug)]
pub struct UpstreamTable {
    options: UpstreamOptions,
    rows: BTreeMap<UpstreamId, Upstream>,
    names: BTreeMap<UpstreamName, UpstreamId>,
    pools: BTreeMap<PoolName, PoolMembers>,
    next_id: u32,
}

impl UpstreamTable {
    /// Returns an empty table.
    #[must_use]
    pub const fn new(options: UpstreamOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds or updates an upstream from the configuration and returns its id.
    ///
    /// If only the phase has changed, the existing state is kept. If the address, the
    /// pool or the failure domain has changed, the upstream is replaced by a new one.
    pub fn insert(
        &mut self,
        name: UpstreamName,
        spec: UpstreamSpec,
        arrival: Arrival,
        now: Time,
    ) -> UpstreamId {
        if let Some(id) = self.update_phase(&name, &spec) {
            return id;
        }
        self.remove(&name);
        let id = UpstreamId(self.next_id);
        self.next_id += 1;
        let health = match arrival {
            Arrival::InService => Health::Healthy,
            Arrival::New => Health::Warming { since: now },
        };
        let row = Upstream {
            name: name.clone(),
            spec,
            health,
            identity: None,
            epoch: CacheEpoch::default(),
            consecutive_failures: 0,
            load: LoadState::default(),
            last_change: now,
        };
        self.names.insert(name, id);
        self.rows.insert(id, row);
        self.add_to_pool(id);
        id
    }

    fn update_phase(&mut self, name: &UpstreamName, spec: &UpstreamSpec) -> Option<UpstreamId> {
        let id = *self.names.get(name)?;
        let row = self.rows.get_mut(&id)?;
        let current = &row.spec;
        let same = current.address == spec.address && current.pool == spec.pool;
        if !same || current.domain != spec.domain {
            return None;
        }
        row.spec.phase = spec.phase;
        self.remove_from_pool(id);
        self.add_to_pool(id);
        Some(id)
    }

    /// Removes an upstream that is no longer in the configuration.
    pub fn remove(&mut self, name: &UpstreamName) {
        if let Some(id) = self.names.remove(name) {
            self.remove_from_pool(id);
            self.rows.remove(&id);
        }
    }

    fn add_to_pool(&mut self, id: UpstreamId) {
        let row = &self.rows[&id];
        if row.spec.phase == Phase::Leaving {
            return;
        }
        let seed = stable_hash(&[row.name.as_str().as_bytes()]);
        let member = Member { seed, id };
        let pool = self.pools.entry(row.spec.pool.clone()).or_default();
        let domain = pool.by_domain.entry(row.spec.domain.clone()).or_default();
        pool.all.push(member);
        domain.push(member);
    }

    fn remove_from_pool(&mut self, id: UpstreamId) {
        let spec = &self.rows[&id].spec;
        let Some(pool) = self.pools.get_mut(&spec.pool) else {
            return;
        };
        pool.all.retain(|m| m.id != id);
        if let Some(domain) = pool.by_domain.get_mut(&spec.domain) {
            domain.retain(|m| m.id != id);
        }
    }

    /// Returns the id of the upstream with a name.
    #[must_use]
    pub fn id(&self, name: &UpstreamName) -> Option<UpstreamId> {
        self.names.get(name).copied()
    }

    /// Returns an upstream, or `None` if it has been removed.
    #[must_use]
    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.rows.get(&id)
    }

    /// Returns the estimated load of an upstream.
    #[must_use]
    pub fn load(&self, id: UpstreamId, now: Time) -> Load {
        self.rows.get(&id).map_or_else(Load::default, |row| {
            row.load.at(now, self.options.report_max_age)
        })
    }

    /// Returns the maximum number of outstanding requests of an upstream at `now`,
    /// where `max` is the limit after the warm-up.
    #[must_use]
    pub fn request_limit(&self, id: UpstreamId, max: u32, now: Time) -> u32 {
        let Some(row) = self.rows.get(&id) else {
            return 0;
        };
        let Health::Warming { since } = row.health else {
            return max;
        };
        let warm_up = self.options.warm_up.as_millis().max(1);
        let age = now.since(since).as_millis().min(warm_up);
        let limit = u128::from(max) * age / warm_up;
        u32::try_from(limit).unwrap_or(max).clamp(1, max)
    }

    /// Starts an attempt, which is outstanding until it is finished.
    ///
    /// `prompt` is the number of prompt tokens and `prefill` the part of them that the
    /// engine is expected to compute. Returns `None` if the upstream has been removed.
    pub fn start(&mut self, id: UpstreamId, prompt: Tokens, prefill: Tokens) -> Option<Ticket> {
        let row = self.rows.get_mut(&id)?;
        row.load.requests += 1;
        row.load.prompt_tokens += prompt;
        row.load.prefill_tokens += prefill;
        Some(Ticket {
            upstream: id,
            epoch: row.epoch,
            prompt,
            prefill,
        })
    }

    /// Records that the first token of an attempt was received, which ends its prefill.
    pub fn record_first_token(&mut self, ticket: &mut Ticket) {
        if let Some(row) = self.rows.get_mut(&ticket.upstream) {
            row.load.prompt_tokens = row.load.prompt_tokens.saturating_sub(ticket.prompt);
            row.load.prefill_tokens = row.load.prefill_tokens.saturating_sub(ticket.prefill);
        }
        ticket.prompt = Tokens::ZERO;
        ticket.prefill = Tokens::ZERO;
    }

    /// Finishes an attempt and updates the health of the upstream.
    ///
    /// A response doesn't end the state [`Health::Down`], as the attempt may have
    /// started before the failure.
    pub fn finish(&mut self, mut ticket: Ticket, end: Outcome, now: Time, random: u64) {
        self.record_first_token(&mut ticket);
        let base = self.options.probe_delay;
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        row.load.requests = row.load.requests.saturating_sub(1);
        match end {
            Outcome::Responded => {
                row.consecutive_failures = 0;
                if row.health == Health::Suspect {
                    row.health = Health::Healthy;
                }
            }
            Outcome::TimedOut => {
                row.consecutive_failures += 1;
                if !matches!(row.health, Health::Down { .. }) {
                    row.health = Health::Suspect;
                }
            }
            Outcome::Unreachable if ticket.epoch == row.epoch => mark_down(row, base, now, random),
            // A failure in an earlier epoch concerns an engine that has been replaced.
            Outcome::Cancelled | Outcome::Unreachable => {}
        }
    }

    /// Records the identity of an engine from the response to an attempt.
    ///
    /// A different incarnation or different weights make the contents of the cache
    /// unknown. If the attempt started before such a change, the identity is ignored,
    /// as it may be that of the replaced engine.
    pub fn record_identity(&mut self, ticket: &Ticket, seen: Identity, now: Time) {
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        if ticket.epoch == row.epoch {
            identify(row, seen, now);
        }
    }

    /// Records a load report that was requested at `sent`.
    ///
    /// The report starts the warm-up of an upstream that is down, and reduces the
    /// failures of a suspect upstream by one. It is ignored if it was requested before
    /// the last change of the health or the identity.
    pub fn record_report(
        &mut self,
        id: UpstreamId,
        load: LoadReport,
        identity: Option<Identity>,
        sent: Time,
        now: Time,
    ) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if sent < row.last_change {
            return;
        }
        if let Some(seen) = identity {
            identify(row, seen, now);
        }
        row.load.apply_report(load, sent);
        row.consecutive_failures = row.consecutive_failures.saturating_sub(1);
        row.health = match row.health {
            Health::Down { .. } => {
                row.consecutive_failures = 0;
                row.last_change = now;
                Health::Warming { since: now }
            }
            Health::Warming { since } if now.since(since) >= self.options.warm_up => {
                Health::Healthy
            }
            Health::Suspect if row.consecutive_failures == 0 => Health::Healthy,
            health => health,
        };
    }

    /// Returns the upstreams with outstanding requests of this instance, sorted by id.
    #[must_use]
    pub fn ids_with_requests(&self) -> Vec<UpstreamId> {
        let busy = self.rows.iter().filter(|(_, row)| row.load.requests > 0);
        busy.map(|(id, _)| *id).collect()
    }

    /// Returns whether an upstream is in the state [`Health::Down`].
    #[must_use]
    pub fn is_down(&self, id: UpstreamId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| matches!(row.health, Health::Down { .. }))
    }

    /// Returns the number of upstreams that are eligible for new requests.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.rows
            .values()
            .filter(|row| row.accepts_requests())
            .count()
    }

    /// Returns the upstreams that are down and due for a probe, sorted by id.
    #[must_use]
    pub fn due_probes(&self, now: Time) -> Vec<UpstreamId> {
        let due =
            |row: &Upstream| matches!(row.health, Health::Down { probe_at } if probe_at <= now);
        self.rows
            .iter()
            .filter(|(_, row)| due(row))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Records a failed probe and schedules the next one.
    pub fn record_probe_failure(&mut self, id: UpstreamId, now: Time, random: u64) {
        let base = self.options.probe_delay;
        if let Some(row) = self.rows.get_mut(&id) {
            mark_down(row, base, now, random);
        }
    }

    /// Returns the upstreams of a pool that are not leaving, optionally only those of
    /// one failure domain.
    pub(crate) fn members(&self, pool: &PoolName, domain: Option<&DomainName>) -> &[Member] {
        let Some(pool) = self.pools.get(pool) else {
            return &[];
        };
        let Some(domain) = domain else {
            return &pool.all;
        };
        pool.by_domain.get(domain).map_or(&[], Vec::as_slice)
    }
}

fn mark_down(row: &mut Upstream, base: Duration, now: Time, random: u64) {
    row.consecutive_failures += 1;
    let delay = probe_delay(base, row.consecutive_failures, random);
    row.health = Health::Down {
        probe_at: now + delay,
    };
    row.last_change = now;
    row.load.clear_report();
}

fn identify(row: &mut Upstream, seen: Identity, now: Time) {
    if row.identity == Some(seen) {
        return;
    }
    let restarted = row
        .identity
        .is_some_and(|held| held.incarnation != seen.incarnation);
    if row.identity.is_some() {
        row.epoch.0 += 1;
        row.last_change = now;
        row.load.clear_report();
    }
    if restarted && !matches!(row.health, Health::Down { .. }) {
        row.health = Health::Warming { since: now };
    }
    row.identity = Some(seen);
}
