//! RPC client for calls to other instances.

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

/// Limits of calls to other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// The time limit of a call, including connection establishment if needed.
    pub call_timeout: Duration,
    /// The maximum number of open connections.
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

/// A cached connection; dropping it ends its task.
struct Connection {
    peer: peer::Client,
    last_used: u64,
    _shutdown: oneshot::Sender<()>,
}

/// An RPC client that caches a connection to each instance.
///
/// A failed call closes its connection, and the next call reconnects. The client is bound
/// to the thread of its runtime.
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
    /// Returns a client without connections.
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
    /// Returns [`Error::Timeout`] when the call exceeds its time limit, and another
    /// [`Error`] when the connection or the call fails or the reply is invalid. In each
    /// case the peer may have executed the request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply> {
        let call = async {
            let peer = self.connect(address).await?;
            let mut call = peer.exchange_request();
            convert::write_request(call.get().init_request(), request)?;
            let response = call.send().promise.await?;
            convert::read_reply(response.get()?.get_reply()?)
        };
        self.with_timeout(address, call).await
    }

    /// Sends a grant request to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] when the call exceeds its time limit, and another
    /// [`Error`] when the connection or the call fails or the reply is invalid. In each
    /// case the peer may have executed the request.
    pub async fn grant(&self, address: SocketAddr, request: &GrantRequest) -> Result<GrantReply> {
        let call = async {
            let peer = self.connect(address).await?;
            let mut call = peer.grant_request();
            grants::write_request(call.get().init_request(), request);
            let response = call.send().promise.await?;
            grants::read_reply(response.get()?.get_reply()?)
        };
        self.with_timeout(address, call).await
    }

    /// Closes the connection to `address`, if there is one.
    pub fn disconnect(&self, address: SocketAddr) {
        self.connections.borrow_mut().by_address.remove(&address);
    }

    /// Returns the number of cached connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.borrow().by_address.len()
    }

    /// Runs `call` with the call timeout and closes the connection if it fails.
    async fn with_timeout<T>(
        &self,
        address: SocketAddr,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let result = timeout(self.opts.call_timeout, call).await;
        let result = result.unwrap_or(Err(Error::Timeout));
        if result.is_err() {
            self.disconnect(address);
        }
        result
    }

    async fn connect(&self, address: SocketAddr) -> Result<peer::Client> {
        if let Some(peer) = self.connections.borrow_mut().get(address) {
            return Ok(peer);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut system = rpc_system(stream, Side::Client, None);
        let peer: peer::Client = system.bootstrap(Side::Server);
        let (tx, rx) = oneshot::channel();
        monoio::spawn(select(system, rx));
        let mut connections = self.connections.borrow_mut();
        connections.insert(address, peer.clone(), tx, self.opts.max_connections);
        Ok(peer)
    }
}

impl Connections {
    fn get(&mut self, address: SocketAddr) -> Option<peer::Client> {
        self.uses += 1;
        let connection = self.by_address.get_mut(&address)?;
        connection.last_used = self.uses;
        Some(connection.peer.clone())
    }

    fn insert(
        &mut self,
        address: SocketAddr,
        peer: peer::Client,
        tx: oneshot::Sender<()>,
        max_connections: usize,
    ) {
        if self.by_address.len() >= max_connections {
            let least_recent = self.by_address.iter().min_by_key(|(_, c)| c.last_used);
            let least_recent = least_recent.map(|(address, _)| *address);
            least_recent.and_then(|address| self.by_address.remove(&address));
        }
        let connection = Connection {
            peer,
            last_used: self.uses,
            _shutdown: tx,
        };
        self.by_address.insert(address, connection);
    }
}
