//! The memory of replies by which a repeated request has no second effect.

use std::collections::BTreeMap;
use std::time::Duration;

use super::grant::GrantReply;
use super::grant::GrantRequest;
use super::grant::RequestId;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Time;

/// The number of replies that are kept for each peer.
const MAX_REPLIES: usize = 32;

#[derive(Clone, Debug, Default)]
struct PeerReplies {
    replies: BTreeMap<RequestId, GrantReply>,
    forgotten: Option<RequestId>,
    last_at: Time,
}

/// A `Seen` tells whether a request has been handled before.
#[derive(Clone, Debug)]
pub(super) enum Seen {
    /// The request is new.
    New,
    /// The request was answered with this reply.
    Answered(GrantReply),
    /// The request is older than the replies that are kept.
    Forgotten,
}

/// A `Replies` holds the latest replies to each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Replies {
    peers: BTreeMap<(InstanceName, Incarnation), PeerReplies>,
}

impl Replies {
    pub(super) fn find(&self, req: &GrantRequest) -> Seen {
        let key = (req.from.clone(), req.incarnation);
        let Some(peer) = self.peers.get(&key) else {
            return Seen::New;
        };
        if let Some(reply) = peer.replies.get(&req.id) {
            return Seen::Answered(reply.clone());
        }
        if peer.forgotten.is_some_and(|id| req.id <= id) {
            return Seen::Forgotten;
        }
        Seen::New
    }

    pub(super) fn keep(&mut self, req: &GrantRequest, reply: GrantReply, now: Time) {
        let key = (req.from.clone(), req.incarnation);
        let peer = self.peers.entry(key).or_default();
        peer.last_at = now;
        peer.replies.insert(req.id, reply);
        if peer.replies.len() > MAX_REPLIES {
            let oldest = peer.replies.pop_first();
            peer.forgotten = oldest.map(|(id, _)| id).max(peer.forgotten);
        }
    }

    /// Forgets the peers that have been silent for `memory`.
    pub(super) fn prune(&mut self, now: Time, memory: Duration) {
        self.peers.retain(|_, p| now.since(p.last_at) < memory);
    }
}
