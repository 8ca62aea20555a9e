//! Token buckets of teams, charged for the use at all instances together.
//!
//! Each instance keeps a bucket per team and charges it for what it admits itself and for
//! what other instances report. An instance that is not live counts as using its equal
//! share, so that the two sides of a partition together stay within the limit.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// Options for the permitted excess over a team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// The units that a team may use beyond its limit in a window.
    pub slack: f64,
    /// The fraction of a window's limit that a team may use in excess of it.
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

/// The fraction of the permitted excess that a team may use in a burst.
const BURST_EXCESS_FRACTION: f64 = 0.3;

/// The fraction of the permitted excess that a team may use in every window. What remains
/// covers requests that other instances have admitted but not reported yet.
const SUSTAINED_EXCESS_FRACTION: f64 = 0.25;

/// The fraction of the permitted excess with which all instances together start, as a
/// team may have used up its limit before a restart of all instances.
const INITIAL_EXCESS_FRACTION: f64 = 0.15;

impl LimitOptions {
    fn excess(&self, limit: &TeamLimit) -> f64 {
        let window = units(limit.rate) * self.window.as_secs_f64() + units(limit.burst);
        self.slack + self.overage * window
    }

    /// Returns the size of a team's bucket.
    fn capacity(&self, limit: &TeamLimit) -> f64 {
        units(limit.burst) + self.excess(limit) * BURST_EXCESS_FRACTION
    }

    /// Returns the units that are refilled per second.
    fn refill_rate(&self, limit: &TeamLimit) -> f64 {
        let window = self.window.as_secs_f64().max(1.0);
        units(limit.rate) + self.excess(limit) * SUSTAINED_EXCESS_FRACTION / window
    }
}

/// The rate and burst of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// The units that are refilled per second; 0 means no limit.
    pub rate: u64,
    /// The units that may be used in a burst.
    pub burst: u64,
}

/// The numbers of registered and live instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerCounts {
    /// The registered instances, including this one.
    pub registered: usize,
    /// The live instances, including this one.
    pub live: usize,
}

impl PeerCounts {
    /// Returns the fraction of the instances that is live, from 0 to 1.
    #[must_use]
    pub fn live_fraction(self) -> f64 {
        let total = self.registered.max(self.live).max(1);
        ratio(self.live.max(1), total)
    }
}

fn ratio(count: usize, total: usize) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let total = u32::try_from(total).unwrap_or(u32::MAX);
    f64::from(count) / f64::from(total)
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: TeamLimit,
    level: f64,
    refilled: Time,
    admitted_units: u64,
}

/// The longest wait that is returned for a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The buckets of this instance for all teams.
#[derive(Debug)]
pub struct Limits {
    options: LimitOptions,
    peer_counts: PeerCounts,
    buckets: HashMap<Name, Bucket>,
}

impl Limits {
    /// Returns limits without teams and peers.
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

    /// Applies the limits of a configuration.
    ///
    /// The bucket of a new team starts with this instance's share of a small fraction of the
    /// permitted excess.
    pub fn configure(&mut self, teams: &[(Name, TeamLimit)], now: Time) {
        let fraction = self.initial_fraction();
        let mut kept = HashMap::with_capacity(teams.len());
        for (name, limit) in teams {
            let new_bucket = || Bucket {
                limit: *limit,
                level: self.options.excess(limit) * INITIAL_EXCESS_FRACTION * fraction,
                refilled: now,
                admitted_units: 0,
            };
            let mut bucket = self.buckets.remove(name).unwrap_or_else(new_bucket);
            refill(&mut bucket, self.peer_counts, self.options, now);
            bucket.limit = *limit;
            bucket.level = bucket.level.min(self.options.capacity(limit));
            kept.insert(Name::clone(name), bucket);
        }
        self.buckets = kept;
    }

    /// Sets the numbers of registered and live instances.
    pub fn set_peer_counts(&mut self, peer_counts: PeerCounts, now: Time) {
        if peer_counts == self.peer_counts {
            return;
        }
        for bucket in self.buckets.values_mut() {
            refill(bucket, self.peer_counts, self.options, now);
        }
        self.peer_counts = peer_counts;
    }

    /// Charges a team's bucket `cost` units for a request.
    ///
    /// A request larger than the bucket is admitted when the bucket is full.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be admitted if the team is over its
    /// limit.
    pub fn charge(&mut self, team: &str, cost: u64, now: Time) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        if bucket.limit.rate == 0 {
            return Ok(());
        }
        refill(bucket, self.peer_counts, self.options, now);
        let max_level = self.options.capacity(&bucket.limit) * self.peer_counts.live_fraction();
        let missing = units(cost).min(max_level) - bucket.level;
        if missing > 0.0 {
            let rate = self.options.refill_rate(&bucket.limit) * self.peer_counts.live_fraction();
            let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_RETRY_AFTER);
            return Err(wait.min(MAX_RETRY_AFTER));
        }
        bucket.level -= units(cost);
        bucket.admitted_units += cost;
        Ok(())
    }

    /// Returns the units of a request that has not run to the bucket.
    pub fn refund(&mut self, team: &str, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += units(cost);
            bucket.admitted_units = bucket.admitted_units.saturating_sub(cost);
        }
    }

    /// Charges a team's bucket for the units that another instance has admitted since its
    /// last report; a negative number is a refund.
    pub fn charge_remote(&mut self, team: &str, used: i64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            let used = i32::try_from(used).unwrap_or(i32::MAX);
            bucket.level -= f64::from(used);
        }
    }

    /// Returns the units that this instance has admitted since its start, by team.
    pub fn admitted_units(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, b)| (name, b.admitted_units))
    }

    /// Returns the level of a team's bucket in units, for logs.
    #[must_use]
    pub fn level(&self, team: &str) -> f64 {
        self.buckets.get(team).map_or(0.0, |b| b.level)
    }

    fn initial_fraction(&self) -> f64 {
        ratio(1, self.peer_counts.registered)
    }
}

/// Converts a count of units for the arithmetic of buckets.
fn units(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn refill(bucket: &mut Bucket, peer_counts: PeerCounts, options: LimitOptions, now: Time) {
    let fraction = peer_counts.live_fraction();
    let elapsed = now.since(bucket.refilled).as_secs_f64();
    bucket.refilled = now;
    let limit = &bucket.limit;
    let filled = bucket.level + options.refill_rate(limit) * fraction * elapsed;
    // A deeply overdrawn bucket recovers in bounded time.
    let floor = -(units(limit.rate) * 2.0 + options.capacity(limit));
    let max_level = options.capacity(limit) * fraction;
    bucket.level = filled.min(max_level).max(floor);
}
