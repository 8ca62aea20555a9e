//! Gossip exchanges with other instances: membership, configuration and contact.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::config::Object;
use limpetsaddle_core::membership::IncarnationStatus;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::exchange;
use limpetsaddle_core::membership::exchange::ExchangeOptions;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_core::membership::exchange::PendingRequest;
use limpetsaddle_core::store::Change;
use log::warn;

use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;

/// The time between two exchanges with peers.
const PERIOD: Duration = Duration::from_secs(1);

/// Exchanges with a peer of the failure domain each second, and also with an
/// instance of another failure domain if this one watches the platform.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(jittered(&instance, PERIOD)).await {
        for member in pick_partners(&instance) {
            monoio::spawn(exchange_with(Rc::clone(&instance), member.address));
        }
    }
}

/// Returns `period` with a random jitter of up to a tenth, so that instances do
/// not act at the same time.
pub fn jittered(instance: &Instance, period: Duration) -> Duration {
    let jitter = u32::try_from(instance.random.draw() % 200).unwrap_or(0);
    period * (900 + jitter) / 1_000
}

fn pick_partners(instance: &Instance) -> Vec<MemberRecord> {
    let now = instance.now();
    let mut board = instance.board.borrow_mut();
    let revision = board
        .store
        .confirmation()
        .map_or_else(Default::default, |c| c.revision);
    board.members.advance_heartbeat(revision, now);
    let members = &board.members;
    let peer = members.pick_peer(instance.random.draw(), now);
    // Without a live peer this instance is the watcher and contacts other domains.
    let contact = members
        .is_watcher(now)
        .then(|| members.pick_contact(instance.random.draw(), now))
        .flatten();
    peer.into_iter().chain(contact).cloned().collect()
}

/// Exchanges with one instance until neither has updates for the other.
pub async fn exchange_with(instance: Rc<Instance>, address: SocketAddr) {
    let now = instance.now();
    let opts = ExchangeOptions::default();
    let first = {
        let board = instance.board.borrow();
        exchange::open(&board.store, &board.members, &opts, now)
    };
    run_exchange(&instance, address, first).await;
}

async fn run_exchange(instance: &Rc<Instance>, address: SocketAddr, first: PendingRequest) {
    let mut next = Some(first);
    while let Some(pending) = next {
        let Ok(reply) = instance.peers.exchange(address, &pending.request).await else {
            instance.metrics.count(Event::PeerFailed);
            return;
        };
        instance.metrics.count(Event::PeerOk);
        next = handle_reply(instance, &pending, reply);
    }
}

/// Applies a reply and returns the next request of the exchange.
///
/// Only contact within the failure domain counts for the limits.
fn handle_reply(
    instance: &Rc<Instance>,
    pending: &PendingRequest,
    reply: ExchangeReply,
) -> Option<PendingRequest> {
    let now = instance.now();
    let opts = ExchangeOptions::default();
    let outcome = {
        let mut board = instance.board.borrow_mut();
        let board = &mut *board;
        exchange::apply_reply(
            &mut board.store,
            &mut board.members,
            pending,
            reply,
            &opts,
            now,
        )
    };
    let Ok(outcome) = outcome else {
        check_replaced(instance);
        return None;
    };
    apply_changes(instance, &outcome.changes);
    if outcome.contact && outcome.from.domain == instance.settings.domain {
        instance.record_contact(pending.sent);
    }
    outcome.next
}

/// Handles an exchange request of another instance and returns the reply.
pub fn handle_exchange(instance: &Rc<Instance>, req: ExchangeRequest) -> ExchangeReply {
    let now = instance.now();
    let opts = ExchangeOptions::default();
    let (reply, changes) = {
        let mut board = instance.board.borrow_mut();
        let board = &mut *board;
        exchange::handle_request(&mut board.store, &mut board.members, req, &opts, now)
    };
    check_replaced(instance);
    apply_changes(instance, &changes);
    reply
}

/// Applies changed objects to the blackboard and pushes them to peers.
pub fn apply_changes(instance: &Rc<Instance>, changes: &[Change]) {
    if changes.is_empty() {
        return;
    }
    let now = instance.now();
    let targets: Vec<SocketAddr> = {
        let mut board = instance.board.borrow_mut();
        board.apply_changes(changes, now);
        let targets = board.members.push_targets(now);
        targets.into_iter().map(|member| member.address).collect()
    };
    for _ in changes {
        instance.metrics.count(Event::ConfigApplied);
    }
    let objects: Vec<Object> = changes.iter().map(|c| c.object.clone()).collect();
    for address in targets {
        monoio::spawn(push(Rc::clone(instance), address, objects.clone()));
    }
}

async fn push(instance: Rc<Instance>, address: SocketAddr, objects: Vec<Object>) {
    let now = instance.now();
    let first = {
        let board = instance.board.borrow();
        exchange::push(&board.store, &board.members, objects, now)
    };
    run_exchange(&instance, address, first).await;
}

/// Stops issuing tokens if another incarnation has replaced this one.
fn check_replaced(instance: &Instance) {
    let mut board = instance.board.borrow_mut();
    let IncarnationStatus::Replaced(replaced) = board.members.incarnation_status() else {
        return;
    };
    if board.ledger.is_replaced() {
        return;
    }
    board.ledger.on_replaced();
    warn!(by = replaced.by.0; "another incarnation has replaced this one");
}
