//! Choice of an upstream, with a wait in the queue where all are full.

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

/// The wait that a caller is told where no upstream is there at all.
const NO_UPSTREAM_WAIT: std::time::Duration = std::time::Duration::from_secs(1);

/// Finds an upstream, waiting in the queue while all are full.
///
/// A request without a team, on an open route, does not wait.
///
/// # Errors
///
/// Refuses the request when no upstream can take it or the queue is full.
pub async fn place(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    wanted: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let now = instance.now();
    let random = instance.random.draw();
    let placed = {
        let mut board = instance.board.borrow_mut();
        // Whoever waits already goes first.
        match team {
            Some(_) if !board.queue.is_empty() => Err(PlacementError::AllFull),
            _ => board.place(wanted, now, random),
        }
    };
    match placed {
        Ok(placement) => Ok(placement),
        Err(PlacementError::AllFull) => wait(instance, team, wanted).await,
        Err(unplaced @ PlacementError::NoUpstream) => {
            Err(unplaced.refusal().retry_after(NO_UPSTREAM_WAIT))
        }
    }
}

async fn wait(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    wanted: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let turn = enqueue(instance, team, wanted)?;
    instance.serve_queue();
    // The sender is dropped only when the queue is, at the end of the process.
    turn.await
        .unwrap_or(Err(Refusal::not_run(Reason::Stopping)))
}

fn enqueue(
    instance: &Rc<Instance>,
    team: Option<&TeamName>,
    wanted: &PlacementRequest<'_>,
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
    let cost = wanted.chain.prompt_tokens().max(Tokens(1));
    let queued = QueuedRequest::new(wanted, tx);
    match board.queue.push(team, weight, cost, queued, &policy, now) {
        Ok(PushOutcome::Queued) => Ok(rx),
        Ok(PushOutcome::Evicted(rejected)) => {
            // The displaced request gets its final answer at once.
            let _ = rejected.item.waiter.send(Err(rejected.refusal));
            Ok(rx)
        }
        Err(rejected) => Err(rejected.refusal),
    }
}
