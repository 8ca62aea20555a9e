//! Admission of requests by the rate and burst limits of their team.

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

/// Reserves `amount` tokens of a team, requesting grants from other instances
/// if this one has too few.
///
/// # Errors
///
/// Returns a refusal if the team has too few tokens.
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
            ReserveResult::NeedsGrants(requests) => request_grants(instance, requests).await,
        }
        round = round.next();
    }
}

/// Sends the requests for tokens concurrently and applies the replies.
async fn request_grants(instance: &Rc<Instance>, requests: Vec<OutgoingRequest>) {
    let calls = requests
        .into_iter()
        .map(|request| send_grant_request(instance, request));
    futures::future::join_all(calls).await;
}

/// Sends a request or report about tokens to another instance and applies the reply.
///
/// The tokens of a lost message are unavailable until they expire.
pub async fn send_grant_request(instance: &Rc<Instance>, message: OutgoingRequest) {
    instance.metrics.count(Event::GrantRequested);
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

/// Ends a reservation and charges `used` tokens.
pub fn settle(instance: &Instance, reservation: Reservation, used: Tokens) {
    let now = instance.now();
    let mut board = instance.board.borrow_mut();
    board.ledger.settle(reservation, used, now);
}
