//! Calls from other instances.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::new_client_from_rc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::channel::oneshot;
use futures::future::Either;
use futures::future::select;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;

use crate::convert;
use crate::errors::Result;
use crate::grants;
use crate::peer_capnp::peer;
use crate::transport::rpc_system;

/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A `PeerService` carries out the calls of other instances.
pub trait PeerService {
    /// Takes in an exchange request and returns the reply.
    fn exchange(&self, request: ExchangeRequest) -> ExchangeReply;

    /// Carries out a grant request and returns the reply.
    fn grant(&self, request: GrantRequest) -> GrantReply;
}

/// A `ServerOptions` holds the bounds of calls from other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// The time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// The connections served at once.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_mins(2),
            max_connections: 256,
        }
    }
}

/// A `ServerCounters` counts what a server has seen since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounters {
    /// The calls that arrived.
    pub calls: u64,
    /// The calls that carried malformed messages.
    pub malformed: u64,
    /// The connections refused because too many were open.
    pub refused: u64,
    /// The connections that ended with a fault.
    pub broken: u64,
    /// The connections closed because no call came.
    pub idle: u64,
    /// The connections open.
    pub open: usize,
}

/// A `PeerServer` serves the calls of other instances.
///
/// Dropping it stops the listener and closes all connections.
pub struct PeerServer {
    address: SocketAddr,
    shared: Rc<Shared>,
    _closer: oneshot::Sender<()>,
}

struct Shared {
    opts: ServerOptions,
    service: Box<dyn PeerService>,
    counters: Cell<ServerCounters>,
}

impl Shared {
    fn count(&self, change: impl FnOnce(&mut ServerCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }
}

impl PeerServer {
    /// Binds `address` and serves calls with `service` on this thread.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] when the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        service: Box<dyn PeerService>,
        opts: ServerOptions,
    ) -> Result<Self> {
        let listener = TcpListener::bind_with_config(address, &exclusive())?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            opts,
            service,
            counters: Cell::default(),
        });
        let (tx, rx) = oneshot::channel();
        let accepting = Box::pin(accept(listener, Rc::clone(&shared)));
        monoio::spawn(select(accepting, rx));
        Ok(Self {
            address,
            shared,
            _closer: tx,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the server has seen.
    #[must_use]
    pub fn counters(&self) -> ServerCounters {
        self.shared.counters.get()
    }
}

/// Returns options by which two processes cannot share an address unnoticed.
const fn exclusive() -> ListenerOpts {
    let mut opts = ListenerOpts::new();
    opts.reuse_port = false;
    opts
}

/// Accepts connections until it is dropped, which also ends the connections.
async fn accept(listener: TcpListener, shared: Rc<Shared>) -> io::Result<()> {
    let mut closers: Vec<oneshot::Sender<()>> = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        closers.retain(|closer| !closer.is_canceled());
        if closers.len() >= shared.opts.max_connections {
            shared.count(|c| c.refused += 1);
            continue;
        }
        let (tx, rx) = oneshot::channel();
        closers.push(tx);
        let serving = Box::pin(serve(stream, Rc::clone(&shared)));
        monoio::spawn(select(serving, rx));
    }
}

/// Serves one connection until it ends or no calls come.
async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    // A connection works without this option, only slower.
    let _ = stream.set_nodelay(true);
    let _open = Open::new(Rc::clone(&shared));
    let handler = Rc::new(Handler {
        shared: Rc::clone(&shared),
        calls: Cell::new(0),
    });
    let client: peer::Client = new_client_from_rc(Rc::clone(&handler));
    let mut system = rpc_system(stream, Side::Server, Some(client.client));
    let mut seen = 0;
    loop {
        let idle = Box::pin(sleep(shared.opts.idle_timeout));
        system = match select(system, idle).await {
            Either::Left((outcome, _)) => {
                shared.count(|c| c.broken += u64::from(outcome.is_err()));
                return;
            }
            Either::Right(((), system)) => system,
        };
        let calls = handler.calls.get();
        if calls == seen {
            shared.count(|c| c.idle += 1);
            return;
        }
        seen = calls;
    }
}

/// An `Open` counts a connection as open until it is dropped.
struct Open(Rc<Shared>);

impl Open {
    fn new(shared: Rc<Shared>) -> Self {
        shared.count(|c| c.open += 1);
        Self(shared)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.count(|c| c.open -= 1);
    }
}

struct Handler {
    shared: Rc<Shared>,
    calls: Cell<u64>,
}

impl Handler {
    /// Counts a call and, when its message is malformed, that too.
    fn counted(&self, carry_out: impl FnOnce() -> Result<()>) -> capnp::Result<()> {
        self.calls.set(self.calls.get() + 1);
        self.shared.count(|c| c.calls += 1);
        carry_out().map_err(|error| {
            self.shared.count(|c| c.malformed += 1);
            capnp::Error::failed(error.to_string())
        })
    }
}

impl peer::Server for Handler {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> capnp::Result<()> {
        self.counted(|| {
            let request = convert::read_request(params.get()?.get_request()?)?;
            let reply = self.shared.service.exchange(request);
            convert::write_reply(results.get().init_reply(), &reply)
        })
    }

    async fn grant(
        self: Rc<Self>,
        params: peer::GrantParams,
        mut results: peer::GrantResults,
    ) -> capnp::Result<()> {
        self.counted(|| {
            let request = grants::read_request(params.get()?.get_request()?)?;
            let reply = self.shared.service.grant(request);
            grants::write_reply(results.get().init_reply(), &reply);
            Ok(())
        })
    }
}
