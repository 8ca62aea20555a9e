//! Errors of calls between instances.

use std::io;

use thiserror::Error as ThisError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a call between instances failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Connecting to the peer or binding the server's address failed.
    #[error("cannot connect to the peer or bind the address: {0}")]
    Io(#[from] io::Error),
    /// The call exceeded its time limit.
    #[error("the call to the peer timed out")]
    Timeout,
    /// The peer returned an error or the connection failed.
    #[error("the call to the peer failed: {0}")]
    Rpc(#[from] capnp::Error),
    /// A message contains a union or enum value that is not in the schema.
    #[error("the message contains a value that is not in the schema: {0}")]
    Schema(#[from] capnp::NotInSchema),
    /// A message contains text that is not UTF-8.
    #[error("the message contains text that is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A message contains an invalid name or ID.
    #[error("the message contains an invalid name or ID: {0}")]
    Name(#[from] limpetsaddle_core::Error),
    /// A message contains an invalid socket address.
    #[error("the message contains an invalid socket address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// A configuration object in a message is not valid JSON, or could not be serialized.
    #[error("invalid JSON of a configuration object: {0}")]
    Content(#[from] serde_json::Error),
}
