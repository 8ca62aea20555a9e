//! The store of active configuration objects.
//!
//! Provides the [`ConfigStore`], which keeps the highest revision of each
//! object, the lookups of the request path, the digests by which two stores
//! find their differences, and the freshness of the store.

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
pub use self::digest::ObjectVersion;
pub use self::freshness::Confirmation;
pub use self::index::PRESETS_NAME;

use self::digest::bucket_of;
pub(crate) use self::digest::objects_bytes;
use self::index::Index;

/// The largest number of objects whose rejected revisions are kept.
const MAX_REJECTED: usize = 1_024;

/// A change of an object in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The object after the change.
    pub object: Object,
    /// The content before the change.
    pub previous: Option<Arc<Spec>>,
}

/// The outcome of merging an object into a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The object was stored.
    Applied(Change),
    /// The store holds a higher revision of the object.
    Stale {
        /// The revision in the store.
        stored: Revision,
    },
    /// The store already holds the object.
    Same,
    /// The store holds other content at the same revision and keeps it.
    Conflict,
    /// The object is invalid; the store keeps the last valid revision.
    Invalid(Error),
}

/// A `MergeCounters` counts the outcomes of merges since the store was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeCounters {
    /// The number of objects that were stored.
    pub applied: u64,
    /// The number of objects older than the stored revision.
    pub stale: u64,
    /// The number of objects that were stored already.
    pub same: u64,
    /// The number of objects with the stored revision but other content.
    pub conflict: u64,
    /// The number of invalid objects.
    pub invalid: u64,
}

#[derive(Debug)]
struct StoredObject {
    revision: Revision,
    spec: Option<Arc<Spec>>,
    encoded_bytes: usize,
}

/// A `ConfigStore` holds the active configuration of an instance.
///
/// The store converges to the highest revision of each object, regardless of the
/// order, number and source of the updates. Retired objects stay as tombstones,
/// so that an older copy cannot restore them.
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
    buckets: BTreeMap<u8, BTreeMap<ObjectId, StoredObject>>,
    digests: BucketDigests,
    index: Index,
    rejected: BTreeMap<ObjectId, Revision>,
    counters: MergeCounters,
    confirmation: Option<Confirmation>,
    highest_revision: Revision,
    len: usize,
}

impl ConfigStore {
    /// Merges `object` into the store.
    pub fn merge(&mut self, object: Object) -> MergeOutcome {
        let outcome = self.check(&object);
        let outcome = match outcome {
            Some(outcome) => outcome,
            None => MergeOutcome::Applied(self.apply(object)),
        };
        self.count(&outcome);
        outcome
    }

    /// Merges `objects` and returns the resulting changes.
    pub fn merge_all(&mut self, objects: impl IntoIterator<Item = Object>) -> Vec<Change> {
        let mut changes = Vec::new();
        for object in objects {
            if let MergeOutcome::Applied(change) = self.merge(object) {
                changes.push(change);
            }
        }
        changes
    }

    /// Returns the stored object or its tombstone.
    #[must_use]
    pub fn get(&self, id: &ObjectId) -> Option<Object> {
        let stored = self.stored(id)?;
        Some(Object {
            id: id.clone(),
            revision: stored.revision,
            spec: stored.spec.clone(),
        })
    }

    /// Returns the number of objects, including tombstones.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the store holds neither objects nor tombstones.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the highest revision in the store.
    #[must_use]
    pub const fn highest_revision(&self) -> Revision {
        self.highest_revision
    }

    /// Returns the counts of merge outcomes.
    #[must_use]
    pub const fn counters(&self) -> MergeCounters {
        self.counters
    }

    /// Returns the outcome for an object that must not be stored, or `None`.
    fn check(&mut self, object: &Object) -> Option<MergeOutcome> {
        if let Some(stored) = self.stored(&object.id) {
            if object.revision < stored.revision {
                let stored = stored.revision;
                return Some(MergeOutcome::Stale { stored });
            }
            if object.revision == stored.revision {
                let same = object.spec == stored.spec;
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

    fn apply(&mut self, object: Object) -> Change {
        let bucket = bucket_of(&object.id);
        let stored = StoredObject {
            revision: object.revision,
            spec: object.spec.clone(),
            encoded_bytes: encoded_bytes(object.spec.as_deref()),
        };
        let objects = self.buckets.entry(bucket).or_default();
        let previous = objects.insert(object.id.clone(), stored);
        if let Some(previous) = &previous {
            self.digests.remove(&object.id, previous.revision);
        } else {
            self.len += 1;
        }
        self.digests.insert(&object.id, object.revision);
        self.highest_revision = self.highest_revision.max(object.revision);
        if self.rejected.get(&object.id) <= Some(&object.revision) {
            self.rejected.remove(&object.id);
        }
        let previous = previous.and_then(|stored| stored.spec);
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

    fn stored(&self, id: &ObjectId) -> Option<&StoredObject> {
        self.buckets.get(&bucket_of(id))?.get(id)
    }

    fn revision(&self, id: &ObjectId) -> Revision {
        self.stored(id)
            .map_or(Revision::ABSENT, |stored| stored.revision)
    }

    fn rejected_revision(&self, id: &ObjectId) -> Revision {
        let rejected = self.rejected.get(id).copied();
        rejected.unwrap_or(Revision::ABSENT)
    }
}

/// Returns the length of the JSON encoding of `spec` in bytes.
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
