//! The issue of permits for upstreams that limit all instances together.
//!
//! All instances choose the same live instance as the issuer of an upstream's permits, by
//! rendezvous hashing. What it issues stays below the limit for any set of requesters: an instance without
//! a permit sends nothing. An issuer that doesn't hear from all registered instances issues
//! in proportion to those that it hears from, so that the two sides of a partition together
//! stay below the limit.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::limits::PeerCounts;
use crate::peers::Issuer;
use crate::peers::Peers;
use crate::permit_messages::PermitAnswer;
use crate::permit_messages::PermitRequest;
use crate::permits::Issue;
use crate::permits::PERMIT_VALIDITY;
use crate::upstream_limit::RequestRate;
use crate::upstreams::Upstreams;

/// The time over which unused permits may be saved up.
const SAVING_SPAN: Duration = Duration::from_secs(1);

/// The time for which a permit stays reserved after an urgent request is due to be repeated.
const PRIORITY_SPAN: Duration = Duration::from_millis(500);

/// The permits after which a less urgent request gets one in spite of more urgent ones.
const MAX_PASSED_OVER: u32 = 4;

/// The time after its last permit request for which the state of a process is kept.
const IDLE_RETENTION: Duration = Duration::from_mins(1);

/// The shortest time after which a denied permit request is repeated.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// The longest time after which a denied permit request is repeated.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The pause after a permit request that was sent to an instance that isn't the issuer.
const REDIRECT_PAUSE: Duration = Duration::from_millis(100);

/// The rate at which an issuer issues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IssueRate {
    per_second: f64,
}

impl IssueRate {
    /// Returns the part of a limit that the live instances may use together.
    #[must_use]
    pub fn new(limit: RequestRate, counts: PeerCounts) -> Self {
        Self {
            per_second: limit.as_per_second() * counts.live_fraction(),
        }
    }

    fn capacity(self) -> f64 {
        1.0 + self.per_second * SAVING_SPAN.as_secs_f64()
    }

    /// Returns the time in which `permits` accumulate.
    fn time_for(self, permits: f64) -> Duration {
        Duration::try_from_secs_f64(permits / self.per_second).unwrap_or(MAX_PAUSE)
    }
}

/// The content of a permit request that decides on its outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The number of permits.
    pub wanted: u16,
    /// The priority of the request that needs one, 0 being the most urgent.
    pub priority: u8,
}

/// The outcome of a permit request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Issued {
    /// This number of permits is issued.
    Granted(u16),
    /// None is issued; the req may be repeated after this time.
    Denied(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    refilled: Time,
    /// The priority of the most urgent denied request, and the end of the time in which it is
    /// expected again.
    urgent: Option<(u8, Time)>,
    /// The permits issued to urgent requests since a less urgent one got any.
    passed_over: u32,
    /// The time of the last permit request.
    requested: Time,
}

impl Bucket {
    fn refill(&mut self, rate: IssueRate, now: Time) {
        if now > self.refilled {
            let span = now.since(self.refilled).as_secs_f64();
            self.level += span * rate.per_second;
            self.refilled = now;
        }
        self.level = self.level.min(rate.capacity());
    }

    /// Returns whether permits are kept for more urgent requests.
    fn is_reserved(&self, priority: u8, rate: IssueRate, now: Time) -> bool {
        let urgent = self.urgent.filter(|(_, until)| now < *until);
        urgent.is_some_and(|(first, _)| first < priority)
            && self.level < rate.capacity()
            && self.passed_over < MAX_PASSED_OVER
    }

    fn record_grant(&mut self, priority: u8, granted: u16) {
        let is_urgent = self.urgent.is_none_or(|(first, _)| priority <= first);
        self.passed_over = if is_urgent {
            self.passed_over.saturating_add(u32::from(granted))
        } else {
            0
        };
    }

    fn record_denial(&mut self, priority: u8, pause: Duration, now: Time) {
        let urgent = self.urgent.filter(|(_, until)| now < *until);
        if urgent.is_none_or(|(first, _)| priority <= first) {
            self.urgent = Some((priority, now + pause + PRIORITY_SPAN));
        }
    }
}

/// The state on which a reply to a permit request depends.
#[derive(Clone, Copy, Debug)]
pub struct IssueContext<'a> {
    /// The other instances.
    pub peers: &'a Peers,
    /// The upstreams, with their limits.
    pub upstreams: &'a Upstreams,
    /// The incarnation of this instance.
    pub incarnation: u64,
    /// The present time.
    pub now: Time,
}

/// Issues the permits of the upstreams that this instance has been chosen for.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::limits::PeerCounts;
/// use limpetsaddle_fleet::permit_issuer::Demand;
/// use limpetsaddle_fleet::permit_issuer::IssueRate;
/// use limpetsaddle_fleet::permit_issuer::Issued;
/// use limpetsaddle_fleet::permit_issuer::PermitIssuer;
/// use limpetsaddle_fleet::upstream_limit::RequestRate;
///
/// let counts = PeerCounts { registered: 9, live: 9 };
/// let rate = IssueRate::new(RequestRate::per_second(2.0), counts);
/// let demand = Demand { wanted: 3, priority: 1 };
/// let mut issuer = PermitIssuer::default();
/// let first = issuer.issue(7, rate, demand, Duration::ZERO, Time::ZERO);
/// assert_eq!(first, Issued::Granted(1));
/// let next = issuer.issue(7, rate, demand, Duration::ZERO, Time::ZERO);
/// assert_eq!(next, Issued::Denied(Duration::from_millis(500)));
/// ```
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<u64, Bucket>,
}

impl PermitIssuer {
    /// Returns the reply to a request for permits of a process, if this instance issues them.
    pub fn answer(
        &mut self,
        process: u64,
        req: &PermitRequest,
        cx: &IssueContext<'_>,
    ) -> PermitAnswer {
        let now = cx.now;
        if cx.peers.issuer(process, now) != Issuer::Own {
            return denied(REDIRECT_PAUSE);
        }
        let record = cx.upstreams.limit_record(process);
        let Some(limit) = record.named() else {
            let age = record.lifted_for(now).unwrap_or_default();
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            return PermitAnswer::Unlimited { age_ms };
        };
        // The time for which two instances may both consider themselves the issuer.
        let handover = PERMIT_VALIDITY + cx.peers.heartbeat_interval() * 2;
        let is_new = now.since(limit.since) < handover;
        let quiet = if is_new { Duration::ZERO } else { handover };
        let rate = IssueRate::new(limit.rate, cx.peers.peer_counts(now));
        let demand = Demand {
            wanted: req.wanted,
            priority: req.priority,
        };
        match self.issue(process, rate, demand, quiet, now) {
            Issued::Granted(count) => {
                let stamp_ms = u64::try_from(now.since_origin().as_millis()).unwrap_or(u64::MAX);
                let issue = Issue {
                    issuer: cx.incarnation,
                    stamp_ms,
                };
                PermitAnswer::Granted { count, issue }
            }
            Issued::Denied(pause) => denied(pause),
        }
    }

    /// Issues permits of a process, if there are any.
    ///
    /// `quiet` is the time for which nothing is issued after the first request here: the
    /// instance that was chosen before may still issue.
    pub fn issue(
        &mut self,
        process: u64,
        rate: IssueRate,
        demand: Demand,
        quiet: Duration,
        now: Time,
    ) -> Issued {
        let bucket = self.buckets.entry(process).or_insert_with(|| Bucket {
            level: 1.0,
            refilled: now + quiet,
            urgent: None,
            passed_over: 0,
            requested: now,
        });
        bucket.requested = now;
        bucket.refill(rate, now);
        let is_quiet = now < bucket.refilled;
        if is_quiet || bucket.level < 1.0 || bucket.is_reserved(demand.priority, rate, now) {
            let missing = (1.0 - bucket.level).max(0.0);
            let pause = bucket.refilled.since(now) + rate.time_for(missing);
            let pause = pause.clamp(MIN_PAUSE, MAX_PAUSE);
            bucket.record_denial(demand.priority, pause, now);
            return Issued::Denied(pause);
        }
        let mut granted = 0;
        while granted < demand.wanted && bucket.level >= 1.0 {
            bucket.level -= 1.0;
            granted += 1;
        }
        bucket.record_grant(demand.priority, granted);
        Issued::Granted(granted)
    }

    /// Removes the state of processes for which another instance issues permits now, or for
    /// which none has been requested for a long time.
    pub fn retain(&mut self, is_issuer: impl Fn(u64) -> bool, now: Time) {
        self.buckets.retain(|process, bucket| {
            now.since(bucket.requested) < IDLE_RETENTION && is_issuer(*process)
        });
    }

    /// Returns the number of processes with state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there is no state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

fn denied(pause: Duration) -> PermitAnswer {
    let after_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
    PermitAnswer::Denied { after_ms }
}
