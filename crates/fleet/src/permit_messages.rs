//! The datagrams with which instances request permits and report limits.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::HeartbeatError;
use crate::permits::Issue;
use crate::upstream_limit::NamedLimit;
use crate::upstream_limit::RequestRate;

/// The version of the datagram's layout. It differs from those of the other messages that
/// arrive at the same port.
const LAYOUT: u8 = 130;

/// A limit as one instance knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// The rate for all instances together.
    pub rate: RequestRate,
    /// The age of the latest notice of the limit, in milliseconds.
    pub heard_ms: u32,
    /// The age of the first notice of the limit, in milliseconds.
    pub since_ms: u32,
}

impl LimitReport {
    /// Returns a report of a limit.
    #[must_use]
    pub fn new(limit: &NamedLimit, now: Time) -> Self {
        Self {
            rate: limit.rate,
            heard_ms: age_ms(limit.heard, now),
            since_ms: age_ms(limit.since, now),
        }
    }
}

/// A request for permits. One for zero permits only reports the limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// The sender's clock in milliseconds; the reply echoes it.
    pub stamp_ms: u64,
    /// The limit, if the sender knows one.
    pub limit: Option<LimitReport>,
    /// The number of permits.
    pub wanted: u16,
    /// The priority of the request that needs one, 0 being the most urgent.
    pub priority: u8,
    /// The issue of a permit with which a request was sent whose answer named no limit.
    pub lifted: Option<Issue>,
}

impl PermitRequest {
    /// Returns a request for zero permits, which reports a limit or its end.
    #[must_use]
    pub const fn report(limit: Option<LimitReport>, lifted: Option<Issue>) -> Self {
        Self {
            stamp_ms: 0,
            limit,
            wanted: 0,
            priority: 0,
            lifted,
        }
    }
}

/// An issuer's decision on a permit request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitAnswer {
    /// It issues permits.
    Granted {
        /// Their number.
        count: u16,
        /// The moment of their issue.
        issue: Issue,
    },
    /// It issues none.
    Denied {
        /// The time after which the request may be repeated, in milliseconds.
        after_ms: u32,
    },
    /// The upstream has no limit any more.
    Unlimited {
        /// The time since then in milliseconds.
        age_ms: u32,
    },
}

/// The content of a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitBody {
    /// A permit request.
    Request(PermitRequest),
    /// The reply to a permit request.
    Reply {
        /// The stamp of the request.
        echo_ms: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// A limit that the issuer has learned.
    Limit(LimitReport),
}

/// A message about the permits of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitMessage {
    layout: u8,
    /// The sender's name.
    pub sender: String,
    /// The hash of the upstream's process; see [`process_hash`](crate::heartbeat::process_hash).
    pub process: u64,
    /// The content.
    pub body: PermitBody,
}

impl PermitMessage {
    /// Returns a message of the instance `sender`.
    #[must_use]
    pub fn new(sender: &str, process: u64, body: PermitBody) -> Self {
        Self {
            layout: LAYOUT,
            sender: sender.to_owned(),
            process,
            body,
        }
    }

    /// Returns whether a datagram has the layout of a message about permits.
    #[must_use]
    pub fn is_message(datagram: &[u8]) -> bool {
        datagram.first() == Some(&LAYOUT)
    }

    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the message cannot be encoded.
    ///
    /// ```
    /// use limpetsaddle_fleet::permit_messages::PermitAnswer;
    /// use limpetsaddle_fleet::permit_messages::PermitBody;
    /// use limpetsaddle_fleet::permit_messages::PermitMessage;
    ///
    /// let answer = PermitAnswer::Denied { after_ms: 250 };
    /// let message = PermitMessage::new("a-1", 7, PermitBody::Reply { echo_ms: 5, answer });
    /// let datagram = message.encode()?;
    /// assert!(PermitMessage::is_message(&datagram));
    /// assert_eq!(PermitMessage::decode(&datagram)?, message);
    /// # Ok::<(), limpetsaddle_fleet::heartbeat::HeartbeatError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the bytes are no such message.
    pub fn decode(datagram: &[u8]) -> Result<Self, HeartbeatError> {
        Ok(postcard::from_bytes(datagram)?)
    }
}

/// Returns the time since `at` in whole milliseconds.
#[must_use]
pub fn age_ms(at: Time, now: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that was `age_ms` before `at`.
#[must_use]
pub fn before(at: Time, age_ms: u32) -> Time {
    let age = Duration::from_millis(u64::from(age_ms));
    Time::from_origin(at.since_origin().saturating_sub(age))
}
