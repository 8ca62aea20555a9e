//! The responses of both versions, and what they say of the target version.
//!
//! Each failure, or slow response, belongs to the target with the probability that a response
//! does, if both versions are alike. The evidence is the logarithm of how unlikely the observed
//! split is, by the Chernoff bound. A common cause, such as an overload, shifts both versions
//! and leaves the split as it is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::AddAssign;
use std::ops::SubAssign;
use std::time::Duration;

use super::report::BUCKETS;
use super::report::MAX_ROUTES;
use super::report::RouteReport;
use super::report::Tally;
use crate::heartbeat::name_hash;

/// The evidence for the verdict *bad*. A rollout has up to some 3,600 comparisons (120
/// judgements, ten groups of responses, three kinds); each exceeds this by chance with a
/// probability below 2e-7, all together with less than 1 in 1,000.
const BAD: f64 = 15.5;

/// The evidence from which a version is not accepted at the end of its time. A judgement makes
/// some 60 comparisons, so that a sound version reaches this once in 100 rollouts at most; the
/// minimum differences make it rarer.
const SUSPICIOUS: f64 = 9.0;

/// The evidence up to which a version is accepted before the end of its time.
const UNSUSPICIOUS: f64 = 5.0;

/// The responses on a route after which a version that fails in 0.2 of all cases is missed with
/// a probability of about 0.001.
const ENOUGH: u64 = 30;

/// The failures beyond those to be expected that count whatever their fraction is.
const MANY_FAILURES: f64 = 25.0;

/// The minimum number of bad responses for the verdict *bad*: a single fault may cause a few.
const MIN_BAD: u64 = 4;

/// The responses of the base version from which it is compared while the service moves.
const MIN_REMAINING: u64 = 10;

/// The responses of the base version shortly before the move that are enough for comparisons.
const MIN_RECENT: u64 = 100;

/// The routes in a sum; further ones are counted together.
const MAX_SUMMED_ROUTES: usize = 64;

/// The responses on a route from which the usual time is known.
const MIN_USUAL: u32 = 5;

/// The weight of the last response in the usual time.
const USUAL_SMOOTHING: f64 = 0.005;

/// The end of the first bucket as a multiple of the usual time. The fourth ends at 2.4: responses
/// of half of the usual speed are mostly below it, those that take three times as long above it.
const FIRST_BUCKET: f64 = 0.3;

/// The first bucket of slow responses.
const SLOW: usize = 4;

/// The snapshots of sums that are kept, so that faults which begin late aren't diluted.
const MAX_SNAPSHOTS: usize = 3;

/// The responses of one side on one route, in a sum over instances.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    responses: u64,
    failures: u64,
    timed: u64,
    slow: u64,
    very_slow: u64,
}

impl From<&Tally> for Counts {
    fn from(tally: &Tally) -> Self {
        let sum = |buckets: &[u32]| buckets.iter().copied().map(u64::from).sum();
        Self {
            responses: tally.responses.into(),
            failures: tally.failures.into(),
            timed: sum(&tally.times),
            slow: sum(&tally.times[SLOW..]),
            very_slow: sum(&tally.times[SLOW + 1..]),
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow = self.slow.saturating_add(other.slow);
        self.very_slow = self.very_slow.saturating_add(other.very_slow);
    }
}

impl SubAssign for Counts {
    fn sub_assign(&mut self, other: Self) {
        self.responses = self.responses.saturating_sub(other.responses);
        self.failures = self.failures.saturating_sub(other.failures);
        self.timed = self.timed.saturating_sub(other.timed);
        self.slow = self.slow.saturating_sub(other.slow);
        self.very_slow = self.very_slow.saturating_sub(other.very_slow);
    }
}

/// The responses on one route.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    base: Counts,
    target: Counts,
    moved: Counts,
    remaining: Counts,
}

impl From<&RouteReport> for Group {
    fn from(report: &RouteReport) -> Self {
        Self {
            base: (&report.base).into(),
            target: (&report.target).into(),
            moved: (&report.moved).into(),
            remaining: (&report.remaining).into(),
        }
    }
}

impl AddAssign for Group {
    fn add_assign(&mut self, other: Self) {
        self.base += other.base;
        self.target += other.target;
        self.moved += other.moved;
        self.remaining += other.remaining;
    }
}

impl SubAssign for Group {
    fn sub_assign(&mut self, other: Self) {
        self.base -= other.base;
        self.target -= other.target;
        self.moved -= other.moved;
        self.remaining -= other.remaining;
    }
}

/// Some responses of one kind among all.
#[derive(Clone, Copy, Debug)]
struct Part {
    count: u64,
    of: u64,
}

impl Part {
    fn fraction(self) -> f64 {
        as_f64(self.count) / as_f64(self.of.max(1))
    }
}

/// Returns the logarithm of how unlikely it is that the target has at least as large a part of
/// the responses of a kind, if both versions are alike.
fn unlikelihood(base: Part, target: Part) -> f64 {
    let all = as_f64(base.count + target.count);
    let share = as_f64(target.of) / as_f64((base.of + target.of).max(1));
    let observed = as_f64(target.count) / all.max(1.0);
    if base.of == 0 || target.of == 0 || observed <= share {
        return 0.0;
    }
    let rest = if observed < 1.0 {
        (1.0 - observed) * ((1.0 - observed) / (1.0 - share)).ln()
    } else {
        0.0
    };
    all * (observed * (observed / share).ln() + rest)
}

/// Returns the evidence from responses of one kind, if the difference is large enough to matter.
fn difference(base: Part, target: Part, min_excess: f64, many: f64) -> f64 {
    let excess = target.fraction() - base.fraction();
    if excess < min_excess && excess * as_f64(target.of) < many {
        return 0.0;
    }
    let evidence = unlikelihood(base, target);
    if target.count < MIN_BAD {
        return evidence.min(SUSPICIOUS);
    }
    evidence
}

/// The differences of fractions from which they matter, for failures, slow and very slow
/// responses.
#[derive(Clone, Copy, Debug)]
struct MinExcess([f64; 3]);

/// At least 0.2 of a bad version's responses are failures or take three times as long. Of the
/// latter, about two thirds are beyond the fourth bucket where times vary by half, so 0.08 of
/// all is less than a bad version has and more than one that is a third slower. Where times
/// vary more, the fifth bucket shows it.
const CANARY_EXCESS: MinExcess = MinExcess([0.01, 0.08, 0.03]);

/// While the service moves, no responses of the base version are left for a comparison, and the
/// earlier ones must do. A change of the load may add failures and slow responses of sound
/// versions, so more of them are needed.
const MOVING_EXCESS: MinExcess = MinExcess([0.1, 0.15, 0.15]);

/// Returns the evidence of the strongest kind.
fn compare(base: &Counts, target: &Counts, min_excess: MinExcess, many: f64) -> f64 {
    let failures = |counts: &Counts| Part {
        count: counts.failures,
        of: counts.responses,
    };
    let slow = |counts: &Counts| Part {
        count: counts.slow,
        of: counts.timed,
    };
    let very_slow = |counts: &Counts| Part {
        count: counts.very_slow,
        of: counts.timed,
    };
    let MinExcess([failed, is_slow, is_very_slow]) = min_excess;
    let none = f64::INFINITY;
    difference(failures(base), failures(target), failed, many)
        .max(difference(slow(base), slow(target), is_slow, none))
        .max(difference(
            very_slow(base),
            very_slow(target),
            is_very_slow,
            none,
        ))
}

/// Returns the evidence from what the target has answered on a route while the service moves. If
/// the base version has few responses left there, those on other routes tell a common cause, and
/// so do its `recent` ones from shortly before the move.
fn compare_moved(group: &Group, all: &Group, total: &Group, recent: &Counts) -> f64 {
    let against = |base| compare(base, &group.moved, MOVING_EXCESS, f64::INFINITY);
    let earlier = || {
        let evidence = against(&all.base);
        if recent.responses >= ENOUGH {
            evidence.min(against(recent))
        } else {
            evidence
        }
    };
    let remaining = all.remaining.responses;
    if remaining >= ENOUGH && remaining >= all.moved.responses / 2 {
        against(&all.remaining)
    } else if remaining >= MIN_REMAINING {
        earlier().min(against(&all.remaining))
    } else if total.remaining.responses >= MIN_REMAINING {
        earlier().min(against(&total.remaining))
    } else if all.moved.responses >= ENOUGH {
        earlier()
    } else {
        0.0
    }
}

/// The sums over instances by route.
#[derive(Clone, Debug, Default)]
struct Sums(BTreeMap<u64, Group>);

impl Sums {
    /// Returns the group of a route. Routes stay, so that the same one is returned each time.
    fn group(&mut self, route: u64) -> &mut Group {
        let is_told_apart = self.0.len() < MAX_SUMMED_ROUTES || self.0.contains_key(&route);
        self.0
            .entry(if is_told_apart { route } else { 0 })
            .or_default()
    }

    fn replace(&mut self, before: &[RouteReport], after: &[RouteReport]) {
        for report in before {
            *self.group(report.route) -= report.into();
        }
        for report in after {
            *self.group(report.route) += report.into();
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let mut since = self.clone();
        for (route, group) in &earlier.0 {
            if let Some(later) = since.0.get_mut(route) {
                *later -= *group;
            }
        }
        since
    }

    fn total(&self) -> Group {
        let mut total = Group::default();
        for group in self.0.values() {
            total += *group;
        }
        total
    }

    /// Returns the strongest evidence against the target, by route and of all. What the target
    /// has answered while the service moves is compared with all earlier responses, and with
    /// those of the base version meanwhile, as long as there are some.
    fn evidence(&self, all: &Self, recent: &Self) -> f64 {
        let total_of_all = all.total();
        let total_of_recent = recent.total().base;
        let of_group = |group: &Group, all: &Group| {
            let canary = compare(&group.base, &group.target, CANARY_EXCESS, MANY_FAILURES);
            canary.max(compare_moved(group, all, &total_of_all, &total_of_recent))
        };
        let routes = self.0.iter().map(|(route, group)| {
            let all = all.0.get(route).unwrap_or(group);
            of_group(group, all)
        });
        let total = of_group(&self.total(), &total_of_all);
        routes.fold(total, f64::max)
    }
}

/// What the responses say of a target version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// It is bad.
    Bad,
    /// It is probably bad.
    Suspicious,
    /// There are too few responses, or a slight difference.
    Unclear,
    /// It is as good as the base version on all routes.
    Good,
}

/// The usual time to the first byte of the base version on one route, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    samples: u32,
    log: f64,
}

impl Usual {
    fn record(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = USUAL_SMOOTHING.max(1.0 / f64::from(self.samples));
        self.log += weight * (log2(latency) - self.log);
    }

    /// Returns the bucket of a time, if the usual time is known.
    fn bucket(&self, latency: Duration) -> Option<usize> {
        if self.samples < MIN_USUAL {
            return None;
        }
        let mut end = self.log + FIRST_BUCKET.log2();
        let mut bucket = 0;
        while bucket + 1 < BUCKETS && log2(latency) >= end {
            end += 1.0;
            bucket += 1;
        }
        Some(bucket)
    }
}

fn log2(latency: Duration) -> f64 {
    latency.max(Duration::from_micros(1)).as_secs_f64().log2()
}

/// The versions and phases whose responses are told apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Column {
    /// The base version, in the canary.
    Base,
    /// The target version, in the canary.
    Target,
    /// The target version, while the service moves to it.
    Moved,
    /// The base version, while the service moves.
    Remaining,
}

#[derive(Debug)]
struct PeerTotals {
    incarnation: u64,
    routes: Vec<RouteReport>,
}

/// The responses of a rollout at all instances.
#[derive(Debug, Default)]
pub struct Evidence {
    own: Vec<RouteReport>,
    usual: HashMap<u64, Usual>,
    peers: HashMap<String, PeerTotals>,
    /// The sums over the peers and their earlier incarnations.
    of_peers: Sums,
    snapshots: VecDeque<Sums>,
    /// The responses shortly before the service began to move.
    recent: Sums,
}

impl Evidence {
    /// Records a response at this instance; without a time if it failed. The time doesn't count
    /// unless `is_timed`.
    pub fn record(
        &mut self,
        column: Column,
        route: &str,
        latency: Option<Duration>,
        is_timed: bool,
    ) {
        let hash = name_hash(route);
        let is_known = self.own.iter().any(|report| report.route == hash);
        let named = self.own.iter().filter(|report| report.route != 0).count();
        let hash = if is_known || named < MAX_ROUTES {
            hash
        } else {
            0
        };
        let usual = self.usual.entry(hash).or_default();
        let bucket = latency.and_then(|latency| usual.bucket(latency));
        if let (Column::Base, Some(latency)) = (column, latency) {
            usual.record(latency);
        }
        let index = self.own.iter().position(|report| report.route == hash);
        let index = index.unwrap_or_else(|| {
            self.own.push(RouteReport {
                route: hash,
                ..RouteReport::default()
            });
            self.own.len() - 1
        });
        let report = &mut self.own[index];
        let tally = match column {
            Column::Base => &mut report.base,
            Column::Target => &mut report.target,
            Column::Moved => &mut report.moved,
            Column::Remaining => &mut report.remaining,
        };
        tally.responses = tally.responses.saturating_add(1);
        if latency.is_none() {
            tally.failures = tally.failures.saturating_add(1);
        }
        if let Some(bucket) = bucket.filter(|_| is_timed) {
            tally.times[bucket] = tally.times[bucket].saturating_add(1);
        }
    }

    /// Returns the responses at this instance.
    pub fn own(&self) -> &[RouteReport] {
        &self.own
    }

    /// Applies the totals of a peer, unless its report had no room for them. Those of its earlier
    /// incarnations stay in the sum.
    pub fn observe(&mut self, sender: &str, incarnation: u64, routes: &[RouteReport]) {
        if routes.is_empty() {
            return;
        }
        let routes = &routes[..routes.len().min(MAX_ROUTES + 1)];
        if let Some(peer) = self.peers.get_mut(sender) {
            if peer.incarnation != incarnation {
                peer.incarnation = incarnation;
                peer.routes.clear();
            }
            // Totals only grow: the report was overtaken by a later one.
            if responses(routes) < responses(&peer.routes) {
                return;
            }
            self.of_peers.replace(&peer.routes, routes);
            routes.clone_into(&mut peer.routes);
            return;
        }
        self.of_peers.replace(&[], routes);
        let totals = PeerTotals {
            incarnation,
            routes: routes.to_vec(),
        };
        self.peers.insert(sender.to_owned(), totals);
    }

    /// Returns the number of peers with totals.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether a peer's totals are known.
    pub fn knows(&self, sender: &str) -> bool {
        self.peers.contains_key(sender)
    }

    fn sums(&self) -> Sums {
        let mut sums = self.of_peers.clone();
        sums.replace(&[], &self.own);
        sums
    }

    /// Stores the current sums, so that later responses can be compared separately.
    pub fn take_snapshot(&mut self) {
        if self.snapshots.len() == MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        let sums = self.sums();
        self.snapshots.push_back(sums);
    }

    /// Keeps the latest responses of the base version for comparisons while the service moves.
    pub fn begin_move(&mut self) {
        let sums = self.sums();
        let mut since = self.snapshots.iter().rev().map(|e| sums.since(e));
        let recent = since.find(|since| since.total().base.responses >= MIN_RECENT);
        self.recent = recent.unwrap_or_default();
    }

    /// Returns whether the target version has responded at all.
    pub fn has_target_response(&self) -> bool {
        let target = self.sums().total().target;
        target.responses > target.failures
    }

    /// Judges the target version.
    pub fn judge(&self) -> Judgement {
        let sums = self.sums();
        let mut evidence = sums.evidence(&sums, &self.recent);
        for earlier in &self.snapshots {
            evidence = evidence.max(sums.since(earlier).evidence(&sums, &self.recent));
        }
        let total = sums.total();
        let is_enough = |group: &Group| group.target.responses >= ENOUGH;
        let mut routes = sums.0.values().filter(|group| group.base.responses > 0);
        if evidence >= BAD {
            Judgement::Bad
        } else if evidence >= SUSPICIOUS {
            Judgement::Suspicious
        } else if evidence < UNSUSPICIOUS && is_enough(&total) && routes.all(is_enough) {
            Judgement::Good
        } else {
            Judgement::Unclear
        }
    }
}

/// Returns the number of all responses.
fn responses(routes: &[RouteReport]) -> u64 {
    let tallies = routes
        .iter()
        .flat_map(|r| [&r.base, &r.target, &r.moved, &r.remaining]);
    tallies.map(|tally| u64::from(tally.responses)).sum()
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
