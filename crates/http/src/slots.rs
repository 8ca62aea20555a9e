//! The connections of callers, and which of them ends when memory or descriptors are short.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::shares::ShareId;

/// The age from which the head or body of a request may be ended. Requests that arrive at once
/// are younger.
const MIN_AGE: Duration = Duration::from_millis(500);

/// The age from which a connection without a request may be ended. What its caller sent at once
/// was read by then.
const MIN_UNUSED_AGE: Duration = Duration::from_millis(100);

/// The span over which the pace of a body is measured, and without a byte after which it is
/// zero.
const PACE_WINDOW: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotState {
    /// Waits for the rest of a refused request to pass.
    Lingering,
    /// Waits for a request.
    Idle,
    /// Reads the head of a request.
    Head,
    /// Reads the body of a request.
    Body,
    /// Serves a request, which was read.
    Busy,
}

impl SlotState {
    const fn is_request(self) -> bool {
        matches!(self, Self::Body | Self::Busy)
    }
}

/// The number of connections and requests that one address or team has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// The number of connections.
    pub connections: usize,
    /// The number of requests whose head was read.
    pub requests: usize,
}

impl Held {
    /// Returns the number of descriptors, of which a request has one for its upstream.
    #[must_use]
    pub const fn descriptors(self) -> usize {
        self.connections + self.requests
    }
}

/// What is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Memory for a request.
    Memory,
    /// Descriptors or connections.
    Descriptors,
}

/// The connections of callers.
///
/// Selects the connection that ends first when something is short: first those that have
/// nothing to lose, then bodies that stall or trickle, the slowest first. A request that was
/// read is never ended.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use limpetsaddle_http::Shortage;
/// use limpetsaddle_http::Slots;
///
/// let begun = Instant::now();
/// let later = begun + Duration::from_secs(1);
/// let mut slots = Slots::default();
/// let stalled = slots.open(begun);
/// slots.begin_body(stalled, 1000, Duration::from_secs(10), begun);
/// slots.record_bytes(stalled, 999, begun);
/// let own = slots.open(later);
/// assert_eq!(slots.select(Shortage::Memory, own, later), Some(stalled));
/// ```
#[derive(Debug, Default)]
pub struct Slots {
    next_id: u64,
    open: BTreeMap<u64, Slot>,
    /// The number of requests whose head was read.
    requests: usize,
    held: BTreeMap<ShareId, Held>,
}

#[derive(Debug)]
struct Slot {
    state: SlotState,
    /// The share of the caller's address.
    address: Option<ShareId>,
    /// The share of the request's team.
    team: Option<ShareId>,
    since: Instant,
    /// Whether a request was served.
    is_used: bool,
    /// Whether the connection was selected and ends.
    ends: bool,
    body: Option<Progress>,
}

/// The progress of a body.
#[derive(Debug)]
struct Progress {
    expected: usize,
    received: usize,
    due: Instant,
    last_byte: Instant,
    window_begin: Instant,
    window_bytes: usize,
    earlier_bytes: usize,
    earlier_span: Duration,
}

impl Progress {
    const fn new(expected: usize, due: Instant, now: Instant) -> Self {
        Self {
            expected,
            received: 0,
            due,
            last_byte: now,
            window_begin: now,
            window_bytes: 0,
            earlier_bytes: 0,
            earlier_span: Duration::ZERO,
        }
    }

    fn record(&mut self, bytes: usize, now: Instant) {
        let span = now.duration_since(self.window_begin);
        if span >= PACE_WINDOW {
            self.earlier_bytes = self.window_bytes;
            self.earlier_span = span;
            self.window_bytes = 0;
            self.window_begin = now;
        }
        self.received += bytes;
        self.window_bytes += bytes;
        self.last_byte = now;
    }

    /// Returns the pace in bytes a second.
    #[expect(clippy::cast_precision_loss, reason = "bodies are far smaller")]
    fn pace(&self, now: Instant) -> f64 {
        if now.duration_since(self.last_byte) >= PACE_WINDOW {
            return 0.0;
        }
        let span = now.duration_since(self.window_begin) + self.earlier_span;
        let bytes = self.window_bytes + self.earlier_bytes;
        bytes as f64 / span.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns whether the body ends too late at its present pace.
    #[expect(clippy::cast_precision_loss, reason = "bodies are far smaller")]
    fn is_slow(&self, now: Instant) -> bool {
        let rest = self.expected.saturating_sub(self.received).max(1);
        let left = self.due.saturating_duration_since(now).as_secs_f64();
        self.pace(now) * left < rest as f64
    }
}

impl Slots {
    /// Adds an idle connection and returns its id.
    pub fn open(&mut self, now: Instant) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let slot = Slot {
            state: SlotState::Idle,
            address: None,
            team: None,
            since: now,
            is_used: false,
            ends: false,
            body: None,
        };
        self.open.insert(id, slot);
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        self.set_address(id, None);
        self.set_team(id, None);
        if let Some(slot) = self.open.remove(&id) {
            self.requests -= usize::from(slot.state.is_request());
        }
    }

    /// Counts a connection for the share of its caller's address.
    pub fn set_address(&mut self, id: u64, share: Option<ShareId>) {
        self.change_shares(id, |slot| slot.address = share);
    }

    /// Counts a connection for the share of its request's team, until the request ends.
    pub fn set_team(&mut self, id: u64, share: Option<ShareId>) {
        self.change_shares(id, |slot| slot.team = share);
    }

    /// Returns what an address or team has.
    #[must_use]
    pub fn held(&self, share: ShareId) -> Held {
        self.held.get(&share).copied().unwrap_or_default()
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the number of requests whose head was read, each of which needs an upstream.
    #[must_use]
    pub const fn requests(&self) -> usize {
        self.requests
    }

    /// Returns whether a connection was selected that has not ended yet.
    #[must_use]
    pub fn has_ending(&self) -> bool {
        self.has_ending_of(None)
    }

    /// Does what [`has_ending`](Self::has_ending) does, among the connections of `share` if
    /// there is one.
    #[must_use]
    pub fn has_ending_of(&self, share: Option<ShareId>) -> bool {
        let mut slots = self.open.values();
        slots.any(|slot| slot.ends && slot.state != SlotState::Busy && slot.is_of(share))
    }

    /// Changes what a connection is doing.
    pub fn set_state(&mut self, id: u64, state: SlotState, now: Instant) {
        let Some(slot) = self.open.get(&id) else {
            return;
        };
        self.requests += usize::from(state.is_request());
        self.requests -= usize::from(slot.state.is_request());
        self.change_shares(id, |slot| {
            slot.is_used |= slot.state == SlotState::Busy;
            slot.team = slot.team.filter(|_| state.is_request());
            slot.state = state;
            slot.since = now;
            slot.body = None;
        });
    }

    /// Changes a connection and what its shares have.
    fn change_shares(&mut self, id: u64, change: impl FnOnce(&mut Slot)) {
        let Some(slot) = self.open.get_mut(&id) else {
            return;
        };
        for share in slot.shares() {
            if let Some(held) = self.held.get_mut(&share) {
                held.connections -= 1;
                held.requests -= usize::from(slot.state.is_request());
                if *held == Held::default() {
                    self.held.remove(&share);
                }
            }
        }
        change(slot);
        for share in slot.shares() {
            let held = self.held.entry(share).or_default();
            held.connections += 1;
            held.requests += usize::from(slot.state.is_request());
        }
    }

    /// Begins the body of a request, which has at most `expected` bytes and `limit` to arrive.
    pub fn begin_body(&mut self, id: u64, expected: usize, limit: Duration, now: Instant) {
        self.set_state(id, SlotState::Body, now);
        if let Some(slot) = self.open.get_mut(&id) {
            slot.body = Some(Progress::new(expected, now + limit, now));
        }
    }

    /// Records the arrival of bytes of a body.
    pub fn record_bytes(&mut self, id: u64, bytes: usize, now: Instant) {
        let slot = self.open.get_mut(&id);
        if let Some(body) = slot.and_then(|slot| slot.body.as_mut()) {
            body.record(bytes, now);
        }
    }

    /// Returns the connection other than `own` that ends next, if one may, and counts it as
    /// ending.
    pub fn select(&mut self, shortage: Shortage, own: u64, now: Instant) -> Option<u64> {
        self.select_of(None, shortage, own, now)
    }

    /// Does what [`select`](Self::select) does, among the connections of `share` if there is
    /// one.
    pub fn select_of(
        &mut self,
        share: Option<ShareId>,
        shortage: Shortage,
        own: u64,
        now: Instant,
    ) -> Option<u64> {
        let others = self.open.iter().filter(|(id, _)| **id != own);
        let others = others.filter(|(_, slot)| slot.is_of(share));
        let candidates = others.filter_map(|(id, slot)| Some((slot.rank(shortage, now)?, *id)));
        let (_, id) = candidates.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        self.open.get_mut(&id)?.ends = true;
        Some(id)
    }

    /// Returns what a connection is doing.
    #[must_use]
    pub fn state(&self, id: u64) -> Option<SlotState> {
        Some(self.open.get(&id)?.state)
    }
}

/// The order in which connections end; the lowest first.
struct Rank {
    class: u8,
    /// The pace of a body in bytes a second.
    pace: f64,
    /// The time at which the connection began what it is doing.
    since: Instant,
}

impl Rank {
    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        let classes = self.class.cmp(&other.class);
        let paces = classes.then(self.pace.total_cmp(&other.pace));
        paces.then(self.since.cmp(&other.since))
    }
}

impl Slot {
    fn shares(&self) -> impl Iterator<Item = ShareId> + use<> {
        self.address.into_iter().chain(self.team)
    }

    /// Returns whether the connection counts for `share`, if there is one.
    fn is_of(&self, share: Option<ShareId>) -> bool {
        share.is_none_or(|share| self.address == Some(share) || self.team == Some(share))
    }

    /// Returns the place in the order, or `None` if the connection is not ended for this
    /// shortage.
    fn rank(&self, shortage: Shortage, now: Instant) -> Option<Rank> {
        if self.ends {
            return None;
        }
        let age = now.duration_since(self.since);
        let is_old = age >= MIN_AGE;
        let body = self.body.as_ref();
        let class = match (self.state, shortage) {
            (SlotState::Lingering, Shortage::Descriptors) => 0,
            (SlotState::Idle, Shortage::Descriptors) if !self.is_used && age >= MIN_UNUSED_AGE => 1,
            (SlotState::Head, Shortage::Descriptors) if is_old => 2,
            (SlotState::Body, _) if is_old && body.is_some_and(|body| body.is_slow(now)) => 3,
            (SlotState::Idle, Shortage::Descriptors) if is_old => 4,
            (SlotState::Head, Shortage::Memory) if is_old => 5,
            (SlotState::Lingering | SlotState::Idle, Shortage::Memory) if is_old => 6,
            _ => return None,
        };
        Some(Rank {
            class,
            pace: body.map_or(0.0, |body| body.pace(now)),
            since: self.since,
        })
    }
}
