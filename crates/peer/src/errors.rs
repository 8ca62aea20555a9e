//! Errors of calls between instances.

use std::io;

use thiserror::Error as ThisError;

/// A `Result` whose error is the peer crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `Error` tells why a call between instances failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The connection could not be made or the address not be bound.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// The call did not end in time.
    #[error("the call did not end in time")]
    Timeout,
    /// The peer or the connection failed the call.
    #[error("the call failed: {0}")]
    Rpc(#[from] capnp::Error),
    /// A message carries a member that its schema does not know.
    #[error("the message comes from a newer schema: {0}")]
    Schema(#[from] capnp::NotInSchema),
    /// A message carries text that is not UTF-8.
    #[error("the message carries malformed text: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A message carries a name or an identity that is invalid.
    #[error("the message carries an invalid name: {0}")]
    Name(#[from] limpetsaddle_core::Error),
    /// A message carries an address that is none.
    #[error("the message carries an invalid address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// A message carries an object whose content is malformed.
    #[error("the message carries a malformed object: {0}")]
    Content(#[from] serde_json::Error),
}
