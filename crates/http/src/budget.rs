//! A limit on the memory of all bodies that are buffered at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::error::Error;
use crate::error::Result;
use crate::shares::Lack;
use crate::shares::Share;
use crate::shares::Use;

/// The size in bytes up to which something may use the reserve, so that small bodies are read
/// also while large ones have used up the rest.
const SMALL_BYTES: usize = 64 * 1024;

/// The part of a budget that is the reserve, as a divisor.
const RESERVE_PART: usize = 8;

/// The memory for bodies that are buffered at once.
///
/// A body may grow to as many bytes as are left once it has them, so that the largest bodies
/// are the first that fail and never use the budget up; one that is alone may have all but a
/// reserve for small ones. Clones share the budget.
///
/// ```
/// use limpetsaddle_http::BufferBudget;
///
/// let budget = BufferBudget::new(8 << 20);
/// let mut first = budget.reservation();
/// first.resize(3 << 20).unwrap();
/// let mut second = budget.reservation();
/// assert!(second.resize(3 << 20).is_err());
/// second.resize(2 << 20).unwrap();
/// drop(first);
/// assert_eq!(budget.used(), 2 << 20);
/// ```
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
    /// The budget of which this one is a part.
    whole: Option<Arc<Self>>,
    /// The shares that reservations count for.
    shares: Arc<[Share]>,
}

impl BufferBudget {
    /// Returns a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
            whole: None,
            shares: Arc::default(),
        }
    }

    /// Returns a budget of up to `limit` bytes of this one.
    ///
    /// ```
    /// use limpetsaddle_http::BufferBudget;
    ///
    /// let whole = BufferBudget::new(8 << 20);
    /// let part = whole.part(2 << 20);
    /// let mut reservation = part.reservation();
    /// assert!(reservation.resize(3 << 20).is_err());
    /// reservation.resize(1 << 20).unwrap();
    /// assert_eq!(whole.used(), 1 << 20);
    /// ```
    #[must_use]
    pub fn part(&self, limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
            whole: Some(Arc::new(self.clone())),
            shares: Arc::default(),
        }
    }

    /// Returns this budget with reservations that also count for `shares`, and are limited by
    /// them.
    #[must_use]
    pub fn charged_to(&self, shares: &Arc<[Share]>) -> Self {
        Self {
            shares: Arc::clone(shares),
            ..self.clone()
        }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns whether `bytes` more bytes could be reserved now.
    #[must_use]
    pub fn holds(&self, bytes: usize) -> bool {
        self.permits(self.used(), bytes) && self.whole.as_ref().is_none_or(|w| w.holds(bytes))
    }

    /// Returns whether `bytes` bytes could be reserved if nothing else were.
    #[must_use]
    pub fn could_hold(&self, bytes: usize) -> bool {
        self.permits(0, bytes) && self.whole.as_ref().is_none_or(|w| w.could_hold(bytes))
    }

    fn permits(&self, others: usize, bytes: usize) -> bool {
        let sum = others.saturating_add(bytes);
        let reserve = self.limit / RESERVE_PART;
        if bytes <= SMALL_BYTES {
            return sum <= self.limit;
        }
        let is_alone = others <= reserve;
        let leaves_as_much = sum.saturating_add(bytes) <= self.limit;
        sum <= self.limit - reserve && (is_alone || leaves_as_much)
    }

    /// Returns whether a part of `held` bytes may have `bytes` bytes.
    fn permits_change(&self, held: usize, bytes: usize) -> bool {
        let whole = self.whole.as_ref();
        self.permits(self.used().saturating_sub(held), bytes)
            && whole.is_none_or(|whole| whole.permits_change(held, bytes))
    }

    /// Returns what is lacking for a part of `held` bytes to have `bytes` bytes.
    ///
    /// What is alone but for a reserve may be as large as the budget permits, and a holder that
    /// has little isn't limited by its share.
    fn lack(&self, held: usize, bytes: usize) -> Option<Lack<'_>> {
        let has_room = self.permits_change(held, bytes);
        let root = self.root();
        let others = root.used().saturating_sub(held);
        let reserve = root.limit / RESERVE_PART;
        if has_room && others <= reserve {
            return None;
        }
        let usable = if bytes <= SMALL_BYTES {
            root.limit
        } else {
            root.limit - reserve
        };
        let used = Use {
            limit: root.limit,
            free: usable.saturating_sub(others.saturating_add(bytes)),
            has_room,
        };
        let own = |share: &Share| share.memory().saturating_sub(held).saturating_add(bytes);
        used.lack(&self.shares, own)
    }

    fn root(&self) -> &Self {
        self.whole.as_ref().map_or(self, |whole| whole.root())
    }

    fn change(&self, held: usize, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.used.fetch_sub(held, Ordering::Relaxed);
        if let Some(whole) = &self.whole {
            whole.change(held, bytes);
        }
    }
}

/// A part of a budget, which is returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns the size in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the reservation.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OversizedBody`] and keeps the size when the budget, or a share that the
    /// reservation counts for, has no more for it.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        if bytes > self.bytes && self.lack(bytes).is_some() {
            return Err(Error::OversizedBody);
        }
        self.change(bytes);
        Ok(())
    }

    /// Returns what is lacking for `bytes` bytes.
    pub(crate) fn lack(&self, bytes: usize) -> Option<Lack<'_>> {
        self.budget.lack(self.bytes, bytes)
    }

    fn change(&mut self, bytes: usize) {
        self.budget.change(self.bytes, bytes);
        for share in self.budget.shares.iter() {
            share.change_memory(self.bytes, bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.change(0);
    }
}

/// A body with the reservation of its memory.
pub struct ReservedBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl ReservedBody {
    /// Returns `bytes`, which keep `reservation` until all clones are dropped.
    pub fn join(bytes: Bytes, reservation: Reservation) -> Bytes {
        if reservation.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Self {
            bytes,
            _reservation: reservation,
        })
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
