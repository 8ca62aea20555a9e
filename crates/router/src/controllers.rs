//! Background tasks that read and update the blackboard.

pub mod bootstrap;
pub mod exchange;
pub mod loads;
pub mod orders;
pub mod slots;
pub mod status;
pub mod ticks;
pub mod watch;
