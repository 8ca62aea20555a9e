//! The steps of one attempt to carry out a claimed request.

use std::time::Duration;

use super::record::AttemptId;
use super::record::Claim;
use super::record::ClaimName;
use super::record::ClaimState;
use super::record::StoredBody;
use super::record::StoredResponse;
use super::record::VersionedClaim;
use super::settlement::Settlement;
use crate::hash::Digest;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Revision;
use crate::units::Time;

/// A `ClaimOptions` holds the bounds of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimOptions {
    /// The time from the start of an attempt within which it may begin to send.
    ///
    /// It must be far below `done_time_to_live`: a process that was paused for
    /// longer than an outcome is kept must not send.
    pub send_window: Duration,
    /// The time from the start of an attempt after which it repeats no write, so
    /// that its caller is refused soon while the platform is silent.
    pub claim_window: Duration,
    /// The writes that an attempt makes at most to obtain its claim.
    pub max_writes: u32,
    /// The time for which the platform keeps an answer for replay.
    pub done_time_to_live: Duration,
    /// The time for which the platform keeps the record of a request that did not run.
    pub not_run_time_to_live: Duration,
    /// The time after which a caller is told to retry while another attempt runs.
    pub conflict_retry_after: Duration,
    /// The time after which a caller is told to retry while the platform is down.
    pub unavailable_retry_after: Duration,
    /// The time for which an instance goes on trying to record the end of an attempt.
    pub settle_window: Duration,
    /// The pause between two tries to record the end of an attempt.
    pub settle_pause: Duration,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            send_window: Duration::from_secs(10),
            claim_window: Duration::from_secs(3),
            max_writes: 4,
            done_time_to_live: Duration::from_hours(24),
            not_run_time_to_live: Duration::from_hours(1),
            conflict_retry_after: Duration::from_secs(1),
            unavailable_retry_after: Duration::from_secs(2),
            settle_window: Duration::from_mins(10),
            settle_pause: Duration::from_secs(1),
        }
    }
}

/// A `ClaimRequest` is a request that needs a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The name of the claim's record.
    pub name: ClaimName,
    /// The digest of the request's method, path and body.
    pub digest: Digest,
    /// The identity of this attempt.
    pub attempt: AttemptId,
}

/// A `ClaimWrite` is a conditional write of a claim's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// The name of the record.
    pub name: ClaimName,
    /// The revision that the record must have; [`Revision::ABSENT`] creates it.
    pub expected: Revision,
    /// The new value.
    pub claim: Claim,
    /// The time for which the platform keeps the record, or `None` for ever.
    pub time_to_live: Option<Duration>,
}

/// A `ClaimWriteResult` is what became of a [`ClaimWrite`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimWriteResult {
    /// The write took effect under this revision.
    Written(Revision),
    /// The record was at another revision; this is its current state.
    Conflict(Option<VersionedClaim>),
    /// The platform has certainly not carried out the write.
    Rejected {
        /// The time after which the platform asks for a retry.
        retry_after: Option<Duration>,
    },
    /// The answer was lost: the write may take effect now, later or never.
    Unknown,
}

/// A `ClaimStep` is what an attempt does next.
#[derive(Debug)]
pub enum ClaimStep {
    /// Carry out the write and hand its answer to [`PendingClaim::on_write`].
    Write(PendingClaim, ClaimWrite),
    /// The claim is held: the request may be sent.
    Send(HeldClaim),
    /// The attempt has ended without sending.
    Finish(AttemptEnd),
}

/// A `AttemptEnd` is the end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// What the caller gets.
    pub response: CallerResponse,
    /// What has still to be recorded, after the caller has its answer.
    pub settlement: Option<Box<Settlement>>,
}

/// A `CallerResponse` is what the caller of an attempt gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerResponse {
    /// The answer that the upstream has just given to this attempt.
    Forward,
    /// The stored answer to an earlier attempt.
    Replay(StoredResponse),
    /// A refusal.
    Refuse(Refusal),
}

impl CallerResponse {
    const fn end(self) -> AttemptEnd {
        AttemptEnd {
            response: self,
            settlement: None,
        }
    }
}

/// A `PendingClaim` is an attempt that does not hold its claim yet.
#[derive(Debug)]
pub struct PendingClaim {
    request: ClaimRequest,
    options: ClaimOptions,
    started: Time,
    expected: Revision,
    writes: u32,
    in_doubt: bool,
}

impl PendingClaim {
    /// Returns a new attempt and its first write.
    #[must_use]
    pub fn start(request: ClaimRequest, options: ClaimOptions, now: Time) -> (Self, ClaimWrite) {
        let claiming = Self {
            request,
            options,
            started: now,
            expected: Revision::ABSENT,
            writes: 1,
            in_doubt: false,
        };
        let write = claiming.write();
        (claiming, write)
    }

    /// Returns the next step after the answer to the last write.
    ///
    /// A lost answer is resolved by repeating the same conditional write: either
    /// it takes effect, or the conflict shows the record and with it the attempt
    /// that holds the claim.
    #[must_use]
    pub fn on_write(mut self, answer: ClaimWriteResult, now: Time) -> ClaimStep {
        match answer {
            ClaimWriteResult::Written(revision) => self.hold(revision),
            ClaimWriteResult::Conflict(Some(current)) => self.on_conflict(current, now),
            ClaimWriteResult::Conflict(None) => {
                self.expected = Revision::ABSENT;
                self.write_again(now)
            }
            ClaimWriteResult::Rejected { retry_after } => self.give_up(retry_after),
            ClaimWriteResult::Unknown => {
                self.in_doubt = true;
                self.write_again(now)
            }
        }
    }

    fn on_conflict(mut self, current: VersionedClaim, now: Time) -> ClaimStep {
        let VersionedClaim { revision, claim } = current;
        if claim.attempt == self.request.attempt {
            return match claim.state {
                ClaimState::InFlight => self.hold(revision),
                ClaimState::Done(_) | ClaimState::NotRun => self.give_up(None),
            };
        }
        if claim.request != self.request.digest {
            let refusal = Refusal::not_run(Reason::IdempotencyMismatch);
            return ClaimStep::Finish(CallerResponse::Refuse(refusal).end());
        }
        match claim.state {
            ClaimState::InFlight => ClaimStep::Finish(self.conflict().end()),
            ClaimState::Done(outcome) => ClaimStep::Finish(replay(outcome).end()),
            ClaimState::NotRun => {
                self.expected = revision;
                self.write_again(now)
            }
        }
    }

    fn conflict(&self) -> CallerResponse {
        let refusal = Refusal::unknown(Reason::IdempotencyConflict);
        CallerResponse::Refuse(refusal.retry_after(self.options.conflict_retry_after))
    }

    fn hold(self, revision: Revision) -> ClaimStep {
        ClaimStep::Send(HeldClaim {
            request: self.request,
            options: self.options,
            started: self.started,
            revision,
        })
    }

    fn write_again(mut self, now: Time) -> ClaimStep {
        let late = now.since(self.started) >= self.options.claim_window;
        if late || self.writes >= self.options.max_writes {
            return self.give_up(None);
        }
        self.writes += 1;
        let write = self.write();
        ClaimStep::Write(self, write)
    }

    fn write(&self) -> ClaimWrite {
        ClaimWrite {
            name: self.request.name,
            expected: self.expected,
            claim: self.request.claim(ClaimState::InFlight),
            time_to_live: None,
        }
    }

    fn give_up(self, retry_after: Option<Duration>) -> ClaimStep {
        let span = retry_after.unwrap_or(self.options.unavailable_retry_after);
        let refusal = Refusal::not_run(Reason::ClaimUnavailable).retry_after(span);
        // A write whose answer was lost may still take effect. Nobody else can
        // tell that this attempt has not sent, so it has to record that itself.
        let settlement = self.in_doubt.then(|| {
            Box::new(Settlement::new(
                self.request,
                self.options,
                self.expected,
                ClaimState::NotRun,
                self.started,
            ))
        });
        ClaimStep::Finish(AttemptEnd {
            response: CallerResponse::Refuse(refusal),
            settlement,
        })
    }
}

fn replay(outcome: StoredResponse) -> CallerResponse {
    match outcome.body {
        StoredBody::Text(_) => CallerResponse::Replay(outcome),
        // The answer cannot be repeated in full and must not be cut short.
        StoredBody::Omitted { .. } => {
            CallerResponse::Refuse(Refusal::unknown(Reason::IdempotencyConflict))
        }
    }
}

impl ClaimRequest {
    pub(super) const fn claim(&self, state: ClaimState) -> Claim {
        Claim {
            attempt: self.attempt,
            request: self.digest,
            state,
        }
    }
}

/// A `HeldClaim` is an attempt that holds its claim and has not sent a byte.
#[derive(Debug)]
pub struct HeldClaim {
    request: ClaimRequest,
    options: ClaimOptions,
    started: Time,
    revision: Revision,
}

impl HeldClaim {
    /// Returns the permission to send, to be asked for right before the first byte.
    ///
    /// # Errors
    ///
    /// Returns the end of the attempt when the window for sending has passed.
    pub fn begin(self, now: Time) -> Result<Sending, AttemptEnd> {
        if now.since(self.started) >= self.options.send_window {
            return Err(self.abandon(Reason::ClaimUnavailable, now));
        }
        Ok(Sending(self))
    }

    /// Returns the end of an attempt that gives up before its first byte.
    #[must_use]
    pub fn abandon(self, reason: Reason, now: Time) -> AttemptEnd {
        let refusal = Refusal::not_run(reason);
        let span = self.options.unavailable_retry_after;
        let refusal = if reason.is_transient() {
            refusal.retry_after(span)
        } else {
            refusal
        };
        self.end(
            CallerResponse::Refuse(refusal),
            Some(ClaimState::NotRun),
            now,
        )
    }

    fn end(self, response: CallerResponse, state: Option<ClaimState>, now: Time) -> AttemptEnd {
        let settlement = state.map(|state| {
            Box::new(Settlement::new(
                self.request,
                self.options,
                self.revision,
                state,
                now,
            ))
        });
        AttemptEnd {
            response,
            settlement,
        }
    }
}

/// A `SendOutcome` is what became of a request that was sent to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream ran the request and gave this answer.
    Responded(StoredResponse),
    /// No upstream has run the request, and none will.
    NotRun(Reason),
    /// An upstream may have run the request.
    Unknown(Reason),
}

/// A `Sending` is the permission to send the request of one attempt once.
///
/// The end of the attempt consumes it, so that it cannot be used a second time:
///
/// ```compile_fail,E0382
/// use limpetsaddle_core::claims::SendOutcome;
/// use limpetsaddle_core::claims::Sending;
/// use limpetsaddle_core::refusal::Reason;
/// use limpetsaddle_core::units::Time;
///
/// fn send_twice(sending: Sending) {
///     let first = sending.finish(SendOutcome::Unknown(Reason::UpstreamFailed), Time::ZERO);
///     let second = sending.finish(SendOutcome::Unknown(Reason::UpstreamFailed), Time::ZERO);
/// }
/// ```
#[derive(Debug)]
pub struct Sending(HeldClaim);

impl Sending {
    /// Returns the end of the attempt.
    ///
    /// After [`SendOutcome::Unknown`] the record stays in flight: no later
    /// attempt sends the request, until an operator settles the claim.
    #[must_use]
    pub fn finish(self, outcome: SendOutcome, now: Time) -> AttemptEnd {
        match outcome {
            SendOutcome::Responded(outcome) => {
                let state = ClaimState::Done(outcome);
                self.0.end(CallerResponse::Forward, Some(state), now)
            }
            SendOutcome::NotRun(reason) => self.0.abandon(reason, now),
            SendOutcome::Unknown(reason) => {
                let response = CallerResponse::Refuse(Refusal::unknown(reason));
                self.0.end(response, None, now)
            }
        }
    }
}
