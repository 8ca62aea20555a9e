//! Digests by which two stores find their differences.
//!
//! Each object belongs to one bucket. The digest of a bucket is the wrapping sum
//! of the hashes of its (id, revision) pairs, so that it does not depend on the
//! order and is updated in constant time. The root digest is the sum of all
//! bucket digests.

use std::collections::BTreeMap;

use super::ConfigStore;
use super::encoded_bytes;
use crate::config::Object;
use crate::config::ObjectId;
use crate::hash::stable_hash;
use crate::units::Revision;

/// The number of buckets.
pub const BUCKETS: u8 = 64;

/// The encoded size of an [`ObjectVersion`] in bytes, without its id.
const VERSION_BYTES: usize = 32;

/// The encoded size of an object in bytes, without its id and content.
const OBJECT_BYTES: usize = 48;

/// A `BucketDigests` holds the digest of every bucket of a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketDigests([u64; BUCKETS as usize]);

impl Default for BucketDigests {
    fn default() -> Self {
        Self([0; BUCKETS as usize])
    }
}

impl BucketDigests {
    /// Returns the digests in bucket order.
    #[must_use]
    pub const fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Returns the digest over all buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.0.iter().fold(0, |sum, d| sum.wrapping_add(*d))
    }

    /// Returns the buckets whose digests differ from those in `other`.
    ///
    /// Buckets missing from `other` count as different.
    #[must_use]
    pub fn differing_buckets(&self, other: &[u64]) -> Vec<u8> {
        let differs = |bucket: &u8| {
            let i = usize::from(*bucket);
            other.get(i) != Some(&self.0[i])
        };
        (0..BUCKETS).filter(differs).collect()
    }

    pub(super) fn insert(&mut self, id: &ObjectId, revision: Revision) {
        let digest = &mut self.0[usize::from(bucket_of(id))];
        *digest = digest.wrapping_add(version_hash(id, revision));
    }

    pub(super) fn remove(&mut self, id: &ObjectId, revision: Revision) {
        let digest = &mut self.0[usize::from(bucket_of(id))];
        *digest = digest.wrapping_sub(version_hash(id, revision));
    }
}

/// Returns the bucket that an object belongs to.
pub(super) fn bucket_of(id: &ObjectId) -> u8 {
    let hash = stable_hash(&[id.kind.as_str().as_bytes(), id.name.as_str().as_bytes()]);
    let [low, ..] = hash.to_le_bytes();
    low % BUCKETS
}

fn version_hash(id: &ObjectId, revision: Revision) -> u64 {
    let kind = id.kind.as_str().as_bytes();
    let name = id.name.as_str().as_bytes();
    stable_hash(&[kind, name, &revision.0.to_le_bytes()])
}

/// The revision of an object in a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectVersion {
    /// The id of the object.
    pub id: ObjectId,
    /// The revision, or [`Revision::ABSENT`] if the store lacks the object.
    pub revision: Revision,
    /// The highest revision of the object that was rejected as invalid.
    pub rejected: Revision,
}

/// A request to another store for newer revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DigestRequest {
    /// Requests nothing.
    Nothing,
    /// Requests the bucket digests if the root digests differ.
    Root,
    /// Requests the objects of some buckets that are newer than `held`.
    Versions {
        /// The buckets to compare.
        buckets: Vec<u8>,
        /// All versions that the requesting store holds in these buckets.
        held: Vec<ObjectVersion>,
    },
}

/// The reply to a [`DigestRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DigestReply {
    /// The digest of each bucket; empty if the root digests are equal.
    pub buckets: Vec<u64>,
    /// The objects that are newer than the versions of the request.
    pub objects: Vec<Object>,
    /// The ids of objects that are newer in the requesting store.
    pub wanted: Vec<ObjectId>,
    /// Whether objects were omitted because of the size limit.
    pub more: bool,
}

impl DigestRequest {
    /// Returns the maximum encoded size of the request in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Nothing | Self::Root => 0,
            Self::Versions { buckets, held } => {
                buckets.len() + held.iter().map(version_bytes).sum::<usize>()
            }
        }
    }
}

impl DigestReply {
    /// Returns the maximum encoded size of the reply in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let buckets = self.buckets.len() * size_of::<u64>();
        let wanted = self.wanted.iter().map(|id| VERSION_BYTES + id_bytes(id));
        buckets + objects_bytes(&self.objects) + wanted.sum::<usize>()
    }
}

/// Returns the maximum encoded size of `objects` in bytes.
pub(crate) fn objects_bytes(objects: &[Object]) -> usize {
    let bytes = |object: &Object| {
        OBJECT_BYTES + id_bytes(&object.id) + encoded_bytes(object.spec.as_deref())
    };
    objects.iter().map(bytes).sum()
}

impl ConfigStore {
    /// Returns the bucket digests of the store.
    #[must_use]
    pub const fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Returns a request for newer objects in the buckets that differ from the
    /// remote digests.
    ///
    /// The request covers as many differing buckets as fit in `max_bytes`, at
    /// least one, starting with the bucket `turn` modulo [`BUCKETS`]. Returns
    /// `None` if no bucket differs.
    #[must_use]
    pub fn versions_request(
        &self,
        remote_digests: &[u64],
        turn: u32,
        max_bytes: usize,
    ) -> Option<DigestRequest> {
        let mut buckets = Vec::new();
        let mut held = Vec::new();
        let mut bytes = 0;
        let mut differing = self.digests.differing_buckets(remote_digests);
        let first = differing.partition_point(|b| u32::from(*b) < turn % u32::from(BUCKETS));
        differing.rotate_left(first);
        for bucket in differing {
            let versions = self.versions(bucket);
            bytes += versions.iter().map(version_bytes).sum::<usize>();
            if bytes > max_bytes && !buckets.is_empty() {
                break;
            }
            buckets.push(bucket);
            held.extend(versions);
        }
        (!buckets.is_empty()).then_some(DigestRequest::Versions { buckets, held })
    }

    /// Returns the reply to a request from a store with the root digest `remote_root`.
    ///
    /// The objects are sorted by revision and limited to `max_bytes`, but at
    /// least one is included.
    #[must_use]
    pub fn reply(
        &self,
        remote_root: u64,
        request: &DigestRequest,
        max_bytes: usize,
    ) -> DigestReply {
        if remote_root == self.digests.root() || *request == DigestRequest::Nothing {
            return DigestReply::default();
        }
        let mut reply = DigestReply {
            buckets: self.digests.as_slice().to_vec(),
            ..DigestReply::default()
        };
        if let DigestRequest::Versions { buckets, held } = request {
            let newer = self.newer_than(buckets, held);
            (reply.objects, reply.more) = self.truncated(newer, max_bytes);
            reply.wanted = self.wanted(held, max_bytes);
        }
        reply
    }

    /// Returns the stored objects among `ids`, sorted by revision and limited to
    /// `max_bytes`, but at least one.
    #[must_use]
    pub fn objects(&self, ids: &[ObjectId], max_bytes: usize) -> Vec<Object> {
        let revisions = ids.iter().filter_map(|id| {
            let revision = self.stored(id)?.revision;
            Some((revision, id.clone()))
        });
        self.truncated(revisions.collect(), max_bytes).0
    }

    fn versions(&self, bucket: u8) -> Vec<ObjectVersion> {
        let objects = self.buckets.get(&bucket).into_iter().flatten();
        let stored = objects.map(|(id, _)| id);
        let unknown = |id: &&ObjectId| bucket_of(id) == bucket && self.stored(id).is_none();
        let rejected = self.rejected.keys().filter(unknown);
        stored
            .chain(rejected)
            .map(|id| ObjectVersion {
                id: id.clone(),
                revision: self.revision(id),
                rejected: self.rejected_revision(id),
            })
            .collect()
    }

    fn newer_than(&self, buckets: &[u8], held: &[ObjectVersion]) -> Vec<(Revision, ObjectId)> {
        let remote: BTreeMap<&ObjectId, &ObjectVersion> = held.iter().map(|v| (&v.id, v)).collect();
        let lacks = |id: &ObjectId, revision: Revision| {
            remote
                .get(id)
                .is_none_or(|v| v.revision < revision && v.rejected != revision)
        };
        let objects = buckets.iter().filter_map(|b| self.buckets.get(b)).flatten();
        objects
            .filter(|(id, stored)| lacks(id, stored.revision))
            .map(|(id, stored)| (stored.revision, id.clone()))
            .collect()
    }

    fn wanted(&self, held: &[ObjectVersion], max_bytes: usize) -> Vec<ObjectId> {
        let newer = held.iter().filter(|v| {
            let is_newer = self.revision(&v.id) < v.revision;
            is_newer && self.rejected_revision(&v.id) != v.revision
        });
        let limit = max_bytes / VERSION_BYTES;
        newer.take(limit).map(|v| v.id.clone()).collect()
    }

    /// Returns objects in revision order up to `max_bytes`, at least one, and
    /// whether some were omitted.
    fn truncated(
        &self,
        mut revisions: Vec<(Revision, ObjectId)>,
        max_bytes: usize,
    ) -> (Vec<Object>, bool) {
        revisions.sort();
        let mut objects = Vec::new();
        let mut bytes = 0;
        for (_, id) in revisions {
            bytes += self.object_bytes(&id);
            if bytes > max_bytes && !objects.is_empty() {
                return (objects, true);
            }
            objects.extend(self.get(&id));
        }
        (objects, false)
    }

    /// Returns the encoded size of an object in bytes.
    fn object_bytes(&self, id: &ObjectId) -> usize {
        let content = self.stored(id).map_or(0, |stored| stored.encoded_bytes);
        OBJECT_BYTES + id_bytes(id) + content
    }
}

fn version_bytes(version: &ObjectVersion) -> usize {
    VERSION_BYTES + id_bytes(&version.id)
}

fn id_bytes(id: &ObjectId) -> usize {
    id.kind.as_str().len() + id.name.as_str().len() + 1
}
