//! The table of upstreams: who they are, what they run and how they fare.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::health::Health;
use crate::health::HealthOptions;
use crate::health::RequestOutcome;
use crate::heartbeat::LeavingUpdate;
use crate::heartbeat::UpstreamLoad;
use crate::heartbeat::WeightsUpdate;
use crate::heartbeat::name_hash;
use crate::heartbeat::process_hash;
use crate::reachability::DomainReachability;

/// A `Phase` is what an upstream says of its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The upstream takes requests.
    Ready,
    /// The upstream is leaving and takes no new requests.
    Draining,
}

/// The `Weights` of one model that an upstream has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Name,
    /// The version of its weights.
    pub version: u64,
}

/// An `UpstreamEntry` is what an upstream says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// The identity of this upstream.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: Name,
    /// Whether it is leaving.
    pub phase: Phase,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The start of its process, in milliseconds since the epoch.
    pub born_ms: u64,
    /// The weights that it has loaded.
    pub weights: Vec<Weights>,
}

/// A `Ticket` is one request's claim on an upstream, until it is finished.
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    /// The upstream.
    pub upstream: Name,
    work: RequestLoad,
    is_long: bool,
    waiting_tokens: u32,
    held_tokens: u32,
    started: Time,
}

/// The unread tokens from which a prompt counts as long: while it is read, each
/// step of its engine takes so long that streams pause noticeably.
pub const LONG_PROMPT_TOKENS: u64 = 10_000;

/// The `RequestLoad` of a request for an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestLoad {
    /// The prompt tokens to be read.
    pub waiting_tokens: u64,
    /// The tokens that the request holds in memory.
    pub held_tokens: u64,
    /// Whether the request cannot be continued elsewhere.
    pub fragile: bool,
    /// The expected time to the first event.
    pub expected_latency: Duration,
}

/// An `Upstream` is one row of the table.
#[derive(Debug)]
pub struct Upstream {
    /// What the upstream says of itself.
    pub entry: UpstreamEntry,
    /// The hash under which heartbeats speak of it.
    pub hash: u64,
    /// How requests fared.
    pub health: Health,
    /// The work that this instance has there.
    pub local_load: UpstreamLoad,
    /// The observed against the expected time to the first event.
    pub slowness: f64,
    paused_until: Option<Time>,
    rejections: u32,
    changed_at: Option<Time>,
    missing_since: Option<Time>,
}

impl Upstream {
    /// Returns the version of a model's weights that the upstream runs.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<u64> {
        let mut all = self.entry.weights.iter();
        all.find(|w| &*w.model == model).map(|w| w.version)
    }

    /// Returns whether the upstream is to get no requests for now, as it loads
    /// weights, is about to, or has just turned a request away.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether new requests may go there, whatever its health.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.entry.phase == Phase::Ready
    }
}

/// The weight of the newest observation in an upstream's slowness.
const SLOWNESS_SMOOTHING: f64 = 0.1;

/// The bounds of an upstream's slowness, against single odd observations.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

/// The first pause in which an upstream that turned a request away gets no other.
/// An engine that loads weights is back after a few of them.
const REJECTION_PAUSE: Duration = Duration::from_millis(120);

/// The doublings of that pause.
const MAX_DOUBLINGS: u32 = 3;

/// The time for which heartbeats repeat who leaves.
const LEAVING_REPEAT_TIME: Duration = Duration::from_secs(3);

/// The time for which heartbeats repeat which weights were loaded: four heartbeats of a
/// large fleet. Engines tell it too, and a rollout over many engines would fill
/// the holder's link.
const WEIGHTS_REPEAT_TIME: Duration = Duration::from_millis(1_200);

/// The time that upstreams get to appear again after an outage of the platform.
pub const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The `Upstreams` are all upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct Upstreams {
    options: HealthOptions,
    rows: BTreeMap<Name, Upstream>,
    /// The ids by the hashes under which heartbeats speak of processes.
    ids: HashMap<u64, Name>,
    leaving: Vec<(LeavingUpdate, Time)>,
    reachability: DomainReachability,
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
            reachability: DomainReachability::default(),
        }
    }

    /// Takes what an upstream says of itself.
    ///
    /// A process that started anew knows nothing of before, so that nothing
    /// that was learned of the last one holds.
    pub fn upsert(&mut self, entry: UpstreamEntry, now: Time) {
        let leaves = entry.phase == Phase::Draining;
        let held = self.rows.get_mut(&entry.id);
        let Some(row) = held.filter(|row| row.entry.born_ms == entry.born_ms) else {
            if leaves {
                self.announce_leaving(process(&entry), now);
            }
            // The process that was known under this id has ended.
            self.remove_row(&entry.id);
            let row = Upstream {
                hash: name_hash(&entry.id),
                health: Health::default(),
                local_load: UpstreamLoad::default(),
                slowness: 1.0,
                paused_until: None,
                rejections: 0,
                changed_at: None,
                missing_since: None,
                entry,
            };
            self.ids
                .insert(process(&row.entry), Name::clone(&row.entry.id));
            self.rows.insert(Name::clone(&row.entry.id), row);
            return;
        };
        let is_news = leaves && row.entry.phase != Phase::Draining;
        let known = std::mem::take(&mut row.entry.weights);
        row.entry = entry;
        row.missing_since = None;
        // What was seen in answers may be newer than the entry.
        for weights in known {
            raise_version(row, &weights.model, weights.version);
        }
        if is_news {
            let process = process(&row.entry);
            self.announce_leaving(process, now);
        }
    }

    /// Removes an upstream that has left.
    pub fn remove(&mut self, id: &str, now: Time) {
        // Who drains has been told of before.
        if let Some(row) = self.remove_row(id)
            && row.entry.phase != Phase::Draining
        {
            self.announce_leaving(process(&row.entry), now);
        }
    }

    fn remove_row(&mut self, id: &str) -> Option<Upstream> {
        let row = self.rows.remove(id)?;
        self.ids.remove(&process(&row.entry));
        Some(row)
    }

    fn by_process(&mut self, process: u64) -> Option<&mut Upstream> {
        self.rows.get_mut(self.ids.get(&process)?)
    }

    /// Has others told that a process leaves.
    fn announce_leaving(&mut self, process: u64, now: Time) {
        let update = LeavingUpdate { process };
        self.leaving
            .retain(|(known, at)| *known != update && now.since(*at) < LEAVING_REPEAT_TIME);
        self.leaving.push((update, now));
    }

    /// Returns the upstreams that other instances should know to be leaving.
    #[must_use]
    pub fn leaving_updates(&self, now: Time) -> Vec<LeavingUpdate> {
        let recent = self
            .leaving
            .iter()
            .filter(|(_, at)| now.since(*at) < LEAVING_REPEAT_TIME);
        recent.map(|(update, _)| *update).collect()
    }

    /// Takes what another instance tells of an upstream that leaves, and returns
    /// its id when that was not known.
    pub fn apply_leaving(&mut self, update: &LeavingUpdate) -> Option<Name> {
        let row = self.by_process(update.process)?;
        if row.entry.phase == Phase::Draining {
            return None;
        }
        row.entry.phase = Phase::Draining;
        Some(Name::clone(&row.entry.id))
    }

    /// Takes a complete list of the ids that the platform holds.
    ///
    /// After an outage, upstreams that are missing get time to appear again;
    /// otherwise they have left.
    pub fn retain(&mut self, listed: &[Name], after_outage: bool, now: Time) {
        let mut gone = Vec::new();
        for (id, row) in &mut self.rows {
            if listed.contains(id) {
                row.missing_since = None;
            } else if after_outage {
                row.missing_since.get_or_insert(now);
            } else {
                gone.push(Name::clone(id));
            }
        }
        for id in &gone {
            self.remove_row(id);
        }
    }

    /// Records that an upstream vanished from the list after an outage, in which
    /// entries lapse; it stays for as long as it may appear again.
    pub fn mark_missing(&mut self, id: &str, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            row.missing_since.get_or_insert(now);
        }
    }

    /// Removes the upstreams that did not appear again after an outage.
    pub fn remove_missing(&mut self, now: Time) -> Vec<Name> {
        let gone = |row: &Upstream| {
            row.missing_since
                .is_some_and(|since| now.since(since) >= REAPPEAR_TIMEOUT)
        };
        let ids = self.rows.iter().filter(|(_, row)| gone(row));
        let ids: Vec<Name> = ids.map(|(id, _)| Name::clone(id)).collect();
        for id in &ids {
            self.remove_row(id);
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

    /// Returns the upstreams of a service that take work, whatever their health.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.rows
            .values()
            .filter(move |row| &*row.entry.service == service && row.accepts_requests())
    }

    /// Returns whether an upstream gets no requests while others remain: requests
    /// failed there lately, or its whole failure domain cannot be reached.
    #[must_use]
    pub fn is_avoided(&self, row: &Upstream, now: Time) -> bool {
        row.health.is_avoided(now) || self.reachability.is_avoided(&row.entry.domain, now)
    }

    /// Counts a request as sent to an upstream.
    pub fn start(&mut self, id: &str, work: RequestLoad, now: Time) -> Option<Ticket> {
        let row = self.rows.get_mut(id)?;
        let waiting_tokens = u32::try_from(work.waiting_tokens).unwrap_or(u32::MAX);
        let held_tokens = u32::try_from(work.held_tokens).unwrap_or(u32::MAX);
        row.local_load.requests += 1;
        row.local_load.fragile += u32::from(work.fragile);
        let is_long = work.waiting_tokens >= LONG_PROMPT_TOKENS;
        row.local_load.long_prompts += u32::from(is_long);
        row.local_load.waiting_tokens =
            row.local_load.waiting_tokens.saturating_add(waiting_tokens);
        row.local_load.held_tokens = row.local_load.held_tokens.saturating_add(held_tokens);
        Some(Ticket {
            upstream: Name::clone(&row.entry.id),
            work,
            is_long,
            waiting_tokens,
            held_tokens,
            started: now,
        })
    }

    /// Records that a request's first event has come.
    pub fn record_first_event(&mut self, ticket: &mut Ticket, now: Time) {
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        end_prefill(row, ticket);
        self.reachability.record_success(&row.entry.domain);
        row.rejections = 0;
        ticket.waiting_tokens = 0;
        ticket.is_long = false;
        let expected = ticket.work.expected_latency.as_secs_f64();
        if expected > 0.0 {
            let seen = now.since(ticket.started).as_secs_f64() / expected;
            let seen = seen.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            row.slowness += (seen - row.slowness) * SLOWNESS_SMOOTHING;
        }
    }

    /// Ends a request's claim; `outcome` is `None` when the caller left first.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Option<RequestOutcome>, now: Time) {
        let Some(row) = self.rows.get_mut(&ticket.upstream) else {
            return;
        };
        row.local_load.requests = row.local_load.requests.saturating_sub(1);
        let fragile = u32::from(ticket.work.fragile);
        row.local_load.fragile = row.local_load.fragile.saturating_sub(fragile);
        end_prefill(row, ticket);
        row.local_load.held_tokens = row
            .local_load
            .held_tokens
            .saturating_sub(ticket.held_tokens);
        if let Some(outcome) = outcome {
            row.health.record(outcome, &self.options, now);
        }
        if outcome == Some(RequestOutcome::ConnectFailed) {
            self.reachability
                .record_failure(&row.entry.domain, row.hash, now);
        }
    }

    /// Records that another upstream answers at the address: the one that was
    /// there has ended, though its entry may stand for a while.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.entry.phase = Phase::Draining;
        }
    }

    /// Learns an upstream's weights from an answer of its own.
    pub fn observe_weights(&mut self, id: &str, model: &str, version: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            raise_version(row, model, version);
        }
    }

    /// Gives an upstream no requests for a time, and lets other instances know.
    pub fn pause_requests(&mut self, id: &str, span: Duration, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            row.paused_until = Some(now + span);
            row.changed_at = Some(now);
        }
    }

    /// Records that an upstream turned a request away.
    ///
    /// The pause before the next one grows while it goes on.
    pub fn record_rejection(&mut self, id: &str, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            let pause = REJECTION_PAUSE * (1 << row.rejections.min(MAX_DOUBLINGS));
            row.rejections += 1;
            row.paused_until = row.paused_until.max(Some(now + pause));
        }
    }

    /// Takes what an upstream said of its weights when it refused a request for
    /// others. It may have started anew with older ones.
    pub fn reset_weights(&mut self, id: &str, model: &str, version: u64) {
        let row = self.rows.get_mut(id);
        let weights = row.map(|row| row.entry.weights.iter_mut());
        let held = weights.and_then(|mut all| all.find(|w| &*w.model == model));
        if let Some(held) = held {
            held.version = version;
        }
    }

    /// Takes what another instance tells of weights.
    pub fn apply_weights(&mut self, update: &WeightsUpdate, now: Time) {
        let Some(row) = self.by_process(update.process) else {
            return;
        };
        if let Some(model) = row.entry.weights.first().map(|w| Name::clone(&w.model)) {
            raise_version(row, &model, update.version);
        }
        let away = Duration::from_millis(u64::from(update.away_ms));
        row.paused_until = (!away.is_zero()).then_some(now + away);
    }

    /// Returns what other instances should know of weights.
    #[must_use]
    pub fn weights_updates(&self, now: Time) -> Vec<WeightsUpdate> {
        let recent = |row: &&Upstream| {
            row.changed_at
                .is_some_and(|at| now.since(at) < WEIGHTS_REPEAT_TIME)
        };
        let update = |row: &Upstream| {
            row.entry.weights.first().map(|w| WeightsUpdate {
                process: process(&row.entry),
                version: w.version,
                away_ms: away_ms(row, now),
            })
        };
        self.rows
            .values()
            .filter(recent)
            .filter_map(update)
            .collect()
    }

    /// Returns the upstreams at which this instance has work.
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

fn process(entry: &UpstreamEntry) -> u64 {
    process_hash(&entry.id, entry.born_ms)
}

/// Weights of one process never go back, so that the highest version seen holds.
fn raise_version(row: &mut Upstream, model: &str, version: u64) {
    let held = row.entry.weights.iter_mut().find(|w| &*w.model == model);
    if let Some(held) = held
        && held.version < version
    {
        held.version = version;
    }
}

fn away_ms(row: &Upstream, now: Time) -> u32 {
    let left = row
        .paused_until
        .map_or(Duration::ZERO, |until| until.since(now));
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}

fn end_prefill(row: &mut Upstream, ticket: &Ticket) {
    let own = &mut row.local_load;
    own.waiting_tokens = own.waiting_tokens.saturating_sub(ticket.waiting_tokens);
    own.long_prompts = own.long_prompts.saturating_sub(u32::from(ticket.is_long));
}
