//! Permits to send single requests to an upstream that limits all instances together.
//!
//! One instance issues the permits of an upstream; see
//! [`permit_issuer`](crate::permit_issuer). The others request as many as they are about to
//! use. A permit that isn't used in time expires.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The time after the permit request within which a permit may be used.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(400);

/// The time after which a reply to a permit request is no longer expected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// The usual time until a reply arrives.
const REPLY_TIME: Duration = Duration::from_millis(5);

/// The largest number of permits in one request.
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
/// assert_eq!(pool.request(at(0)), Some(1));
/// assert_eq!(pool.request(at(1)), None);
/// pool.grant(at(0), 1, Issue { issuer: 7, stamp_ms: 0 }, at(3));
/// assert!(pool.take(at(10)).is_some());
/// assert!(pool.take(at(10)).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    permits: Vec<Permit>,
    requested: Option<Time>,
    denied_until: Option<Time>,
    /// The recent uses, from which the next request estimates the demand.
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

    /// Returns the number of permits to request, or `None` while there are enough, a reply is
    /// due, or the last request was denied. The request counts as sent.
    pub fn request(&mut self, now: Time) -> Option<u16> {
        let wanted = self.wanted(now)?;
        self.requested = Some(now);
        Some(wanted)
    }

    /// Returns whether a permit request may be sent now.
    #[must_use]
    pub fn may_request(&self, now: Time) -> bool {
        !self.is_requesting(now) && self.denied_until.is_none_or(|until| until <= now)
    }

    /// Returns whether a reply is due.
    #[must_use]
    pub fn is_requesting(&self, now: Time) -> bool {
        self.requested
            .is_some_and(|at| now.since(at) < REPLY_TIMEOUT)
    }

    fn wanted(&mut self, now: Time) -> Option<u16> {
        if !self.may_request(now) {
            return None;
        }
        self.taken.retain(|at| now.since(*at) < PERMIT_VALIDITY);
        let held = self.permits.iter().filter(|permit| now < permit.expires);
        let wanted = self.taken.len().max(1).saturating_sub(held.count());
        let wanted = u16::try_from(wanted.min(MAX_WANTED)).ok()?;
        (wanted > 0).then_some(wanted)
    }

    /// Adds the permits for the request sent at `requested`. A reply to an earlier request is
    /// ignored.
    pub fn grant(&mut self, requested: Time, count: u16, issue: Issue, now: Time) {
        if self.requested != Some(requested) {
            return;
        }
        self.requested = None;
        self.denied_until = None;
        // The request was sent before the permit was issued, so this end is the earlier one.
        let expires = requested + PERMIT_VALIDITY;
        self.permits.retain(|permit| now < permit.expires);
        let permit = Permit { expires, issue };
        let granted = std::iter::repeat_n(permit, usize::from(count));
        self.permits.extend(granted);
        self.received.push_back((now, count));
        self.received.retain(|(at, _)| now.since(*at) < RATE_SPAN);
    }

    /// Records that the request sent at `requested` was denied, and may be repeated after `after`.
    pub fn deny(&mut self, requested: Time, after: Duration, now: Time) {
        if self.requested == Some(requested) {
            self.requested = None;
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
