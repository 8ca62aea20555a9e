//! Token bucket limits of teams, enforced across all instances.
//!
//! Limits are divided among slots, each owned by one instance that issues the
//! slot's tokens. Provides the [`Ledger`] of an instance, which admits requests
//! against tokens of its own slots and tokens granted by other owners, the messages
//! that transfer tokens, and the rules for changes of slot owners.

mod account;
mod acquisition;
mod fence;
mod grant;
mod ledger;
mod options;
mod received;
mod reply_cache;
mod reserve;
mod slot_tables;
mod slots;
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
pub use self::slots::MilliTokenRate;
pub use self::slots::Share;
pub use self::slots::slot_shares;
pub use self::takeover::DomainMember;
pub use self::takeover::propose_slots;
pub use self::takeover::release_slots;
