//! The messages by which tokens move between instances.

use std::time::Duration;

use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::Incarnation;
use crate::units::Time;
use crate::units::Tokens;

/// A `RequestId` identifies a request of one incarnation of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// A `GrantId` identifies a grant of one incarnation of a granter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GrantId {
    /// The incarnation of the granter.
    pub incarnation: Incarnation,
    /// The number of the grant at its granter.
    pub number: u64,
}

/// A `GrantRequest` asks an owner for tokens and reports on earlier grants.
///
/// A request that arrives twice is answered with the same reply and has no
/// further effect. The tokens given back by a report that is lost are lost too.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// The instance that asks.
    pub from: InstanceName,
    /// The incarnation that asks.
    pub incarnation: Incarnation,
    /// The identity of the request at the instance that asks.
    pub id: RequestId,
    /// The tokens asked for, or `None` when the request only reports.
    pub tokens: Option<TokenRequest>,
    /// What became of earlier grants.
    pub reports: Vec<GrantReport>,
}

/// A `TokenRequest` names the tokens that an instance asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// The team whose tokens are asked for.
    pub team: TeamName,
    /// The slot that mints them.
    pub slot: u16,
    /// The tokens that a waiting request lacks.
    pub needed: Tokens,
    /// The tokens that the instance expects to use soon.
    pub wanted: Tokens,
    /// Whether less than the needed tokens is of use, as others may add to it.
    pub partial: bool,
}

/// A `GrantReport` tells what has become of a grant since the last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// The grant.
    pub id: GrantId,
    /// The team whose tokens were granted.
    pub team: TeamName,
    /// The slot that minted them.
    pub slot: u16,
    /// The tokens that settled reservations have used.
    pub used: Tokens,
    /// The tokens given back: not drawn, or drawn and not used.
    pub returned: Tokens,
}

/// A `GrantReply` answers a [`GrantRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReply {
    /// The request that is answered.
    pub request: RequestId,
    /// The tokens that move, if any.
    pub grant: Option<Grant>,
    /// The time after which it makes sense to ask the owner again.
    pub retry_after: Duration,
}

/// A `Grant` is a grant as its receiver sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The grant.
    pub id: GrantId,
    /// The tokens that move.
    pub amount: Tokens,
}

/// An `OutgoingRequest` is a request on its way to a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingRequest {
    /// The receiving instance.
    pub to: InstanceName,
    /// The request.
    pub request: GrantRequest,
}

/// A `PendingAsk` is a request whose reply has not arrived.
#[derive(Clone, Debug)]
pub(super) struct PendingAsk {
    pub(super) to: InstanceName,
    pub(super) team: TeamName,
    pub(super) slot: u16,
    pub(super) sent_at: Time,
}
