//! Recording of the end of an attempt after the response to the caller.

use std::time::Duration;

use super::attempt::ClaimOptions;
use super::attempt::ClaimRequest;
use super::attempt::ClaimWrite;
use super::attempt::ClaimWriteResult;
use super::record::ClaimState;
use crate::units::Revision;
use crate::units::Time;

/// A `Settlement` records the end of an attempt, retrying through platform outages.
///
/// If it is lost, the record stays in flight and later attempts are refused: this
/// reduces availability, but a request still runs at most once.
#[derive(Debug)]
pub struct Settlement {
    request: ClaimRequest,
    options: ClaimOptions,
    expected: Revision,
    state: ClaimState,
    started: Time,
}

/// A `SettleStep` is the next step of a settlement.
#[derive(Debug)]
pub enum SettleStep {
    /// The end is recorded, or another attempt owns the record now.
    Settled,
    /// Wait for the duration, then execute [`Settlement::write`] again.
    Retry(Box<Settlement>, Duration),
    /// The end could not be recorded in time, or over the record of another writer.
    GaveUp,
}

impl Settlement {
    pub(super) const fn new(
        request: ClaimRequest,
        options: ClaimOptions,
        expected: Revision,
        state: ClaimState,
        started: Time,
    ) -> Self {
        Self {
            request,
            options,
            expected,
            state,
            started,
        }
    }

    /// Returns the write to execute.
    #[must_use]
    pub fn write(&self) -> ClaimWrite {
        let time_to_live = match self.state {
            ClaimState::Done(_) => Some(self.options.done_time_to_live),
            ClaimState::NotRun => Some(self.options.not_run_time_to_live),
            ClaimState::InFlight => None,
        };
        ClaimWrite {
            name: self.request.name,
            expected: self.expected,
            claim: self.request.claim(self.state.clone()),
            time_to_live,
        }
    }

    /// Returns the next step after the result of the write.
    #[must_use]
    pub fn on_write(mut self, result: ClaimWriteResult, now: Time) -> SettleStep {
        match result {
            ClaimWriteResult::Written(_) | ClaimWriteResult::Conflict(None) => SettleStep::Settled,
            ClaimWriteResult::Unreadable(_) => SettleStep::GaveUp,
            ClaimWriteResult::Conflict(Some(current)) => {
                let own = current.claim.attempt == self.request.attempt;
                if !own || current.claim.state != ClaimState::InFlight {
                    return SettleStep::Settled;
                }
                self.expected = current.revision;
                self.retry(Duration::ZERO, now)
            }
            ClaimWriteResult::Rejected { retry_after } => {
                let delay = retry_after.unwrap_or_default();
                let pause = delay.max(self.options.settle_pause);
                self.retry(pause, now)
            }
            ClaimWriteResult::Unknown => {
                let pause = self.options.settle_pause;
                self.retry(pause, now)
            }
        }
    }

    fn retry(self, pause: Duration, now: Time) -> SettleStep {
        if now.since(self.started) >= self.options.settle_window {
            return SettleStep::GaveUp;
        }
        SettleStep::Retry(Box::new(self), pause)
    }
}
