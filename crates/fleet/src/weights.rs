//! Target weights, the versions of weights that operators set for models.
//!
//! Each instance measures a version's age itself, as clocks jump and machines are suspended.
//! One that starts later learns the age from the others, as the store doesn't keep it.

use std::cmp::Reverse;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::heartbeat::TargetWeightsAge;
use crate::heartbeat::name_hash;

/// The number of versions that are kept. Operators rarely set new ones; an engine that is
/// further behind counts as outdated since the oldest one.
const MAX_VERSIONS: usize = 16;

/// The largest number of ages in a heartbeat, which take about 12 bytes each.
const MAX_REPORTED_AGES: usize = 64;

/// The assumed age of a version whose change a running instance has missed: the time in which
/// a watch that fails silently is noticed.
pub const MISSED_CHANGE_AGE: Duration = Duration::from_millis(2_500);

/// What is known of the time since operators set a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionAge {
    /// The time for which the version has certainly been the target.
    pub least: Duration,
    /// The longest time for which it may have been the target, if that is known.
    pub most: Option<Duration>,
}

impl VersionAge {
    /// The age of a version that is being set.
    pub const ZERO: Self = Self {
        least: Duration::ZERO,
        most: Some(Duration::ZERO),
    };

    /// The age of a version that may have been set at any time.
    pub const UNKNOWN: Self = Self {
        least: Duration::ZERO,
        most: None,
    };

    /// Returns the age after some more time.
    fn after(self, elapsed: Duration) -> Self {
        Self {
            least: self.least.saturating_add(elapsed),
            most: self.most.map(|most| most.saturating_add(elapsed)),
        }
    }

    /// Returns what two statements on one version say together. Changes are seen late, never
    /// early, so the lower bound prevails where they contradict each other.
    fn and(self, other: Self) -> Self {
        let least = self.least.max(other.least);
        let most = match (self.most, other.most) {
            (Some(one), Some(another)) => Some(one.min(another)),
            (one, another) => one.or(another),
        };
        Self {
            least,
            most: most.map(|most| most.max(least)),
        }
    }
}

/// Where the upper bound on a version's age comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgeSource {
    /// This instance's own watch or list.
    Watch,
    /// Another instance's heartbeat.
    Peer,
    /// Nothing: no bound is known, and an age is assumed.
    Assumed,
}

impl AgeSource {
    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Peer => "peer",
            Self::Assumed => "assumed",
        }
    }
}

/// The time for which weights have been outdated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outdated {
    /// The newer version that has been the target for longest.
    pub newer: u64,
    /// The longest time for which that may have been the target.
    pub age: Duration,
    /// The time for which it has certainly been the target.
    pub least: Duration,
    /// The source of `age`.
    pub source: AgeSource,
}

/// The treatment of versions of unknown age.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownAgeOptions {
    /// The time in which peers that know the age report it. Until then the version counts as
    /// infinitely old.
    pub answer_time: Duration,
    /// The assumed age of a version that no peer knows, at the time when it was found.
    pub assumed_age: Duration,
}

impl Default for UnknownAgeOptions {
    fn default() -> Self {
        Self {
            answer_time: Duration::from_millis(400),
            assumed_age: Duration::from_secs(3),
        }
    }
}

impl UnknownAgeOptions {
    /// The options for a version that was set while this instance was running, though it
    /// missed the change.
    pub const MISSED_CHANGE: Self = Self {
        answer_time: Duration::ZERO,
        assumed_age: MISSED_CHANGE_AGE,
    };

    /// Returns the options for a version that may have been set before the start: older
    /// weights are used for `start_grace` if no peer knows the age, where they may be used
    /// until the newer ones are `max_age` old.
    #[must_use]
    pub fn at_start(max_age: Duration, start_grace: Duration) -> Self {
        Self {
            assumed_age: max_age.saturating_sub(start_grace),
            ..Self::default()
        }
    }
}

/// What an instance has learnt from a report of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learned {
    /// The version is newer than all before.
    Newest,
    /// The version's greatest age has become known.
    Age,
    /// At most closer bounds on the age.
    Nothing,
}

/// A version and its age when that was last learnt.
///
/// An age and not a moment is kept, as the version may be older than the machine's uptime.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Version {
    number: u64,
    age: VersionAge,
    /// The source of the age's upper bound.
    source: AgeSource,
    learned: Time,
    first_seen: Time,
    unknown_age: UnknownAgeOptions,
}

impl Version {
    fn age(&self, now: Time) -> VersionAge {
        self.age.after(now.since(self.learned))
    }

    /// Adds what `source` states of the age at `now`.
    fn learn(&mut self, age: VersionAge, source: AgeSource, now: Time) {
        let before = self.age(now);
        self.age = before.and(age);
        self.learned = now;
        if self.age.most != before.most {
            self.source = source;
        }
    }

    fn outdated(&self, now: Time) -> Outdated {
        let age = self.age(now);
        Outdated {
            newer: self.number,
            age: self.assumed_age(now),
            least: age.least,
            source: age.most.map_or(AgeSource::Assumed, |_| self.source),
        }
    }

    /// Returns the age on which decisions are based.
    fn assumed_age(&self, now: Time) -> Duration {
        let seen_for = now.since(self.first_seen);
        let options = &self.unknown_age;
        let age = self.age(now);
        match age.most {
            Some(most) => most,
            None if seen_for < options.answer_time => Duration::MAX,
            None => age.least.max(options.assumed_age.saturating_add(seen_for)),
        }
    }
}

/// The target weights of a model with their recent history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetWeights {
    /// The model.
    pub model: Name,
    model_hash: u64,
    /// The versions, oldest first.
    versions: Vec<Version>,
    unknown_age: UnknownAgeOptions,
}

impl TargetWeights {
    /// Returns the target weights of a model whose first version is set at `since`.
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
        let mut target = Self::without_versions(model, UnknownAgeOptions::default());
        target.set_version(version, since);
        target
    }

    /// Returns the target weights of a model of which no version is known yet; `unknown_age`
    /// holds for the first one and older ones.
    #[must_use]
    pub fn without_versions(model: Name, unknown_age: UnknownAgeOptions) -> Self {
        Self {
            model_hash: name_hash(&model),
            model,
            versions: Vec::new(),
            unknown_age,
        }
    }

    /// Returns the hash of the model's name in heartbeats.
    #[must_use]
    pub const fn model_hash(&self) -> u64 {
        self.model_hash
    }

    /// Sets a version, and returns whether it is newer than all before.
    pub fn set_version(&mut self, version: u64, since: Time) -> bool {
        let is_newer = version > self.newest();
        if is_newer {
            self.learn(version, VersionAge::ZERO, AgeSource::Watch, since);
        }
        is_newer
    }

    /// Returns the newest version.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |version| version.number)
    }

    /// Adds what `source` states of a version's age at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::weights::AgeSource;
    /// use limpetsaddle_fleet::weights::TargetWeights;
    /// use limpetsaddle_fleet::weights::UnknownAgeOptions;
    /// use limpetsaddle_fleet::weights::VersionAge;
    ///
    /// let at = |seconds| Time::from_origin(Duration::from_secs(seconds));
    /// let seconds = Duration::from_secs;
    /// let options = UnknownAgeOptions::at_start(seconds(6), seconds(3));
    /// let mut target = TargetWeights::without_versions("m".into(), options);
    /// target.learn(2, VersionAge::UNKNOWN, AgeSource::Watch, at(10));
    /// // No peer has reported the age.
    /// assert_eq!(target.outdated_for(1, at(11)), Some(seconds(4)));
    /// let reported = VersionAge { least: seconds(1), most: Some(seconds(2)) };
    /// target.learn(2, reported, AgeSource::Peer, at(11));
    /// assert_eq!(target.outdated_for(1, at(12)), Some(seconds(3)));
    /// ```
    pub fn learn(
        &mut self,
        version: u64,
        age: VersionAge,
        source: AgeSource,
        now: Time,
    ) -> Learned {
        let is_newest = version > self.newest();
        match self.versions.binary_search_by_key(&version, |v| v.number) {
            Ok(index) => {
                let known = &mut self.versions[index];
                let was_known = known.age.most.is_some();
                known.learn(age, source, now);
                if known.age.most.is_some() && !was_known {
                    return Learned::Age;
                }
            }
            Err(0) if self.versions.len() == MAX_VERSIONS => {}
            Err(index) => {
                let missed_change = index > 0;
                let added = Version {
                    number: version,
                    age,
                    source,
                    learned: now,
                    first_seen: now,
                    unknown_age: if missed_change {
                        UnknownAgeOptions::MISSED_CHANGE
                    } else {
                        self.unknown_age
                    },
                };
                self.versions.insert(index, added);
                if self.versions.len() > MAX_VERSIONS {
                    self.versions.remove(0);
                }
            }
        }
        if is_newest {
            Learned::Newest
        } else {
            Learned::Nothing
        }
    }

    /// Returns the longest time for which `version` may have been outdated, or `None` if it
    /// is not.
    ///
    /// While peers may still report the age of a newer version, this is [`Duration::MAX`].
    #[must_use]
    pub fn outdated_for(&self, version: u64, now: Time) -> Option<Duration> {
        self.outdated(version, now).map(|outdated| outdated.age)
    }

    /// Returns for how long `version` may have been outdated and how that is known, or `None`
    /// if it is not.
    #[must_use]
    pub fn outdated(&self, version: u64, now: Time) -> Option<Outdated> {
        let newer = self.versions.iter().filter(|v| v.number > version);
        newer
            .map(|v| v.outdated(now))
            .max_by_key(|outdated| outdated.age)
    }

    /// Returns the ages on which the use of old weights depends: those below `max_age`, and
    /// that of the newest version beyond it.
    fn relevant_ages(
        &self,
        max_age: Duration,
        now: Time,
    ) -> impl Iterator<Item = (u64, VersionAge)> {
        let is_old = |v: &Version| v.age(now).least >= max_age;
        let first = self.versions.iter().rposition(is_old).unwrap_or(0);
        let relevant = self.versions[first..].iter();
        relevant.map(move |v| (v.number, v.age(now)))
    }
}

/// Returns the ages of target weights for a heartbeat, the least ones first, where weights
/// may be used until a newer version is `max_age` old.
#[must_use]
pub fn reported_ages(
    targets: &[TargetWeights],
    max_age: Duration,
    now: Time,
) -> Vec<TargetWeightsAge> {
    let mut ages: Vec<_> = targets
        .iter()
        .flat_map(|target| {
            let ages = target.relevant_ages(max_age, now);
            ages.map(|(version, age)| (target.model_hash, version, age))
        })
        .collect();
    ages.sort_by_key(|(_, version, age)| (age.least, Reverse(*version)));
    ages.truncate(MAX_REPORTED_AGES);
    ages.into_iter()
        .map(|(model, version, age)| TargetWeightsAge::new(model, version, age))
        .collect()
}
