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
const CUT_FROM: usize = 3;

/// The time within which they have to fail: requests reach three upstreams of a
/// domain within it even at the least busy instance.
const WITHIN: Duration = Duration::from_secs(2);

/// The first time for which a domain gets no requests.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest such time; a cut that has healed is noticed that late.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What is known of one domain since an upstream there was last reached.
#[derive(Clone, Debug)]
struct Unreached {
    since: Time,
    upstreams: Vec<u64>,
    pauses: u32,
    avoided_until: Option<Time>,
}

/// A `Reach` is which failure domains can be reached.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    unreached: HashMap<Name, Unreached>,
}

impl Reach {
    /// Records that an upstream of a domain answered.
    pub fn reached(&mut self, domain: &str) {
        self.unreached.remove(domain);
    }

    /// Records that the upstream with this hash could not be reached.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::reach::Reach;
    ///
    /// let domain = "a".into();
    /// let mut reach = Reach::default();
    /// for upstream in 1..=3 {
    ///     assert!(!reach.is_avoided("a", Time::ZERO));
    ///     reach.failed(&domain, upstream, Time::ZERO);
    /// }
    /// assert!(reach.is_avoided("a", Time::ZERO));
    /// reach.reached("a");
    /// assert!(!reach.is_avoided("a", Time::ZERO));
    /// ```
    pub fn failed(&mut self, domain: &Name, upstream: u64, now: Time) {
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
        if unreached.pauses == 0 && now.since(unreached.since) >= WITHIN {
            *unreached = fresh();
        }
        if !unreached.upstreams.contains(&upstream) {
            unreached.upstreams.push(upstream);
        }
        let avoided = unreached.avoided_until.is_some_and(|until| now < until);
        if unreached.upstreams.len() >= CUT_FROM && !avoided {
            let pause = LONGEST_PAUSE.min(FIRST_PAUSE * (1 << unreached.pauses.min(4)));
            unreached.pauses += 1;
            unreached.avoided_until = Some(now + pause);
        }
    }

    /// Returns whether the upstreams of a domain get no requests now.
    #[must_use]
    pub fn is_avoided(&self, domain: &str, now: Time) -> bool {
        let unreached = self.unreached.get(domain);
        let until = unreached.and_then(|unreached| unreached.avoided_until);
        until.is_some_and(|until| now < until)
    }
}
