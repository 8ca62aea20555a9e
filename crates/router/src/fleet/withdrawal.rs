//! Withdrawal of requests that wait at engines whose weights become too old, or that are withheld
//! meanwhile.

use std::cell::Cell;

use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::begin_limit::Waiting;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_fleet::runs::RunId;

use super::forward::Forwarder;
use super::relay;
use super::relay::AttemptOutcome;
use crate::clock::millis;

/// Sends a request as [`relay::send_attempt`] does, and closes the connection if the upstream
/// has not begun the request when it may no longer begin it.
pub async fn send_attempt(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    run: RunId,
) -> AttemptOutcome {
    let has_begun = Cell::new(false);
    let sent = std::pin::pin!(relay::send_attempt(forwarder, placement, run, &has_begun));
    let withdrawn = std::pin::pin!(until_withdrawn(forwarder, placement));
    match futures::future::select(sent, withdrawn).await {
        futures::future::Either::Left((outcome, _)) => outcome,
        futures::future::Either::Right((_, sent)) if has_begun.get() => sent.await,
        futures::future::Either::Right(((failure, cause), _)) => AttemptOutcome::Failed {
            failure,
            cause,
            response: None,
        },
    }
}

/// Waits until the upstream may no longer begin a request, and returns the cause for the log.
async fn until_withdrawn(forwarder: &Forwarder<'_>, placement: &Placement) -> (Failure, String) {
    loop {
        match forwarder.check_begin(placement) {
            Waiting::Keep(span) => monoio::time::sleep(span).await,
            Waiting::Withdraw => return cause(forwarder, placement),
        }
    }
}

fn cause(forwarder: &Forwarder<'_>, placement: &Placement) -> (Failure, String) {
    if let Some(subject) = forwarder.withheld_subject() {
        let failure = match subject {
            Subject::Part(_) => Failure::WithheldPart,
            Subject::Request(_) => Failure::WithheldRequest,
        };
        return (failure, format!("{} {subject} is withheld", subject.kind()));
    }
    let outdated = forwarder.outdated(placement.weights);
    let cause = outdated.map_or_else(String::new, |outdated| {
        let newer = outdated.newer;
        let age_ms = millis(outdated.age);
        format!("not begun {age_ms} ms after version {newer} was set")
    });
    (Failure::OutdatedWeights, cause)
}
