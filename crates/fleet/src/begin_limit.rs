//! The limit until which a request must begin at an engine with outdated weights.
//!
//! A placement estimates when the engine begins the request. While the request waits, the
//! engine may turn out to be slower, and a newer version may become the target, so the limit
//! is checked until the first event: a request that has not begun by then is withdrawn.

use std::time::Duration;

use crate::weights::Outdated;

/// The limit on the begin of requests on outdated weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BeginLimit {
    /// The age of a newer version from which no request may begin on older weights.
    pub max_age: Duration,
    /// The time that a withdrawal may take to have an effect at the engine.
    pub withdrawal_time: Duration,
    /// The longest time between two checks, in which a newer version may have become known.
    pub check_interval: Duration,
}

impl Default for BeginLimit {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(6),
            withdrawal_time: Duration::from_millis(300),
            check_interval: Duration::from_millis(200),
        }
    }
}

/// What happens to a request that an engine has not begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// The request keeps waiting, and the limit is checked again after this time.
    Keep(Duration),
    /// The request is withdrawn from the engine.
    Withdraw,
}

impl BeginLimit {
    /// Returns what happens to a request at an engine whose weights are `outdated`, or have
    /// the newest version if that is `None`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::begin_limit::BeginLimit;
    /// use limpetsaddle_fleet::begin_limit::Waiting;
    /// use limpetsaddle_fleet::weights::TargetWeights;
    ///
    /// let at = |millis| Time::from_origin(Duration::from_millis(millis));
    /// let target = TargetWeights::new("m".into(), 2, at(0));
    /// let limit = BeginLimit::default();
    /// let check = |version, now| limit.check(target.outdated(version, at(now)));
    /// assert_eq!(check(2, 9_000), Waiting::Keep(limit.check_interval));
    /// assert_eq!(check(1, 5_650), Waiting::Keep(Duration::from_millis(50)));
    /// assert_eq!(check(1, 5_700), Waiting::Withdraw);
    /// ```
    #[must_use]
    pub fn check(&self, outdated: Option<Outdated>) -> Waiting {
        let Some(outdated) = outdated else {
            return Waiting::Keep(self.check_interval);
        };
        let usable = self.max_age.saturating_sub(self.withdrawal_time);
        let left = usable.saturating_sub(outdated.age);
        if left.is_zero() {
            return Waiting::Withdraw;
        }
        Waiting::Keep(left.min(self.check_interval))
    }
}
