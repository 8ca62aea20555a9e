//! Record of a claim in the platform.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::Digest;
use crate::names::TeamName;
use crate::units::Incarnation;
use crate::units::Revision;

/// The maximum size of a response body that is stored for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// A `ClaimName` identifies the record of one idempotency key of one team.
///
/// It is a digest, so that the platform never stores the key itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimName(Digest);

impl ClaimName {
    /// Returns the name for `key`, as sent by the caller of `team`.
    ///
    /// ```
    /// use limpetsaddle_core::claims::ClaimName;
    ///
    /// let yard = ClaimName::new(&"yard".parse()?, "order-17");
    /// let mill = ClaimName::new(&"mill".parse()?, "order-17");
    /// assert_ne!(yard, mill);
    /// # Ok::<(), limpetsaddle_core::Error>(())
    /// ```
    #[must_use]
    pub fn new(team: &TeamName, key: &str) -> Self {
        // A team name contains no NUL byte, so the separator is unambiguous.
        Self(Digest::of(format!("{team}\0{key}").as_bytes()))
    }
}

impl fmt::Display for ClaimName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the digest that distinguishes a repeated request from a different one.
///
/// ```
/// use limpetsaddle_core::claims::request_digest;
///
/// let one = request_digest("POST", "/orders", b"birch");
/// assert_eq!(one, request_digest("POST", "/orders", b"birch"));
/// assert_ne!(one, request_digest("POST", "/orders", b"spruce"));
/// ```
#[must_use]
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> Digest {
    // Neither a method nor a target can contain a NUL byte.
    let head = format!("{method}\0{target}\0");
    Digest::of(&[head.as_bytes(), body].concat())
}

/// An `AttemptId` identifies one attempt to execute a request.
///
/// It is unique across all instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The incarnation of the instance that makes the attempt.
    pub incarnation: Incarnation,
    /// The number of the attempt within the incarnation.
    pub number: u64,
}

/// A `Claim` is the value of a claim record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The attempt that last wrote the record.
    pub attempt: AttemptId,
    /// The digest of the request's method, path and body.
    pub request: Digest,
    /// The state of the request.
    pub state: ClaimState,
}

/// A `ClaimState` is the state of a request in its claim record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The attempt may have sent the request.
    InFlight,
    /// The request ran and got this response.
    Done(StoredResponse),
    /// The request has not run and will not run in this attempt.
    NotRun,
}

/// A `StoredResponse` contains the response of the upstream that ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers to replay.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: StoredBody,
}

/// A `StoredHeader` is one header of a stored response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// The name in lower case.
    pub name: Arc<str>,
    /// The value.
    pub value: Arc<str>,
}

/// A `StoredBody` is the body of a stored response, or its digest and length.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The whole body.
    Text(Arc<str>),
    /// A body that is not text or exceeds [`MAX_STORED_BODY_BYTES`].
    Omitted {
        /// The digest of the body.
        digest: Digest,
        /// The length in bytes.
        length: u64,
    },
}

impl StoredBody {
    /// Returns the stored form of `body`.
    ///
    /// ```
    /// use limpetsaddle_core::claims::StoredBody;
    ///
    /// assert_eq!(StoredBody::of(b"ok"), StoredBody::Text("ok".into()));
    /// assert!(matches!(StoredBody::of(&[0xff]), StoredBody::Omitted { .. }));
    /// ```
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if body.len() <= MAX_STORED_BODY_BYTES => Self::Text(text.into()),
            _ => Self::Omitted {
                digest: Digest::of(body),
                length: body.len() as u64,
            },
        }
    }
}

/// A `VersionedClaim` is a claim with the revision of its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedClaim {
    /// The revision of the record.
    pub revision: Revision,
    /// The value of the record.
    pub claim: Claim,
}
