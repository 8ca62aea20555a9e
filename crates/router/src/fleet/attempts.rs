//! Attempts of one request at upstreams, of which two may run at the same time.

use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use http::Response;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::weights::Outdated;
use log::info;

use super::canary;
use super::crashes;
use super::first_events;
use super::forward::Forwarder;
use super::forward::elapsed_ms;
use super::in_flight::InFlightGuard;
use super::outage;
use super::relay;
use super::relay::AttemptOutcome;
use super::relay::Origin;
use super::relay::PendingResponse;
use super::withdrawal;
use crate::clock::millis;

/// The time beyond twice the expected latency from which on a timeout counts for an
/// upstream's health.
const HEALTH_SLACK: Duration = Duration::from_secs(1);

/// An attempt whose upstream has not responded yet.
struct RunningAttempt<'a> {
    placement: Placement,
    in_flight: InFlightGuard,
    /// The time from which on the upstream counts as silent, if another one may run the
    /// request.
    silent_at: Option<Time>,
    /// For how long the upstream's weights were outdated when the request was sent.
    outdated: Option<Outdated>,
    outcome: LocalBoxFuture<'a, AttemptOutcome>,
}

/// The attempt at a silent upstream, beside which another one is running.
struct SilentAttempt<'a> {
    attempt: RunningAttempt<'a>,
    /// The end of the time in which both attempts may run.
    overlap_end: Option<Time>,
}

/// What happened first while attempts were running.
enum Progress {
    /// The latest attempt has ended.
    Ended(AttemptOutcome),
    /// The attempt at the silent upstream has ended.
    SilentEnded(AttemptOutcome),
    /// The upstream of the latest attempt has become silent.
    Silent,
    /// The attempts at two upstreams have overlapped for the longest permitted time.
    OverlapEnded,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

impl<'a> Forwarder<'a> {
    /// Sends the request to upstreams until one responds.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream responds and none may be attempted
    /// any more.
    pub async fn send(&'a self) -> Result<PendingResponse, Refusal> {
        self.send_first_to(outage::place_or_wait(self).await?).await
    }

    /// Sends the request to the placed upstream, and to others as long as none
    /// responds.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`send`](Self::send).
    pub async fn send_first_to(&'a self, placement: Placement) -> Result<PendingResponse, Refusal> {
        let mut latest = self.start(placement);
        let mut silent: Option<SilentAttempt<'a>> = None;
        loop {
            match self.progress(&mut latest, silent.as_mut()).await {
                Progress::Ended(AttemptOutcome::Responded(response)) => {
                    return Ok(self.respond(latest, response));
                }
                Progress::Ended(AttemptOutcome::Failed {
                    failure,
                    cause,
                    response,
                }) => {
                    self.record_end(&mut latest, failure, &cause);
                    crashes::check_after(self, &latest.placement, failure).await;
                    let next = self.next_attempt(failure, silent.is_some()).await;
                    latest = match (next, silent.take()) {
                        (Ok(placement), held) => {
                            silent = held;
                            self.start(placement)
                        }
                        (Err(_), Some(held)) => held.attempt,
                        // After the last attempt, the upstream's error response is
                        // relayed.
                        (Err(refusal), None) => {
                            let response = response.ok_or(refusal)?;
                            return Ok(self.relay_error(latest, response));
                        }
                    };
                }
                Progress::SilentEnded(outcome) => {
                    let Some(mut held) = silent.take() else {
                        continue;
                    };
                    match outcome {
                        AttemptOutcome::Responded(response) => {
                            return Ok(self.respond(held.attempt, response));
                        }
                        AttemptOutcome::Failed { failure, cause, .. } => {
                            self.record_end(&mut held.attempt, failure, &cause);
                            crashes::check_after(self, &held.attempt.placement, failure).await;
                        }
                    }
                }
                Progress::Silent => {
                    latest.silent_at = None;
                    if let Some(placement) = self.place_beside(&latest.placement) {
                        let next = self.start(placement);
                        silent = Some(self.hold(std::mem::replace(&mut latest, next)));
                    }
                }
                Progress::OverlapEnded => {
                    if let Some(mut held) = silent.take() {
                        let cause = "another upstream runs the request";
                        self.record_end(&mut held.attempt, Failure::TimedOut, cause);
                        self.give_up_silent(&held.attempt.placement);
                    }
                }
                Progress::DeadlineExceeded => {
                    let waited = self.instance.now().since(self.accepted.arrived);
                    let cause = format!("no response within {} ms", waited.as_millis());
                    self.record_end(&mut latest, Failure::TimedOut, &cause);
                    return Err(self.refusal_after(Failure::TimedOut));
                }
            }
        }
    }

    /// Starts an attempt at an upstream.
    fn start(&'a self, placement: Placement) -> RunningAttempt<'a> {
        let request_load = self.request_load(&placement);
        let run = self.start_run(&placement);
        canary::begin_connecting(self, &placement, run);
        let in_flight = InFlightGuard::new(self.instance, &placement, request_load, run);
        if self.sent.get() == 0 {
            self.instance.count_request(&self.service);
        }
        self.sent.set(self.sent.get() + 1);
        let now = self.instance.now();
        let remaining = self.accepted.deadline.since(now);
        let kind = self.accepted.route.kind;
        let expected = placement.expected_latency;
        let patience = self.instance.patience;
        let until_silent = patience.until_response(kind, expected, remaining);
        let sent_to = placement.clone();
        RunningAttempt {
            in_flight,
            silent_at: until_silent.map(|span| now + span),
            outdated: self.outdated(placement.weights),
            outcome: async move { withdrawal::send_attempt(self, &sent_to, run).await }
                .boxed_local(),
            placement,
        }
    }

    /// Waits until something happens to the running attempts.
    async fn progress(
        &self,
        latest: &mut RunningAttempt<'a>,
        silent: Option<&mut SilentAttempt<'a>>,
    ) -> Progress {
        let now = self.instance.now();
        let at = |time: Option<Time>| async move {
            match time {
                Some(time) => monoio::time::sleep(time.since(now)).await,
                None => std::future::pending().await,
            }
        };
        let silent_at = latest.silent_at.filter(|_| silent.is_none());
        let overlap_end = silent.as_ref().and_then(|held| held.overlap_end);
        let mut ended = (&mut latest.outcome).fuse();
        let mut silent_ended = std::pin::pin!(
            async move {
                match silent {
                    Some(held) => (&mut held.attempt.outcome).await,
                    None => std::future::pending().await,
                }
            }
            .fuse()
        );
        let mut becomes_silent = std::pin::pin!(at(silent_at).fuse());
        let mut overlap_ends = std::pin::pin!(at(overlap_end).fuse());
        let mut deadline = std::pin::pin!(at(Some(self.accepted.deadline)).fuse());
        futures::select_biased! {
            outcome = silent_ended => Progress::SilentEnded(outcome),
            outcome = ended => Progress::Ended(outcome),
            () = deadline => Progress::DeadlineExceeded,
            () = overlap_ends => Progress::OverlapEnded,
            () = becomes_silent => Progress::Silent,
        }
    }

    /// Returns the upstream for the next attempt after a failed one. Only a request that
    /// runs nowhere waits for an upstream that rests.
    async fn next_attempt(&self, failure: Failure, is_running: bool) -> Result<Placement, Refusal> {
        match self.step_after(failure) {
            NextStep::RetryLater if is_running => Err(Refusal::new(Reason::UpstreamFailed)),
            NextStep::Retry | NextStep::RetryLater => {
                self.instance.metrics.record_retry(failure);
                if is_running {
                    self.place()
                } else {
                    outage::place_or_wait(self).await
                }
            }
            NextStep::GiveUp(refusal) => Err(outage::with_rest(self, refusal)),
        }
    }

    /// Records a failed attempt in the request's budget, and returns the next step.
    pub fn step_after(&self, failure: Failure) -> NextStep {
        let instance = self.instance;
        if failure == Failure::ConnectionLost {
            self.has_lost_upstream.set(true);
        }
        let permits_repeat = self.permits_repeat();
        let mut attempts = self.attempts.get();
        let step = attempts.record_failure(failure, instance.now(), || {
            permits_repeat && instance.withdraw_retry(&self.service)
        });
        self.attempts.set(attempts);
        match step {
            NextStep::RetryLater if !permits_repeat => {
                NextStep::GiveUp(Refusal::new(Reason::UpstreamFailed))
            }
            NextStep::Retry | NextStep::RetryLater | NextStep::GiveUp(_) => {
                self.owes_retry.set(step == NextStep::RetryLater);
                step
            }
        }
    }

    /// Returns whether the request may be sent to another upstream, as far as one that it was
    /// sent to may have ended because of it.
    pub fn permits_repeat(&self) -> bool {
        if self.is_trial.get() {
            return self.sent.get() == 0;
        }
        if !self.has_lost_upstream.get() {
            return true;
        }
        let parts = self.accepted.parts.as_deref().unwrap_or_default();
        let quarantine = self.instance.quarantine.borrow();
        quarantine.permits_repeat(self.accepted.key, parts, self.instance.now())
    }

    /// Returns the refusal after the last attempt.
    fn refusal_after(&self, failure: Failure) -> Refusal {
        let mut attempts = self.attempts.get();
        let step = attempts.record_failure(failure, self.instance.now(), || false);
        self.attempts.set(attempts);
        match step {
            NextStep::GiveUp(refusal) => refusal,
            NextStep::Retry | NextStep::RetryLater => {
                attempts.give_up(Reason::DeadlineExceeded, Duration::ZERO)
            }
        }
    }

    /// Returns another upstream that may run the request beside a silent one.
    pub fn place_beside(&self, silent: &Placement) -> Option<Placement> {
        let instance = self.instance;
        self.exclude(silent);
        let placement = self.place().ok()?;
        let mut attempts = self.attempts.get();
        let permitted =
            attempts.record_silence(instance.now(), || instance.withdraw_retry(&self.service));
        self.attempts.set(attempts);
        if !permitted {
            return None;
        }
        instance.metrics.record_retry(Failure::TimedOut);
        let id = self.accepted.fields.id.as_deref().unwrap_or_default();
        let after_ms = elapsed_ms(instance, self.accepted.arrived);
        info!(
            id, after_ms,
            upstream:display = silent.upstream,
            next:display = placement.upstream;
            "upstream silent; trying another"
        );
        Some(placement)
    }

    fn hold(&self, attempt: RunningAttempt<'a>) -> SilentAttempt<'a> {
        let overlap = self.instance.patience.overlap(self.accepted.route.kind);
        SilentAttempt {
            attempt,
            overlap_end: overlap.map(|span| self.instance.now() + span),
        }
    }

    /// Returns the error response of the last attempt's upstream.
    fn relay_error(
        &self,
        attempt: RunningAttempt<'a>,
        response: Response<Bytes>,
    ) -> PendingResponse {
        PendingResponse {
            origin: Origin {
                in_flight: InFlightGuard::none(self.instance),
                placement: attempt.placement,
            },
            response: relay::UpstreamResponse::Buffered(response),
        }
    }

    /// Records the end of an attempt that failed.
    fn record_end(&self, attempt: &mut RunningAttempt<'a>, failure: Failure, cause: &str) {
        let outcome = self.health_outcome(failure, attempt);
        attempt.in_flight.fail(failure, outcome);
        self.record_failure(failure, cause, &attempt.placement);
    }

    /// Returns the outcome for the upstream's health. A timeout is ignored if the
    /// request's own deadline was too short.
    fn health_outcome(
        &self,
        failure: Failure,
        attempt: &RunningAttempt<'a>,
    ) -> Option<RequestOutcome> {
        let now = self.instance.now();
        let waited = now.since(self.accepted.arrived);
        let expected = attempt.placement.expected_latency * 2 + HEALTH_SLACK;
        let ran_out_of_time = now >= self.accepted.deadline;
        if failure == Failure::TimedOut && ran_out_of_time && waited < expected {
            return None;
        }
        failure.outcome()
    }

    fn record_failure(&self, failure: Failure, cause: &str, placement: &Placement) {
        let upstream = &placement.upstream;
        if failure == Failure::Rejected {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.record_rejection(upstream, now);
        }
        if !self.has_changed_weights(failure, placement) {
            self.exclude(placement);
        }
        let id = self.accepted.fields.id.as_deref().unwrap_or_default();
        let after = self.instance.now().since(self.accepted.arrived);
        info!(
            id, upstream:display,
            key:display = self.accepted.key,
            failure = failure.code(),
            cause,
            weights = placement.weights.unwrap_or_default(),
            sent = self.sent(),
            after_ms = millis(after),
            expected_ms = millis(placement.expected_latency);
            "attempt failed"
        );
    }

    /// Returns whether an engine has rejected the request because it now has
    /// other weights, with which it can be attempted again.
    fn has_changed_weights(&self, failure: Failure, placement: &Placement) -> bool {
        if failure != Failure::Misdirected {
            return false;
        }
        let model = self.prompt().and_then(|p| p.model.as_deref());
        let upstreams = self.instance.upstreams.borrow();
        let row = upstreams.get(&placement.upstream);
        let weights = row.zip(model).and_then(|(row, model)| row.weights(model));
        weights != placement.weights
    }

    /// Ends an attempt with the upstream's response.
    fn respond(
        &self,
        mut attempt: RunningAttempt<'a>,
        response: relay::UpstreamResponse,
    ) -> PendingResponse {
        attempt.in_flight.record_first_event(&attempt.placement);
        attempt.in_flight.record_response(response.is_success());
        self.waits.take();
        first_events::record(self, &attempt.placement, attempt.outdated, &response);
        if let relay::UpstreamResponse::Buffered(res) = &response {
            attempt.in_flight.complete(if res.status().is_success() {
                RequestOutcome::Responded
            } else {
                RequestOutcome::UpstreamError
            });
        }
        PendingResponse {
            origin: Origin {
                in_flight: attempt.in_flight,
                placement: attempt.placement,
            },
            response,
        }
    }
}
