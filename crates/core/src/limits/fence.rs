//! The fence that stops an owner which has lost contact.

use std::time::Duration;

use crate::units::Time;

/// A `Fence` tells whether an owner's last confirmed contact is recent enough.
///
/// A contact counts from the moment at which its request was sent, so that an
/// answer that was delayed, or read after a pause, does not extend the time.
///
/// ```
/// use limpetsaddle_core::limits::Fence;
/// use limpetsaddle_core::units::Time;
/// use std::time::Duration;
///
/// let mut fence = Fence::new(Duration::from_secs(3));
/// assert!(!fence.permits(Time::ZERO));
/// fence.confirm(Time::ZERO);
/// assert!(fence.permits(Time::from_origin(Duration::from_secs(3))));
/// assert!(!fence.permits(Time::from_origin(Duration::from_millis(3_001))));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence {
    span: Duration,
    last: Option<Time>,
    replaced: bool,
}

impl Fence {
    /// Returns a fence without any contact, which permits nothing.
    #[must_use]
    pub const fn new(span: Duration) -> Self {
        Self {
            span,
            last: None,
            replaced: false,
        }
    }

    /// Records a confirmed contact whose request was sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Time) {
        self.last = self.last.max(Some(sent_at));
    }

    /// Records that another incarnation has replaced this one, for good.
    pub fn replace(&mut self) {
        self.replaced = true;
    }

    /// Returns whether another incarnation has replaced this one.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns whether the owner may mint, spend and grant at `now`.
    #[must_use]
    pub fn permits(&self, now: Time) -> bool {
        !self.replaced && self.last.is_some_and(|last| now.since(last) <= self.span)
    }
}
