//! Decisions of an instance that serves one fleet together with others.
//!
//! Provides the routes and teams in force, the table of upstreams, placement
//! of prompts, shared limits, retries, the rollout of weights and the lease
//! of the instance that gives orders. Nothing here opens a socket or reads a
//! clock: time and randomness come in as values.

pub mod admission;
pub mod attempt;
pub mod configuration;
pub mod directory;
pub mod events;
pub mod freshness;
pub mod health;
pub mod heartbeat;
pub mod kv_store_monitor;
pub mod lease;
pub mod limits;
pub mod peers;
pub mod placement;
pub mod prompt;
pub mod reachability;
pub mod refusal;
pub mod retry_budget;
pub mod rollout;
pub mod settings;
pub mod upstreams;
pub mod weights;

use std::rc::Rc;

/// A `Name` is the shared immutable name of a route, service, team or upstream.
pub type Name = Rc<str>;
