//! Claims of non-idempotent requests.
//!
//! Provides the decisions that let a request with an idempotency key run at most
//! once over all instances. An attempt records a claim in the platform before
//! its first byte leaves, and only the holder of the claim sends. The steps are
//! separate types that consume each other, so that a caller cannot send twice:
//!
//! [`Claiming`] → [`Held`] → [`Sending`] → [`Finish`] → [`Settlement`]
//!
//! ```
//! use std::time::Duration;
//!
//! use limpetsaddle_core::claims::AttemptId;
//! use limpetsaddle_core::claims::ClaimName;
//! use limpetsaddle_core::claims::ClaimOptions;
//! use limpetsaddle_core::claims::ClaimRequest;
//! use limpetsaddle_core::claims::Claiming;
//! use limpetsaddle_core::claims::Step;
//! use limpetsaddle_core::claims::WriteAnswer;
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
//! let (claiming, write) = Claiming::start(request, ClaimOptions::default(), Time::ZERO);
//! assert_eq!(write.expected, Revision::ABSENT);
//! let step = claiming.on_write(WriteAnswer::Written(Revision(3)), Time::ZERO);
//! assert!(matches!(step, Step::Send(_)));
//! # Ok::<(), limpetsaddle_core::Error>(())
//! ```

mod attempt;
mod record;
mod settlement;

pub use self::attempt::ClaimOptions;
pub use self::attempt::ClaimRequest;
pub use self::attempt::ClaimWrite;
pub use self::attempt::Claiming;
pub use self::attempt::Finish;
pub use self::attempt::Held;
pub use self::attempt::SendOutcome;
pub use self::attempt::Sending;
pub use self::attempt::Step;
pub use self::attempt::Verdict;
pub use self::attempt::WriteAnswer;
pub use self::record::AttemptId;
pub use self::record::Claim;
pub use self::record::ClaimName;
pub use self::record::ClaimState;
pub use self::record::MAX_STORED_BODY_BYTES;
pub use self::record::Outcome;
pub use self::record::OutcomeHeader;
pub use self::record::StoredBody;
pub use self::record::VersionedClaim;
pub use self::record::request_digest;
pub use self::settlement::SettleStep;
pub use self::settlement::Settlement;
