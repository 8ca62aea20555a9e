//! Code shared by the examples: a configured platform with engines, daemon
//! processes, and a caller that measures its streams.
#![allow(dead_code, reason = "each example uses a part of this")]

pub mod caller;
pub mod fit;
pub mod process;
pub mod relay;
pub mod setup;
