//! The division of a team's limit among requests while its demand exceeds it.
//!
//! Reports of other instances are up to one interval old. The units that they have admitted
//! since are estimated from the rate at which units are reported, and extrapolated while that
//! rate rises. Once the estimated level is low, each instance admits at its own share of the
//! refill, so that the sum over all instances doesn't depend on the age of reports. The
//! shares follow the use that instances report.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The number of priorities; larger numbers count as the last one.
pub const PRIORITIES: usize = 10;

/// The time constant of the usual demand of a team.
const USUAL_SPAN: f64 = 10.0;

/// The time constant of an instance's share of a team's use.
const SHARE_SPAN: f64 = 3.0;

/// The time constant of the demand by priority.
const DEMAND_SPAN: f64 = 3.0;

/// The time constant of the refused units whose callers are about to return.
const REFUSED_SPAN: f64 = 1.5;

/// The part of a team's limit that is divided evenly, so that an instance at which a team's
/// requests begin to arrive is not left without a share. What instances without requests
/// leave is used only once the level has risen, so a larger part delays the use of a burst.
const EVEN_PART: f64 = 0.1;

/// The time in which units above the contended level are used, in seconds: about that in which
/// reports arrive in a large fleet, so that their use doesn't oscillate.
const DRAIN_SECONDS: f64 = 1.2;

/// The time for which an instance saves up its share of the refill, in seconds.
const CREDIT_SECONDS: f64 = 0.5;

/// The fraction of an instance's share of the remaining units that is its initial credit in
/// contention: instances that detect the rise later still admit at the rate of the demand.
const INITIAL_CREDIT_FRACTION: f64 = 0.25;

/// The fraction of a bucket below which it is contended.
const CONTENDED_FRACTION: f64 = 0.1;

/// The fraction of a bucket from which it is no longer contended.
const RELAXED_FRACTION: f64 = 0.6;

/// The time for which the demand of more urgent requests is kept in reserve, in seconds.
const RESERVE_SECONDS: f64 = 0.4;

/// The fraction of its proportional share of a team's limit that each priority gets, whatever
/// the demand of the others: a quarter, and a margin for what is too little for one request.
const GUARANTEED_FRACTION: f64 = 0.3;

/// The number of report intervals after which an instance is assumed to use what it used last.
const LATE_REPORT_AGE: f64 = 1.2;

/// The factor of the overdraft for guaranteed units: otherwise frequent small requests would
/// use each unit that is refilled after an overdraft.
const GUARANTEED_OVERDRAFT: f64 = 2.0;

/// The fraction of its share of the level that an instance advances to urgent requests.
const SPARE_FRACTION: f64 = 0.3;

/// The number of report intervals after which a report says nothing of the present use: one
/// lost report is bridged.
const MAX_REPORT_AGE: f64 = 2.2;

/// The time for which an estimate of unreported units is used, in seconds.
const ESTIMATE_SPAN: f64 = 0.005;

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug)]
struct Decaying {
    sum: f64,
    span: f64,
}

impl Decaying {
    const fn new(span: f64) -> Self {
        Self { sum: 0.0, span }
    }

    fn decay(&mut self, seconds: f64) {
        self.sum *= (-seconds / self.span).exp();
    }

    /// Returns the units per second.
    const fn rate(&self) -> f64 {
        self.sum / self.span
    }
}

/// What another instance has reported last.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    /// The units per second between its last two reports.
    rate: f64,
    /// The usual units per second.
    usual: f64,
}

/// The limit of a team that requests contend for, in units and seconds.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The level of the bucket, without what other instances have not reported yet.
    pub level: f64,
    /// The size of the bucket.
    pub capacity: f64,
    /// The units that are refilled per second.
    pub refill: f64,
    /// The units that the level may be overdrawn.
    pub overdraft: f64,
    /// The number of registered instances.
    pub instances: f64,
}

/// A request that a team's limit admits or refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The units that it costs.
    pub cost: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

impl Demand {
    fn units(&self) -> f64 {
        super::units(self.cost)
    }

    fn class(&self) -> usize {
        usize::from(self.priority).min(PRIORITIES - 1)
    }
}

/// The demand of one team, as this instance observes it.
#[derive(Clone, Debug)]
pub struct Contention {
    updated: Time,
    report_interval: f64,
    /// What this instance and the others have admitted, for its share.
    own: Decaying,
    others: Decaying,
    /// What this instance has admitted very recently and usually.
    own_recent: Decaying,
    own_usual: Decaying,
    reports: HashMap<u64, Report>,
    /// The units that others have probably admitted since their reports.
    unreported: f64,
    estimated: Option<Time>,
    /// What silent instances have probably admitted before they counted as not live.
    written_off: f64,
    /// The offered and admitted units by priority.
    offered: [Decaying; PRIORITIES],
    admitted: [Decaying; PRIORITIES],
    refused: [Decaying; PRIORITIES],
    /// The cost of a large request by priority; an instance must be able to save it up.
    largest: [Decaying; PRIORITIES],
    /// What each priority may use beyond the credit, so that none starves.
    guaranteed: [f64; PRIORITIES],
    /// What this instance may admit while the limit is contended.
    credit: Option<f64>,
    contended_since: Option<Time>,
}

impl Contention {
    /// Returns the state of a team without demand.
    pub fn new(now: Time) -> Self {
        Self {
            updated: now,
            report_interval: 0.1,
            own: Decaying::new(SHARE_SPAN),
            others: Decaying::new(SHARE_SPAN),
            own_recent: Decaying::new(0.1),
            own_usual: Decaying::new(USUAL_SPAN),
            reports: HashMap::new(),
            unreported: 0.0,
            estimated: None,
            written_off: 0.0,
            offered: [Decaying::new(DEMAND_SPAN); PRIORITIES],
            admitted: [Decaying::new(DEMAND_SPAN); PRIORITIES],
            refused: [Decaying::new(REFUSED_SPAN); PRIORITIES],
            largest: [Decaying::new(USUAL_SPAN); PRIORITIES],
            guaranteed: [0.0; PRIORITIES],
            credit: None,
            contended_since: None,
        }
    }

    /// Sets the time between two reports of an instance.
    pub const fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval.as_secs_f64();
        // Short enough to follow a sudden rise.
        self.own_recent.span = (self.report_interval / 3.0).max(0.03);
    }

    /// Records the units that another instance has admitted since its last report.
    pub fn record_reported(&mut self, sender: u64, used: f64, now: Time) {
        let used = used.max(0.0);
        self.others.sum += used;
        let interval = self.report_interval.max(0.01);
        let new = Report {
            at: now,
            rate: 0.0,
            usual: 0.0,
        };
        let report = self.reports.entry(sender).or_insert(new);
        let span = now.since(report.at).as_secs_f64().max(interval);
        let weight = 1.0 - (-span / USUAL_SPAN).exp();
        report.usual += (used / span - report.usual) * weight;
        report.rate = used / span.min(interval * MAX_REPORT_AGE);
        report.at = now;
        self.estimated = None;
    }

    /// Records a heartbeat of another instance at `now`, also if it reports no use.
    pub fn record_heard(&mut self, sender: u64, now: Time) {
        let report = self.reports.get(&sender);
        if report.is_some_and(|report| report.at < now) {
            self.record_reported(sender, 0.0, now);
        }
    }

    /// Returns what silent instances have probably admitted, once, to be charged for good.
    pub const fn take_written_off(&mut self) -> f64 {
        std::mem::replace(&mut self.written_off, 0.0)
    }

    /// Records that an admitted request has not run.
    pub fn refund(&mut self, cost: f64) {
        self.own.sum = (self.own.sum - cost).max(0.0);
        if let Some(credit) = &mut self.credit {
            *credit += cost;
        }
    }

    /// Returns whether the limit is contended.
    pub const fn is_contended(&self) -> bool {
        self.credit.is_some()
    }

    /// Admits a request, or returns the time after which it may be admitted.
    pub fn admit(&mut self, demand: Demand, budget: &Budget, now: Time) -> Result<(), Duration> {
        let class = demand.class();
        let cost = demand.units();
        let estimate = self.advance(budget, now);
        self.offered[class].sum += cost;
        self.largest[class].sum = self.largest[class].sum.max(cost);
        self.update_state(estimate, cost, budget);
        let Some(credit) = self.credit else {
            self.record_admission(class, cost);
            return Ok(());
        };
        let reserve = self.reserve_before(class);
        // A request larger than what can be saved up is admitted from a full credit.
        let needed = cost.min(self.max_credit(estimate, budget));
        let spare = self.spare(class, estimate, budget);
        let has_units = estimate + budget.overdraft >= 0.0;
        let has_guaranteed = estimate + budget.overdraft * GUARANTEED_OVERDRAFT >= 0.0;
        if has_guaranteed && self.guaranteed[class] >= needed {
            self.guaranteed[class] -= cost;
            self.record_admission(class, cost);
            return Ok(());
        }
        let missing = needed + reserve - spare - credit;
        if missing <= 0.0 && has_units {
            self.credit = Some(credit - cost);
            self.record_admission(class, cost);
            return Ok(());
        }
        let waiting: f64 = self.refused[..=class].iter().map(|sum| sum.sum).sum();
        self.refused[class].sum += cost;
        let rate = self.flow(estimate, budget).max(f64::MIN_POSITIVE);
        let overdrawn = (-estimate - budget.overdraft).max(0.0) / budget.refill.max(1.0);
        let wait = (missing.max(0.0) + waiting) / rate + overdrawn;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Returns the units that the others have probably admitted since their reports.
    ///
    /// The newest reports, and this instance's own requests, show how far the demand has risen
    /// over its usual rate; older reports count as if they had risen as far. While the limit
    /// has been contended for a while, instances admit at the rates that they reported.
    fn estimate_unreported(&mut self, now: Time) -> f64 {
        let interval = self.report_interval;
        let max_age = Duration::from_secs_f64(interval * MAX_REPORT_AGE);
        let forgotten = Duration::from_secs_f64(USUAL_SPAN);
        self.reports
            .retain(|_, report| now.since(report.at) < forgotten);
        let (mut rate, mut usual_rate, mut weights) =
            (self.own_recent.rate(), self.own_usual.rate(), 1.0);
        let (mut usual, mut reported, mut count) = (0.0, 0.0, 0.0);
        let mut late = 0.0;

        for report in self.reports.values_mut() {
            if now.since(report.at) >= max_age {
                let used = std::mem::take(&mut report.rate) * max_age.as_secs_f64();
                self.written_off += used;
                continue;
            }
            let age = now.since(report.at).as_secs_f64();
            let weight = (-3.0 * age / interval).exp();
            rate += report.rate * weight;
            usual_rate += report.usual * weight;
            weights += weight;
            usual += report.usual;
            reported += report.rate;
            if age >= interval * LATE_REPORT_AGE {
                late += report.rate * (age - interval / 2.0);
            }
            count += 1.0;
        }
        let settled = Duration::from_secs_f64(interval * 2.0);
        if self
            .contended_since
            .is_some_and(|at| now.since(at) >= settled)
        {
            return reported * interval / 2.0 + late;
        }
        let added = (rate - usual_rate) * count / weights;
        let factor = rate / usual_rate.max(1.0);
        let present = (usual + added).min(usual * factor).max(0.0);
        // While the demand rises, the newest reports still contain some of the time before.
        let rise = (present - usual).max(0.0);
        (present + rise) * interval / 2.0 + late
    }

    /// Lets the time pass until `now`, and returns the estimated level.
    fn advance(&mut self, budget: &Budget, now: Time) -> f64 {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let classes = [
            &mut self.offered,
            &mut self.admitted,
            &mut self.refused,
            &mut self.largest,
        ];
        let classes = classes.into_iter().flatten();
        let totals = [
            &mut self.own,
            &mut self.others,
            &mut self.own_recent,
            &mut self.own_usual,
        ];
        for sum in classes.chain(totals) {
            sum.decay(seconds);
        }
        let fresh = |at: Time| now.since(at).as_secs_f64() < ESTIMATE_SPAN;
        if !self.estimated.is_some_and(fresh) {
            self.unreported = self.estimate_unreported(now);
            self.estimated = Some(now);
        }
        let estimate = budget.level - self.unreported;
        if let Some(credit) = self.credit {
            let added = self.flow(estimate, budget) * seconds;
            let filled = credit + self.guarantee(added);
            let most = self.max_credit(estimate, budget) + self.reserve_before(PRIORITIES);
            self.credit = Some(filled.min(most.max(credit)));
        }
        estimate
    }

    /// Adds to what each priority is guaranteed, and returns the rest.
    fn guarantee(&mut self, mut added: f64) -> f64 {
        let offered: f64 = self.offered.iter().map(|sum| sum.sum).sum();
        let largest = self.largest_cost();
        let guaranteed = added * GUARANTEED_FRACTION;
        for (level, sum) in self.guaranteed.iter_mut().zip(&self.offered) {
            let part = guaranteed * sum.sum / offered.max(1.0);
            let filled = (*level + part).min(largest * 2.0);
            added -= (filled - *level).max(0.0);
            *level = filled.max(*level);
        }
        added.max(0.0)
    }

    fn update_state(&mut self, estimate: f64, cost: f64, budget: &Budget) {
        if self.credit.is_some() {
            if estimate >= budget.capacity * RELAXED_FRACTION {
                self.credit = None;
                self.contended_since = None;
                self.guaranteed = [0.0; PRIORITIES];
            }
            return;
        }
        // A request larger than the bucket is admitted when that is full.
        let largest = budget.capacity * (1.0 - CONTENDED_FRACTION);
        let low = budget.capacity * CONTENDED_FRACTION;
        if estimate < low.max(cost.min(largest)) {
            let initial = self.share(budget) * estimate.max(0.0) * INITIAL_CREDIT_FRACTION;
            self.credit = Some(initial);
            self.contended_since = Some(self.updated);
        }
    }

    fn record_admission(&mut self, class: usize, cost: f64) {
        self.admitted[class].sum += cost;
        self.own.sum += cost;
        self.own_recent.sum += cost;
        self.own_usual.sum += cost;
    }

    /// Returns this instance's share of the team's limit, from 0 to 1.
    fn share(&self, budget: &Budget) -> f64 {
        let even = 1.0 / budget.instances.max(1.0);
        // The even share has the weight of one second of the refill.
        let prior = budget.refill;
        let used = self.own.sum + self.others.sum + self.unreported + prior;
        EVEN_PART * even + (1.0 - EVEN_PART) * (self.own.sum + prior * even) / used.max(1.0)
    }

    /// Returns the units per second that this instance may admit.
    fn flow(&self, estimate: f64, budget: &Budget) -> f64 {
        let excess = estimate.max(0.0) / DRAIN_SECONDS;
        self.share(budget) * (budget.refill + excess)
    }

    fn max_credit(&self, estimate: f64, budget: &Budget) -> f64 {
        let shared = self.share(budget) * (budget.refill * CREDIT_SECONDS + estimate.max(0.0));
        shared.max((self.largest_cost() * 1.5).min(budget.capacity))
    }

    /// Returns the units that are kept for requests that are more urgent than `class`.
    fn reserve_before(&self, class: usize) -> f64 {
        let urgent = self.offered[..class].iter().zip(&self.largest);
        let reserves = urgent.map(|(offered, largest)| {
            let mean = offered.rate() * RESERVE_SECONDS;
            // The standard deviation, if all requests are large.
            mean + (mean * largest.sum).sqrt()
        });
        reserves.sum()
    }

    fn largest_cost(&self) -> f64 {
        let largest = self.largest.iter().map(|cost| cost.sum);
        largest.fold(0.0, f64::max)
    }

    /// Returns the units beyond its credit that the most urgent class may use.
    fn spare(&self, class: usize, estimate: f64, budget: &Budget) -> f64 {
        let less_urgent: f64 = self.offered[class + 1..].iter().map(|sum| sum.sum).sum();
        if less_urgent <= 0.0 {
            return 0.0;
        }
        self.share(budget) * estimate.max(0.0) * SPARE_FRACTION
    }
}
