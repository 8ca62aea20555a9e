//! One budget for all that callers make a process hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;

use crate::budget::BufferBudget;
use crate::budget::Reservation;
use crate::error::Error;
use crate::error::Result;
use crate::slots::Shortage;
use crate::slots::SlotState;
use crate::slots::Slots;

/// The memory of a connection: its task, its buffer and a usual head. Idle ones took 5 KiB in
/// a test build.
const CONNECTION_BYTES: usize = 8 * 1024;

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
}

impl CallerEnd {
    /// Every cause.
    pub const ALL: [Self; 5] = [
        Self::Idle,
        Self::Head,
        Self::Body,
        Self::NoMemory,
        Self::NoDescriptor,
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
    memory: BufferBudget,
    ends: CallerEnds,
    registry: Rc<RefCell<Registry>>,
}

#[derive(Debug, Default)]
struct Registry {
    slots: Slots,
    enders: HashMap<u64, oneshot::Sender<()>>,
}

impl CallerBudget {
    /// Returns a budget with the limits in `options`. Connections get at most half of the
    /// memory.
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
            memory: BufferBudget::new(options.memory),
            ends: CallerEnds::default(),
            registry: Rc::default(),
        }
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

    /// Waits until a connection may be added, and ends others for it.
    pub(crate) async fn make_room(&self) {
        while !self.has_room() {
            if !self.registry.borrow().slots.has_ending() {
                self.end_one(Shortage::Descriptors, u64::MAX);
            }
            monoio::time::sleep(ROOM_INTERVAL).await;
        }
    }

    fn has_room(&self) -> bool {
        let registry = self.registry.borrow();
        let connections = registry.slots.len();
        let descriptors = connections + registry.slots.requests();
        connections < self.options.connections
            && descriptors < self.options.descriptors
            && self.memory.holds(CONNECTION_BYTES)
    }

    /// Ends the connection that the shortage costs first, and returns whether there is one.
    fn end_one(&self, shortage: Shortage, own: u64) -> bool {
        let mut registry = self.registry.borrow_mut();
        let Some(id) = registry.slots.select(shortage, own, Instant::now()) else {
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

/// The part of a connection in the budget, which is returned when it is dropped.
pub struct CallerSlot {
    budget: CallerBudget,
    id: u64,
    reservation: Reservation,
}

impl CallerSlot {
    /// Adds a connection, which gets a signal when it has to end.
    pub fn open(budget: &CallerBudget) -> (Self, oneshot::Receiver<()>) {
        let (sender, ended) = oneshot::channel();
        let id = {
            let mut registry = budget.registry.borrow_mut();
            let id = registry.slots.open(Instant::now());
            registry.enders.insert(id, sender);
            id
        };
        let mut reservation = budget.memory.reservation();
        // Connections that are not limited in number may find the memory used up.
        let _ = reservation.resize(CONNECTION_BYTES);
        let slot = Self {
            budget: budget.clone(),
            id,
            reservation,
        };
        (slot, ended)
    }

    /// Changes what the connection is doing.
    pub fn set_state(&mut self, state: SlotState) {
        if state == SlotState::Idle {
            // Returns the memory of a long head.
            let _ = self.reservation.resize(CONNECTION_BYTES);
        }
        let mut registry = self.budget.registry.borrow_mut();
        registry.slots.set_state(self.id, state, Instant::now());
    }

    /// Reserves memory for a head of up to `bytes`.
    pub async fn reserve_head(&mut self, bytes: usize) -> Result<()> {
        let bytes = CONNECTION_BYTES + bytes;
        if bytes <= self.reservation.bytes() {
            return Ok(());
        }
        let budget = self.budget.clone();
        reserve(&budget, self.id, &mut self.reservation, bytes).await
    }

    /// Begins a request, which may have a body, and takes a descriptor for its upstream.
    pub async fn begin_request(&mut self, expected: usize, limit: Duration) -> Result<()> {
        let budget = &self.budget;
        for check in 0.. {
            {
                let mut registry = budget.registry.borrow_mut();
                let descriptors = registry.slots.len() + registry.slots.requests();
                if descriptors < budget.options.descriptors {
                    let now = Instant::now();
                    registry.slots.begin_body(self.id, expected, limit, now);
                    return Ok(());
                }
            }
            if !budget
                .wait_for_end(Shortage::Descriptors, self.id, check)
                .await
            {
                break;
            }
        }
        budget.ends.record(CallerEnd::NoDescriptor);
        Err(Error::OverBudget)
    }

    /// Returns a reservation for the body of the request.
    pub fn body_reservation(&self) -> Reservation {
        self.budget.memory.reservation()
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
    /// Ends a connection unless one is about to end, waits for a moment, and returns whether
    /// another try may succeed.
    async fn wait_for_end(&self, shortage: Shortage, own: u64, check: u32) -> bool {
        let is_ending = self.registry.borrow().slots.has_ending();
        if check >= MAX_CHECKS || (!is_ending && !self.end_one(shortage, own)) {
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
        if !budget.wait_for_end(Shortage::Memory, own, check).await {
            break;
        }
    }
    budget.ends.record(CallerEnd::NoMemory);
    Err(Error::OverBudget)
}
