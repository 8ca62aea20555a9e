//! The server for calls of other instances.

use std::rc::Rc;

use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_peer::PeerServer;
use limpetsaddle_peer::PeerService;
use limpetsaddle_peer::ServerOptions;

use crate::controllers::exchange;
use crate::errors::Result;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;

/// Handles calls of other instances.
struct PeerHandler(Rc<Instance>);

impl PeerService for PeerHandler {
    fn exchange(&self, request: ExchangeRequest) -> ExchangeReply {
        exchange::handle_exchange(&self.0, request)
    }

    fn grant(&self, request: GrantRequest) -> GrantReply {
        self.0.metrics.count(Event::GrantServed);
        let now = self.0.now();
        let mut board = self.0.board.borrow_mut();
        board.ledger.on_grant_request(&request, now)
    }
}

/// Serves other instances until the instance stops.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve(instance: &Rc<Instance>, stopping: &Stopping) -> Result<()> {
    let service = Box::new(PeerHandler(Rc::clone(instance)));
    let address = instance.settings.peer;
    let server = PeerServer::bind(address, service, ServerOptions::default())?;
    let stopping = stopping.clone();
    monoio::spawn(async move {
        stopping.closed().await;
        drop(server);
    });
    Ok(())
}
