//! Calls to other instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::channel::oneshot;
use futures::future::select;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::convert;
use crate::errors::Error;
use crate::errors::Result;
use crate::grants;
use crate::peer_capnp::peer;
use crate::transport::rpc_system;

/// A `ClientOptions` holds the bounds of calls to other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// The time that a call takes at most, with the connection it may need.
    pub call_timeout: Duration,
    /// The connections kept at most.
    pub max_connections: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(1),
            max_connections: 64,
        }
    }
}

/// A `Connection` is a kept connection; dropping it ends its task.
struct Connection {
    peer: peer::Client,
    last_used: u64,
    _closer: oneshot::Sender<()>,
}

/// A `PeerClient` calls other instances and keeps a connection to each.
///
/// A connection on which a call failed is closed, and the next call dials
/// again. The client lives on one thread with its runtime.
pub struct PeerClient {
    opts: ClientOptions,
    connections: RefCell<Connections>,
}

#[derive(Default)]
struct Connections {
    by_address: BTreeMap<SocketAddr, Connection>,
    uses: u64,
}

impl PeerClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(opts: ClientOptions) -> Self {
        Self {
            opts,
            connections: RefCell::default(),
        }
    }

    /// Sends an exchange request to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] when the call does not end in time, and
    /// another [`Error`] when the connection, the peer or the reply is faulty.
    /// The peer may have carried out the request in each of these cases.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply> {
        let call = async {
            let peer = self.peer(address).await?;
            let mut call = peer.exchange_request();
            convert::write_request(call.get().init_request(), request)?;
            let response = call.send().promise.await?;
            convert::read_reply(response.get()?.get_reply()?)
        };
        self.bounded(address, call).await
    }

    /// Sends a grant request to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] when the call does not end in time, and
    /// another [`Error`] when the connection, the peer or the reply is faulty.
    /// The peer may have carried out the request in each of these cases.
    pub async fn grant(&self, address: SocketAddr, request: &GrantRequest) -> Result<GrantReply> {
        let call = async {
            let peer = self.peer(address).await?;
            let mut call = peer.grant_request();
            grants::write_request(call.get().init_request(), request);
            let response = call.send().promise.await?;
            grants::read_reply(response.get()?.get_reply()?)
        };
        self.bounded(address, call).await
    }

    /// Closes the connection to `address`, if there is one.
    pub fn disconnect(&self, address: SocketAddr) {
        self.connections.borrow_mut().by_address.remove(&address);
    }

    /// Returns the number of connections kept.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.borrow().by_address.len()
    }

    /// Ends `call` after its timeout and closes the connection when it failed.
    async fn bounded<T>(
        &self,
        address: SocketAddr,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let outcome = timeout(self.opts.call_timeout, call).await;
        let outcome = outcome.unwrap_or(Err(Error::Timeout));
        if outcome.is_err() {
            self.disconnect(address);
        }
        outcome
    }

    async fn peer(&self, address: SocketAddr) -> Result<peer::Client> {
        if let Some(peer) = self.connections.borrow_mut().reuse(address) {
            return Ok(peer);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut system = rpc_system(stream, Side::Client, None);
        let peer: peer::Client = system.bootstrap(Side::Server);
        let (tx, rx) = oneshot::channel();
        monoio::spawn(select(system, rx));
        let mut connections = self.connections.borrow_mut();
        connections.keep(address, peer.clone(), tx, self.opts.max_connections);
        Ok(peer)
    }
}

impl Connections {
    fn reuse(&mut self, address: SocketAddr) -> Option<peer::Client> {
        self.uses += 1;
        let connection = self.by_address.get_mut(&address)?;
        connection.last_used = self.uses;
        Some(connection.peer.clone())
    }

    fn keep(
        &mut self,
        address: SocketAddr,
        peer: peer::Client,
        tx: oneshot::Sender<()>,
        max_connections: usize,
    ) {
        if self.by_address.len() >= max_connections {
            let oldest = self.by_address.iter().min_by_key(|(_, c)| c.last_used);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.and_then(|address| self.by_address.remove(&address));
        }
        let connection = Connection {
            peer,
            last_used: self.uses,
            _closer: tx,
        };
        self.by_address.insert(address, connection);
    }
}
