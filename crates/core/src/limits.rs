//! Teams' rates and bursts, held over all instances together.
//!
//! Provides the [`Ledger`] of one instance, which admits requests against the
//! tokens that the instance mints in its own slots or got from other owners,
//! the messages by which tokens move, and the rules by which slots change
//! their owners.

mod account;
mod fence;
mod grant;
mod ledger;
mod options;
mod origin;
mod pocket;
mod replies;
mod reserve;
mod slots;
mod tables;
mod takeover;
mod team;

pub use self::account::Account;
pub use self::fence::Fence;
pub use self::grant::Grant;
pub use self::grant::GrantId;
pub use self::grant::GrantReply;
pub use self::grant::GrantReport;
pub use self::grant::GrantRequest;
pub use self::grant::OutgoingRequest;
pub use self::grant::RequestId;
pub use self::grant::TokenRequest;
pub use self::ledger::Ledger;
pub use self::ledger::LedgerStats;
pub use self::options::LimitsOptions;
pub use self::reserve::Reservation;
pub use self::reserve::ReserveResult;
pub use self::reserve::Round;
pub use self::slots::MilliRate;
pub use self::slots::Share;
pub use self::slots::shares;
pub use self::takeover::DomainMember;
pub use self::takeover::propose_slots;
pub use self::takeover::release_slots;
