//! Selection of an upstream, with a queue for when all are full.

use std::rc::Rc;

use futures::channel::oneshot;
use limpetsaddle_core::blackboard::Placement;
use limpetsaddle_core::blackboard::PlacementRequest;
use limpetsaddle_core::blackboard::QueuedRequest;
use limpetsaddle_core::fair_queue::PushOutcome;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::placement::PlacementError;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::units::Tokens;

use crate::instance::Instance;

/// The time after which a caller may retry if no upstream is available.
const NO_UPSTREAM_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Selects an upstream, waiting in the queue while all are full.
///
/// A request on an open route has no team and is not queued.
///
/// # Errors
///
/// Returns a refusal if no upstream is available or the queue is full.
pub async fn place(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    request: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let now = instance.now();
    let random = instance.random.draw();
    let placed = {
        let mut board = instance.board.borrow_mut();
        // Queued requests go first.
        match team {
            Some(_) if !board.queue.is_empty() => Err(PlacementError::AllFull),
            _ => board.place(request, now, random),
        }
    };
    match placed {
        Ok(placement) => Ok(placement),
        Err(PlacementError::AllFull) => wait(instance, team, request).await,
        Err(error @ PlacementError::NoUpstream) => {
            Err(error.refusal().retry_after(NO_UPSTREAM_RETRY_AFTER))
        }
    }
}

async fn wait(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    request: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let placed = enqueue(instance, team, request)?;
    instance.serve_queue();
    // The sender is dropped only with the queue, when the process ends.
    placed
        .await
        .unwrap_or(Err(Refusal::not_run(Reason::Stopping)))
}

fn enqueue(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    request: &PlacementRequest<'_>,
) -> Result<oneshot::Receiver<Result<Placement, Refusal>>, Refusal> {
    let now = instance.now();
    let (tx, rx) = oneshot::channel();
    let mut board = instance.board.borrow_mut();
    let policy = board.policy().clone();
    let Some(team) = team else {
        return Err(PlacementError::AllFull
            .refusal()
            .retry_after(policy.max_wait));
    };
    let weight = board.store.team(team).map_or(1, |t| t.weight);
    let cost = request.chain.prompt_tokens().max(Tokens(1));
    let queued = QueuedRequest::new(request, tx);
    match board.queue.push(team, weight, cost, queued, &policy, now) {
        Ok(PushOutcome::Queued) => Ok(rx),
        Ok(PushOutcome::Evicted(rejected)) => {
            // The evicted request is refused at once.
            let _ = rejected.item.waiter.send(Err(rejected.refusal));
            Ok(rx)
        }
        Err(rejected) => Err(rejected.refusal),
    }
}
