//! Digests by which two stores find out what differs.
//!
//! Each object belongs to one bucket. A bucket's digest is the wrapping sum of
//! the hashes of its (id, revision) rows, so that it does not depend on order
//! and follows a change in constant time. The root is the sum of all buckets.

use std::collections::BTreeMap;

use super::ConfigStore;
use super::encoded_bytes;
use crate::config::Object;
use crate::config::ObjectId;
use crate::hash::stable_hash;
use crate::units::Revision;

/// The number of buckets.
pub const BUCKETS: u8 = 64;

/// The bytes of a message that a row costs beside its identity.
const VERSION_BYTES: usize = 32;

/// The bytes of a message that an object costs beside its identity and content.
const OBJECT_BYTES: usize = 48;

/// A `BucketDigests` holds the digest of each bucket of a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketDigests([u64; BUCKETS as usize]);

impl Default for BucketDigests {
    fn default() -> Self {
        Self([0; BUCKETS as usize])
    }
}

impl BucketDigests {
    /// Returns the digests in the order of the buckets.
    #[must_use]
    pub const fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Returns the digest over all buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.0.iter().fold(0, |sum, d| sum.wrapping_add(*d))
    }

    /// Returns the buckets in which `other` differs.
    ///
    /// Buckets that `other` leaves out count as different.
    #[must_use]
    pub fn differing(&self, other: &[u64]) -> Vec<u8> {
        let differs = |bucket: &u8| {
            let i = usize::from(*bucket);
            other.get(i) != Some(&self.0[i])
        };
        (0..BUCKETS).filter(differs).collect()
    }

    pub(super) fn insert(&mut self, id: &ObjectId, revision: Revision) {
        let digest = &mut self.0[usize::from(bucket_of(id))];
        *digest = digest.wrapping_add(row_hash(id, revision));
    }

    pub(super) fn remove(&mut self, id: &ObjectId, revision: Revision) {
        let digest = &mut self.0[usize::from(bucket_of(id))];
        *digest = digest.wrapping_sub(row_hash(id, revision));
    }
}

/// Returns the bucket that an object belongs to.
pub(super) fn bucket_of(id: &ObjectId) -> u8 {
    let hash = stable_hash(&[id.kind.as_str().as_bytes(), id.name.as_str().as_bytes()]);
    let [low, ..] = hash.to_le_bytes();
    low % BUCKETS
}

fn row_hash(id: &ObjectId, revision: Revision) -> u64 {
    let kind = id.kind.as_str().as_bytes();
    let name = id.name.as_str().as_bytes();
    stable_hash(&[kind, name, &revision.0.to_le_bytes()])
}

/// A `Version` is the revision at which an object is held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Version {
    /// The identity of the object.
    pub id: ObjectId,
    /// The revision, or [`Revision::ABSENT`] when the object is not held.
    pub revision: Revision,
    /// The highest revision of the object that was rejected as invalid.
    pub rejected: Revision,
}

/// A `DigestRequest` asks another store for what it holds in newer revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DigestRequest {
    /// Asks for nothing.
    Nothing,
    /// Asks for the bucket digests when the roots differ.
    Root,
    /// Asks for what is newer in the named buckets.
    Versions {
        /// The buckets in question.
        buckets: Vec<u8>,
        /// Every row that the asking store holds in these buckets.
        held: Vec<Version>,
    },
}

/// A `DigestReply` tells the asking store what differs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DigestReply {
    /// The digest of each bucket; empty when the roots are equal.
    pub buckets: Vec<u64>,
    /// The objects that are newer than the rows of the request.
    pub objects: Vec<Object>,
    /// The objects of which the request's rows are newer.
    pub wanted: Vec<ObjectId>,
    /// Whether the byte budget left out some objects.
    pub more: bool,
}

impl DigestRequest {
    /// Returns the bytes that the request takes in a message at most.
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
    /// Returns the bytes that the answer takes in a message at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let buckets = self.buckets.len() * size_of::<u64>();
        let wanted = self.wanted.iter().map(|id| VERSION_BYTES + id_bytes(id));
        buckets + objects_bytes(&self.objects) + wanted.sum::<usize>()
    }
}

/// Returns the bytes that `objects` take in a message at most.
pub(crate) fn objects_bytes(objects: &[Object]) -> usize {
    let bytes = |object: &Object| {
        OBJECT_BYTES + id_bytes(&object.id) + encoded_bytes(object.spec.as_deref())
    };
    objects.iter().map(bytes).sum()
}

impl ConfigStore {
    /// Returns the digests of the buckets.
    #[must_use]
    pub const fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Returns the request for what is newer where `theirs` differs.
    ///
    /// Names as many differing buckets as fit in `budget` bytes, one at least,
    /// beginning with the bucket `turn` modulo [`BUCKETS`]. Returns `None` when no
    /// bucket differs.
    #[must_use]
    pub fn versions_request(
        &self,
        theirs: &[u64],
        turn: u32,
        budget: usize,
    ) -> Option<DigestRequest> {
        let mut buckets = Vec::new();
        let mut held = Vec::new();
        let mut bytes = 0;
        let mut differing = self.digests.differing(theirs);
        let first = differing.partition_point(|b| u32::from(*b) < turn % u32::from(BUCKETS));
        differing.rotate_left(first);
        for bucket in differing {
            let rows = self.versions(bucket);
            bytes += rows.iter().map(version_bytes).sum::<usize>();
            if bytes > budget && !buckets.is_empty() {
                break;
            }
            buckets.push(bucket);
            held.extend(rows);
        }
        (!buckets.is_empty()).then_some(DigestRequest::Versions { buckets, held })
    }

    /// Returns the answer to a request whose sender has the root digest `root`.
    ///
    /// The objects are sorted by revision and fill at most `budget` bytes, one
    /// object at least.
    #[must_use]
    pub fn reply(&self, root: u64, request: &DigestRequest, budget: usize) -> DigestReply {
        if root == self.digests.root() || *request == DigestRequest::Nothing {
            return DigestReply::default();
        }
        let mut answer = DigestReply {
            buckets: self.digests.as_slice().to_vec(),
            ..DigestReply::default()
        };
        if let DigestRequest::Versions { buckets, held } = request {
            let newer = self.newer_than(buckets, held);
            (answer.objects, answer.more) = self.within(newer, budget);
            answer.wanted = self.wanted(held, budget);
        }
        answer
    }

    /// Returns those of `ids` that are held, by revision, within `budget` bytes.
    #[must_use]
    pub fn objects(&self, ids: &[ObjectId], budget: usize) -> Vec<Object> {
        let rows = ids.iter().filter_map(|id| {
            let revision = self.held(id)?.revision;
            Some((revision, id.clone()))
        });
        self.within(rows.collect(), budget).0
    }

    fn versions(&self, bucket: u8) -> Vec<Version> {
        let rows = self.buckets.get(&bucket).into_iter().flatten();
        let held = rows.map(|(id, _)| id);
        let unknown = |id: &&ObjectId| bucket_of(id) == bucket && self.held(id).is_none();
        let rejected = self.rejected.keys().filter(unknown);
        held.chain(rejected)
            .map(|id| Version {
                id: id.clone(),
                revision: self.revision(id),
                rejected: self.rejected_revision(id),
            })
            .collect()
    }

    fn newer_than(&self, buckets: &[u8], held: &[Version]) -> Vec<(Revision, ObjectId)> {
        let theirs: BTreeMap<&ObjectId, &Version> = held.iter().map(|row| (&row.id, row)).collect();
        let lacks = |id: &ObjectId, revision: Revision| {
            theirs
                .get(id)
                .is_none_or(|row| row.revision < revision && row.rejected != revision)
        };
        let rows = buckets.iter().filter_map(|b| self.buckets.get(b)).flatten();
        rows.filter(|(id, ours)| lacks(id, ours.revision))
            .map(|(id, ours)| (ours.revision, id.clone()))
            .collect()
    }

    fn wanted(&self, held: &[Version], budget: usize) -> Vec<ObjectId> {
        let newer = held.iter().filter(|row| {
            let lacking = self.revision(&row.id) < row.revision;
            lacking && self.rejected_revision(&row.id) != row.revision
        });
        let limit = budget / VERSION_BYTES;
        newer.take(limit).map(|row| row.id.clone()).collect()
    }

    fn within(&self, mut rows: Vec<(Revision, ObjectId)>, budget: usize) -> (Vec<Object>, bool) {
        rows.sort();
        let mut objects = Vec::new();
        let mut bytes = 0;
        for (_, id) in rows {
            bytes += self.object_bytes(&id);
            if bytes > budget && !objects.is_empty() {
                return (objects, true);
            }
            objects.extend(self.get(&id));
        }
        (objects, false)
    }

    /// Returns the bytes that an object takes in a message.
    fn object_bytes(&self, id: &ObjectId) -> usize {
        let content = self.held(id).map_or(0, |held| held.bytes);
        OBJECT_BYTES + id_bytes(id) + content
    }
}

fn version_bytes(row: &Version) -> usize {
    VERSION_BYTES + id_bytes(&row.id)
}

fn id_bytes(id: &ObjectId) -> usize {
    id.kind.as_str().len() + id.name.as_str().len() + 1
}
