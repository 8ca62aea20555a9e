//! Continuation of a stream at another upstream.

use std::time::Duration;

use futures::FutureExt as _;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_http::Connection;
use log::info;

use super::crashes;
use super::forward::Forwarder;
use super::forward::elapsed_ms;
use super::relay::Origin;
use super::relay::PendingResponse;
use super::relay::Stream;
use super::relay::UpstreamResponse;
use super::unfinished::CutOffCause;

/// Resumes a failed stream at another upstream, if that is permitted.
pub async fn resume(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    failure: Failure,
    origin: Origin,
) -> Option<(Origin, Stream)> {
    forwarder.exclude(&origin.placement);
    crashes::check_after(forwarder, &origin.placement, failure).await;
    drop(origin);
    let instance = forwarder.instance;
    let refusal = match forwarder.step_after(failure) {
        NextStep::Retry | NextStep::RetryLater => {
            instance.metrics.record_retry(failure);
            let reopened = std::pin::pin!(reopen(forwarder.send()));
            let closed = std::pin::pin!(conn.closed());
            match futures::future::select(closed, reopened).await {
                futures::future::Either::Left(_) => Refusal::new(Reason::UpstreamFailed),
                futures::future::Either::Right((Ok(next), _)) => return Some(next),
                futures::future::Either::Right((Err(refusal), _)) => refusal,
            }
        }
        NextStep::GiveUp(refusal) => refusal,
    };
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let after_ms = elapsed_ms(instance, forwarder.accepted.arrived);
    let last_event = forwarder.last_event.borrow().clone().unwrap_or_default();
    info!(
        id, failure = failure.code(), last_event, after_ms,
        reason = refusal.reason.code();
        "stream aborted"
    );
    None
}

/// Waits for another upstream's stream that `pending` opens.
async fn reopen(
    pending: impl Future<Output = Result<PendingResponse, Refusal>>,
) -> Result<(Origin, Stream), Refusal> {
    let pending = pending.await?;
    match pending.response {
        UpstreamResponse::Stream(stream) => Ok((pending.origin, *stream)),
        UpstreamResponse::Buffered(_) => Err(Refusal::new(Reason::UpstreamFailed)),
    }
}

/// Opens a stream at the placed upstream beside a silent one, and returns the stream that
/// goes on.
///
/// The silent upstream keeps the request until the other one responds, or until both have
/// run it for the longest permitted time.
pub async fn replace_silent(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    silent: (Origin, Stream),
    placement: Placement,
) -> Result<(Origin, Stream), CutOffCause> {
    let instance = forwarder.instance;
    let overlap = instance.patience.overlap(forwarder.accepted.route.kind);
    let (mut origin, mut stream) = silent;
    let silent_since = stream.last_event_at;
    let mut reopened = std::pin::pin!(reopen(forwarder.send_first_to(placement)).fuse());
    let mut closed = std::pin::pin!(conn.closed().fuse());
    let failure = {
        let mut speaks = std::pin::pin!(stream.read_event(forwarder).fuse());
        let mut overlap_ends = std::pin::pin!(pause(overlap).fuse());
        futures::select_biased! {
            spoken = speaks => spoken.err().map(|error| error.failure()),
            () = closed => return Err(CutOffCause::CallerClosed),
            next = reopened => match next {
                Ok(next) => {
                    let failure = Failure::TimedOut;
                    origin.in_flight.fail(failure, failure.outcome());
                    return Ok(next);
                }
                Err(_) => None,
            },
            () = overlap_ends => Some(Failure::TimedOut),
        }
    };
    let Some(failure) = failure else {
        // Nothing replaces the engine, so it is waited for unless it has sent something.
        stream.is_awaited = stream.last_event_at == silent_since;
        return Ok((origin, stream));
    };
    if failure == Failure::TimedOut {
        forwarder.give_up_silent(&origin.placement);
    }
    // Closes the connection, so that the engine stops the run.
    drop(stream);
    origin.in_flight.fail(failure, failure.outcome());
    crashes::check_after(forwarder, &origin.placement, failure).await;
    drop(origin);
    futures::select_biased! {
        () = closed => Err(CutOffCause::CallerClosed),
        next = reopened => next.map_err(|_| CutOffCause::Upstream(failure)),
    }
}

/// Waits for `span`, or for ever without one.
async fn pause(span: Option<Duration>) {
    match span {
        Some(span) => monoio::time::sleep(span).await,
        None => std::future::pending().await,
    }
}
