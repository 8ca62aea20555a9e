//! Whether this instance reaches the upstreams of a service.
//!
//! A single upstream that fails or is silent says little. When several have failed and none
//! has answered since, either the service is down for all or this instance is cut off from
//! it; the reports of peers tell the two apart.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The number of different upstreams that must fail without an answer in between, or all if a
/// service has fewer. One request attempts that many.
const MIN_FAILED: usize = 3;

/// The time for which an answer shows that the service is reached.
const REACHED_TIME: Duration = Duration::from_secs(2);

/// The pause before the first check of a failing service; it doubles after each failed check.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The time for which a trial is reserved for requests that may run twice.
const REPEATABLE_TIME: Duration = Duration::from_secs(1);

/// The time after which a trial that has shown nothing is replaced by another.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether an instance reaches the upstreams of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// An upstream has answered recently.
    Reached,
    /// There were no requests recently.
    Unknown,
    /// Several upstreams have failed, and none has answered since.
    Failing,
}

/// The services that an instance reaches, and those that it fails to reach, by the hashes of
/// their names. Services without recent requests are in neither list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachReport {
    /// The services of which an upstream has answered recently.
    pub reached: Vec<u64>,
    /// The services of which several upstreams have failed and none has answered since.
    pub failing: Vec<u64>,
}

/// The maximum number of services in each list of a report.
const MAX_SERVICES: usize = 64;

impl ReachReport {
    /// Adds a service unless the report is full.
    pub fn add(&mut self, service: u64, reach: Reach) {
        let list = match reach {
            Reach::Reached => &mut self.reached,
            Reach::Failing => &mut self.failing,
            Reach::Unknown => return,
        };
        if list.len() < MAX_SERVICES {
            list.push(service);
        }
    }

    /// Returns whether the sender of the report reaches a service.
    #[must_use]
    pub fn of(&self, service: u64) -> Reach {
        if self.failing.contains(&service) {
            Reach::Failing
        } else if self.reached.contains(&service) {
            Reach::Reached
        } else {
            Reach::Unknown
        }
    }

    /// Returns whether the report is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.reached.is_empty() && self.failing.is_empty()
    }

    /// Removes what exceeds the size of a report.
    pub fn truncate(&mut self) {
        self.reached.truncate(MAX_SERVICES);
        self.failing.truncate(MAX_SERVICES);
    }
}

/// A service that this instance fails to reach.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Time,
    looks: u32,
    next_look: Time,
    /// The time at which an upstream accepted a connection again.
    accepted: Option<Time>,
    /// The start of the request that is sent to see whether it is answered.
    trial: Option<Time>,
}

/// The attempts of this instance to reach a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    answered: Option<Time>,
    /// The time at which bytes of any answer last arrived.
    heard: Option<Time>,
    /// The hashes of upstreams that have failed since the last answer.
    failed: Vec<u64>,
    outage: Option<Outage>,
}

impl ServiceReach {
    /// Records that an upstream has answered a call that was sent at `sent`, and returns
    /// whether that ended an outage. The answer to a call from before it ends none.
    pub fn record_answer(&mut self, sent: Time, now: Time) -> bool {
        if self.outage.is_some_and(|outage| sent < outage.since) {
            return false;
        }
        self.answered = Some(now);
        self.heard = Some(now);
        self.failed.clear();
        self.outage.take().is_some()
    }

    /// Records that bytes of an answer have arrived from an upstream, which may have been
    /// begun long before.
    pub const fn record_bytes(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// Records that an upstream has not begun to answer a call that was sent at `sent`, for
    /// longer than a sound one is silent. Returns whether the service fails from now on.
    ///
    /// As long as bytes arrive from others, the upstream is only slow or overloaded.
    pub fn record_silence(
        &mut self,
        upstream: u64,
        upstreams: usize,
        sent: Time,
        now: Time,
    ) -> bool {
        if self.heard.is_some_and(|at| at > sent) {
            return false;
        }
        self.record_failure(upstream, upstreams, sent, now)
    }

    /// Records that a call that was begun at `sent` to one of `upstreams` upstreams could not
    /// be established or was broken off before its answer. Returns whether the service fails
    /// from now on.
    pub fn record_failure(
        &mut self,
        upstream: u64,
        upstreams: usize,
        sent: Time,
        now: Time,
    ) -> bool {
        if let Some(outage) = &mut self.outage {
            if outage.trial.take_if(|start| *start <= sent).is_some() {
                outage.accepted = None;
                outage.postpone(now);
            }
            return false;
        }
        if self.answered.is_some_and(|at| at > sent) {
            return false;
        }
        if self.failed.len() < MIN_FAILED && !self.failed.contains(&upstream) {
            self.failed.push(upstream);
        }
        if self.failed.len() < MIN_FAILED.min(upstreams) {
            return false;
        }
        self.outage = Some(Outage {
            since: now,
            looks: 0,
            next_look: now + FIRST_PAUSE,
            accepted: None,
            trial: None,
        });
        true
    }

    /// Returns whether the service is reached.
    #[must_use]
    pub fn reach(&self, now: Time) -> Reach {
        if self.outage.is_some() {
            return Reach::Failing;
        }
        match self.answered {
            Some(at) if now.since(at) < REACHED_TIME => Reach::Reached,
            Some(_) | None => Reach::Unknown,
        }
    }

    /// Returns whether to check now if an upstream accepts connections again.
    #[must_use]
    pub fn is_look_due(&self, now: Time) -> bool {
        let outage = self.outage.filter(|outage| outage.accepted.is_none());
        outage.is_some_and(|outage| now >= outage.next_look)
    }

    /// Records whether an upstream accepts connections again.
    pub fn record_look(&mut self, accepts: bool, now: Time) {
        if let Some(outage) = &mut self.outage {
            if accepts {
                outage.accepted = Some(now);
            } else {
                outage.postpone(now);
            }
        }
    }

    /// Starts a trial of a failing service and returns true, if an upstream accepts connections
    /// again and no other trial is running. Requests that may run twice are preferred.
    pub fn begin_trial(&mut self, may_repeat: bool, now: Time) -> bool {
        let Some(outage) = &mut self.outage else {
            return false;
        };
        let Some(accepted) = outage.accepted else {
            return false;
        };
        let is_running = outage
            .trial
            .is_some_and(|start| now.since(start) < TRIAL_TIMEOUT);
        if is_running || (!may_repeat && now.since(accepted) < REPEATABLE_TIME) {
            return false;
        }
        outage.trial = Some(now);
        true
    }
}

impl Outage {
    fn postpone(&mut self, now: Time) {
        let pause = MAX_PAUSE.min(FIRST_PAUSE * (1 << self.looks.min(8)));
        self.looks = self.looks.saturating_add(1);
        self.next_look = now + pause;
    }
}
