//! Cache of replies, so that a repeated request has no further effect.

use std::collections::BTreeMap;
use std::time::Duration;

use super::grant::GrantReply;
use super::grant::GrantRequest;
use super::grant::RequestId;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Time;

/// The maximum number of replies kept for each peer.
const MAX_REPLIES_PER_PEER: usize = 32;

#[derive(Clone, Debug, Default)]
struct PeerReplies {
    replies: BTreeMap<RequestId, GrantReply>,
    last_evicted: Option<RequestId>,
    last_request_at: Time,
}

/// A `CachedReply` is the result of a lookup in a [`ReplyCache`].
#[derive(Clone, Debug)]
pub(super) enum CachedReply {
    /// The request is new.
    New,
    /// The request was handled before, with this reply.
    Found(GrantReply),
    /// The request is older than the replies that are kept.
    Evicted,
}

/// A `ReplyCache` contains the latest replies to each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    peers: BTreeMap<(InstanceName, Incarnation), PeerReplies>,
}

impl ReplyCache {
    pub(super) fn lookup(&self, req: &GrantRequest) -> CachedReply {
        let key = (req.from.clone(), req.incarnation);
        let Some(peer) = self.peers.get(&key) else {
            return CachedReply::New;
        };
        if let Some(reply) = peer.replies.get(&req.id) {
            return CachedReply::Found(reply.clone());
        }
        if peer.last_evicted.is_some_and(|id| req.id <= id) {
            return CachedReply::Evicted;
        }
        CachedReply::New
    }

    pub(super) fn insert(&mut self, req: &GrantRequest, reply: GrantReply, now: Time) {
        let key = (req.from.clone(), req.incarnation);
        let peer = self.peers.entry(key).or_default();
        peer.last_request_at = now;
        peer.replies.insert(req.id, reply);
        if peer.replies.len() > MAX_REPLIES_PER_PEER {
            let oldest = peer.replies.pop_first();
            peer.last_evicted = oldest.map(|(id, _)| id).max(peer.last_evicted);
        }
    }

    /// Removes the replies to peers without a request for `retention`.
    pub(super) fn prune(&mut self, now: Time, retention: Duration) {
        self.peers
            .retain(|_, p| now.since(p.last_request_at) < retention);
    }
}
