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
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause, which is also the maximum delay until a healed partition is noticed.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The failures in a domain since the last success there.
#[derive(Clone, Debug)]
struct Unreached {
    since: Time,
    upstreams: Vec<u64>,
    pauses: u32,
    avoided_until: Option<Time>,
}

/// The domains with recent connection failures.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    unreached: HashMap<Name, Unreached>,
}

impl DomainReachability {
    /// Records that an upstream of a domain responded.
    pub fn record_success(&mut self, domain: &str) {
        self.unreached.remove(domain);
    }

    /// Records that no connection to the upstream with the given hash could be established.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::reachability::DomainReachability;
    ///
    /// let domain = "a".into();
    /// let mut reach = DomainReachability::default();
    /// for upstream in 1..=3 {
    ///     assert!(!reach.is_avoided("a", Time::ZERO));
    ///     reach.record_failure(&domain, upstream, Time::ZERO);
    /// }
    /// assert!(reach.is_avoided("a", Time::ZERO));
    /// reach.record_success("a");
    /// assert!(!reach.is_avoided("a", Time::ZERO));
    /// ```
    pub fn record_failure(&mut self, domain: &Name, upstream: u64, now: Time) {
        let fresh = || Unreached {
            since: now,
            upstreams: Vec::new(),
            pauses: 0,
            avoided_until: None,
        };
        let unreached = self
            .unreached
            .entry(Name::clone(domain))
            .or_insert_with(fresh);
        if unreached.pauses == 0 && now.since(unreached.since) >= FAILURE_WINDOW {
            *unreached = fresh();
        }
        if !unreached.upstreams.contains(&upstream) {
            unreached.upstreams.push(upstream);
        }
        let is_avoided = unreached.avoided_until.is_some_and(|until| now < until);
        if unreached.upstreams.len() >= UNREACHABLE_THRESHOLD && !is_avoided {
            let pause = LONGEST_PAUSE.min(FIRST_PAUSE * (1 << unreached.pauses.min(4)));
            unreached.pauses += 1;
            unreached.avoided_until = Some(now + pause);
        }
    }

    /// Returns whether the upstreams of a domain are avoided now.
    #[must_use]
    pub fn is_avoided(&self, domain: &str, now: Time) -> bool {
        let unreached = self.unreached.get(domain);
        let until = unreached.and_then(|unreached| unreached.avoided_until);
        until.is_some_and(|until| now < until)
    }
}
