//! Claims of non-idempotent requests.
//!
//! Provides the state machine by which a request with an idempotency key runs at
//! most once across all instances. An attempt records a claim in the platform
//! before it sends the first byte, and only the holder of the claim sends. The
//! states are separate types that consume each other, so that a caller can't send
//! twice:
//!
//! [`PendingClaim`] → [`HeldClaim`] → [`SendPermit`] → [`AttemptEnd`] → [`Settlement`]
//!
//! ```
//! use std::time::Duration;
//!
//! use limpetsaddle_core::claims::AttemptId;
//! use limpetsaddle_core::claims::ClaimName;
//! use limpetsaddle_core::claims::ClaimOptions;
//! use limpetsaddle_core::claims::ClaimRequest;
//! use limpetsaddle_core::claims::PendingClaim;
//! use limpetsaddle_core::claims::ClaimStep;
//! use limpetsaddle_core::claims::ClaimWriteResult;
//! use limpetsaddle_core::claims::request_digest;
//! use limpetsaddle_core::units::Incarnation;
//! use limpetsaddle_core::units::Revision;
//! use limpetsaddle_core::units::Time;
//!
//! let request = ClaimRequest {
//!     name: ClaimName::new(&"yard".parse()?, "order-17"),
//!     digest: request_digest("POST", "/orders", b"birch"),
//!     attempt: AttemptId { incarnation: Incarnation(7), number: 1 },
//! };
//! let (pending, write) = PendingClaim::start(request, ClaimOptions::default(), Time::ZERO);
//! assert_eq!(write.expected, Revision::ABSENT);
//! let step = pending.on_write(ClaimWriteResult::Written(Revision(3)), Time::ZERO);
//! assert!(matches!(step, ClaimStep::Send(_)));
//! # Ok::<(), limpetsaddle_core::Error>(())
//! ```

mod attempt;
mod record;
mod settlement;

pub use self::attempt::AttemptEnd;
pub use self::attempt::CallerResponse;
pub use self::attempt::ClaimOptions;
pub use self::attempt::ClaimRequest;
pub use self::attempt::ClaimStep;
pub use self::attempt::ClaimWrite;
pub use self::attempt::ClaimWriteResult;
pub use self::attempt::HeldClaim;
pub use self::attempt::PendingClaim;
pub use self::attempt::SendOutcome;
pub use self::attempt::SendPermit;
pub use self::record::AttemptId;
pub use self::record::Claim;
pub use self::record::ClaimName;
pub use self::record::ClaimState;
pub use self::record::MAX_STORED_BODY_BYTES;
pub use self::record::StoredBody;
pub use self::record::StoredHeader;
pub use self::record::StoredResponse;
pub use self::record::VersionedClaim;
pub use self::record::request_digest;
pub use self::settlement::SettleStep;
pub use self::settlement::Settlement;
