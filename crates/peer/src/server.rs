//! RPC server for calls from other instances.

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

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The handler of calls from other instances.
pub trait PeerService {
    /// Handles an exchange request.
    fn exchange(&self, request: ExchangeRequest) -> ExchangeReply;

    /// Handles a grant request.
    fn grant(&self, request: GrantRequest) -> GrantReply;
}

/// Limits of the connections from other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// The time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// The maximum number of open connections.
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

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounters {
    /// Calls received.
    pub calls: u64,
    /// Calls with malformed messages.
    pub malformed: u64,
    /// Connections refused because too many were open.
    pub refused: u64,
    /// Connections that ended with an error.
    pub broken: u64,
    /// Connections closed by the idle timeout.
    pub idle: u64,
    /// Connections currently open.
    pub open: usize,
}

/// An RPC server for calls from other instances.
///
/// Dropping it stops the listener and closes all connections.
pub struct PeerServer {
    address: SocketAddr,
    shared: Rc<Shared>,
    _shutdown: oneshot::Sender<()>,
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
    /// Binds `address` and handles calls with `service` on this thread.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] when the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        service: Box<dyn PeerService>,
        opts: ServerOptions,
    ) -> Result<Self> {
        let listener = TcpListener::bind_with_config(address, &exclusive_listener())?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            opts,
            service,
            counters: Cell::default(),
        });
        let (tx, rx) = oneshot::channel();
        let accept_loop = Box::pin(accept(listener, Rc::clone(&shared)));
        monoio::spawn(select(accept_loop, rx));
        Ok(Self {
            address,
            shared,
            _shutdown: tx,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> ServerCounters {
        self.shared.counters.get()
    }
}

/// Returns options without `SO_REUSEPORT`, so that two processes cannot bind the same
/// address unnoticed.
const fn exclusive_listener() -> ListenerOpts {
    let mut opts = ListenerOpts::new();
    opts.reuse_port = false;
    opts
}

/// Accepts connections until dropped, which also closes the connections.
async fn accept(listener: TcpListener, shared: Rc<Shared>) -> io::Result<()> {
    let mut shutdowns: Vec<oneshot::Sender<()>> = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        shutdowns.retain(|shutdown| !shutdown.is_canceled());
        if shutdowns.len() >= shared.opts.max_connections {
            shared.count(|c| c.refused += 1);
            continue;
        }
        let (tx, rx) = oneshot::channel();
        shutdowns.push(tx);
        let connection = Box::pin(serve(stream, Rc::clone(&shared)));
        monoio::spawn(select(connection, rx));
    }
}

/// Serves one connection until it ends or is idle.
async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    // The option only reduces latency, so a failure to set it is ignored.
    let _ = stream.set_nodelay(true);
    let _open = OpenGuard::new(Rc::clone(&shared));
    let handler = Rc::new(Handler {
        shared: Rc::clone(&shared),
        calls: Cell::new(0),
    });
    let client: peer::Client = new_client_from_rc(Rc::clone(&handler));
    let mut system = rpc_system(stream, Side::Server, Some(client.client));
    let mut previous_calls = 0;
    loop {
        let idle = Box::pin(sleep(shared.opts.idle_timeout));
        system = match select(system, idle).await {
            Either::Left((result, _)) => {
                shared.count(|c| c.broken += u64::from(result.is_err()));
                return;
            }
            Either::Right(((), system)) => system,
        };
        let calls = handler.calls.get();
        if calls == previous_calls {
            shared.count(|c| c.idle += 1);
            return;
        }
        previous_calls = calls;
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard(Rc<Shared>);

impl OpenGuard {
    fn new(shared: Rc<Shared>) -> Self {
        shared.count(|c| c.open += 1);
        Self(shared)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.count(|c| c.open -= 1);
    }
}

struct Handler {
    shared: Rc<Shared>,
    calls: Cell<u64>,
}

impl Handler {
    /// Runs `handle`, and counts the call and whether its message was malformed.
    fn counted(&self, handle: impl FnOnce() -> Result<()>) -> capnp::Result<()> {
        self.calls.set(self.calls.get() + 1);
        self.shared.count(|c| c.calls += 1);
        handle().map_err(|error| {
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
