//! The daemon as an instance of a fleet on the users' platform.
//!
//! Provides the I/O tasks around the decisions of `limpetsaddle-fleet`:
//! watching the platform's store, exchanging heartbeats with the other
//! instances, rolling out weights, and serving callers.

mod attempts;
mod call;
mod canary;
mod crashes;
mod exchange;
mod first_events;
mod forward;
mod heartbeats;
mod hop_by_hop;
mod in_flight;
mod instance;
mod kv_store;
mod life_signs;
mod metrics;
mod monitoring;
mod order_lease;
mod outage;
mod pace;
mod pass_on;
mod peer_requests;
mod permits;
mod quarantine;
mod reach;
mod relay;
mod response_limits;
mod responses;
mod resume;
mod rollout;
mod rollout_orders;
mod run;
mod serve;
mod settings_file;
mod store;
mod unfinished;
mod unusable;
mod upstream_calls;
mod watch;
mod withdrawal;

pub use self::run::run;
