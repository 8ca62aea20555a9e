//! The exchange by which rows and configuration spread between instances.
//!
//! Once a second an instance opens an exchange with a random peer. The request
//! carries rows and the root digest. Where the roots differ the reply carries
//! the bucket digests, and the asking instance goes on with the rows of the
//! differing buckets until both hold the same. Every message stays within a
//! budget of bytes; what does not fit follows in the next one.

use std::cmp::Reverse;
use std::time::Duration;

use super::members::Member;
use super::members::Members;
use super::members::Source;
use super::row::Heartbeat;
use super::row::MemberRecord;
use super::row::Replaced;
use crate::config::Object;
use crate::store::Change;
use crate::store::ConfigStore;
use crate::store::DigestReply;
use crate::store::DigestRequest;
use crate::store::objects_bytes;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// An `ExchangeOptions` holds the bounds of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeOptions {
    /// The rows that a message carries beside the sender's.
    pub rows: usize,
    /// The heartbeats that a message carries beside the sender's.
    pub heartbeats: usize,
    /// The rows that a message asks for, or carries because they were asked for.
    pub unknown: usize,
    /// The bytes of objects that a message carries, one object at least.
    pub object_bytes: usize,
    /// The bytes of (id, revision) rows that a request carries.
    pub version_bytes: usize,
    /// The requests that one exchange takes.
    pub rounds: u32,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            rows: 1,
            heartbeats: 24,
            unknown: 24,
            object_bytes: 64 * 1024,
            version_bytes: 16 * 1024,
            rounds: 256,
        }
    }
}

/// An `ExchangeRequest` opens or continues an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeRequest {
    /// The sender.
    pub from: MemberRecord,
    /// Rows of other instances.
    pub records: Vec<MemberRecord>,
    /// The heartbeats of other instances.
    pub heartbeats: Vec<Heartbeat>,
    /// Incarnations whose rows the sender lacks.
    pub unknown: Vec<Incarnation>,
    /// The digest over all objects that the sender holds.
    pub root: u64,
    /// What the sender asks for.
    pub query: DigestRequest,
    /// Objects that the receiver may lack.
    pub objects: Vec<Object>,
}

impl ExchangeRequest {
    /// Returns the bytes that the request takes on a connection at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let unknown = self.unknown.len() * size_of::<Incarnation>();
        let rows = rows_bytes(&self.from, &self.records, &self.heartbeats);
        FRAME_BYTES + rows + unknown + self.query.bytes() + objects_bytes(&self.objects)
    }
}

/// The bytes of a call or a reply beside its rows, objects and digests.
const FRAME_BYTES: usize = 320;

fn rows_bytes(from: &MemberRecord, rows: &[MemberRecord], heartbeats: &[Heartbeat]) -> usize {
    let rows: usize = rows.iter().map(MemberRecord::bytes).sum();
    from.bytes() + rows + heartbeats.len() * Heartbeat::BYTES
}

/// An `ExchangeReply` is the answer to an [`ExchangeRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeReply {
    /// What the receiver holds.
    State(Box<PeerState>),
    /// The sender's incarnation has been replaced.
    Replaced(Replaced),
}

/// A `PeerState` is what a replying instance holds and lacks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerState {
    /// The replying instance.
    pub from: MemberRecord,
    /// Rows of other instances.
    pub records: Vec<MemberRecord>,
    /// The heartbeats of other instances.
    pub heartbeats: Vec<Heartbeat>,
    /// The digest over all objects that the replying instance holds.
    pub root: u64,
    /// How far its configuration is complete, if the platform ever said so.
    pub completeness: Option<Completeness>,
    /// What differs.
    pub digests: DigestReply,
}

impl PeerState {
    /// Returns the bytes that the state takes on a connection at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let rows = rows_bytes(&self.from, &self.records, &self.heartbeats);
        FRAME_BYTES + rows + self.digests.bytes()
    }
}

/// A `Completeness` tells up to which revision a configuration is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completeness {
    /// The revision.
    pub revision: Revision,
    /// The time since the platform confirmed it.
    pub age: Duration,
}

/// A `PendingRequest` is a request with what its sender has to know of it later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRequest {
    /// The request to send.
    pub request: ExchangeRequest,
    /// The time before it was sent.
    pub sent: Time,
    /// The number of requests before it in the same exchange.
    pub round: u32,
}

/// An `ExchangeOutcome` is what a reply brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeOutcome {
    /// The instance that replied.
    pub from: MemberRecord,
    /// Whether the reply counts as contact: its sender has not been replaced.
    pub contact: bool,
    /// The changes of configuration.
    pub changes: Vec<Change>,
    /// The request by which the exchange goes on at once, if it does.
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
        records: members.rows_to_relay(opts.rows, now),
        heartbeats: members.beats_to_relay(opts.heartbeats, now),
        unknown: members.rows_to_ask(opts.unknown),
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

/// Returns the request by which a watcher pushes `objects` to a peer.
///
/// It carries no rows and asks for nothing.
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

/// Takes in a request and returns the reply with the changes it brought.
pub fn handle_request(
    store: &mut ConfigStore,
    members: &mut Members,
    request: ExchangeRequest,
    opts: &ExchangeOptions,
    now: Time,
) -> (ExchangeReply, Vec<Change>) {
    if let Err(replaced) = members.admit(&request.from, now) {
        return (ExchangeReply::Replaced(replaced), Vec::new());
    }
    members.absorb_relayed(&request.from, &request.records, &request.heartbeats, now);
    let changes = store.merge_all(request.objects);
    let digests = store.reply(request.root, &request.query, opts.object_bytes);
    let completeness = store.confirmation().map(|c| Completeness {
        revision: c.revision,
        age: c.age(now),
    });
    let (mut rows, heartbeats) = match request.query {
        DigestRequest::Root => (
            members.rows_to_relay(opts.rows, now),
            members.newer_beats(&request.heartbeats, opts.heartbeats, now),
        ),
        DigestRequest::Nothing | DigestRequest::Versions { .. } => (Vec::new(), Vec::new()),
    };
    let asked = request.unknown.iter().take(opts.unknown);
    rows.extend(asked.filter_map(|incarnation| members.row_of(*incarnation)));
    let state = PeerState {
        from: members.own().clone(),
        records: rows,
        heartbeats,
        root: store.digests().root(),
        completeness,
        digests,
    };
    (ExchangeReply::State(Box::new(state)), changes)
}

/// Takes in the reply to a request.
///
/// # Errors
///
/// Returns [`Replaced`] when the peer refused contact to this incarnation.
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
            members.refused(replaced);
            return Err(replaced);
        }
    };
    let contact = members.admit(&state.from, now).is_ok();
    members.absorb_relayed(&state.from, &state.records, &state.heartbeats, now);
    let changes = store.merge_all(std::mem::take(&mut state.digests.objects));
    if store.digests().root() == state.root {
        adopt(store, state.completeness, pending.sent);
    }
    let learned = !changes.is_empty() || pending.request.query == DigestRequest::Root;
    let next = follow_up(store, members, pending, &state, opts, now)
        .filter(|next| learned || !next.request.objects.is_empty());
    Ok(ExchangeOutcome {
        from: state.from,
        contact,
        changes,
        next,
    })
}

/// Returns the request by which an exchange goes on, if it does.
fn follow_up(
    store: &ConfigStore,
    members: &Members,
    pending: &PendingRequest,
    state: &PeerState,
    opts: &ExchangeOptions,
    now: Time,
) -> Option<PendingRequest> {
    let round = pending.round + 1;
    let objects = store.objects(&state.digests.wanted, opts.object_bytes);
    let root = store.digests().root();
    let differs = root != state.root && !state.digests.buckets.is_empty();
    let turn = members.own().heartbeat.wrapping_add(round);
    let query = differs
        .then(|| store.versions_request(&state.digests.buckets, turn, opts.version_bytes))
        .flatten();
    let unknown = if state.heartbeats.is_empty() {
        Vec::new()
    } else {
        members.rows_to_ask(opts.unknown)
    };
    let idle = query.is_none() && objects.is_empty() && unknown.is_empty();
    if idle || round >= opts.rounds {
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

/// Adopts the confirmation of a peer that holds the same objects.
///
/// Its age counts from the time at which the request was sent, which is not
/// later than the time at which the peer stated it.
fn adopt(store: &mut ConfigStore, completeness: Option<Completeness>, sent: Time) {
    if let Some(completeness) = completeness {
        store.confirm(completeness.revision, completeness.age, sent);
    }
}

impl Members {
    /// Takes in what the instance `from` passed on of others.
    fn absorb_relayed(
        &mut self,
        from: &MemberRecord,
        rows: &[MemberRecord],
        heartbeats: &[Heartbeat],
        now: Time,
    ) {
        for row in rows {
            self.absorb(row, Source::Relayed, now);
        }
        if from.domain == self.own.domain && !heartbeats.is_empty() {
            self.absorb_beats(heartbeats, now);
        }
    }

    fn row_of(&self, incarnation: Incarnation) -> Option<MemberRecord> {
        let found = self.iter().find(|m| m.record.incarnation == incarnation);
        found.map(|member| member.record.clone())
    }

    fn rows_to_ask(&self, limit: usize) -> Vec<Incarnation> {
        self.unknown.iter().take(limit).copied().collect()
    }

    /// Returns the rows to pass on, in turn, so that each one comes by and by.
    fn rows_to_relay(&self, limit: usize, now: Time) -> Vec<MemberRecord> {
        let mut live = self.live(now);
        let turn = usize::try_from(self.own.heartbeat).unwrap_or(0);
        let first = turn.checked_rem(live.len()).unwrap_or(0);
        live.rotate_left(first);
        let chosen = live.into_iter().take(limit);
        chosen.map(|member| member.record.clone()).collect()
    }

    /// Returns the heartbeats to pass on: those that advanced last.
    fn beats_to_relay(&self, limit: usize, now: Time) -> Vec<Heartbeat> {
        let mut live = self.live(now);
        live.retain(|member| member.record.domain == self.own.domain);
        live.sort_by_key(|member| Reverse(member.advanced));
        let newest = live.into_iter().take(limit);
        newest.map(|member| member.record.to_heartbeat()).collect()
    }

    /// Returns the heartbeats to pass on that are not among `theirs`.
    fn newer_beats(&self, theirs: &[Heartbeat], limit: usize, now: Time) -> Vec<Heartbeat> {
        let mut heartbeats = self.beats_to_relay(limit, now);
        heartbeats.retain(|ours| {
            let mut same = theirs.iter().filter(|b| b.incarnation == ours.incarnation);
            same.all(|b| b.heartbeat < ours.heartbeat)
        });
        heartbeats
    }

    fn live(&self, now: Time) -> Vec<&Member> {
        let members = self.iter();
        members.filter(|member| self.is_live(member, now)).collect()
    }
}
