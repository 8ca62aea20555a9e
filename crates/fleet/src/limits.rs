//! Rates and bursts of teams, counted over all instances together.
//!
//! Each instance keeps a bucket for each team and empties it by what it admits
//! itself and by what the other instances report. For an instance that is not
//! heard of, its equal share is taken as used, so that two sides of a partition
//! together stay within the limit.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// The `LimitOptions` say by how much a limit may be exceeded in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// The units that a team may use beyond its limit in a window.
    pub slack: f64,
    /// The part of the limit of a window that a team may use beyond it.
    pub overage: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            slack: 0.0,
            overage: 0.0,
            window: Duration::from_secs(8),
        }
    }
}

/// The part of the permitted excess that a team may use at once. The rest covers
/// what instances admit before they hear of each other.
const BURST_EXCESS_FRACTION: f64 = 0.55;

/// The part of the permitted excess with which all instances together start, as
/// teams may have used up their limit before a restart of all.
const INITIAL_EXCESS_FRACTION: f64 = 0.15;

impl LimitOptions {
    fn excess(&self, limit: &TeamLimit) -> f64 {
        let window = units(limit.rate) * self.window.as_secs_f64() + units(limit.burst);
        self.slack + self.overage * window
    }

    /// Returns the units that a team may use at once.
    fn capacity(&self, limit: &TeamLimit) -> f64 {
        units(limit.burst) + self.excess(limit) * BURST_EXCESS_FRACTION
    }
}

/// A `TeamLimit` is the rate and burst of one team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// The units granted a second.
    pub rate: u64,
    /// The units that may be used at once.
    pub burst: u64,
}

/// The `PeerCounts` is how many instances there are and how many are heard of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerCounts {
    /// All registered instances, this one included.
    pub registered: usize,
    /// The instances that are heard of, this one included.
    pub live: usize,
}

impl PeerCounts {
    /// Returns the part of all instances that is heard of, from 0 to 1.
    #[must_use]
    pub fn live_fraction(self) -> f64 {
        let all = self.registered.max(self.live).max(1);
        ratio(self.live.max(1), all)
    }
}

fn ratio(part: usize, all: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let all = u32::try_from(all).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(all)
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: TeamLimit,
    level: f64,
    refilled: Time,
    admitted_units: u64,
}

/// The longest wait that a refused caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The `Limits` are one instance's buckets for all teams.
#[derive(Debug)]
pub struct Limits {
    options: LimitOptions,
    peer_counts: PeerCounts,
    buckets: HashMap<Name, Bucket>,
}

impl Limits {
    /// Returns limits without teams, in which only this instance is heard of.
    #[must_use]
    pub fn new(options: LimitOptions) -> Self {
        let peer_counts = PeerCounts {
            registered: 1,
            live: 1,
        };
        Self {
            options,
            peer_counts,
            buckets: HashMap::new(),
        }
    }

    /// Puts the limits of a configuration in force.
    ///
    /// A team that is new here starts with this instance's share of a small part
    /// of its limit.
    pub fn configure(&mut self, teams: &[(Name, TeamLimit)], now: Time) {
        let part = self.initial_fraction();
        let mut kept = HashMap::with_capacity(teams.len());
        for (name, limit) in teams {
            let fresh = || Bucket {
                limit: *limit,
                level: self.options.excess(limit) * INITIAL_EXCESS_FRACTION * part,
                refilled: now,
                admitted_units: 0,
            };
            let mut bucket = self.buckets.remove(name).unwrap_or_else(fresh);
            refill(&mut bucket, self.peer_counts, self.options, now);
            bucket.limit = *limit;
            bucket.level = bucket.level.min(self.options.capacity(limit));
            kept.insert(Name::clone(name), bucket);
        }
        self.buckets = kept;
    }

    /// Records how many instances there are and are heard of.
    pub fn set_peer_counts(&mut self, peer_counts: PeerCounts, now: Time) {
        if peer_counts == self.peer_counts {
            return;
        }
        for bucket in self.buckets.values_mut() {
            refill(bucket, self.peer_counts, self.options, now);
        }
        self.peer_counts = peer_counts;
    }

    /// Takes `cost` units of a team's limit for a request.
    ///
    /// A request larger than the whole burst is admitted when the bucket is full.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be admitted when the team
    /// is over its limit.
    pub fn charge(&mut self, team: &str, cost: u64, now: Time) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        if bucket.limit.rate == 0 {
            return Ok(());
        }
        refill(bucket, self.peer_counts, self.options, now);
        let most = self.options.capacity(&bucket.limit) * self.peer_counts.live_fraction();
        let missing = units(cost).min(most) - bucket.level;
        if missing > 0.0 {
            let rate = units(bucket.limit.rate) * self.peer_counts.live_fraction();
            let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_RETRY_AFTER);
            return Err(wait.min(MAX_RETRY_AFTER));
        }
        bucket.level -= units(cost);
        bucket.admitted_units += cost;
        Ok(())
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, team: &str, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += units(cost);
            bucket.admitted_units = bucket.admitted_units.saturating_sub(cost);
        }
    }

    /// Takes what another instance admitted since its last report; a negative
    /// number gives back what it refunded.
    pub fn charge_remote(&mut self, team: &str, used: i64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            let used = i32::try_from(used).unwrap_or(i32::MAX);
            bucket.level -= f64::from(used);
        }
    }

    /// Returns the units that this instance has admitted in all, by team.
    pub fn admitted_units(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, b)| (name, b.admitted_units))
    }

    /// Returns the units that a team may use now, for logs.
    #[must_use]
    pub fn level(&self, team: &str) -> f64 {
        self.buckets.get(team).map_or(0.0, |b| b.level)
    }

    fn initial_fraction(&self) -> f64 {
        ratio(1, self.peer_counts.registered)
    }
}

/// Takes a count of units into the buckets' arithmetic.
fn units(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn refill(bucket: &mut Bucket, peer_counts: PeerCounts, options: LimitOptions, now: Time) {
    let part = peer_counts.live_fraction();
    let elapsed = now.since(bucket.refilled).as_secs_f64();
    bucket.refilled = now;
    let filled = bucket.level + units(bucket.limit.rate) * part * elapsed;
    let limit = &bucket.limit;
    // A limit that is deeply overdrawn is repaid in bounded time.
    let floor = -(units(limit.rate) * 2.0 + options.capacity(limit));
    let most = options.capacity(limit) * part;
    bucket.level = filled.min(most).max(floor);
}
