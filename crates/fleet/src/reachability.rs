//! Reachability of failure domains.
//!
//! During a partition between failure domains, each upstream beyond it costs a request a
//! connection timeout. After failures of a few different upstreams, the whole domain gets
//! no requests for a while.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// The number of different upstreams of a domain that must fail in succession before the
/// domain counts as unreachable. When single upstreams crash, others respond in between.
const UNREACHABLE_THRESHOLD: usize = 3;

/// The time within which they must fail: even the least loaded instance sends requests to
/// three upstreams of a domain within it.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// The first pause; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause, which is also the maximum delay until a healed partition is noticed.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The failures in a domain since the last success there.
#[derive(Clone, Debug)]
struct FailingDomain {
    since: Time,
    upstreams: Vec<u64>,
    pauses: u32,
    avoided_until: Option<Time>,
}

/// The domains with recent connection failures.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    failing: HashMap<Name, FailingDomain>,
}

impl DomainReachability {
    /// Records that an upstream of a domain responded.
    pub fn record_success(&mut self, domain: &str) {
        self.failing.remove(domain);
    }

    /// Records that no connection to the upstream with the given hash could be established.
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
        let new_domain = || FailingDomain {
            since: now,
            upstreams: Vec::new(),
            pauses: 0,
            avoided_until: None,
        };
        let failing = self
            .failing
            .entry(Name::clone(domain))
            .or_insert_with(new_domain);
        if failing.pauses == 0 && now.since(failing.since) >= FAILURE_WINDOW {
            *failing = new_domain();
        }
        if !failing.upstreams.contains(&upstream) {
            failing.upstreams.push(upstream);
        }
        let is_avoided = failing.avoided_until.is_some_and(|until| now < until);
        if failing.upstreams.len() >= UNREACHABLE_THRESHOLD && !is_avoided {
            let pause = MAX_PAUSE.min(MIN_PAUSE * (1 << failing.pauses.min(4)));
            failing.pauses += 1;
            failing.avoided_until = Some(now + pause);
        }
    }

    /// Returns whether the upstreams of a domain are avoided now.
    #[must_use]
    pub fn is_avoided(&self, domain: &str, now: Time) -> bool {
        let failing = self.failing.get(domain);
        let until = failing.and_then(|failing| failing.avoided_until);
        until.is_some_and(|until| now < until)
    }
}
