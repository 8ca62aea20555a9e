//! States of one attempt to execute a claimed request.

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

/// A `ClaimOptions` contains the time limits and the maximum number of writes of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimOptions {
    /// The time from the start of an attempt within which it may begin to send.
    ///
    /// Must be far below `done_time_to_live`: a process that was paused until after
    /// a stored response has expired must not send.
    pub send_window: Duration,
    /// The time from the start of an attempt after which it doesn't retry writes, so
    /// that its caller is refused soon while the platform doesn't respond.
    pub claim_window: Duration,
    /// The maximum number of writes of an attempt to obtain its claim.
    pub max_writes: u32,
    /// The time for which the platform keeps a response for replay.
    pub done_time_to_live: Duration,
    /// The time for which the platform keeps the record of a request that has not run.
    pub not_run_time_to_live: Duration,
    /// The retry delay of a refusal while another attempt is in flight.
    pub conflict_retry_after: Duration,
    /// The retry delay of a refusal while the platform is unavailable.
    pub unavailable_retry_after: Duration,
    /// The time for which an instance tries to record the end of an attempt.
    pub settle_window: Duration,
    /// The pause between two writes to record the end of an attempt.
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

/// A `ClaimRequest` identifies a request that needs a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The name of the claim's record.
    pub name: ClaimName,
    /// The digest of the request's method, path and body.
    pub digest: Digest,
    /// The identifier of this attempt.
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
    /// The time for which the platform keeps the record, or `None` for no limit.
    pub time_to_live: Option<Duration>,
}

/// A `ClaimWriteResult` is the result of a [`ClaimWrite`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimWriteResult {
    /// The record was written, with this revision.
    Written(Revision),
    /// The record had another revision. Contains the current record, if it exists.
    Conflict(Option<VersionedClaim>),
    /// The record had this other revision, and this version cannot decode it.
    Unreadable(Revision),
    /// The platform has not executed the write and will not.
    Rejected {
        /// The retry delay that the platform requested.
        retry_after: Option<Duration>,
    },
    /// No response was received: the write may take effect now, later or never.
    Unknown,
}

/// A `ClaimStep` is the next step of an attempt.
#[derive(Debug)]
pub enum ClaimStep {
    /// Execute the write and pass its result to [`PendingClaim::on_write`].
    Write(PendingClaim, ClaimWrite),
    /// The claim is held: the request may be sent.
    Send(HeldClaim),
    /// The attempt has ended without sending the request.
    Finish(AttemptEnd),
}

/// An `AttemptEnd` describes the end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The response to the caller.
    pub response: CallerResponse,
    /// Records the end of the attempt after the response to the caller, if needed.
    pub settlement: Option<Box<Settlement>>,
}

/// A `CallerResponse` determines the response to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerResponse {
    /// The response that this attempt has received from the upstream.
    Forward,
    /// The stored response to an earlier attempt.
    Replay(StoredResponse),
    /// A refusal.
    Refuse(Refusal),
}

impl CallerResponse {
    const fn into_end(self) -> AttemptEnd {
        AttemptEnd {
            response: self,
            settlement: None,
        }
    }
}

/// A `PendingClaim` is an attempt that doesn't hold its claim yet.
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
        let pending = Self {
            request,
            options,
            started: now,
            expected: Revision::ABSENT,
            writes: 1,
            in_doubt: false,
        };
        let write = pending.write();
        (pending, write)
    }

    /// Returns the next step after the result of the last write.
    ///
    /// After an unknown result, the same conditional write is repeated: either it
    /// takes effect, or the conflict returns the record with the attempt that holds
    /// the claim.
    #[must_use]
    pub fn on_write(mut self, result: ClaimWriteResult, now: Time) -> ClaimStep {
        match result {
            ClaimWriteResult::Written(revision) => self.into_held(revision),
            ClaimWriteResult::Conflict(Some(current)) => self.on_conflict(current, now),
            ClaimWriteResult::Conflict(None) => {
                self.expected = Revision::ABSENT;
                self.retry_write(now)
            }
            // Whether the request of that record has run is unknown.
            ClaimWriteResult::Unreadable(_) => {
                ClaimStep::Finish(self.conflict_response().into_end())
            }
            ClaimWriteResult::Rejected { retry_after } => self.fail(retry_after),
            ClaimWriteResult::Unknown => {
                self.in_doubt = true;
                self.retry_write(now)
            }
        }
    }

    fn on_conflict(mut self, current: VersionedClaim, now: Time) -> ClaimStep {
        let VersionedClaim { revision, claim } = current;
        if claim.attempt == self.request.attempt {
            return match claim.state {
                ClaimState::InFlight => self.into_held(revision),
                ClaimState::Done(_) | ClaimState::NotRun => self.fail(None),
            };
        }
        if claim.request != self.request.digest {
            let refusal = Refusal::not_run(Reason::IdempotencyMismatch);
            return ClaimStep::Finish(CallerResponse::Refuse(refusal).into_end());
        }
        match claim.state {
            ClaimState::InFlight => ClaimStep::Finish(self.conflict_response().into_end()),
            ClaimState::Done(response) => ClaimStep::Finish(replay(response).into_end()),
            ClaimState::NotRun => {
                self.expected = revision;
                self.retry_write(now)
            }
        }
    }

    fn conflict_response(&self) -> CallerResponse {
        let refusal = Refusal::unknown(Reason::IdempotencyConflict);
        CallerResponse::Refuse(refusal.retry_after(self.options.conflict_retry_after))
    }

    fn into_held(self, revision: Revision) -> ClaimStep {
        ClaimStep::Send(HeldClaim {
            request: self.request,
            options: self.options,
            started: self.started,
            revision,
        })
    }

    fn retry_write(mut self, now: Time) -> ClaimStep {
        let late = now.since(self.started) >= self.options.claim_window;
        if late || self.writes >= self.options.max_writes {
            return self.fail(None);
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

    fn fail(self, retry_after: Option<Duration>) -> ClaimStep {
        let delay = retry_after.unwrap_or(self.options.unavailable_retry_after);
        let refusal = Refusal::not_run(Reason::ClaimUnavailable).retry_after(delay);
        // A write with an unknown result may still take effect. No other attempt
        // can tell that this one hasn't sent, so it must record that itself.
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

fn replay(response: StoredResponse) -> CallerResponse {
    match response.body {
        StoredBody::Text(_) => CallerResponse::Replay(response),
        // The body was not stored, and a response must not be replayed without it.
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
    /// Returns the permission to send. Must be called right before the first byte is
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns the end of the attempt if `send_window` has passed.
    pub fn begin(self, now: Time) -> Result<SendPermit, AttemptEnd> {
        if now.since(self.started) >= self.options.send_window {
            return Err(self.abandon(Reason::ClaimUnavailable, now));
        }
        Ok(SendPermit(self))
    }

    /// Returns the end of an attempt that has not sent a byte and never will.
    #[must_use]
    pub fn abandon(self, reason: Reason, now: Time) -> AttemptEnd {
        let refusal = Refusal::not_run(reason);
        let delay = self.options.unavailable_retry_after;
        let refusal = if reason.is_transient() {
            refusal.retry_after(delay)
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

/// A `SendOutcome` is the outcome of sending a request to upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream ran the request and sent this response.
    Responded(StoredResponse),
    /// No upstream has run the request or will run it.
    NotRun(Reason),
    /// An upstream may have run the request.
    Unknown(Reason),
}

/// A `SendPermit` is the permission to send the request of an attempt once.
///
/// It is consumed at the end of the attempt, so that it can't be used twice:
///
/// ```compile_fail,E0382
/// use limpetsaddle_core::claims::SendOutcome;
/// use limpetsaddle_core::claims::SendPermit;
/// use limpetsaddle_core::refusal::Reason;
/// use limpetsaddle_core::units::Time;
///
/// fn send_twice(permit: SendPermit) {
///     let first = permit.finish(SendOutcome::Unknown(Reason::UpstreamFailed), Time::ZERO);
///     let second = permit.finish(SendOutcome::Unknown(Reason::UpstreamFailed), Time::ZERO);
/// }
/// ```
#[derive(Debug)]
pub struct SendPermit(HeldClaim);

impl SendPermit {
    /// Returns the end of the attempt.
    ///
    /// After [`SendOutcome::Unknown`], the record stays in flight, and no attempt
    /// sends the request again until an operator releases the claim.
    #[must_use]
    pub fn finish(self, outcome: SendOutcome, now: Time) -> AttemptEnd {
        match outcome {
            SendOutcome::Responded(response) => {
                let state = ClaimState::Done(response);
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
