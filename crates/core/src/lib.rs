//! Decisions of the limpetsaddle router.
//!
//! This crate holds every decision that an instance takes and the instance state
//! that its controllers share. Nothing here opens a socket, reads a clock or
//! draws a random number: time, randomness and messages come in as values and
//! actions go out as values, so that each decision can be replayed.

pub mod claims;
pub mod config;
pub mod errors;
pub mod fair_queue;
pub mod hash;
pub mod instance_state;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod names;
pub mod orders;
pub mod placement;
pub mod refusal;
pub mod retry;
pub mod store;
pub mod stream;
pub mod units;
pub mod upstreams;

pub use crate::errors::Error;
pub use crate::errors::Result;
