//! Target weights, the versions of weights that operators set for models.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// The number of versions that are kept. Operators rarely set new ones; an engine that is
/// further behind counts as outdated since the oldest one.
const MAX_VERSIONS: usize = 16;

/// The target weights of a model with their recent history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetWeights {
    /// The model.
    pub model: Name,
    versions: Vec<(u64, Time)>,
}

impl TargetWeights {
    /// Returns the target weights of a model without a history.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::weights::TargetWeights;
    ///
    /// let at = |seconds| Time::from_origin(Duration::from_secs(seconds));
    /// let mut target = TargetWeights::new("m".into(), 2, at(10));
    /// assert!(target.set_version(3, at(12)));
    /// // An engine with version 1 has been outdated since version 2 was set.
    /// assert_eq!(target.outdated_for(1, at(13)), Some(Duration::from_secs(3)));
    /// assert_eq!(target.outdated_for(2, at(13)), Some(Duration::from_secs(1)));
    /// assert_eq!(target.outdated_for(3, at(13)), None);
    /// ```
    #[must_use]
    pub fn new(model: Name, version: u64, since: Time) -> Self {
        Self {
            model,
            versions: vec![(version, since)],
        }
    }

    /// Returns the newest version.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Sets a version, and returns whether it is newer than all before.
    pub fn set_version(&mut self, version: u64, since: Time) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.versions.len() == MAX_VERSIONS {
            self.versions.remove(0);
        }
        self.versions.push((version, since));
        true
    }

    /// Returns the time for which `version` has been outdated, or `None` if it is not.
    #[must_use]
    pub fn outdated_for(&self, version: u64, now: Time) -> Option<Duration> {
        let newer = self.versions.iter().find(|(v, _)| *v > version);
        newer.map(|(_, since)| now.since(*since))
    }
}
