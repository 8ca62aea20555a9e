//! The instances that an instance knows and when it last heard of them.
//!
//! Provides the rows that instances tell each other, the [`Members`] that one
//! instance knows, the picks of peers and watchers, and the exchange by which
//! rows and configuration spread.

pub mod exchange;
mod members;
mod picks;
mod row;

pub use self::members::Absorbed;
pub use self::members::IncarnationStatus;
pub use self::members::Member;
pub use self::members::Members;
pub use self::members::MembersOptions;
pub use self::members::Source;
pub use self::picks::WATCHERS;
pub use self::row::Heartbeat;
pub use self::row::MemberRecord;
pub use self::row::Replaced;
pub use self::row::Seed;
pub use self::row::incarnation_above;
pub use self::row::new_incarnation;
