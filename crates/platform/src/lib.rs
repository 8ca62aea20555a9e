//! Client of the platform's object API.
//!
//! Provides [`Platform`], which reads, watches and conditionally writes configuration
//! objects and the records that instances share. Failures are typed; in particular, a
//! write whose response was lost is distinguished from one that had no effect.

mod client;
mod coordination;
mod counts;
mod entries;
mod error;
mod instances;
mod objects;
mod records;
mod status;
mod watch;

pub use client::Platform;
pub use client::PlatformOptions;
pub use coordination::ClaimResult;
pub use counts::Call;
pub use counts::CallCounts;
pub use counts::Counts;
pub use entries::Entries;
pub use entries::InvalidEntry;
pub use error::Error;
pub use error::Result;
pub use instances::InstanceEntry;
pub use objects::ConfirmedPut;
pub use objects::InvalidObject;
pub use objects::Listing;
pub use objects::Put;
pub use records::Collection;
pub use records::Record;
pub use records::RecordDelete;
pub use records::RecordName;
pub use records::RecordPut;
pub use status::InstanceStatus;
pub use watch::Watch;
pub use watch::WatchEvent;
