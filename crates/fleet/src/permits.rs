//! Permits to send single requests to an upstream that limits all instances together.
//!
//! One instance issues the permits of an upstream; see
//! [`permit_issuer`](crate::permit_issuer). The others ask it for as many as they are about to
//! use. A permit that isn't used in time expires.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The time from the ask within which a permit may be used.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(400);

/// The time after which a reply to an ask is no longer expected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// The time after which it is worth looking for a reply.
const REPLY_TIME: Duration = Duration::from_millis(5);

/// The largest number of permits in one ask.
const MAX_WANTED: usize = 64;

/// The span over which received permits are counted.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// The moment of a permit's issue.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Issue {
    /// The issuer's incarnation.
    pub issuer: u64,
    /// The issuer's clock, in milliseconds.
    pub stamp_ms: u64,
}

/// The permission to send one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The time from which the permit is void.
    pub expires: Time,
    /// The moment of its issue.
    pub issue: Issue,
}

/// The permits that an instance holds for one upstream.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::permits::Issue;
/// use limpetsaddle_fleet::permits::PermitPool;
///
/// let at = |ms| Time::from_origin(Duration::from_millis(ms));
/// let mut pool = PermitPool::default();
/// assert_eq!(pool.ask(at(0)), Some(1));
/// assert_eq!(pool.ask(at(1)), None);
/// pool.grant(at(0), 1, Issue { issuer: 7, stamp_ms: 0 }, at(3));
/// assert!(pool.take(at(10)).is_some());
/// assert!(pool.take(at(10)).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    permits: Vec<Permit>,
    asked: Option<Time>,
    denied_until: Option<Time>,
    /// The recent uses, which the next ask expects to be repeated.
    taken: VecDeque<Time>,
    received: VecDeque<(Time, u16)>,
}

impl PermitPool {
    /// Returns whether a request may be sent.
    #[must_use]
    pub fn has_permit(&self, now: Time) -> bool {
        self.permits.iter().any(|permit| now < permit.expires)
    }

    /// Takes the permit that expires first.
    pub fn take(&mut self, now: Time) -> Option<Permit> {
        self.permits.retain(|permit| now < permit.expires);
        let permits = self.permits.iter().enumerate();
        let (first, _) = permits.min_by_key(|(_, permit)| permit.expires)?;
        self.taken.push_back(now);
        Some(self.permits.swap_remove(first))
    }

    /// Returns a permit that was taken and not used.
    pub fn put_back(&mut self, permit: Permit) {
        self.taken.pop_back();
        self.permits.push(permit);
    }

    /// Returns the number of permits to ask for, or `None` while there are enough, a reply is
    /// due, or the last ask was denied. The ask counts as sent.
    pub fn ask(&mut self, now: Time) -> Option<u16> {
        let wanted = self.wanted(now)?;
        self.asked = Some(now);
        Some(wanted)
    }

    /// Returns whether [`ask`](Self::ask) would ask.
    #[must_use]
    pub fn may_ask(&self, now: Time) -> bool {
        !self.is_asking(now) && self.denied_until.is_none_or(|until| until <= now)
    }

    /// Returns whether a reply is due.
    #[must_use]
    pub fn is_asking(&self, now: Time) -> bool {
        self.asked.is_some_and(|at| now.since(at) < REPLY_TIMEOUT)
    }

    fn wanted(&mut self, now: Time) -> Option<u16> {
        if !self.may_ask(now) {
            return None;
        }
        self.taken.retain(|at| now.since(*at) < PERMIT_VALIDITY);
        let held = self.permits.iter().filter(|permit| now < permit.expires);
        let wanted = self.taken.len().max(1).saturating_sub(held.count());
        let wanted = u16::try_from(wanted.min(MAX_WANTED)).ok()?;
        (wanted > 0).then_some(wanted)
    }

    /// Adds the permits that answer the ask at `asked`. An answer to another ask is too late.
    pub fn grant(&mut self, asked: Time, count: u16, issue: Issue, now: Time) {
        if self.asked != Some(asked) {
            return;
        }
        self.asked = None;
        self.denied_until = None;
        // Counted from the ask, so that the permit ends no later for the issuer.
        let expires = asked + PERMIT_VALIDITY;
        self.permits.retain(|permit| now < permit.expires);
        let permit = Permit { expires, issue };
        let granted = std::iter::repeat_n(permit, usize::from(count));
        self.permits.extend(granted);
        self.received.push_back((now, count));
        self.received.retain(|(at, _)| now.since(*at) < RATE_SPAN);
    }

    /// Records that the ask at `asked` was denied, and may be repeated after `after`.
    pub fn deny(&mut self, asked: Time, after: Duration, now: Time) {
        if self.asked == Some(asked) {
            self.asked = None;
            self.denied_until = Some(now + after);
        }
    }

    /// Returns the earliest time at which there may be a permit.
    #[must_use]
    pub fn next(&self, now: Time) -> Time {
        let soon = now + REPLY_TIME;
        self.denied_until.map_or(soon, |until| soon.max(until))
    }

    /// Returns the number of permits received in the last second.
    #[must_use]
    pub fn received(&self, now: Time) -> u32 {
        let recent = self.received.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) < RATE_SPAN);
        recent.map(|(_, count)| u32::from(*count)).sum()
    }

    /// Returns the number of permits that may be used now.
    #[must_use]
    pub fn held(&self, now: Time) -> usize {
        let valid = self.permits.iter().filter(|permit| now < permit.expires);
        valid.count()
    }
}
