//! The weights of models that operators have named.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;

/// The number of versions whose naming is remembered. Operators name weights
/// seldom; an engine that is further behind counts as this far.
const MAX_VERSIONS: usize = 16;

/// A `TargetWeights` is what operators named for one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetWeights {
    /// The model.
    pub model: Name,
    versions: Vec<(u64, Time)>,
}

impl TargetWeights {
    /// Returns the weights of a model of which one version was named.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::weights::TargetWeights;
    ///
    /// let at = |seconds| Time::from_origin(Duration::from_secs(seconds));
    /// let mut named = TargetWeights::new("m".into(), 2, at(10));
    /// assert!(named.set_version(3, at(12)));
    /// // An engine with version 1 has been behind since version 2 was named.
    /// assert_eq!(named.outdated_for(1, at(13)), Some(Duration::from_secs(3)));
    /// assert_eq!(named.outdated_for(2, at(13)), Some(Duration::from_secs(1)));
    /// assert_eq!(named.outdated_for(3, at(13)), None);
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

    /// Records that a version was named, and returns whether it is the newest.
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

    /// Returns the time for which an engine with `version` has been behind, or
    /// `None` when it is not.
    #[must_use]
    pub fn outdated_for(&self, version: u64, now: Time) -> Option<Duration> {
        let newer = self.versions.iter().find(|(v, _)| *v > version);
        newer.map(|(_, since)| now.since(*since))
    }
}
