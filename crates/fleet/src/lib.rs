//! Decision logic of an instance that shares upstreams with the other instances of a fleet.
//!
//! Covers the configuration, the table of upstreams, placement, team limits, retries, the
//! rollout of weights and the lease for orders to engines. The crate does no I/O and reads
//! no clock: time and randomness are passed in as values.

pub mod admission;
pub mod attempt;
pub mod availability;
pub mod begin_limit;
pub mod caller_resources;
pub mod canary;
pub mod configuration;
pub mod directory;
pub mod events;
pub mod freshness;
pub mod health;
pub mod heartbeat;
pub mod kv_store_monitor;
pub mod lease;
pub mod limited_demand;
pub mod limits;
pub mod load_pace;
pub mod loss;
pub mod newer_versions;
pub mod outage;
pub mod pace;
pub mod part_key;
pub mod part_list;
pub mod patience;
pub mod peers;
pub mod permit_issuer;
pub mod permit_messages;
pub mod permits;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod reachability;
pub mod refusal;
pub mod relays;
pub mod request_key;
pub mod retry_budget;
pub mod rollout;
pub mod runs;
pub mod service_reach;
pub mod settings;
pub mod speed;
pub mod store_era;
pub mod store_polls;
pub mod store_reads;
pub mod unusable_entries;
pub mod upstream_limit;
pub mod upstreams;
pub mod weights;

use std::rc::Rc;

/// The name of a route, service, team, model or upstream, shared and immutable.
pub type Name = Rc<str>;
