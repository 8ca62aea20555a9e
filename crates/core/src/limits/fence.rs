//! Self-fencing of a slot owner that has lost contact.

use std::time::Duration;

use crate::units::Time;

/// A `Fence` decides whether an owner's last confirmed contact is recent enough to act.
///
/// The time of a contact is that of its request, so that a response that was
/// delayed, or read after a pause, doesn't extend the permission.
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
    timeout: Duration,
    last_contact: Option<Time>,
    replaced: bool,
}

impl Fence {
    /// Returns a fence without a contact, which permits nothing.
    #[must_use]
    pub const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_contact: None,
            replaced: false,
        }
    }

    /// Records a confirmed contact whose request was sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Time) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    /// Records that another incarnation has replaced this one, which can't be undone.
    pub fn replace(&mut self) {
        self.replaced = true;
    }

    /// Returns whether another incarnation has replaced this one.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns whether the owner may issue, spend and grant tokens at `now`.
    #[must_use]
    pub fn permits(&self, now: Time) -> bool {
        !self.replaced
            && self
                .last_contact
                .is_some_and(|at| now.since(at) <= self.timeout)
    }
}
