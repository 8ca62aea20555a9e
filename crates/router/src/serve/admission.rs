//! Admission of requests by their team's rate and burst.

use std::rc::Rc;

use limpetsaddle_core::limits::OutgoingRequest;
use limpetsaddle_core::limits::Reservation;
use limpetsaddle_core::limits::ReserveResult;
use limpetsaddle_core::limits::Round;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::units::Tokens;

use crate::instance::Instance;
use crate::metrics::Event;

/// Reserves `amount` tokens of a team, gathering them from other instances
/// where this one has too few.
///
/// # Errors
///
/// Refuses the request when the team's tokens do not suffice.
pub async fn reserve(
    instance: &Rc<Instance>,
    team: &TeamName,
    amount: Tokens,
) -> Result<Reservation, Refusal> {
    let mut round = Round::Local;
    loop {
        let now = instance.now();
        let outcome = instance
            .board
            .borrow_mut()
            .ledger
            .reserve(team, amount, round, now);
        match outcome {
            ReserveResult::Admitted(reservation) => return Ok(reservation),
            ReserveResult::Refused(refusal) => return Err(refusal),
            ReserveResult::NeedsGrants(asks) => gather(instance, asks).await,
        }
        round = round.next();
    }
}

/// Sends the requests for tokens at the same time and takes in the replies.
async fn gather(instance: &Rc<Instance>, asks: Vec<OutgoingRequest>) {
    let calls = asks.into_iter().map(|ask| send(instance, ask));
    futures::future::join_all(calls).await;
}

/// Sends one message about tokens and takes in the reply.
///
/// A lost message costs its tokens until they expire, never more.
pub async fn send(instance: &Rc<Instance>, message: OutgoingRequest) {
    instance.metrics.count(Event::GrantAsked);
    let address = instance.board.borrow().members.address(&message.to);
    let Some(address) = address else {
        return;
    };
    let reply = instance.peers.grant(address, &message.request).await;
    match reply {
        Ok(reply) => {
            instance.metrics.count(Event::PeerOk);
            let now = instance.now();
            instance
                .board
                .borrow_mut()
                .ledger
                .on_grant_reply(&reply, now);
        }
        Err(_) => instance.metrics.count(Event::PeerFailed),
    }
}

/// Ends a reservation of which `used` tokens were used.
pub fn settle(instance: &Instance, reservation: Reservation, used: Tokens) {
    let now = instance.now();
    let mut board = instance.board.borrow_mut();
    board.ledger.settle(reservation, used, now);
}
