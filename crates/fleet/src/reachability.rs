//! Which failure domains this instance reaches.
//!
//! Answers the load of a cut between failure domains. Each upstream beyond the
//! cut costs a request the time of an attempt to connect; after a few different
//! ones the whole domain gets no requests for a while.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// The different upstreams of a domain that cannot be reached one after the other
/// before the domain counts as cut off. Crashes of single upstreams have others
/// answer in between.
const UNREACHABLE_THRESHOLD: usize = 3;

/// The time within which they have to fail: requests reach three upstreams of a
/// domain within it even at the least busy instance.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// The first time for which a domain gets no requests.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The longest such time; a cut that has healed is noticed that late.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What is known of one domain since an upstream there was last reached.
#[derive(Clone, Debug)]
struct FailingDomain {
    since: Time,
    upstreams: Vec<u64>,
    pauses: u32,
    avoided_until: Option<Time>,
}

/// A `DomainReachability` is which failure domains can be reached.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    failing: HashMap<Name, FailingDomain>,
}

impl DomainReachability {
    /// Records that an upstream of a domain answered.
    pub fn record_success(&mut self, domain: &str) {
        self.failing.remove(domain);
    }

    /// Records that the upstream with this hash could not be reached.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::reachability::DomainReachability;
    ///
    /// let domain = "a".into();
    /// let mut reachability = DomainReachability::default();
    /// for upstream in 1..=3 {
    ///     assert!(!reachability.is_avoided("a", Time::ZERO));
    ///     reachability.record_failure(&domain, upstream, Time::ZERO);
    /// }
    /// assert!(reachability.is_avoided("a", Time::ZERO));
    /// reachability.record_success("a");
    /// assert!(!reachability.is_avoided("a", Time::ZERO));
    /// ```
    pub fn record_failure(&mut self, domain: &Name, upstream: u64, now: Time) {
        let fresh = || FailingDomain {
            since: now,
            upstreams: Vec::new(),
            pauses: 0,
            avoided_until: None,
        };
        let failing = self
            .failing
            .entry(Name::clone(domain))
            .or_insert_with(fresh);
        if failing.pauses == 0 && now.since(failing.since) >= FAILURE_WINDOW {
            *failing = fresh();
        }
        if !failing.upstreams.contains(&upstream) {
            failing.upstreams.push(upstream);
        }
        let avoided = failing.avoided_until.is_some_and(|until| now < until);
        if failing.upstreams.len() >= UNREACHABLE_THRESHOLD && !avoided {
            let pause = MAX_PAUSE.min(MIN_PAUSE * (1 << failing.pauses.min(4)));
            failing.pauses += 1;
            failing.avoided_until = Some(now + pause);
        }
    }

    /// Returns whether the upstreams of a domain get no requests now.
    #[must_use]
    pub fn is_avoided(&self, domain: &str, now: Time) -> bool {
        let failing = self.failing.get(domain);
        let until = failing.and_then(|failing| failing.avoided_until);
        until.is_some_and(|until| now < until)
    }
}
