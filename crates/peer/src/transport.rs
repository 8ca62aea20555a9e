//! RPC transport over TCP.

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// The maximum size of a received message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

const WORD_BYTES: usize = 8;

/// The maximum depth of nested pointers in a message.
const NESTING_LIMIT: i32 = 16;

/// Returns the RPC system for `stream`, as the client or server `side`.
pub fn rpc_system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = StreamWrapper::new(stream).compat().split();
    let mut opts = ReaderOptions::new();
    opts.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    opts.nesting_limit(NESTING_LIMIT);
    let network = VatNetwork::new(reader, writer, side, opts);
    RpcSystem::new(Box::new(network), bootstrap)
}
