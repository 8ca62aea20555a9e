//! What comes of an attempt to reserve tokens.

use super::grant::OutgoingRequest;
use super::pocket::Draw;
use crate::names::TeamName;
use crate::refusal::Refusal;
use crate::units::Tokens;

/// A `Round` says which owners an attempt may still ask for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Round {
    /// Owners in the instance's own failure domain, or elsewhere if there is none.
    Local,
    /// Owners in all other failure domains.
    Remote,
    /// No one: the attempt is admitted or refused.
    Last,
}

impl Round {
    /// Returns the round that follows when the asks of this one are answered.
    #[must_use]
    pub const fn next(self) -> Self {
        match self {
            Self::Local => Self::Remote,
            Self::Remote | Self::Last => Self::Last,
        }
    }
}

/// A `ReserveResult` is what comes of an attempt to reserve tokens.
#[derive(Debug)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Admitted(Reservation),
    /// The tokens do not suffice: send these, and try again in the next round.
    NeedsGrants(Vec<OutgoingRequest>),
    /// The request must not run.
    Refused(Refusal),
}

/// A `Reservation` holds the tokens of one admitted request.
///
/// It is settled once, by value. A reservation that is dropped instead counts
/// as used in full.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    pub(super) team: TeamName,
    pub(super) amount: Tokens,
    pub(super) parts: Vec<Part>,
}

impl Reservation {
    /// Returns the team whose tokens are held.
    #[must_use]
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the number of tokens held.
    #[must_use]
    pub const fn amount(&self) -> Tokens {
        self.amount
    }
}

/// A `Part` is what a reservation took from one source.
#[derive(Debug)]
pub(super) enum Part {
    /// From an account of an own slot.
    Own {
        /// The slot.
        slot: u16,
        /// The number of the reservation.
        id: u64,
        /// The tokens taken.
        amount: Tokens,
    },
    /// From a grant.
    Granted(Draw),
}

impl Part {
    pub(super) const fn amount(&self) -> Tokens {
        match self {
            Self::Own { amount, .. } => *amount,
            Self::Granted(draw) => draw.amount,
        }
    }
}
