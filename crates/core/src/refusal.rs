//! Error responses of the router to callers.
//!
//! A refusal has one of a closed set of reasons, each with a stable code and an
//! HTTP status. It also reports whether the request may have run and when a
//! retry makes sense.

use std::time::Duration;

/// Whether an upstream may have executed a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Execution {
    /// No upstream has run the request.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

/// The cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The request is not well-formed HTTP.
    BadRequest,
    /// The body does not match the JSON format of the endpoint.
    BadBody,
    /// The header section or the body exceeds its size limit.
    TooLarge,
    /// The caller did not send the complete request in time.
    RequestTimeout,
    /// The request carries no key.
    MissingKey,
    /// The key is malformed or unknown.
    UnknownKey,
    /// The key has been withdrawn.
    WithdrawnKey,
    /// The team may not use the model or the route.
    Forbidden,
    /// No route matches the path.
    NoRoute,
    /// The route does not accept the method.
    MethodNotAllowed,
    /// The model does not exist.
    UnknownModel,
    /// The team has exhausted its rate and burst.
    RateLimited,
    /// The request costs more tokens than the team's burst.
    ExceedsBurst,
    /// The team's tokens could not be confirmed because this instance has lost contact.
    LimitsUnavailable,
    /// The queue of this instance is full or the expected wait is too long.
    Overloaded,
    /// No upstream of the pool can accept the request.
    NoUpstream,
    /// The upstream could not be reached and has not read the request.
    UpstreamUnreachable,
    /// The upstream failed after it may have read the request.
    UpstreamFailed,
    /// The upstream did not respond in time.
    UpstreamTimeout,
    /// The active preset does not admit requests of this kind.
    Maintenance,
    /// The instance is shutting down and accepts no new requests.
    Stopping,
    /// The instance has no configuration yet.
    NotReady,
    /// A request with the same idempotency key is running or its outcome is unknown.
    IdempotencyConflict,
    /// The idempotency key was already used for a different request.
    IdempotencyMismatch,
    /// The claim for a non-idempotent request could not be recorded.
    ClaimUnavailable,
}

impl Reason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::BadBody,
        Self::TooLarge,
        Self::RequestTimeout,
        Self::MissingKey,
        Self::UnknownKey,
        Self::WithdrawnKey,
        Self::Forbidden,
        Self::NoRoute,
        Self::MethodNotAllowed,
        Self::UnknownModel,
        Self::RateLimited,
        Self::ExceedsBurst,
        Self::LimitsUnavailable,
        Self::Overloaded,
        Self::NoUpstream,
        Self::UpstreamUnreachable,
        Self::UpstreamFailed,
        Self::UpstreamTimeout,
        Self::Maintenance,
        Self::Stopping,
        Self::NotReady,
        Self::IdempotencyConflict,
        Self::IdempotencyMismatch,
        Self::ClaimUnavailable,
    ];

    /// Returns the stable code used in responses and metrics.
    ///
    /// ```
    /// use limpetsaddle_core::refusal::Reason;
    ///
    /// assert_eq!(Reason::RateLimited.code(), "rate_limited");
    /// ```
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadBody => "bad_body",
            Self::TooLarge => "too_large",
            Self::RequestTimeout => "request_timeout",
            Self::MissingKey => "missing_key",
            Self::UnknownKey => "unknown_key",
            Self::WithdrawnKey => "withdrawn_key",
            Self::Forbidden => "forbidden",
            Self::NoRoute => "no_route",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::UnknownModel => "unknown_model",
            Self::RateLimited => "rate_limited",
            Self::ExceedsBurst => "exceeds_burst",
            Self::LimitsUnavailable => "limits_unavailable",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
            Self::Maintenance => "maintenance",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::IdempotencyConflict => "idempotency_conflict",
            Self::IdempotencyMismatch => "idempotency_mismatch",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }

    /// Returns the HTTP status code of the refusal.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadBody | Self::ExceedsBurst => 400,
            Self::MissingKey | Self::UnknownKey | Self::WithdrawnKey => 401,
            Self::Forbidden => 403,
            Self::NoRoute | Self::UnknownModel => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::IdempotencyConflict => 409,
            Self::TooLarge => 413,
            Self::IdempotencyMismatch => 422,
            Self::RateLimited => 429,
            Self::UpstreamFailed | Self::UpstreamUnreachable => 502,
            Self::UpstreamTimeout => 504,
            Self::ClaimUnavailable
            | Self::LimitsUnavailable
            | Self::Maintenance
            | Self::NoUpstream
            | Self::NotReady
            | Self::Overloaded
            | Self::Stopping => 503,
        }
    }

    /// Returns whether a retry of the same request can succeed later.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(self.status(), 408 | 409 | 429 | 502..=504)
    }
}

/// A `Refusal` is the final error response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The cause.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Execution,
    /// The delay after which a retry makes sense, if any.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that no upstream has run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that an upstream may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Execution::Unknown,
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry makes sense.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
