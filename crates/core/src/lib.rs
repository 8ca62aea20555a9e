//! Decision logic of the limpetsaddle router.
//!
//! This crate contains all decisions of an instance and the blackboard shared by
//! its controllers. It performs no I/O, reads no clock and generates no random
//! numbers: time, randomness and messages are passed in as values and actions are
//! returned as values, so that every decision is reproducible.

pub mod blackboard;
pub mod claims;
pub mod config;
pub mod errors;
pub mod fair_queue;
pub mod hash;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod names;
pub mod orders;
pub mod outline;
pub mod placement;
pub mod refusal;
pub mod retry;
pub mod store;
pub mod stream;
pub mod units;
pub mod upstreams;

pub use crate::errors::Error;
pub use crate::errors::Result;
