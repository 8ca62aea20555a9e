//! Results of reserving tokens.

use super::grant::OutgoingRequest;
use super::received::GrantDraw;
use crate::names::TeamName;
use crate::refusal::Refusal;
use crate::units::Tokens;

/// A `Round` determines from which owners a reservation may request tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Round {
    /// Owners in the local failure domain, or in others if the local one has none.
    Local,
    /// Owners in remote failure domains.
    Remote,
    /// None: the request is admitted or refused.
    Last,
}

impl Round {
    /// Returns the round that follows after the replies of this one.
    #[must_use]
    pub const fn next(self) -> Self {
        match self {
            Self::Local => Self::Remote,
            Self::Remote | Self::Last => Self::Last,
        }
    }
}

/// A `ReserveResult` is the result of a reservation.
#[derive(Debug)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Admitted(Reservation),
    /// Too few tokens: send these requests, then reserve again in the next round.
    NeedsGrants(Vec<OutgoingRequest>),
    /// The request is refused and must not run.
    Refused(Refusal),
}

/// A `Reservation` contains the tokens reserved for one admitted request.
///
/// It is settled once, by value. If it is dropped instead, all of its tokens
/// count as used.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    pub(super) team: TeamName,
    pub(super) amount: Tokens,
    pub(super) draws: Vec<Draw>,
}

impl Reservation {
    /// Returns the team whose tokens are reserved.
    #[must_use]
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the number of tokens reserved.
    #[must_use]
    pub const fn amount(&self) -> Tokens {
        self.amount
    }
}

/// A `Draw` counts the tokens that a reservation has drawn from one source.
#[derive(Debug)]
pub(super) enum Draw {
    /// From the account of an owned slot.
    Own {
        /// The slot.
        slot: u16,
        /// The number of the reservation in the account.
        id: u64,
        /// The tokens drawn.
        amount: Tokens,
    },
    /// From a received grant.
    Granted(GrantDraw),
}

impl Draw {
    pub(super) const fn amount(&self) -> Tokens {
        match self {
            Self::Own { amount, .. } => *amount,
            Self::Granted(draw) => draw.amount,
        }
    }
}
