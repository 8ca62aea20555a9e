//! Membership: the known instances and whether they are live.
//!
//! Provides the records that instances send each other, the [`Members`] known to one
//! instance, the selection of peers and watchers, and the exchange that propagates
//! records and configuration.

pub mod exchange;
mod members;
mod peer_selection;
mod record;

pub use self::members::IncarnationStatus;
pub use self::members::Member;
pub use self::members::Members;
pub use self::members::MembersOptions;
pub use self::members::RecordSource;
pub use self::members::UpdateOutcome;
pub use self::peer_selection::WATCHERS;
pub use self::record::Heartbeat;
pub use self::record::MemberRecord;
pub use self::record::Replaced;
pub use self::record::Seed;
pub use self::record::incarnation_above;
pub use self::record::new_incarnation;
