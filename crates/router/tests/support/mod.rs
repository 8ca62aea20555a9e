//! Runs daemon processes against fake upstreams, with faults between them.
//!
//! Each test file uses only some of these items.
#![allow(dead_code, unused_imports)]

mod call;
mod daemon;
mod fleet;
mod history;
mod relay;

use std::time::Duration;
use std::time::Instant;

pub use call::Response;
pub use call::block_on;
pub use call::call;
pub use call::chat;
pub use call::chat_body;
pub use call::get;
pub use call::post;
pub use call::put;
pub use call::raw;
pub use call::tokens;
pub use daemon::Daemon;
pub use daemon::DaemonOptions;
pub use daemon::free_address;
pub use fleet::Fleet;
pub use fleet::FleetOptions;
pub use fleet::MODEL;
pub use fleet::Team;
pub use history::Report;
pub use history::StatusRecorder;
pub use relay::Relay;

/// The time after which a wait fails. It only bounds failing tests; no check
/// depends on how soon a condition is met.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until `condition` holds.
#[track_caller]
pub fn wait_until(condition_name: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {condition_name}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
