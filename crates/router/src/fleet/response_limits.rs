//! Limits on the memory for the responses of upstreams, KV stores and the store.

use limpetsaddle_http::BufferBudget;

/// The kind of a call to an upstream or KV store apart from callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The report of an engine.
    Report,
    /// An order to an engine.
    Order,
    /// The cache events of a KV store.
    CacheEvents,
}

impl CallKind {
    /// Returns the name in logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Order => "order",
            Self::CacheEvents => "cache events",
        }
    }
}

/// The maximum sizes of response bodies in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimits {
    /// A plain response that is relayed.
    pub relayed: usize,
    /// An error response that is relayed.
    pub error: usize,
    /// The report of an engine.
    pub report: usize,
    /// The response to an order.
    pub order: usize,
    /// The cache events of a KV store.
    pub cache_events: usize,
    /// All responses to callers' requests that are held at once.
    pub all_relayed: usize,
    /// All other responses that are held at once.
    pub all_calls: usize,
}

impl Default for ResponseLimits {
    fn default() -> Self {
        Self {
            relayed: 16 * 1024 * 1024,
            error: 1024 * 1024,
            report: 256 * 1024,
            order: 64 * 1024,
            cache_events: 1024 * 1024,
            all_relayed: 32 * 1024 * 1024,
            all_calls: 8 * 1024 * 1024,
        }
    }
}

/// The memory for the responses of upstreams and KV stores.
pub struct ResponseBuffers {
    pub limits: ResponseLimits,
    /// The memory for responses to callers' requests.
    pub relayed: BufferBudget,
    /// The memory for other responses.
    pub calls: BufferBudget,
}

impl ResponseBuffers {
    /// Returns buffers with the limits in `limits`, of which those for responses to callers'
    /// requests are a part of `callers`.
    pub fn new(limits: ResponseLimits, callers: &BufferBudget) -> Self {
        Self {
            limits,
            relayed: callers.part(limits.all_relayed),
            calls: BufferBudget::new(limits.all_calls),
        }
    }

    /// Returns the maximum size of the response to a call in bytes.
    pub const fn max_bytes(&self, kind: CallKind) -> usize {
        match kind {
            CallKind::Report => self.limits.report,
            CallKind::Order => self.limits.order,
            CallKind::CacheEvents => self.limits.cache_events,
        }
    }
}
