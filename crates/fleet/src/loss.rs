//! Evidence of whether a process lives on after a connection to it was lost, or while it is silent.
//!
//! A connection may be reset alone, and a host may accept connections for a process that has
//! ended. So neither a lost connection nor an accepted one is conclusive: only an answer that was
//! requested after the loss shows that the process lives on, and only a refusal, or another
//! process in its place, that it has ended. Until then it is suspected to have ended.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// Options for how a process is checked after a loss.
///
/// ```
/// use limpetsaddle_fleet::loss::LossOptions;
///
/// let options = LossOptions::default();
/// assert!(options.max_silence < options.watch_time);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LossOptions {
    /// The time without a sign of life after which the process is suspected to have ended.
    pub doubt_time: Duration,
    /// The longest silence of a sound process.
    pub max_silence: Duration,
    /// The least time between two checks, unless another connection is lost.
    pub check_interval: Duration,
    /// The time between two checks of a process that is silent for long.
    pub silence_interval: Duration,
    /// The time after the loss in which the process is checked. One that closes its connections
    /// may end some time later.
    pub watch_time: Duration,
}

impl Default for LossOptions {
    fn default() -> Self {
        Self {
            doubt_time: Duration::from_millis(25),
            max_silence: Duration::from_millis(1_200),
            check_interval: Duration::from_millis(60),
            silence_interval: Duration::from_secs(2),
            watch_time: Duration::from_secs(4),
        }
    }
}

/// What a check shows of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeSign {
    /// The process has answered a request that was sent during the check, or gone on with an
    /// earlier answer.
    Answered,
    /// It has done both.
    Continued,
    /// The process has ended: its host refuses connections, or another process answers.
    Ended,
    /// Neither, be it that the host accepts connections or not.
    Missing,
}

impl LifeSign {
    /// Returns what the result of a request shows if a connection from before the loss `goes_on`.
    ///
    /// An end outweighs what is read from such a connection, which may have been sent before.
    ///
    /// ```
    /// use limpetsaddle_fleet::loss::LifeSign;
    ///
    /// assert_eq!(LifeSign::Missing.beside(true), LifeSign::Answered);
    /// assert_eq!(LifeSign::Ended.beside(true), LifeSign::Ended);
    /// ```
    #[must_use]
    pub const fn beside(self, goes_on: bool) -> Self {
        match self {
            Self::Answered if goes_on => Self::Continued,
            Self::Missing if goes_on => Self::Answered,
            Self::Answered | Self::Continued | Self::Ended | Self::Missing => self,
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Continued => "continued",
            Self::Ended => "ended",
            Self::Missing => "missing",
        }
    }
}

/// What is newly known of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossChange {
    /// It is suspected to have ended.
    Suspected,
    /// It has ended.
    Confirmed,
    /// It lives on, though it was suspected to have ended.
    Withdrawn,
}

/// The state of a process since its first lost connection.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::loss::LifeSign;
/// use limpetsaddle_fleet::loss::Loss;
/// use limpetsaddle_fleet::loss::LossChange;
/// use limpetsaddle_fleet::loss::LossOptions;
///
/// let mut loss = Loss::new(LossOptions::default(), Time::ZERO);
/// assert_eq!(loss.record(LifeSign::Missing), Some(LossChange::Suspected));
/// assert_eq!(loss.record(LifeSign::Answered), Some(LossChange::Withdrawn));
/// // Its host may only have outlasted its connections.
/// assert!(loss.next_check(Time::ZERO).is_some());
/// assert_eq!(loss.record(LifeSign::Ended), Some(LossChange::Confirmed));
/// assert_eq!(loss.next_check(Time::ZERO), None);
/// ```
#[derive(Clone, Debug)]
pub struct Loss {
    options: LossOptions,
    at: Time,
    /// Whether any sign of life ends the checks.
    is_silence: bool,
    is_suspected: bool,
    is_settled: bool,
}

impl Loss {
    /// Returns the state after a loss at `at`, before any check.
    #[must_use]
    pub const fn new(options: LossOptions, at: Time) -> Self {
        Self {
            options,
            at,
            is_silence: false,
            is_suspected: false,
            is_settled: false,
        }
    }

    /// Returns the state of a process that is found to be silent at `at`, though no connection to it
    /// was lost.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::loss::LifeSign;
    /// use limpetsaddle_fleet::loss::Loss;
    /// use limpetsaddle_fleet::loss::LossOptions;
    ///
    /// let mut loss = Loss::of_silence(LossOptions::default(), Time::ZERO);
    /// assert_eq!(loss.record(LifeSign::Answered), None);
    /// assert_eq!(loss.next_check(Time::ZERO), None);
    /// ```
    #[must_use]
    pub const fn of_silence(options: LossOptions, at: Time) -> Self {
        Self {
            is_silence: true,
            ..Self::new(options, at)
        }
    }

    /// Returns when the connection was lost.
    #[must_use]
    pub const fn at(&self) -> Time {
        self.at
    }

    /// Records what a check, or a part of it, has shown, and returns what is newly known.
    pub const fn record(&mut self, sign: LifeSign) -> Option<LossChange> {
        match sign {
            _ if self.is_settled => None,
            LifeSign::Ended => {
                self.is_settled = true;
                Some(LossChange::Confirmed)
            }
            LifeSign::Missing if self.is_suspected => None,
            LifeSign::Missing => {
                self.is_suspected = true;
                Some(LossChange::Suspected)
            }
            LifeSign::Answered | LifeSign::Continued => {
                self.is_settled = self.is_silence || matches!(sign, LifeSign::Continued);
                let was_suspected = std::mem::replace(&mut self.is_suspected, false);
                if was_suspected {
                    Some(LossChange::Withdrawn)
                } else {
                    None
                }
            }
        }
    }

    /// Returns the time of the check after one that has ended at `now`, or `None` if there is
    /// none. The time since the loss doubles from one check to the next.
    #[must_use]
    pub fn next_check(&self, now: Time) -> Option<Time> {
        let next = now + now.since(self.at).max(self.options.check_interval);
        let is_due = !self.is_settled && next.since(self.at) <= self.options.watch_time;
        is_due.then_some(next)
    }
}

/// Evidence of whether a process lives on whose answer has ended together with its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerEnd {
    /// The time since then.
    pub age: Duration,
    /// The time that the request had left then.
    pub left: Duration,
    /// Whether the process leaves, so that its end is near.
    pub is_leaving: bool,
    /// The number of other connections from before that are still open.
    pub open: usize,
    /// The number of other connections that have ended at about the same time.
    pub ended: usize,
}

/// Whether such an answer is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completeness {
    /// It is complete.
    Complete,
    /// It isn't, or that can't be told.
    BrokenOff,
    /// The process must be asked again after this time.
    AskAgain(Duration),
}

/// The time for which a process that has closed all its connections may answer before it ends.
const CLOSING_TIME: Duration = Duration::from_secs(2);

/// The longest wait for a sign of life.
const LIFE_SIGN_TIME: Duration = Duration::from_millis(1_500);

/// The time between two checks while an answer is held.
const HOLD_INTERVAL: Duration = Duration::from_millis(250);

impl AnswerEnd {
    /// The time in which a process that ends closes all its connections. Checks begin afterwards.
    pub const CLOSING_SPREAD: Duration = Duration::from_millis(20);

    /// The longest time for which a check may take.
    pub const CHECK_TIME: Duration = LIFE_SIGN_TIME;

    /// Returns whether the answer is complete after a check that has shown `sign`.
    ///
    /// A process that closes the connection of one complete answer keeps the others open. One
    /// that has closed several, or leaves, may be ending, and is asked until that would be over. The
    /// single answer of one that leaves is held for at most half of the time that the request had
    /// left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_fleet::loss::AnswerEnd;
    /// use limpetsaddle_fleet::loss::Completeness;
    /// use limpetsaddle_fleet::loss::LifeSign;
    ///
    /// let end = AnswerEnd {
    ///     age: Duration::from_millis(25),
    ///     left: Duration::from_secs(4),
    ///     is_leaving: false,
    ///     open: 0,
    ///     ended: 0,
    /// };
    /// assert_eq!(end.judge(LifeSign::Answered), Completeness::Complete);
    /// assert_eq!(end.judge(LifeSign::Missing), Completeness::BrokenOff);
    /// let end = AnswerEnd { ended: 4, ..end };
    /// assert!(matches!(end.judge(LifeSign::Answered), Completeness::AskAgain(_)));
    /// ```
    #[must_use]
    pub fn judge(&self, sign: LifeSign) -> Completeness {
        let may_be_ending = self.open == 0 && (self.is_leaving || self.ended > 0);
        let hold_time = if self.ended > 0 {
            CLOSING_TIME
        } else {
            CLOSING_TIME.min(self.left / 2)
        };
        match sign {
            LifeSign::Ended | LifeSign::Missing => Completeness::BrokenOff,
            LifeSign::Continued => Completeness::Complete,
            LifeSign::Answered if !may_be_ending || self.age >= hold_time => Completeness::Complete,
            LifeSign::Answered => {
                let pause = hold_time.saturating_sub(self.age);
                Completeness::AskAgain(pause.min(HOLD_INTERVAL))
            }
        }
    }
}
