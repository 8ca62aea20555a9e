//! The configuration model.
//!
//! Provides the objects that operators write and the platform stores. Each
//! object is versioned, validated and replaced as a whole. Removed objects are
//! kept as tombstones, so that an older copy cannot restore them.

mod objects;
mod policy;

pub use self::objects::Allotment;
pub use self::objects::DomainSpec;
pub use self::objects::KeyRecord;
pub use self::objects::Kind;
pub use self::objects::Object;
pub use self::objects::ObjectId;
pub use self::objects::Phase;
pub use self::objects::PoolKind;
pub use self::objects::PoolSpec;
pub use self::objects::RouteSpec;
pub use self::objects::SlotOwner;
pub use self::objects::SlotTable;
pub use self::objects::Spec;
pub use self::objects::TOTAL_PARTS;
pub use self::objects::TeamSpec;
pub use self::objects::UpstreamSpec;
pub use self::policy::Policy;
pub use self::policy::Preset;
pub use self::policy::PresetsSpec;
