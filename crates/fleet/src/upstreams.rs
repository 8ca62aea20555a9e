//! The table of upstreams with their weights, load, health and availability.

mod availability;
mod limits;
mod pace;
mod speed;
mod weights;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

pub use self::pace::PaceChange;
use self::speed::ServiceSpeed;
pub use self::speed::SpeedChange;
use self::weights::raise_version;
use crate::Name;
use crate::availability::Availability;
use crate::availability::AvailabilityChange;
use crate::availability::AvailabilityRecord;
use crate::availability::Incarnation;
use crate::health::Health;
use crate::health::HealthOptions;
use crate::health::RequestOutcome;
use crate::heartbeat::LeavingUpdate;
use crate::heartbeat::UpstreamLoad;
use crate::heartbeat::name_hash;
use crate::heartbeat::process_hash;
use crate::pace::PaceCause;
use crate::pace::PaceUpdate;
use crate::pace::Window;
use crate::permits::PermitPool;
use crate::reachability::DomainReachability;
use crate::speed::SpeedRecord;
use crate::speed::Work;

/// The phase of an upstream's life, as the upstream reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The upstream accepts requests.
    Ready,
    /// The upstream is shutting down and accepts no new requests.
    Draining,
}

/// The weights of one model that an upstream has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Name,
    /// The version of its weights.
    pub version: u64,
}

/// An upstream's own entry at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// The id, unique among upstreams.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// The address for requests.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: Name,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The version of its software, if the entry states one.
    pub software: Option<Name>,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The number of the entry among those of its process; 0 if it states none.
    pub sequence: u64,
    /// The weights that it has loaded.
    pub weights: Vec<Weights>,
    /// How much longer it is slow after its start, if it says so.
    pub cold: Option<Duration>,
}

impl UpstreamEntry {
    /// Returns the incarnation that has written the entry.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            upstream: Name::clone(&self.id),
            born_ms: self.born_ms,
        }
    }
}

/// A request's share of an upstream's load, from [`Upstreams::start`] to
/// [`Upstreams::finish`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    /// The upstream.
    pub upstream: Name,
    load: RequestLoad,
    is_long_prompt: bool,
    waiting_tokens: u32,
    held_tokens: u32,
    born_ms: u64,
    started: Time,
    work: Option<Work>,
}

/// The number of uncached tokens from which a prompt counts as long: during its
/// prefill, each engine step takes so long that streams stall noticeably.
pub const LONG_PROMPT_TOKENS: u64 = 10_000;

/// The load that a request puts on an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestLoad {
    /// The prompt tokens to be prefilled.
    pub waiting_tokens: u64,
    /// The tokens that the request takes in the KV cache.
    pub held_tokens: u64,
    /// Whether the request cannot be continued at another upstream.
    pub fragile: bool,
    /// The expected time to the first event.
    pub expected_latency: Duration,
}

/// An upstream with the state that this instance has observed.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream's own entry.
    pub entry: UpstreamEntry,
    /// The hash of its id in heartbeats.
    pub hash: u64,
    /// The health by the outcomes of this instance's requests.
    pub health: Health,
    /// The load of this instance's requests.
    pub local_load: UpstreamLoad,
    /// The moving average of the ratio of observed to expected time to the first event.
    pub slowness: f64,
    /// What all instances have observed of its speed.
    speed: SpeedRecord,
    window: Option<Window>,
    /// The time since which the process is known.
    since: Time,
    /// What the upstream, its entries and other instances said of its availability.
    record: AvailabilityRecord,
    /// The permits for its limit.
    pub permits: PermitPool,
    paused_until: Option<Time>,
    away_until: Option<Time>,
    rejections: u32,
    paused_at: Option<Time>,
    missing_since: Option<Time>,
}

impl Upstream {
    /// Returns the version of a model's weights that the upstream runs.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<u64> {
        let mut all = self.entry.weights.iter();
        all.find(|w| &*w.model == model).map(|w| w.version)
    }

    /// Returns whether the upstream gets no requests for now, because it loads weights,
    /// is about to load them, or has just rejected a request.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether another instance has reported that the upstream loads weights or is
    /// about to.
    #[must_use]
    pub fn is_away(&self, now: Time) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream may be called; its health does not matter.
    #[must_use]
    pub fn availability(&self, now: Time) -> Availability {
        self.permitted(self.record.state(now), now)
    }

    /// Returns whether the upstream stays, though it may rest for now.
    #[must_use]
    pub const fn stays(&self) -> bool {
        self.record.stays()
    }
}

/// The smoothing factor of the moving average of slowness.
const SLOWNESS_SMOOTHING: f64 = 0.1;

/// The range to which each ratio is clamped, so that outliers count little.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

/// The first pause after a rejection. An engine that loads weights accepts requests
/// again after a few of these pauses.
const REJECTION_PAUSE: Duration = Duration::from_millis(120);

/// The maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// The time after an outage of the platform in which missing upstreams may register again.
pub const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2_200);

/// What is adapted to the observed responses of upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Adaptation {
    /// Placement follows the observed speed of upstreams that differ.
    pub speed: bool,
    /// Upstreams that have just started or recovered have a window of concurrent work.
    pub windows: bool,
}

impl Adaptation {
    /// Everything is adapted.
    pub const ALL: Self = Self {
        speed: true,
        windows: true,
    };
}

/// All upstreams that are registered at the platform.
#[derive(Debug, Default)]
pub struct Upstreams {
    options: HealthOptions,
    rows: BTreeMap<Name, Upstream>,
    /// The ids by the process hashes in heartbeats.
    ids: HashMap<u64, Name>,
    leaving: Vec<(LeavingUpdate, Time)>,
    /// The last entry's number of each process whose entry was removed.
    removed: HashMap<u64, (u64, Time)>,
    /// The records of processes without a row, by their process hashes.
    departed: HashMap<u64, (AvailabilityRecord, Time)>,
    /// The incarnations that are not available.
    marked: Vec<Incarnation>,
    changes: Vec<AvailabilityChange>,
    reachability: DomainReachability,
    speeds: HashMap<Name, ServiceSpeed>,
    speed_changes: Vec<SpeedChange>,
    adaptation: Adaptation,
    /// The recent failures of upstreams, by the hashes of their ids.
    failures: HashMap<u64, (u32, Time)>,
    pace_changes: Vec<PaceChange>,
    /// The unreported responses at upstreams whose windows have ended.
    last_paces: Vec<PaceUpdate>,
}

impl Upstreams {
    /// Returns an empty table.
    #[must_use]
    pub fn new(options: HealthOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
            ids: HashMap::new(),
            leaving: Vec::new(),
            removed: HashMap::new(),
            departed: HashMap::new(),
            marked: Vec::new(),
            changes: Vec::new(),
            reachability: DomainReachability::default(),
            speeds: HashMap::new(),
            speed_changes: Vec::new(),
            failures: HashMap::new(),
            adaptation: Adaptation::default(),
            pace_changes: Vec::new(),
            last_paces: Vec::new(),
        }
    }

    /// Sets what is adapted to observations of upstreams; by default nothing is.
    pub const fn adapt(&mut self, adaptation: Adaptation) {
        self.adaptation = adaptation;
    }

    /// Inserts or updates an upstream from its own entry.
    ///
    /// A restarted process has lost its state, so everything observed of the previous
    /// process is discarded. An entry that is older than a known one, as the store may
    /// return from an older copy, is ignored.
    pub fn upsert(&mut self, entry: UpstreamEntry, now: Time) {
        if self.is_succeeded(&entry) {
            return;
        }
        // No later entry of the process takes that back.
        if entry.phase == Phase::Draining {
            self.record_draining(&entry, now);
        }
        if self.was_removed(&entry, now) {
            return;
        }
        let existing = self.rows.get_mut(&entry.id);
        if let Some(row) = existing.filter(|row| row.entry.born_ms == entry.born_ms) {
            row.missing_since = None;
            if entry.sequence < row.entry.sequence {
                return;
            }
            // Without a number, an entry can't be told from an older one.
            if entry.sequence > row.entry.sequence || entry.sequence == 0 {
                row.record.register();
            }
            let earlier = std::mem::take(&mut row.entry.weights);
            row.entry = entry;
            // Versions observed in responses may be newer than the entry.
            for weights in earlier {
                raise_version(row, &weights.model, weights.version);
            }
        } else {
            self.insert(entry, now);
        }
    }

    /// Inserts the row of a process that has none.
    fn insert(&mut self, entry: UpstreamEntry, now: Time) {
        // The previous process under this id has ended.
        self.succeed(&entry.id, entry.born_ms, now);
        let process = process_of(&entry);
        let record = self.recall(process);
        let row = Upstream {
            hash: name_hash(&entry.id),
            health: Health::default(),
            local_load: UpstreamLoad::default(),
            slowness: 1.0,
            speed: SpeedRecord::default(),
            window: None,
            since: now,
            record,
            permits: PermitPool::default(),
            paused_until: None,
            away_until: None,
            rejections: 0,
            paused_at: None,
            missing_since: None,
            entry,
        };
        self.ids.insert(process, Name::clone(&row.entry.id));
        let id = Name::clone(&row.entry.id);
        self.rows.insert(Name::clone(&id), row);
        self.estimate_new(&id);
        self.pace_new(&id, now);
    }

    /// Removes an upstream whose entry was removed.
    pub fn remove(&mut self, id: &str, now: Time) {
        let Some(row) = self.remove_row(id, now) else {
            return;
        };
        self.remember_removed(process_of(&row.entry), row.entry.sequence, now);
        // A leaving upstream was announced before.
        if row.record.stays() {
            self.announce_removed(&row.entry, now);
        }
    }

    fn remove_row(&mut self, id: &str, now: Time) -> Option<Upstream> {
        let row = self.rows.remove(id)?;
        let process = process_of(&row.entry);
        self.ids.remove(&process);
        self.depart(process, row.record, now);
        Some(row)
    }

    /// Removes the upstreams that are missing in `registered`, the complete list of
    /// registered ids.
    ///
    /// After an outage, missing upstreams are kept until [`REAPPEAR_TIMEOUT`] has passed.
    pub fn retain(&mut self, registered: &[Name], after_outage: bool, now: Time) {
        let mut removed = Vec::new();
        for (id, row) in &mut self.rows {
            if registered.contains(id) {
                row.missing_since = None;
            } else if after_outage {
                row.missing_since.get_or_insert(now);
            } else {
                removed.push(Name::clone(id));
            }
        }
        for id in &removed {
            self.remove_row(id, now);
        }
    }

    /// Records that an upstream is missing after an outage, during which entries expire;
    /// it is kept until [`REAPPEAR_TIMEOUT`] has passed.
    pub fn mark_missing(&mut self, id: &str, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            row.missing_since.get_or_insert(now);
        }
    }

    /// Removes the upstreams that did not register again after an outage, and returns their
    /// ids.
    pub fn remove_missing(&mut self, now: Time) -> Vec<Name> {
        let is_expired = |row: &Upstream| {
            row.missing_since
                .is_some_and(|since| now.since(since) >= REAPPEAR_TIMEOUT)
        };
        let ids = self.rows.iter().filter(|(_, row)| is_expired(row));
        let ids: Vec<Name> = ids.map(|(id, _)| Name::clone(id)).collect();
        for id in &ids {
            self.remove_row(id, now);
        }
        ids
    }

    /// Returns an upstream by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.rows.get(id)
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.rows.values()
    }

    /// Returns the upstreams of a service that may be called, whatever their health.
    pub fn of_service(&self, service: &str, now: Time) -> impl Iterator<Item = &Upstream> {
        self.rows.values().filter(move |row| {
            &*row.entry.service == service && row.availability(now).accepts_calls()
        })
    }

    /// Returns whether an upstream gets no requests while others are available: recent
    /// requests failed there, or its whole failure domain is unreachable.
    #[must_use]
    pub fn is_avoided(&self, row: &Upstream, now: Time) -> bool {
        row.health.is_avoided(now) || self.reachability.is_avoided(&row.entry.domain, now)
    }

    /// Adds a request to the load of an upstream; returns `None` if the id is unknown.
    pub fn start(&mut self, id: &str, load: RequestLoad, now: Time) -> Option<Ticket> {
        let row = self.rows.get_mut(id)?;
        let waiting_tokens = u32::try_from(load.waiting_tokens).unwrap_or(u32::MAX);
        let held_tokens = u32::try_from(load.held_tokens).unwrap_or(u32::MAX);
        row.local_load.requests += 1;
        row.local_load.fragile += u32::from(load.fragile);
        let is_long_prompt = load.waiting_tokens >= LONG_PROMPT_TOKENS;
        row.local_load.long_prompts += u32::from(is_long_prompt);
        row.local_load.waiting_tokens =
            row.local_load.waiting_tokens.saturating_add(waiting_tokens);
        row.local_load.held_tokens = row.local_load.held_tokens.saturating_add(held_tokens);
        Some(Ticket {
            upstream: Name::clone(&row.entry.id),
            load,
            is_long_prompt,
            waiting_tokens,
            held_tokens,
            born_ms: row.entry.born_ms,
            started: now,
            work: None,
        })
    }

    /// Records that the first event of a request has arrived.
    pub fn record_first_event(&mut self, ticket: &mut Ticket, now: Time) {
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        end_prefill(row, ticket);
        self.reachability.record_success(&row.entry.domain);
        row.rejections = 0;
        ticket.waiting_tokens = 0;
        ticket.is_long_prompt = false;
        let expected = ticket.load.expected_latency.as_secs_f64();
        if expected > 0.0 {
            let ratio = now.since(ticket.started).as_secs_f64() / expected;
            let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            row.slowness += (ratio - row.slowness) * SLOWNESS_SMOOTHING;
        }
        self.record_speed(ticket, now);
        self.pace_first_event(ticket, now);
    }

    /// Ends a request; `outcome` is `None` if the caller disconnected first.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Option<RequestOutcome>, now: Time) {
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        row.local_load.requests = row.local_load.requests.saturating_sub(1);
        let fragile = u32::from(ticket.load.fragile);
        row.local_load.fragile = row.local_load.fragile.saturating_sub(fragile);
        end_prefill(row, ticket);
        row.local_load.held_tokens = row
            .local_load
            .held_tokens
            .saturating_sub(ticket.held_tokens);
        if let Some(outcome) = outcome {
            let was_avoided = row.health.is_avoided(now);
            row.health.record(outcome, &self.options, now);
            let is_avoided = row.health.is_avoided(now);
            if is_avoided && !was_avoided {
                self.begin_window(&ticket.upstream, PaceCause::Failed, now);
            } else if is_failure(outcome) {
                self.pace_failure(&ticket.upstream, now);
            }
        }
        if outcome == Some(RequestOutcome::ConnectFailed)
            && let Some(row) = self.rows.get(&ticket.upstream)
        {
            self.reachability
                .record_failure(&row.entry.domain, row.hash, now);
        }
    }

    /// Records that an upstream rejected a request.
    ///
    /// The pause doubles with each consecutive rejection.
    pub fn record_rejection(&mut self, id: &str, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            let pause = REJECTION_PAUSE * (1 << row.rejections.min(MAX_DOUBLINGS));
            row.rejections += 1;
            row.paused_until = row.paused_until.max(Some(now + pause));
        }
        self.pace_failure(id, now);
    }

    /// Returns the load of this instance's requests at each upstream that has any.
    #[must_use]
    pub fn local_loads(&self) -> Vec<UpstreamLoad> {
        let busy = self.rows.values().filter(|row| row.local_load.requests > 0);
        busy.map(|row| UpstreamLoad {
            upstream: row.hash,
            ..row.local_load
        })
        .collect()
    }
}

const fn is_failure(outcome: RequestOutcome) -> bool {
    !matches!(
        outcome,
        RequestOutcome::Responded | RequestOutcome::UpstreamError
    )
}

fn process_of(entry: &UpstreamEntry) -> u64 {
    process_hash(&entry.id, entry.born_ms)
}

fn end_prefill(row: &mut Upstream, ticket: &Ticket) {
    let load = &mut row.local_load;
    load.waiting_tokens = load.waiting_tokens.saturating_sub(ticket.waiting_tokens);
    load.long_prompts = load
        .long_prompts
        .saturating_sub(u32::from(ticket.is_long_prompt));
}
