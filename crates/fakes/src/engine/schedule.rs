//! The order in which an engine takes up requests.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;

/// A `Place` is a request's place in the queue; a smaller one is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    priority: i64,
    arrival: u64,
}

/// A `Waiting` is a request that waits for a slot.
#[derive(Debug)]
struct Waiting {
    tokens: u64,
    wake: oneshot::Sender<()>,
}

/// A `Schedule` hands out the slots of the batch and the time for prompts.
#[derive(Debug)]
pub struct Schedule {
    free_slots: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, Waiting>,
    prefill_rate: u64,
    prefill_free_at: Instant,
}

impl Schedule {
    pub fn new(slots: usize, prefill_rate: u64) -> Self {
        Self {
            free_slots: slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            prefill_rate: prefill_rate.max(1),
            prefill_free_at: Instant::now(),
        }
    }

    /// Queues a request; the receiver is told when it has a slot.
    pub fn enter(&mut self, priority: i64, tokens: u64) -> (Place, oneshot::Receiver<()>) {
        self.arrivals += 1;
        let place = Place {
            priority,
            arrival: self.arrivals,
        };
        let (wake, woken) = oneshot::channel();
        self.waiting.insert(place, Waiting { tokens, wake });
        self.admit();
        (place, woken)
    }

    /// Gives up the place of a request that never got a slot.
    pub fn withdraw(&mut self, place: Place) {
        if self.waiting.remove(&place).is_none() {
            self.leave();
        }
    }

    /// Frees a slot.
    pub fn leave(&mut self) {
        self.running -= 1;
        self.free_slots += 1;
        self.admit();
    }

    /// Returns when a prompt of which `tokens` have to be computed will be done.
    pub fn prefill(&mut self, tokens: u64) -> Instant {
        let micros = tokens.saturating_mul(1_000_000) / self.prefill_rate;
        let start = self.prefill_free_at.max(Instant::now());
        self.prefill_free_at = start + Duration::from_micros(micros);
        self.prefill_free_at
    }

    pub const fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn queued_tokens(&self) -> u64 {
        self.waiting.values().map(|waiting| waiting.tokens).sum()
    }

    fn admit(&mut self) {
        while self.free_slots > 0
            && let Some((_, next)) = self.waiting.pop_first()
        {
            // A request that was given up in the same moment leaves its slot itself.
            let _ = next.wake.send(());
            self.free_slots -= 1;
            self.running += 1;
        }
    }
}
