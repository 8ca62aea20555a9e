//! The answers that came well under way, which tell how common a part is.

use std::collections::HashMap;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use super::evidence::as_f64;
use crate::part_key::PartKey;
use crate::part_list::PartList;

/// The number of parts in a sample, unless more have a larger share of the answers than one in
/// this number.
const MIN_SAMPLED: usize = 64;

/// The largest number of parts in a sample.
const MAX_SAMPLED: usize = 4 * 1_024;

/// The answers on a part that an instance may not have got by chance, where others have.
const UNSEEN_ANSWERS: f64 = 3.0;

/// The largest share of a part that is distinguished from one that all prompts have.
const MAX_SHARE: f64 = 0.95;

/// The number of answers on a part.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SampledPart {
    /// The part.
    #[serde_as(as = "DisplayFromStr")]
    pub part: PartKey,
    /// The answers on prompts with the part.
    pub answers: usize,
}

/// The recent answers of one instance, from which a restarted one learns which parts are common.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerSample {
    /// All answers.
    pub answers: usize,
    /// The parts with the most answers.
    pub parts: Vec<SampledPart>,
    /// The most answers on any other part.
    pub unlisted: usize,
}

impl AnswerSample {
    /// Returns the sample of answers on prompts with these parts.
    pub fn of<'a>(prompts: impl Iterator<Item = &'a PartList>) -> Self {
        let mut lists: HashMap<*const (), (&PartList, usize)> = HashMap::new();
        let mut answers = 0;
        for parts in prompts {
            answers += 1;
            lists.entry(parts.identity()).or_insert((parts, 0)).1 += 1;
        }
        let mut counts: HashMap<PartKey, usize> = HashMap::new();
        for (parts, answers) in lists.into_values() {
            for part in parts.iter() {
                *counts.entry(*part).or_default() += answers;
            }
        }
        let parts = counts.into_iter();
        let parts = parts.map(|(part, answers)| SampledPart { part, answers });
        let mut parts: Vec<SampledPart> = parts.collect();
        parts.sort_by(|a, b| b.answers.cmp(&a.answers).then(a.part.cmp(&b.part)));
        let is_common = |sampled: &SampledPart| sampled.answers > answers / MIN_SAMPLED;
        let common = parts.partition_point(is_common);
        let listed = common.clamp(MIN_SAMPLED, MAX_SAMPLED);
        let unlisted = parts.get(listed).map_or(0, |first| first.answers);
        parts.truncate(listed);
        Self {
            answers,
            parts,
            unlisted,
        }
    }

    /// Returns the sample with no more parts than an instance records.
    #[must_use]
    pub fn bounded(&self) -> Self {
        Self {
            answers: self.answers,
            parts: self.parts.iter().take(MAX_SAMPLED).cloned().collect(),
            unlisted: self.unlisted,
        }
    }

    /// Returns the answers on prompts with a part, or the most that there may have been.
    fn with(&self, part: PartKey) -> usize {
        let listed = self.parts.iter().find(|sampled| sampled.part == part);
        listed.map_or(self.unlisted, |sampled| sampled.answers)
    }
}

/// An estimate of a part's share among all prompts.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    with_part: f64,
    all: f64,
}

impl Share {
    /// Returns the share.
    pub fn value(self) -> f64 {
        (self.with_part / self.all).min(MAX_SHARE)
    }

    /// Adds further prompts to the estimate.
    pub fn add(&mut self, with_part: usize, all: usize) {
        self.with_part += as_f64(with_part);
        self.all += as_f64(all);
    }
}

/// The answers that an instance knows of, as a sample of those of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Answers<'a> {
    /// The parts of each prompt that this instance got an answer on, with the time.
    own: Vec<(&'a PartList, Time)>,
    /// Earlier answers, if this instance has got too few itself.
    earlier: Option<&'a AnswerSample>,
    /// The number of own answers from which on those of other instances are left out.
    min_own: usize,
    /// The number of instances that get such prompts.
    instances: f64,
}

impl<'a> Answers<'a> {
    /// Returns the answers on prompts with these parts, each with the time, at one of several
    /// instances. `earlier` counts as well if there are less than `min_answers`.
    pub fn new(
        own: impl Iterator<Item = (&'a PartList, Time)>,
        earlier: &'a AnswerSample,
        min_answers: usize,
        instances: usize,
    ) -> Self {
        let own: Vec<_> = own.collect();
        Self {
            earlier: (own.len() < min_answers).then_some(earlier),
            own,
            min_own: min_answers,
            instances: as_f64(instances),
        }
    }

    /// Returns the number of answers.
    pub fn count(&self) -> usize {
        let earlier = self.earlier.map_or(0, |sample| sample.answers);
        earlier.saturating_add(self.own.len())
    }

    /// Returns an estimate of the number of answers at all instances, over which callers are
    /// spread. Each instance reports its answers on suspects, so that those of the others tell
    /// whether a part may be busy too.
    pub fn fleet_count(&self) -> f64 {
        as_f64(self.count()) * self.instances.max(1.0)
    }

    fn with(&self, part: PartKey) -> f64 {
        let own = self.own.iter();
        let own = own.filter(|(parts, _)| parts.contains(part)).count();
        as_f64(self.earlier(part).saturating_add(own))
    }

    /// Returns the number of earlier answers on a part that count.
    pub fn earlier(&self, part: PartKey) -> usize {
        self.earlier.map_or(0, |sample| sample.with(part))
    }

    /// Returns the parts of each prompt that this instance got an answer on.
    pub fn own_lists(&self) -> impl Iterator<Item = &PartList> {
        self.own.iter().map(|(parts, _)| *parts)
    }

    /// Returns an estimate of the share of a part among all prompts, rather a high one if it may
    /// be busy. `is_answered` is whether any instance has reported an answer on it.
    pub fn share(&self, part: PartKey, may_be_busy: bool, is_answered: bool) -> Share {
        let with_part = match self.with(part) {
            0.0 if may_be_busy => UNSEEN_ANSWERS,
            count => count + 0.5,
        };
        let all = if is_answered || self.with(part) > 0.0 {
            as_f64(self.count())
        } else {
            self.without_part()
        };
        Share {
            with_part,
            all: all + 1.0,
        }
    }

    /// Returns an estimate of the number of answers without a part that no instance has got one
    /// on: all answers of the fleet, unless this instance has got enough itself.
    fn without_part(&self) -> f64 {
        let estimated = self.fleet_count().min(as_f64(self.min_own));
        estimated.max(as_f64(self.count()))
    }

    /// Returns the number of answers of this instance between two times on prompts without a
    /// part.
    pub fn others(&self, part: PartKey, since: Time, until: Time) -> usize {
        let others = self.own.iter();
        let others =
            others.filter(|(parts, at)| (since..until).contains(at) && !parts.contains(part));
        others.count()
    }

    /// Returns the number of answers on a part that are to be expected in the whole fleet
    /// beside `others` on other prompts of this instance, rather a low one.
    pub fn expected(&self, part: PartKey, others: usize) -> f64 {
        let with_part = self.with(part);
        let least = (with_part - 2.0 * with_part.sqrt()).max(0.0);
        let share = least / (as_f64(self.count()) + 1.0);
        as_f64(others) * self.instances * share / (1.0 - share)
    }
}
