//! What the examples share: a configured platform with engines, daemons in
//! processes of their own, and a caller that times its streams.
#![allow(dead_code, reason = "each example uses a part of this")]

pub mod caller;
pub mod fit;
pub mod process;
pub mod relay;
pub mod setup;
