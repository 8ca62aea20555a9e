//! The anti-entropy exchange of membership records and configuration objects.
//!
//! Once a second an instance opens an exchange with a random peer. The request
//! contains member records and the root digest. If the root digests differ, the reply
//! contains the bucket digests, and the requesting instance continues with the
//! versions in the differing buckets until both instances have the same objects. The
//! size of each message is limited; the remainder follows in the next message.

use std::cmp::Reverse;
use std::time::Duration;

use super::members::Member;
use super::members::Members;
use super::members::RecordSource;
use super::record::Heartbeat;
use super::record::MemberRecord;
use super::record::Replaced;
use crate::config::Object;
use crate::store::Change;
use crate::store::ConfigStore;
use crate::store::DigestReply;
use crate::store::DigestRequest;
use crate::store::objects_bytes;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// An `ExchangeOptions` contains the limits of messages and exchanges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeOptions {
    /// The maximum number of relayed records per message.
    pub max_records: usize,
    /// The maximum number of relayed heartbeats per message.
    pub max_heartbeats: usize,
    /// The maximum number of records per message that are requested, or included
    /// because they were requested.
    pub max_requested: usize,
    /// The maximum size of the objects in a message, in bytes. At least one object is
    /// sent.
    pub max_object_bytes: usize,
    /// The maximum size of the (id, revision) pairs in a request, in bytes.
    pub max_version_bytes: usize,
    /// The maximum number of requests per exchange.
    pub max_rounds: u32,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            max_records: 1,
            max_heartbeats: 24,
            max_requested: 24,
            max_object_bytes: 64 * 1024,
            max_version_bytes: 16 * 1024,
            max_rounds: 256,
        }
    }
}

/// An `ExchangeRequest` opens or continues an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeRequest {
    /// The record of the sender.
    pub from: MemberRecord,
    /// The records of other instances.
    pub records: Vec<MemberRecord>,
    /// The heartbeats of other instances.
    pub heartbeats: Vec<Heartbeat>,
    /// The incarnations whose records the sender requests.
    pub unknown: Vec<Incarnation>,
    /// The digest of all objects of the sender.
    pub root: u64,
    /// The digests or objects that the sender requests.
    pub query: DigestRequest,
    /// The objects that the receiver may not have.
    pub objects: Vec<Object>,
}

impl ExchangeRequest {
    /// Returns the maximum encoded size of the request in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let unknown = self.unknown.len() * size_of::<Incarnation>();
        let records = records_bytes(&self.from, &self.records, &self.heartbeats);
        FRAME_BYTES + records + unknown + self.query.bytes() + objects_bytes(&self.objects)
    }
}

/// The size of a call or a reply in bytes, without its records, objects and digests.
const FRAME_BYTES: usize = 320;

fn records_bytes(from: &MemberRecord, records: &[MemberRecord], heartbeats: &[Heartbeat]) -> usize {
    let records: usize = records.iter().map(MemberRecord::bytes).sum();
    from.bytes() + records + heartbeats.len() * Heartbeat::BYTES
}

/// An `ExchangeReply` is the reply to an [`ExchangeRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeReply {
    /// The state of the replying instance.
    State(Box<PeerState>),
    /// The incarnation of the sender has been replaced.
    Replaced(Replaced),
}

/// A `PeerState` is the state of the replying instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerState {
    /// The record of the replying instance.
    pub from: MemberRecord,
    /// The records of other instances.
    pub records: Vec<MemberRecord>,
    /// The heartbeats of other instances.
    pub heartbeats: Vec<Heartbeat>,
    /// The digest of all objects of the replying instance.
    pub root: u64,
    /// The revision up to which its configuration is complete, if it was ever
    /// confirmed by the platform.
    pub completeness: Option<Completeness>,
    /// The reply to the digest request.
    pub digests: DigestReply,
}

impl PeerState {
    /// Returns the maximum encoded size of the state in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let records = records_bytes(&self.from, &self.records, &self.heartbeats);
        FRAME_BYTES + records + self.digests.bytes()
    }
}

/// A `Completeness` is the revision up to which a configuration is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completeness {
    /// The revision.
    pub revision: Revision,
    /// The time since the confirmation by the platform.
    pub age: Duration,
}

/// A `PendingRequest` is a request with the data needed to process its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRequest {
    /// The request to send.
    pub request: ExchangeRequest,
    /// The time at which the request was created, before it was sent.
    pub sent: Time,
    /// The number of previous requests in the same exchange.
    pub round: u32,
}

/// An `ExchangeOutcome` is the result of applying a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeOutcome {
    /// The record of the replying instance.
    pub from: MemberRecord,
    /// Whether the reply counts as contact, because its sender has not been replaced.
    pub contact: bool,
    /// The configuration changes.
    pub changes: Vec<Change>,
    /// The next request of the exchange, to be sent immediately, if any.
    pub next: Option<PendingRequest>,
}

/// Returns the request that opens an exchange.
#[must_use]
pub fn open(
    store: &ConfigStore,
    members: &Members,
    opts: &ExchangeOptions,
    now: Time,
) -> PendingRequest {
    let request = ExchangeRequest {
        from: members.own().clone(),
        records: members.records_to_relay(opts.max_records, now),
        heartbeats: members.heartbeats_to_relay(opts.max_heartbeats, now),
        unknown: members.incarnations_to_request(opts.max_requested),
        root: store.digests().root(),
        query: DigestRequest::Root,
        objects: Vec::new(),
    };
    PendingRequest {
        request,
        sent: now,
        round: 0,
    }
}

/// Returns the request with which a watcher pushes `objects` to a peer.
///
/// It contains no records of other instances and requests nothing.
#[must_use]
pub fn push(
    store: &ConfigStore,
    members: &Members,
    objects: Vec<Object>,
    now: Time,
) -> PendingRequest {
    let request = ExchangeRequest {
        from: members.own().clone(),
        records: Vec::new(),
        heartbeats: Vec::new(),
        unknown: Vec::new(),
        root: store.digests().root(),
        query: DigestRequest::Nothing,
        objects,
    };
    PendingRequest {
        request,
        sent: now,
        round: 0,
    }
}

/// Applies a request and returns the reply with the resulting configuration changes.
pub fn handle_request(
    store: &mut ConfigStore,
    members: &mut Members,
    request: ExchangeRequest,
    opts: &ExchangeOptions,
    now: Time,
) -> (ExchangeReply, Vec<Change>) {
    if let Err(replaced) = members.accept_contact(&request.from, now) {
        return (ExchangeReply::Replaced(replaced), Vec::new());
    }
    members.apply_relayed(&request.from, &request.records, &request.heartbeats, now);
    let changes = store.merge_all(request.objects);
    let digests = store.reply(request.root, &request.query, opts.max_object_bytes);
    let completeness = store.confirmation().map(|c| Completeness {
        revision: c.revision,
        age: c.age(now),
    });
    let (mut records, heartbeats) = match request.query {
        DigestRequest::Root => (
            members.records_to_relay(opts.max_records, now),
            members.newer_heartbeats(&request.heartbeats, opts.max_heartbeats, now),
        ),
        DigestRequest::Nothing | DigestRequest::Versions { .. } => (Vec::new(), Vec::new()),
    };
    let asked = request.unknown.iter().take(opts.max_requested);
    records.extend(asked.filter_map(|incarnation| members.record_of(*incarnation)));
    let state = PeerState {
        from: members.own().clone(),
        records,
        heartbeats,
        root: store.digests().root(),
        completeness,
        digests,
    };
    (ExchangeReply::State(Box::new(state)), changes)
}

/// Applies the reply to a request.
///
/// # Errors
///
/// Returns [`Replaced`] if the peer refused contact because this incarnation has been
/// replaced.
pub fn apply_reply(
    store: &mut ConfigStore,
    members: &mut Members,
    pending: &PendingRequest,
    reply: ExchangeReply,
    opts: &ExchangeOptions,
    now: Time,
) -> Result<ExchangeOutcome, Replaced> {
    let mut state = match reply {
        ExchangeReply::State(state) => state,
        ExchangeReply::Replaced(replaced) => {
            members.on_contact_refused(replaced);
            return Err(replaced);
        }
    };
    let contact = members.accept_contact(&state.from, now).is_ok();
    members.apply_relayed(&state.from, &state.records, &state.heartbeats, now);
    let changes = store.merge_all(std::mem::take(&mut state.digests.objects));
    if store.digests().root() == state.root {
        adopt_confirmation(store, state.completeness, pending.sent);
    }
    let has_progress = !changes.is_empty() || pending.request.query == DigestRequest::Root;
    let next = follow_up(store, members, pending, &state, opts, now)
        .filter(|next| has_progress || !next.request.objects.is_empty());
    Ok(ExchangeOutcome {
        from: state.from,
        contact,
        changes,
        next,
    })
}

/// Returns the next request of an exchange, if any.
fn follow_up(
    store: &ConfigStore,
    members: &Members,
    pending: &PendingRequest,
    state: &PeerState,
    opts: &ExchangeOptions,
    now: Time,
) -> Option<PendingRequest> {
    let round = pending.round + 1;
    let objects = store.objects(&state.digests.wanted, opts.max_object_bytes);
    let root = store.digests().root();
    let differs = root != state.root && !state.digests.buckets.is_empty();
    let rotation = members.own().heartbeat.wrapping_add(round);
    let query = differs
        .then(|| store.versions_request(&state.digests.buckets, rotation, opts.max_version_bytes))
        .flatten();
    let unknown = if state.heartbeats.is_empty() {
        Vec::new()
    } else {
        members.incarnations_to_request(opts.max_requested)
    };
    let is_finished = query.is_none() && objects.is_empty() && unknown.is_empty();
    if is_finished || round >= opts.max_rounds {
        return None;
    }
    let request = ExchangeRequest {
        from: members.own().clone(),
        records: Vec::new(),
        heartbeats: Vec::new(),
        unknown,
        root,
        query: query.unwrap_or(DigestRequest::Nothing),
        objects,
    };
    Some(PendingRequest {
        request,
        sent: now,
        round,
    })
}

/// Adopts the confirmation of a peer that has the same objects.
///
/// The age is counted from when the request was sent, which is not later than when
/// the peer determined it.
fn adopt_confirmation(store: &mut ConfigStore, completeness: Option<Completeness>, sent: Time) {
    if let Some(completeness) = completeness {
        store.confirm(completeness.revision, completeness.age, sent);
    }
}

impl Members {
    /// Applies the records and heartbeats of other instances relayed by `from`.
    fn apply_relayed(
        &mut self,
        from: &MemberRecord,
        records: &[MemberRecord],
        heartbeats: &[Heartbeat],
        now: Time,
    ) {
        for record in records {
            self.apply_record(record, RecordSource::Relayed, now);
        }
        if from.domain == self.own.domain && !heartbeats.is_empty() {
            self.apply_heartbeats(heartbeats, now);
        }
    }

    fn record_of(&self, incarnation: Incarnation) -> Option<MemberRecord> {
        let found = self.iter().find(|m| m.record.incarnation == incarnation);
        found.map(|member| member.record.clone())
    }

    fn incarnations_to_request(&self, limit: usize) -> Vec<Incarnation> {
        self.unknown.iter().take(limit).copied().collect()
    }

    /// Returns the records to relay, in rotation so that all are relayed over time.
    fn records_to_relay(&self, limit: usize, now: Time) -> Vec<MemberRecord> {
        let mut live = self.live_members(now);
        let rotation = usize::try_from(self.own.heartbeat).unwrap_or(0);
        let first = rotation.checked_rem(live.len()).unwrap_or(0);
        live.rotate_left(first);
        let chosen = live.into_iter().take(limit);
        chosen.map(|member| member.record.clone()).collect()
    }

    /// Returns the heartbeats to relay, which are those that advanced last.
    fn heartbeats_to_relay(&self, limit: usize, now: Time) -> Vec<Heartbeat> {
        let mut live = self.live_members(now);
        live.retain(|member| member.record.domain == self.own.domain);
        live.sort_by_key(|member| Reverse(member.last_advance));
        let newest = live.into_iter().take(limit);
        newest.map(|member| member.record.to_heartbeat()).collect()
    }

    /// Returns the heartbeats to relay that are newer than `theirs`.
    fn newer_heartbeats(&self, theirs: &[Heartbeat], limit: usize, now: Time) -> Vec<Heartbeat> {
        let mut heartbeats = self.heartbeats_to_relay(limit, now);
        heartbeats.retain(|ours| {
            let mut same = theirs.iter().filter(|b| b.incarnation == ours.incarnation);
            same.all(|b| b.heartbeat < ours.heartbeat)
        });
        heartbeats
    }

    fn live_members(&self, now: Time) -> Vec<&Member> {
        let members = self.iter();
        members.filter(|member| self.is_live(member, now)).collect()
    }
}
