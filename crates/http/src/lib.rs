//! HTTP/1.1 connections on monoio.
//!
//! Provides [`Connection`], the server side of a connection, [`serve`], its accept
//! loop, and [`Client`], which sends requests and streams their responses. Each chunk
//! of a response is written to the socket immediately, bodies are read on demand for
//! backpressure, and heads, bodies and waits are bounded.

mod accept;
mod body;
mod budget;
mod callers;
mod client;
mod encode;
mod error;
mod framing;
mod server;
mod shares;
mod slots;
mod stream;

pub use accept::serve;
pub use accept::serve_within;
pub use budget::BufferBudget;
pub use budget::Reservation;
pub use callers::CallerBudget;
pub use callers::CallerBudgetOptions;
pub use callers::CallerEnd;
pub use callers::CallerEnds;
pub use callers::CallerShares;
pub use client::Client;
pub use client::ClientOptions;
pub use client::OpenConnection;
pub use client::Response;
pub use error::Error;
pub use error::Phase;
pub use error::Result;
pub use framing::remove_hop_by_hop;
pub use server::Connection;
pub use server::ServerOptions;
pub use shares::Holder;
pub use shares::Share;
pub use shares::ShareId;
pub use shares::SharePercent;
pub use shares::Shares;
pub use shares::TeamLookup;
pub use slots::Held;
pub use slots::Shortage;
pub use slots::SlotState;
pub use slots::Slots;

/// A request with its complete body.
pub type Request = http::Request<bytes::Bytes>;
