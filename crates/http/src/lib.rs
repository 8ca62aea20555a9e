//! HTTP/1.1 connections on monoio.
//!
//! Provides [`Connection`], the server's side of one connection, [`serve`], the
//! accept loop around it, and [`Client`], which sends requests and reads their
//! answers piece by piece. Each chunk of an answer is written to the socket at
//! once, bodies are only read as fast as they are asked for, and heads, bodies
//! and waits are bounded.

mod accept;
mod body;
mod client;
mod encode;
mod error;
mod framing;
mod server;
mod wire;

pub use accept::serve;
pub use client::Client;
pub use client::ClientOptions;
pub use client::Response;
pub use error::Error;
pub use error::Phase;
pub use error::Result;
pub use framing::remove_hop_by_hop;
pub use server::Connection;
pub use server::ServerOptions;

/// A `Request` is a request with its whole body.
pub type Request = http::Request<bytes::Bytes>;
