//! One budget for all that callers make a process hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;
use futures::future::Either;

use crate::budget::BufferBudget;
use crate::budget::Reservation;
use crate::error::Error;
use crate::error::Result;
use crate::shares::Holder;
use crate::shares::Lack;
use crate::shares::Share;
use crate::shares::ShareId;
use crate::shares::SharePercent;
use crate::shares::Shares;
use crate::shares::Use;
use crate::slots::Held;
use crate::slots::Shortage;
use crate::slots::SlotState;
use crate::slots::Slots;

/// The memory of a connection: its task, its buffer and a usual head. Idle ones took 5 KiB in
/// a test build.
const CONNECTION_BYTES: usize = 8 * 1024;

/// The memory of a request in progress beside its head and body: its tasks and the connection
/// to its upstream, as in a test build.
const REQUEST_BYTES: usize = 12 * 1024;

/// The id of no connection.
const NO_ID: u64 = u64::MAX;

/// The time between two looks at what connections that end have returned.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The longest wait for that: a connection ends as soon as its task runs.
const MAX_CHECKS: u32 = 50;

/// The time between two looks for room for a connection. Requests that were read may keep it
/// for long.
const ROOM_INTERVAL: Duration = Duration::from_millis(5);

/// The limits on what all callers make a process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerBudgetOptions {
    /// The memory for connections, heads, bodies and responses in bytes.
    pub memory: usize,
    /// The number of connections.
    pub connections: usize,
    /// The number of connections and requests, each of which needs another descriptor.
    pub descriptors: usize,
}

/// What one holder may have of what all callers get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerShares {
    /// What the callers of one address may have of the memory, connections and descriptors.
    pub address: SharePercent,
    /// What the requests of one team may have of the memory and descriptors.
    pub team: SharePercent,
}

/// The causes for which connections or requests of callers ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerEnd {
    /// A connection without a request in progress, for its descriptor or memory.
    Idle,
    /// A request whose head was incomplete.
    Head,
    /// A request whose body stalled or trickled.
    Body,
    /// A request for which there was no memory.
    NoMemory,
    /// A request for which there was no descriptor.
    NoDescriptor,
    /// A request or connection for which its caller's address had its share.
    AddressShare,
    /// A request for which its team had its share.
    TeamShare,
}

impl CallerEnd {
    /// Every cause.
    pub const ALL: [Self; 7] = [
        Self::Idle,
        Self::Head,
        Self::Body,
        Self::NoMemory,
        Self::NoDescriptor,
        Self::AddressShare,
        Self::TeamShare,
    ];

    /// Returns the code in metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::NoMemory => "no_memory",
            Self::NoDescriptor => "no_descriptor",
            Self::AddressShare => "address_share",
            Self::TeamShare => "team_share",
        }
    }
}

/// The numbers of ends by cause. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct CallerEnds(Arc<[AtomicU64; CallerEnd::ALL.len()]>);

impl CallerEnds {
    /// Returns the number of ends for a cause.
    #[must_use]
    pub fn get(&self, cause: CallerEnd) -> u64 {
        self.0[cause as usize].load(Ordering::Relaxed)
    }

    fn record(&self, cause: CallerEnd) {
        self.0[cause as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// The budget for all that callers make a process hold. Clones share it.
#[derive(Clone, Debug)]
pub struct CallerBudget {
    options: CallerBudgetOptions,
    shares: CallerShares,
    memory: BufferBudget,
    ends: CallerEnds,
    registry: Rc<RefCell<Registry>>,
}

#[derive(Debug, Default)]
struct Registry {
    slots: Slots,
    shares: Shares,
    enders: HashMap<u64, oneshot::Sender<()>>,
}

impl CallerBudget {
    /// Returns a budget with the limits in `options`, of which one address or team may have all.
    /// Connections get at most half of the memory.
    #[must_use]
    pub fn new(options: CallerBudgetOptions) -> Self {
        let connections = options
            .connections
            .min(options.memory / 2 / CONNECTION_BYTES);
        Self {
            options: CallerBudgetOptions {
                connections: connections.max(1),
                ..options
            },
            shares: CallerShares {
                address: SharePercent::ALL,
                team: SharePercent::ALL,
            },
            memory: BufferBudget::new(options.memory),
            ends: CallerEnds::default(),
            registry: Rc::default(),
        }
    }

    /// Returns this budget with limits on what one address or team may have.
    #[must_use]
    pub const fn with_shares(mut self, shares: CallerShares) -> Self {
        self.shares = shares;
        self
    }

    /// Returns the memory, which responses to callers take as well.
    #[must_use]
    pub const fn memory(&self) -> &BufferBudget {
        &self.memory
    }

    /// Returns the numbers of connections and requests that ended for a shortage.
    #[must_use]
    pub const fn ends(&self) -> &CallerEnds {
        &self.ends
    }

    /// Waits until a connection of a caller at `address` may be added, and ends others for it.
    ///
    /// Returns whether it may: if the address has its share, only its own connections end, and
    /// nothing is waited for.
    pub(crate) async fn make_room(&self, address: IpAddr) -> bool {
        let shares: Arc<[Share]> = [self.address_share(address)].into();
        let memory = self.memory.charged_to(&shares).reservation();
        for check in 0.. {
            let id = match self.lack(&shares, &memory) {
                None => break,
                Some(lack) => lack.share_id(),
            };
            if id.is_some() {
                let wait = self.wait_for_end(id, Shortage::Descriptors, NO_ID, check);
                if !wait.await {
                    self.ends.record(CallerEnd::AddressShare);
                    return false;
                }
                continue;
            }
            let is_ending = self.registry.borrow().slots.has_ending()
                || self.end_one(None, Shortage::Descriptors, NO_ID);
            let interval = if is_ending {
                CHECK_INTERVAL
            } else {
                ROOM_INTERVAL
            };
            monoio::time::sleep(interval).await;
        }
        true
    }

    fn address_share(&self, address: IpAddr) -> Share {
        let mut registry = self.registry.borrow_mut();
        let percent = self.shares.address;
        registry.shares.get(&Holder::at(address), percent)
    }

    /// Returns what is lacking for a connection that counts for `shares`, whose memory `memory`
    /// will hold. The first one of a holder is not limited by its share.
    fn lack<'a>(&self, shares: &'a [Share], memory: &'a Reservation) -> Option<Lack<'a>> {
        let registry = self.registry.borrow();
        let slots = &registry.slots;
        let held = |share: &Share| slots.held(share.id);
        let connections = slots.len() + 1;
        let limit = self.options.connections;
        let of_connections = Use {
            limit,
            free: limit.saturating_sub(connections),
            has_room: connections <= limit,
        };
        let of_descriptors = self.descriptors(connections + slots.requests());
        let lack = of_connections.lack(shares, |share| match held(share).connections {
            0 => 0,
            connections => connections + 1,
        });
        let lack = lack.or_else(|| {
            of_descriptors.lack(shares, |share| match held(share) {
                Held { connections: 0, .. } => 0,
                held => held.descriptors() + 1,
            })
        });
        lack.or_else(|| memory.lack(CONNECTION_BYTES))
    }

    /// Returns the use of descriptors if `used` are used.
    const fn descriptors(&self, used: usize) -> Use {
        let limit = self.options.descriptors;
        Use {
            limit,
            free: limit.saturating_sub(used),
            has_room: used <= limit,
        }
    }

    /// Ends the connection that the shortage costs first, of those of `share` if there is one,
    /// and returns whether there is one.
    fn end_one(&self, share: Option<ShareId>, shortage: Shortage, own: u64) -> bool {
        let mut registry = self.registry.borrow_mut();
        let now = Instant::now();
        let Some(id) = registry.slots.select_of(share, shortage, own, now) else {
            return false;
        };
        match registry.slots.state(id) {
            Some(SlotState::Head) => self.ends.record(CallerEnd::Head),
            Some(SlotState::Body) => self.ends.record(CallerEnd::Body),
            _ => self.ends.record(CallerEnd::Idle),
        }
        if let Some(sender) = registry.enders.remove(&id) {
            // A connection that no longer listens is about to close.
            let _ = sender.send(());
        }
        true
    }
}

/// What a connection holds beside its own memory, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Parts {
    /// The head of the request that is read or in progress, if it is long.
    head: usize,
    /// What is read ahead of further requests.
    ahead: usize,
    /// The request in progress.
    request: usize,
}

impl Parts {
    const fn sum(self) -> usize {
        CONNECTION_BYTES + self.head + self.ahead + self.request
    }
}

/// The part of a connection in the budget, which is returned when it is dropped.
pub struct CallerSlot {
    budget: CallerBudget,
    id: u64,
    reservation: Reservation,
    parts: Parts,
    /// The share of the caller's address.
    address: Option<Share>,
    /// The shares of the caller's address and the request's team.
    shares: Arc<[Share]>,
}

impl CallerSlot {
    /// Adds a connection, which gets a signal when it has to end. One without an `address`
    /// counts for no address.
    pub fn open(budget: &CallerBudget, address: Option<IpAddr>) -> (Self, oneshot::Receiver<()>) {
        let (sender, ended) = oneshot::channel();
        let address = address.map(|address| budget.address_share(address));
        let id = {
            let mut registry = budget.registry.borrow_mut();
            let id = registry.slots.open(Instant::now());
            registry.enders.insert(id, sender);
            let share = address.as_ref().map(|share| share.id);
            registry.slots.set_address(id, share);
            id
        };
        let shares = address.iter().cloned().collect();
        let mut reservation = budget.memory.charged_to(&shares).reservation();
        // Connections that are not limited in number may find the memory used up.
        let _ = reservation.resize(CONNECTION_BYTES);
        let slot = Self {
            budget: budget.clone(),
            id,
            reservation,
            parts: Parts::default(),
            address,
            shares,
        };
        (slot, ended)
    }

    /// Changes what the connection is doing.
    pub fn set_state(&mut self, state: SlotState) {
        let mut registry = self.budget.registry.borrow_mut();
        registry.slots.set_state(self.id, state, Instant::now());
    }

    /// Reserves memory for a head of up to `bytes`, of which some may have been read ahead.
    pub async fn reserve_head(&mut self, bytes: usize) -> Result<()> {
        self.reserve(Parts {
            head: bytes,
            ahead: 0,
            ..self.parts
        })
        .await
    }

    /// Counts what was read ahead for the head of the next request.
    pub fn take_ahead(&mut self) {
        self.parts.head = std::mem::take(&mut self.parts.ahead);
    }

    /// Reserves memory for up to `bytes` that were read ahead of the next request.
    pub async fn reserve_ahead(&mut self, bytes: usize) -> Result<()> {
        self.reserve(Parts {
            ahead: bytes,
            ..self.parts
        })
        .await
    }

    /// Does what [`reserve_ahead`](Self::reserve_ahead) does if there is enough memory without
    /// an end of others, and returns whether it is reserved.
    pub fn try_reserve_ahead(&mut self, bytes: usize) -> bool {
        let parts = Parts {
            ahead: bytes,
            ..self.parts
        };
        let is_reserved = self.reservation.resize(parts.sum()).is_ok();
        if is_reserved {
            self.parts = parts;
        }
        is_reserved
    }

    /// Returns whether memory is reserved for a long head.
    pub const fn has_long_head(&self) -> bool {
        self.parts.head > 0
    }

    /// Returns the memory of a request that has ended, but for what `keeps_ahead` of others.
    pub fn end_request(&mut self, keeps_ahead: bool) {
        let ahead = self.parts.ahead.max(self.parts.head);
        self.parts = Parts {
            ahead: if keeps_ahead { ahead } else { 0 },
            ..Parts::default()
        };
        // A reservation can always become smaller.
        let _ = self.reservation.resize(self.parts.sum());
    }

    async fn reserve(&mut self, parts: Parts) -> Result<()> {
        let budget = self.budget.clone();
        reserve(&budget, self.id, &mut self.reservation, parts.sum()).await?;
        self.parts = parts;
        Ok(())
    }

    /// Counts the next request for `team`, until it ends.
    pub fn set_team(&mut self, team: Option<Rc<str>>) {
        let mut registry = self.budget.registry.borrow_mut();
        let percent = self.budget.shares.team;
        let team = team.map(|team| registry.shares.get(&Holder::Team(team), percent));
        let share = team.as_ref().map(|share| share.id);
        registry.slots.set_team(self.id, share);
        self.shares = self.address.iter().cloned().chain(team).collect();
    }

    /// Returns the shares that the request counts for.
    pub const fn shares(&self) -> &Arc<[Share]> {
        &self.shares
    }

    /// Begins a request, which may have a body, and takes a descriptor for its upstream.
    pub async fn begin_request(&mut self, expected: usize, limit: Duration) -> Result<()> {
        let budget = &self.budget;
        for check in 0.. {
            let lack = {
                let mut registry = budget.registry.borrow_mut();
                let slots = &mut registry.slots;
                let used = budget.descriptors(slots.len() + slots.requests() + 1);
                let lack = used.lack(&self.shares, |share| match slots.held(share.id) {
                    Held { requests: 0, .. } => 0,
                    held => held.descriptors() + 1,
                });
                let Some(lack) = lack else {
                    slots.begin_body(self.id, expected, limit, Instant::now());
                    break;
                };
                lack
            };
            let wait = budget.wait_for_end(lack.share_id(), Shortage::Descriptors, self.id, check);
            if !wait.await {
                budget.ends.record(lack.cause(CallerEnd::NoDescriptor));
                return Err(Error::OverBudget);
            }
        }
        self.reserve(Parts {
            request: REQUEST_BYTES,
            ..self.parts
        })
        .await
    }

    /// Returns a reservation for the body of the request.
    pub fn body_reservation(&self) -> Reservation {
        self.budget.memory.charged_to(&self.shares).reservation()
    }

    /// Changes the size of a reservation for the body of the request.
    pub async fn reserve_body(&self, reservation: &mut Reservation, bytes: usize) -> Result<()> {
        reserve(&self.budget, self.id, reservation, bytes).await
    }

    /// Records the arrival of bytes of a body.
    pub fn record_bytes(&self, bytes: usize) {
        let mut registry = self.budget.registry.borrow_mut();
        registry.slots.record_bytes(self.id, bytes, Instant::now());
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let mut registry = self.budget.registry.borrow_mut();
        registry.slots.close(self.id);
        registry.enders.remove(&self.id);
    }
}

impl CallerBudget {
    /// Ends a connection, of those of `share` if there is one, unless one is about to end,
    /// waits for a moment, and returns whether another try may succeed.
    async fn wait_for_end(
        &self,
        share: Option<ShareId>,
        shortage: Shortage,
        own: u64,
        check: u32,
    ) -> bool {
        let is_ending = self.registry.borrow().slots.has_ending_of(share);
        if check >= MAX_CHECKS || (!is_ending && !self.end_one(share, shortage, own)) {
            return false;
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
        true
    }
}

/// Changes the size of a reservation, and ends other connections for its memory.
async fn reserve(
    budget: &CallerBudget,
    own: u64,
    reservation: &mut Reservation,
    bytes: usize,
) -> Result<()> {
    if !budget.memory.could_hold(bytes) {
        return Err(Error::OversizedBody);
    }
    for check in 0.. {
        if reservation.resize(bytes).is_ok() {
            return Ok(());
        }
        let share = reservation.lack(bytes).and_then(Lack::share_id);
        let wait = budget.wait_for_end(share, Shortage::Memory, own, check);
        if !wait.await {
            break;
        }
    }
    let lack = reservation.lack(bytes).unwrap_or(Lack::Whole);
    budget.ends.record(lack.cause(CallerEnd::NoMemory));
    Err(Error::OverBudget)
}

/// Returns the result of `future`, or `None` if the connection has to end before.
pub async fn unless_ended<T>(
    ended: &mut Option<oneshot::Receiver<()>>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let Some(ended) = ended else {
        return Some(future.await);
    };
    let future = std::pin::pin!(future);
    match futures::future::select(future, ended).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}
