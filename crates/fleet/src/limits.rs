//! Token buckets of teams, charged for the use at all instances together.
//!
//! Each instance keeps a bucket per team and charges it for what it admits itself and for
//! what other instances report. An instance that is not live counts as using its equal
//! share, so that the two sides of a partition together stay within the limit.
//!
//! With [`Limits::with_contention`], requests contend for a limit that is not enough for all
//! by their priority, and the sum over all instances also stays within the limit when a
//! team's demand rises suddenly.

mod contention;

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use self::contention::Budget;
use self::contention::Contention;
use crate::Name;

pub use self::contention::Demand;

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

/// The fraction of the permitted excess that a team may use in a burst where requests
/// contend. The rest covers what all instances admit until a sudden rise shows in reports:
/// with 65 instances and reports 1.2 s apart, about 0.15 of the excess at 6.7 times the rate.
const CONTENDED_BURST_EXCESS_FRACTION: f64 = 0.2;

/// The fraction of the permitted excess by which the estimated level of a contended bucket
/// may be overdrawn, as estimates differ among instances.
const OVERDRAFT_FRACTION: f64 = 0.05;

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
    /// The demand, if requests contend for the limit.
    contention: Option<Contention>,
}

/// The longest wait that is returned for a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The buckets of this instance for all teams.
#[derive(Debug)]
pub struct Limits {
    options: LimitOptions,
    peer_counts: PeerCounts,
    buckets: HashMap<Name, Bucket>,
    /// The time between two reports of an instance, if requests contend for limits.
    contention: Option<Duration>,
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
            contention: None,
        }
    }

    /// Returns limits without teams and peers, for which requests contend by their priority.
    #[must_use]
    pub fn with_contention(options: LimitOptions) -> Self {
        Self {
            contention: Some(Duration::from_millis(100)),
            ..Self::new(options)
        }
    }

    /// Sets the time between two reports of an instance.
    pub fn set_report_interval(&mut self, interval: Duration) {
        let Some(current) = self.contention.as_mut().filter(|span| **span != interval) else {
            return;
        };
        *current = interval;
        for bucket in self.buckets.values_mut() {
            if let Some(contention) = &mut bucket.contention {
                contention.set_report_interval(interval);
            }
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
                contention: self.contention.map(|interval| {
                    let mut contention = Contention::new(now);
                    contention.set_report_interval(interval);
                    contention
                }),
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
        let priority = 0;
        self.charge_demand(team, Demand { cost, priority }, now)
    }

    /// Charges a team's bucket for a request; less urgent requests leave room for urgent
    /// ones where requests contend for limits.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`charge`](Self::charge).
    pub fn charge_demand(&mut self, team: &str, demand: Demand, now: Time) -> Result<(), Duration> {
        let cost = demand.cost;
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        if bucket.limit.rate == 0 {
            return Ok(());
        }
        refill(bucket, self.peer_counts, self.options, now);
        let max_level = self.options.capacity(&bucket.limit) * self.peer_counts.live_fraction();
        if let Some(contention) = &mut bucket.contention {
            let excess = self.options.excess(&bucket.limit);
            let unused = excess * (BURST_EXCESS_FRACTION - CONTENDED_BURST_EXCESS_FRACTION);
            let unused = unused * self.peer_counts.live_fraction();
            let budget = Budget {
                level: bucket.level - unused,
                capacity: max_level - unused,
                refill: self.options.refill_rate(&bucket.limit) * self.peer_counts.live_fraction(),
                overdraft: excess * OVERDRAFT_FRACTION,
                instances: units(self.peer_counts.live as u64),
            };
            let admitted = contention.admit(demand, &budget, now);
            bucket.level -= contention.take_written_off();
            admitted.map_err(|wait| wait.min(MAX_RETRY_AFTER))?;
            bucket.level -= units(cost);
            bucket.admitted_units += cost;
            return Ok(());
        }
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
            if let Some(contention) = &mut bucket.contention {
                contention.refund(units(cost));
            }
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

    /// Charges a team's bucket like [`charge_remote`](Self::charge_remote) for the report of
    /// the instance with the hash `sender`.
    pub fn charge_report(&mut self, sender: u64, team: &str, used: i64, now: Time) {
        self.charge_remote(team, used);
        let bucket = self.buckets.get_mut(team);
        if let Some(contention) = bucket.and_then(|bucket| bucket.contention.as_mut()) {
            let used = f64::from(i32::try_from(used).unwrap_or(i32::MAX));
            contention.record_reported(sender, used, now);
        }
    }

    /// Records a report of the instance with the hash `sender`, after the use that it reports.
    pub fn record_heard(&mut self, sender: u64, now: Time) {
        for bucket in self.buckets.values_mut() {
            if let Some(contention) = &mut bucket.contention {
                contention.record_heard(sender, now);
            }
        }
    }

    /// Returns the units that this instance has admitted since its start, by team.
    pub fn admitted_units(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, b)| (name, b.admitted_units))
    }

    /// Returns whether requests contend for a team's limit now.
    #[must_use]
    pub fn is_contended(&self, team: &str) -> bool {
        let contention = self.buckets.get(team).and_then(|b| b.contention.as_ref());
        contention.is_some_and(Contention::is_contended)
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
