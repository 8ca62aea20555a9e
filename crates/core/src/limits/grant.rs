//! Messages that transfer tokens between instances.

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

/// A `GrantRequest` requests tokens from a slot owner and reports on earlier grants.
///
/// A request that is received twice gets the same reply and has no further
/// effect. If a request is lost, the tokens returned in its reports are lost as well.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// The requesting instance.
    pub from: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The identifier of the request at the requesting instance.
    pub id: RequestId,
    /// The tokens requested, or `None` when the request only reports.
    pub tokens: Option<TokenRequest>,
    /// The use of earlier grants.
    pub reports: Vec<GrantReport>,
}

/// A `TokenRequest` describes the tokens that an instance requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// The team whose tokens are requested.
    pub team: TeamName,
    /// The slot that issues them.
    pub slot: u16,
    /// The tokens that a waiting request lacks.
    pub needed: Tokens,
    /// The tokens that the instance expects to use soon.
    pub wanted: Tokens,
    /// Whether a grant of less than `needed` is useful, since other owners may add to it.
    pub partial: bool,
}

/// A `GrantReport` contains the use of a grant since the last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// The grant.
    pub id: GrantId,
    /// The team whose tokens were granted.
    pub team: TeamName,
    /// The slot that issued them.
    pub slot: u16,
    /// The tokens that settled reservations have used.
    pub used: Tokens,
    /// The tokens returned: not drawn, or drawn and not used.
    pub returned: Tokens,
}

/// A `GrantReply` is the reply to a [`GrantRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReply {
    /// The identifier of the request.
    pub request: RequestId,
    /// The grant, if any.
    pub grant: Option<Grant>,
    /// The time after which to request tokens from the owner again.
    pub retry_after: Duration,
}

/// A `Grant` contains tokens that an owner transfers to the requesting instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The identifier of the grant.
    pub id: GrantId,
    /// The number of tokens.
    pub amount: Tokens,
}

/// An `OutgoingRequest` is a request to send to a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingRequest {
    /// The receiving instance.
    pub to: InstanceName,
    /// The request.
    pub request: GrantRequest,
}

/// A `PendingRequest` is a request for tokens whose reply hasn't been received.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) to: InstanceName,
    pub(super) team: TeamName,
    pub(super) slot: u16,
    pub(super) sent_at: Time,
}
