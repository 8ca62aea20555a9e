//! Requests in flight at upstreams.

use std::rc::Rc;

use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::Ticket;

use super::canary;
use super::instance::FleetInstance;

/// Counts a request as in flight at an upstream until it is dropped.
pub struct InFlightGuard {
    instance: Rc<FleetInstance>,
    ticket: Option<Ticket>,
    /// The run, until it has ended.
    run: Option<RunId>,
    /// The outcome for the upstream's health; `None` if the caller disconnects
    /// first.
    outcome: Option<RequestOutcome>,
}

impl InFlightGuard {
    pub fn new(
        instance: &Rc<FleetInstance>,
        placement: &Placement,
        request_load: RequestLoad,
        run: RunId,
    ) -> Self {
        let now = instance.now();
        let mut upstreams = instance.upstreams.borrow_mut();
        let mut ticket = upstreams.start(&placement.upstream, request_load, now);
        if let Some(ticket) = &mut ticket {
            ticket.attribute(placement.work);
        }
        Self {
            ticket,
            instance: Rc::clone(instance),
            run: Some(run),
            outcome: None,
        }
    }

    /// Returns a guard that counts nothing, for a response that was read whole.
    pub fn none(instance: &Rc<FleetInstance>) -> Self {
        Self {
            instance: Rc::clone(instance),
            ticket: None,
            run: None,
            outcome: None,
        }
    }

    /// Records that the upstream has sent the whole response.
    pub fn complete(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        self.end_run(RunEnd::Complete);
    }

    /// Records that the request failed at the upstream. Its health records `outcome`.
    pub fn fail(&mut self, failure: Failure, outcome: Option<RequestOutcome>) {
        self.outcome = outcome;
        if let Some(run) = self.run {
            canary::record_failure(&self.instance, run, failure);
        }
        self.end_run(match failure {
            Failure::ConnectionLost => RunEnd::Broken,
            Failure::UpstreamError => RunEnd::Complete,
            _ => RunEnd::Other,
        });
    }

    fn end_run(&mut self, end: RunEnd) {
        if let Some(run) = self.run.take() {
            let now = self.instance.now();
            self.instance.runs.borrow_mut().end(run, end, now);
            canary::record_end(&self.instance, run);
        }
    }

    /// Records whether the upstream has answered well, as far as the first event shows it.
    pub fn record_response(&self, is_success: bool) {
        if let Some(run) = self.run {
            canary::record_response(&self.instance, run, is_success);
        }
    }

    /// Records the first event, and that the upstream and the KV store now cache
    /// the prompt.
    pub fn record_first_event(&mut self, placement: &Placement) {
        let now = self.instance.now();
        if let Some(run) = self.run {
            let mut runs = self.instance.runs.borrow_mut();
            runs.record_first_event(run, now);
        }
        let Some(ticket) = &mut self.ticket else {
            return;
        };
        let mut upstreams = self.instance.upstreams.borrow_mut();
        upstreams.record_first_event(ticket, now);
        let Some(cache) = &placement.cache else {
            return;
        };
        let keys = || placement.chain.iter().map(|link| link.key).collect();
        let mut directory = self.instance.directory.borrow_mut();
        if let Some(row) = upstreams.get(&placement.upstream) {
            let report = CacheUpdate {
                holder: row.hash,
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(report, now);
        }
        if let Some(store) = cache.save_to {
            let report = CacheUpdate {
                holder: store_hash(store),
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(report, now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end_run(RunEnd::Other);
        if let Some(ticket) = self.ticket.take() {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.finish(&ticket, self.outcome, now);
        }
    }
}
