//! The shares of callers' addresses and teams in what an instance gives to all callers.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::HeaderMap;

use crate::callers::CallerEnd;

/// The number of shares from which those that are unused are removed.
const MIN_SWEEP: usize = 64;

/// The part of the whole up to which no holder is limited by its share, as a divisor.
const FREE_PART: usize = 16;

/// The part of the whole beyond which a holder alone bears that nothing is left, as a divisor.
const LARGE_PART: usize = 2;

/// The bits of an IPv6 address that a site gets; a caller may use any of the others.
const IPV6_PREFIX_BITS: u32 = 64;

/// Identifies a share.
pub type ShareId = u64;

/// Returns the name of the team that a request's header fields show.
pub type TeamLookup = Rc<dyn Fn(&HeaderMap) -> Option<Rc<str>>>;

/// Who has a share.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Holder {
    /// The address of a caller, of IPv6 the first 64 bits.
    Address(IpAddr),
    /// The team whose key a request carries.
    Team(Rc<str>),
}

impl Holder {
    /// Returns the holder for a caller at `address`.
    ///
    /// ```
    /// use limpetsaddle_http::Holder;
    ///
    /// let of = |address: &str| Holder::at(address.parse().unwrap());
    /// assert_eq!(of("2001:db8::1"), of("2001:db8::ffff:1"));
    /// assert_eq!(of("::ffff:192.0.2.1"), of("192.0.2.1"));
    /// assert_ne!(of("192.0.2.1"), of("192.0.2.2"));
    /// ```
    #[must_use]
    pub fn at(address: IpAddr) -> Self {
        Self::Address(match address.to_canonical() {
            IpAddr::V6(address) => {
                let prefix = address.to_bits() & (u128::MAX << (u128::BITS - IPV6_PREFIX_BITS));
                Ipv6Addr::from_bits(prefix).into()
            }
            address @ IpAddr::V4(_) => address,
        })
    }
}

/// The part of something that one holder may have, in percent, while no other has any.
///
/// It falls as others take theirs: a holder may have a multiple of what is left, so that
/// something is left however many holders there are.
///
/// ```
/// use limpetsaddle_http::SharePercent;
///
/// let share = SharePercent::new(75);
/// assert!(share.permits(75, 25));
/// assert!(!share.permits(76, 24));
/// assert!(SharePercent::new(100).permits(100, 0));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharePercent(u8);

impl SharePercent {
    /// Everything, so that the share limits nothing.
    pub const ALL: Self = Self(100);

    /// Returns a share of `percent`, of which 0 counts as 1 and more than 100 as 100.
    #[must_use]
    pub const fn new(percent: u8) -> Self {
        Self(match percent {
            0 => 1,
            1..=100 => percent,
            _ => 100,
        })
    }

    /// Returns whether a holder may have `held` if that leaves `free` to all.
    #[must_use]
    pub const fn permits(self, held: usize, free: usize) -> bool {
        let percent = self.0 as usize;
        held.saturating_mul(100 - percent) <= free.saturating_mul(percent)
    }

    const fn limits(self) -> bool {
        self.0 < 100
    }
}

/// What there is too little of for a request or connection.
#[derive(Clone, Copy, Debug)]
pub enum Lack<'a> {
    /// The whole, so that anyone's connection may end for it.
    Whole,
    /// The share of one holder, so that only its own connections may end for it.
    Share(&'a Share),
}

impl Lack<'_> {
    /// Returns the share whose connections may end, or `None` if all may.
    pub fn share_id(self) -> Option<ShareId> {
        match self {
            Self::Whole => None,
            Self::Share(share) => Some(share.id),
        }
    }

    /// Returns the cause of what is refused, which for want of the whole is `whole`.
    pub const fn cause(self, whole: CallerEnd) -> CallerEnd {
        match self {
            Self::Whole => whole,
            Self::Share(share) => share.cause,
        }
    }
}

/// The use of something that is divided among all.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// What all may have.
    pub limit: usize,
    /// What is left to all.
    pub free: usize,
    /// Whether there is room for what is asked for.
    pub has_room: bool,
}

impl Use {
    /// Returns what is lacking, if one of the holders of `shares` has what `held` returns.
    pub fn lack(self, shares: &[Share], held: impl Fn(&Share) -> usize) -> Option<Lack<'_>> {
        let mut shares = shares.iter().filter(|share| share.percent.limits());
        let least = self.limit / if self.has_room { FREE_PART } else { LARGE_PART };
        let exhausted = shares.find(|share| {
            let held = held(share);
            held > least && !share.percent.permits(held, self.free)
        });
        match exhausted {
            Some(share) => Some(Lack::Share(share)),
            None => (!self.has_room).then_some(Lack::Whole),
        }
    }
}

/// The share of one holder. Clones share what it has.
#[derive(Clone, Debug)]
pub struct Share {
    /// The id, which isn't used again.
    pub id: ShareId,
    /// The cause of what ends for want of the share.
    cause: CallerEnd,
    percent: SharePercent,
    memory: Arc<AtomicUsize>,
}

impl Share {
    /// Returns the memory of the holder in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.memory.load(Ordering::Relaxed)
    }

    /// Records that `held` bytes of the holder become `bytes`.
    pub(crate) fn change_memory(&self, held: usize, bytes: usize) {
        self.memory.fetch_add(bytes, Ordering::Relaxed);
        self.memory.fetch_sub(held, Ordering::Relaxed);
    }

    fn is_used(&self) -> bool {
        Arc::strong_count(&self.memory) > 1
    }
}

/// The shares of all holders that have something.
#[derive(Debug, Default)]
pub struct Shares {
    next_id: ShareId,
    by_holder: HashMap<Holder, Share>,
    /// The number of shares at which the unused ones are removed.
    sweep_at: usize,
}

impl Shares {
    /// Returns the share of `holder`, which is kept while a clone of it is.
    pub fn get(&mut self, holder: &Holder, percent: SharePercent) -> Share {
        if let Some(share) = self.by_holder.get(holder) {
            return share.clone();
        }
        if self.by_holder.len() >= self.sweep_at {
            self.by_holder.retain(|_, share| share.is_used());
            self.sweep_at = MIN_SWEEP.max(self.by_holder.len() * 2);
        }
        let share = Share {
            id: self.next_id,
            cause: match holder {
                Holder::Address(_) => CallerEnd::AddressShare,
                Holder::Team(_) => CallerEnd::TeamShare,
            },
            percent,
            memory: Arc::default(),
        };
        self.next_id += 1;
        self.by_holder.insert(holder.clone(), share.clone());
        share
    }

    /// Returns the number of shares that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_holder.len()
    }

    /// Returns whether no share is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_holder.is_empty()
    }
}
