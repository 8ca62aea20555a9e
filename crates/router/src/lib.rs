//! The daemon of limpetsaddle, a router for language-model traffic.
//!
//! Decisions are made by [`limpetsaddle_core`], whose blackboard the controllers
//! read and update; this crate provides sockets, clocks and random numbers.

pub mod admin;
pub mod clock;
pub mod completion;
pub mod controllers;
pub mod documents;
pub mod errors;
pub mod fleet;
pub mod instance;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod responses;
pub mod run;
pub mod running;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod unusable;

pub use crate::errors::Error;
pub use crate::errors::Result;
