//! Whole daemons before stand-ins, with faults between them.
//!
//! Each test file uses a part of this.
#![allow(dead_code, unused_imports)]

mod call;
mod daemon;
mod fleet;
mod history;
mod relay;

use std::time::Duration;
use std::time::Instant;

pub use call::Answer;
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
pub use history::History;
pub use history::Report;
pub use relay::Relay;

/// The time after which a condition counts as never met. It bounds a failing
/// test only; no verdict depends on how fast a condition is met.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// Waits until `condition` holds.
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "{what} did not come about");
        std::thread::sleep(Duration::from_millis(20));
    }
}
