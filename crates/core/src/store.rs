//! The configuration in force: a join of object revisions that never reverts.
//!
//! Provides the [`ConfigStore`], which keeps the highest revision of each
//! object, the lookups of the serving path, the digests by which two stores
//! find out what differs, and the freshness that the platform confirmed.

mod digest;
mod freshness;
mod index;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::Object;
use crate::config::ObjectId;
use crate::config::Spec;
use crate::errors::Error;
use crate::errors::FieldRule;
use crate::errors::Result;
use crate::units::Revision;

pub use self::digest::BUCKETS;
pub use self::digest::BucketDigests;
pub use self::digest::DigestReply;
pub use self::digest::DigestRequest;
pub use self::digest::Version;
pub use self::freshness::Confirmation;
pub use self::index::PRESETS_NAME;

use self::digest::bucket_of;
pub(crate) use self::digest::objects_bytes;
use self::index::Index;

/// The rejected revisions that a store remembers at most.
const MAX_REJECTED: usize = 1_024;

/// A `Change` tells that an object has a new state in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The object that is now in force.
    pub object: Object,
    /// The content that was in force before.
    pub previous: Option<Arc<Spec>>,
}

/// A `MergeOutcome` is the outcome of offering an object to a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The object is in force from now on.
    Applied(Change),
    /// A higher revision of the object is in force.
    Stale {
        /// The revision that is in force.
        held: Revision,
    },
    /// The object was in force already.
    Same,
    /// The revision in force carries other content, which stays in force.
    Conflict,
    /// The object breaks a rule; the last valid one stays in force.
    Invalid(Error),
}

/// A `MergeCounters` counts the outcomes of merges since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeCounters {
    /// The objects taken.
    pub applied: u64,
    /// The objects older than the one in force.
    pub stale: u64,
    /// The objects that were in force already.
    pub same: u64,
    /// The objects with the revision in force and other content.
    pub conflict: u64,
    /// The objects that broke a rule.
    pub invalid: u64,
}

#[derive(Debug)]
struct Held {
    revision: Revision,
    spec: Option<Arc<Spec>>,
    bytes: usize,
}

/// A `ConfigStore` is the configuration that an instance has in force.
///
/// It is a join: whatever the order in which objects arrive, how often and from
/// whom, the highest revision of each object is in force. Retired objects stay
/// as tombstones, so that an older copy cannot bring them back.
///
/// ```
/// use limpetsaddle_core::config::Object;
/// use limpetsaddle_core::store::ConfigStore;
/// use limpetsaddle_core::store::MergeOutcome;
/// use limpetsaddle_core::units::Revision;
///
/// let mut store = ConfigStore::default();
/// let object = Object {
///     id: "route/echo".parse()?,
///     revision: Revision(7),
///     spec: None,
/// };
/// assert!(matches!(store.merge(object.clone()), MergeOutcome::Applied(_)));
/// assert_eq!(store.merge(object), MergeOutcome::Same);
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct ConfigStore {
    buckets: BTreeMap<u8, BTreeMap<ObjectId, Held>>,
    digests: BucketDigests,
    index: Index,
    rejected: BTreeMap<ObjectId, Revision>,
    counters: MergeCounters,
    confirmation: Option<Confirmation>,
    highest: Revision,
    len: usize,
}

impl ConfigStore {
    /// Joins `object` into the store.
    pub fn merge(&mut self, object: Object) -> MergeOutcome {
        let outcome = self.judge(&object);
        let outcome = match outcome {
            Some(outcome) => outcome,
            None => MergeOutcome::Applied(self.take(object)),
        };
        self.count(&outcome);
        outcome
    }

    /// Joins `objects` and returns the changes that they brought.
    pub fn merge_all(&mut self, objects: impl IntoIterator<Item = Object>) -> Vec<Change> {
        let mut changes = Vec::new();
        for object in objects {
            if let MergeOutcome::Applied(change) = self.merge(object) {
                changes.push(change);
            }
        }
        changes
    }

    /// Returns the object in force or its tombstone.
    #[must_use]
    pub fn get(&self, id: &ObjectId) -> Option<Object> {
        let held = self.held(id)?;
        Some(Object {
            id: id.clone(),
            revision: held.revision,
            spec: held.spec.clone(),
        })
    }

    /// Returns the number of objects and tombstones.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the store holds nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the highest revision that the store holds.
    #[must_use]
    pub const fn highest_revision(&self) -> Revision {
        self.highest
    }

    /// Returns the counts of merge outcomes.
    #[must_use]
    pub const fn counters(&self) -> MergeCounters {
        self.counters
    }

    /// Returns the outcome of an object that is not to be taken.
    fn judge(&mut self, object: &Object) -> Option<MergeOutcome> {
        if let Some(held) = self.held(&object.id) {
            if object.revision < held.revision {
                let held = held.revision;
                return Some(MergeOutcome::Stale { held });
            }
            if object.revision == held.revision {
                let same = object.spec == held.spec;
                return Some(if same {
                    MergeOutcome::Same
                } else {
                    MergeOutcome::Conflict
                });
            }
        }
        let error = validate(object).err()?;
        self.reject(object);
        Some(MergeOutcome::Invalid(error))
    }

    fn reject(&mut self, object: &Object) {
        if let Some(rejected) = self.rejected.get_mut(&object.id) {
            *rejected = object.revision.max(*rejected);
        } else if self.rejected.len() < MAX_REJECTED {
            self.rejected.insert(object.id.clone(), object.revision);
        }
    }

    fn take(&mut self, object: Object) -> Change {
        let bucket = bucket_of(&object.id);
        let held = Held {
            revision: object.revision,
            spec: object.spec.clone(),
            bytes: encoded_bytes(object.spec.as_deref()),
        };
        let rows = self.buckets.entry(bucket).or_default();
        let previous = rows.insert(object.id.clone(), held);
        if let Some(previous) = &previous {
            self.digests.remove(&object.id, previous.revision);
        } else {
            self.len += 1;
        }
        self.digests.insert(&object.id, object.revision);
        self.highest = self.highest.max(object.revision);
        if self.rejected.get(&object.id) <= Some(&object.revision) {
            self.rejected.remove(&object.id);
        }
        let previous = previous.and_then(|held| held.spec);
        self.index.replace(&object, previous.as_deref());
        Change { object, previous }
    }

    const fn count(&mut self, outcome: &MergeOutcome) {
        let counter = match outcome {
            MergeOutcome::Applied(_) => &mut self.counters.applied,
            MergeOutcome::Stale { .. } => &mut self.counters.stale,
            MergeOutcome::Same => &mut self.counters.same,
            MergeOutcome::Conflict => &mut self.counters.conflict,
            MergeOutcome::Invalid(_) => &mut self.counters.invalid,
        };
        *counter += 1;
    }

    fn held(&self, id: &ObjectId) -> Option<&Held> {
        self.buckets.get(&bucket_of(id))?.get(id)
    }

    fn revision(&self, id: &ObjectId) -> Revision {
        self.held(id).map_or(Revision::ABSENT, |held| held.revision)
    }

    fn rejected_revision(&self, id: &ObjectId) -> Revision {
        let rejected = self.rejected.get(id).copied();
        rejected.unwrap_or(Revision::ABSENT)
    }
}

fn encoded_bytes(spec: Option<&Spec>) -> usize {
    let Some(spec) = spec else { return 0 };
    serde_json::to_vec(spec).map_or(0, |encoded| encoded.len())
}

fn validate(object: &Object) -> Result<()> {
    if object.revision == Revision::ABSENT {
        return Err(invalid("revision", FieldRule::Zero));
    }
    let Some(spec) = object.spec.as_deref() else {
        return Ok(());
    };
    if spec.kind() != object.id.kind {
        return Err(Error::KindMismatch {
            id: object.id.kind,
            spec: spec.kind(),
        });
    }
    if matches!(spec, Spec::Presets(_)) && object.id.name.as_str() != PRESETS_NAME {
        return Err(invalid("name", FieldRule::Duplicate));
    }
    spec.validate()
}

const fn invalid(field: &'static str, reason: FieldRule) -> Error {
    Error::InvalidField { field, reason }
}
