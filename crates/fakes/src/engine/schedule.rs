//! The admission of requests to an engine's batch.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;

/// A position in the queue; the smallest one is admitted first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    priority: i64,
    arrival: u64,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct QueuedRequest {
    tokens: u64,
    slot_tx: oneshot::Sender<()>,
}

/// Allocates the slots of the batch and the time for prefill.
#[derive(Debug)]
pub struct Schedule {
    free_slots: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueuePosition, QueuedRequest>,
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

    /// Queues a request; the receiver completes when it gets a slot.
    pub fn enqueue(
        &mut self,
        priority: i64,
        tokens: u64,
    ) -> (QueuePosition, oneshot::Receiver<()>) {
        self.arrivals += 1;
        let position = QueuePosition {
            priority,
            arrival: self.arrivals,
        };
        let (slot_tx, slot_rx) = oneshot::channel();
        self.waiting
            .insert(position, QueuedRequest { tokens, slot_tx });
        self.admit();
        (position, slot_rx)
    }

    /// Cancels a request, releasing its slot if it was already admitted.
    pub fn cancel(&mut self, position: QueuePosition) {
        if self.waiting.remove(&position).is_none() {
            self.release_slot();
        }
    }

    /// Releases a slot.
    pub fn release_slot(&mut self) {
        self.running -= 1;
        self.free_slots += 1;
        self.admit();
    }

    /// Schedules the prefill of `tokens` and returns the time of its completion.
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
        self.waiting.values().map(|request| request.tokens).sum()
    }

    fn admit(&mut self) {
        while self.free_slots > 0
            && let Some((_, next)) = self.waiting.pop_first()
        {
            // If the receiver has been dropped, `cancel` releases the slot.
            let _ = next.slot_tx.send(());
            self.free_slots -= 1;
            self.running += 1;
        }
    }
}
