//! The scenarios of simulated fleets before engines that crash.

use std::time::Duration;

/// When a harmful part ends its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Harm {
    /// Shortly after the head of the answer.
    AfterHead,
    /// This many milliseconds after the arrival of the prompt, before the head of the answer.
    AfterArrival(u64),
    /// By turns before and after the head of the answer.
    Either(u64),
}

impl Harm {
    /// Returns the time from the arrival of a prompt to the end of its engine in milliseconds, or
    /// `None` if the engine ends after the head of the answer.
    pub const fn after_arrival_ms(self, request: u32) -> Option<u64> {
        match self {
            Self::AfterArrival(millis) => Some(millis),
            Self::Either(millis) if request.is_multiple_of(2) => Some(millis),
            Self::AfterHead | Self::Either(_) => None,
        }
    }
}

/// What the host of an engine does with connections after the engine has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterEnd {
    /// It refuses them.
    Refuses,
    /// It accepts them, and nothing answers.
    Accepts,
    /// The engine answers for up to this many milliseconds after it has closed its connections.
    Answers(u64),
}

/// The ordinary crashes of a simulation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrdinaryCrashes {
    None,
    /// One in this many steps.
    OneIn(u64),
    /// All engines at the same moment, every this many steps.
    All(u64),
    /// All engines one after the other, this many steps apart, from the same step on.
    Rolling(u64),
}

/// A simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub engines: usize,
    /// The sound prompts a second.
    pub sound_rate: u64,
    /// The time from which on harmful parts are sent, or do harm.
    pub harmful_from: Duration,
    /// The harmful prompts a second from then on.
    pub harmful_rate: u64,
    /// The number of harmful parts, by turns.
    pub harmful_parts: usize,
    /// When harmful parts end their engines.
    pub harm: Harm,
    pub after_end: AfterEnd,
    /// One prompt in this many loses its connection at an engine that is silent for up to a
    /// second and lives on; 0 for none.
    pub resets: u64,
    /// The place of a harmful part in its prompts.
    pub place: usize,
    /// Whether harmful parts are sound before.
    pub served_before: bool,
    /// The parts that all prompts begin with.
    pub common_parts: u64,
    /// The parts that each prompt has for itself behind these.
    pub own_parts: u64,
    /// The first parts that all prompts share.
    pub first_parts: u64,
    /// The second parts.
    pub second_parts: u64,
    pub ordinary: OrdinaryCrashes,
    /// The time at which all instances restart and have forgotten their answers.
    pub restart_at: Option<Duration>,
    /// One in this many reports is lost.
    pub loss: u64,
    /// The time between two reports of an instance, in steps.
    pub report_steps: u64,
    pub duration: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            instances: 9,
            engines: 9,
            sound_rate: 50,
            harmful_from: Duration::from_secs(5),
            harmful_rate: 0,
            harmful_parts: 1,
            harm: Harm::AfterHead,
            after_end: AfterEnd::Refuses,
            resets: 0,
            place: 1,
            served_before: false,
            common_parts: 0,
            own_parts: 0,
            first_parts: 4,
            second_parts: 80,
            ordinary: OrdinaryCrashes::None,
            restart_at: None,
            loss: 20,
            report_steps: 12,
            duration: Duration::from_secs(30),
        }
    }
}
