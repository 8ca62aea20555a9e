//! Error responses of the router itself.

use std::time::Duration;

/// The reason for which the router refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The head or body is not a well-formed request.
    BadRequest,
    /// The head is larger than permitted.
    HeadTooLarge,
    /// The body is larger than permitted.
    BodyTooLarge,
    /// The caller took too long to send the request.
    RequestTimeout,
    /// This instance has no configuration yet.
    NotReady,
    /// This instance stops and has no time left to finish the request.
    Stopping,
    /// The configuration may be outdated, so the key cannot be trusted.
    StaleConfiguration,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The team is over its limit.
    OverLimit,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// The upstreams' backlog is so long that the response would come too late.
    Overloaded,
    /// Every upstream that was attempted rejected the request.
    Rejected,
    /// An upstream failed after it had received the request.
    UpstreamFailed,
    /// The deadline passed while an upstream had the request.
    UpstreamTimeout,
    /// The deadline passed before an upstream had the request.
    DeadlineExceeded,
    /// Engines end when they answer on a part of the prompt, so it is withheld from them.
    WithheldPart,
    /// Upstreams end under requests with the same content, so they are withheld.
    WithheldRequest,
    /// The upstreams limit all instances together, and there is no permit.
    UpstreamLimit,
    /// This instance has no memory or descriptors left for the request.
    InstanceFull,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 20] = [
        Self::BadRequest,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::RequestTimeout,
        Self::NotReady,
        Self::Stopping,
        Self::StaleConfiguration,
        Self::NoRoute,
        Self::UnknownKey,
        Self::OverLimit,
        Self::NoUpstream,
        Self::Overloaded,
        Self::Rejected,
        Self::UpstreamFailed,
        Self::UpstreamTimeout,
        Self::DeadlineExceeded,
        Self::WithheldPart,
        Self::WithheldRequest,
        Self::UpstreamLimit,
        Self::InstanceFull,
    ];

    /// Returns the code in logs, metrics and responses.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverLimit => "over_limit",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Rejected => "turned_away",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
            Self::DeadlineExceeded => "out_of_time",
            Self::WithheldPart => "withheld_part",
            Self::WithheldRequest => "withheld_request",
            Self::UpstreamLimit => "upstream_limit",
            Self::InstanceFull => "instance_full",
        }
    }

    /// Returns the HTTP status.
    ///
    /// Callers rely on 408, 429 and 503 to mean that the request has not run and
    /// will not run.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::RequestTimeout => 408,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::OverLimit => 429,
            Self::NotReady
            | Self::Stopping
            | Self::StaleConfiguration
            | Self::NoUpstream
            | Self::Overloaded
            | Self::Rejected
            | Self::DeadlineExceeded
            | Self::WithheldPart
            | Self::WithheldRequest
            | Self::UpstreamLimit
            | Self::InstanceFull => 503,
            Self::UpstreamFailed => 502,
            Self::UpstreamTimeout => 504,
        }
    }
}

/// The router's final error response to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without a `Retry-After` time.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
