//! Placement of requests with the state of the blackboard.

use std::net::SocketAddr;

use super::Blackboard;
use crate::config::Policy;
use crate::names::DomainName;
use crate::names::PoolName;
use crate::placement::Choice;
use crate::placement::Feedback;
use crate::placement::PlacementError;
use crate::placement::Placer;
use crate::placement::PrefixChain;
use crate::placement::Query;
use crate::units::Time;
use crate::units::WeightsVersion;
use crate::upstreams::Ticket;
use crate::upstreams::UpstreamId;

/// A `PlacementRequest` describes a request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool that serves the request.
    pub pool: &'a PoolName,
    /// The prefix chain of the prompt.
    pub chain: &'a PrefixChain,
    /// The weights that must serve the request.
    pub weights: Option<WeightsVersion>,
    /// The upstreams on which earlier attempts of this request failed.
    pub exclude: &'a [UpstreamId],
}

impl<'a> PlacementRequest<'a> {
    const fn query(&self, domain: &'a DomainName, policy: &'a Policy) -> Query<'a> {
        Query {
            pool: self.pool,
            domain,
            chain: self.chain,
            weights: self.weights,
            exclude: self.exclude,
            policy,
        }
    }
}

/// A `Placement` is a started attempt of a request at the chosen upstream.
#[derive(Debug)]
pub struct Placement {
    /// The choice with its estimate.
    pub choice: Choice,
    /// The ticket of the attempt, which is outstanding.
    pub ticket: Ticket,
    /// The address of the upstream.
    pub address: SocketAddr,
}

/// A `QueuedRequest` is a request that is waiting for an upstream.
#[derive(Debug)]
pub struct QueuedRequest<W> {
    pool: PoolName,
    chain: PrefixChain,
    weights: Option<WeightsVersion>,
    exclude: Vec<UpstreamId>,
    /// The caller's handle of the request.
    pub waiter: W,
}

impl<W> QueuedRequest<W> {
    /// Returns a queued request with the handle `waiter`.
    #[must_use]
    pub fn new(request: &PlacementRequest<'_>, waiter: W) -> Self {
        Self {
            pool: request.pool.clone(),
            chain: request.chain.clone(),
            weights: request.weights,
            exclude: request.exclude.to_vec(),
            waiter,
        }
    }

    fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            pool: &self.pool,
            chain: &self.chain,
            weights: self.weights,
            exclude: &self.exclude,
        }
    }
}

/// A `PlacedRequest` is a queued request for which an upstream was chosen.
#[derive(Debug)]
pub struct PlacedRequest<W> {
    /// The caller's handle of the request.
    pub waiter: W,
    /// The started attempt.
    pub placement: Placement,
}

impl<W> Blackboard<W> {
    /// Places the next queued request if an upstream has capacity for it.
    pub fn place_next_queued(&mut self, now: Time, random: u64) -> Option<PlacedRequest<W>> {
        let upstreams = &self.upstreams;
        let placers = &self.placers;
        let policy = self.store.presets().active_policy();
        let domain = &self.members.own().domain;
        let can_be_placed = |queued: &QueuedRequest<W>| {
            let query = queued.request().query(domain, policy);
            let placer = placers.get(&queued.pool);
            placer.is_some_and(|p| p.choose(&query, upstreams, now, random).is_ok())
        };
        let queued = self.queue.pop_if(now, can_be_placed)?;
        let placement = self.place(&queued.request(), now, random).ok()?;
        Some(PlacedRequest {
            waiter: queued.waiter,
            placement,
        })
    }

    /// Chooses an upstream for a request and starts an attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason if no upstream can be chosen.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Time,
        random: u64,
    ) -> Result<Placement, PlacementError> {
        let options = self.options.placer;
        let placer = self
            .placers
            .entry(request.pool.clone())
            .or_insert_with(|| Placer::new(options));
        let domain = &self.members.own().domain;
        let query = request.query(domain, self.store.presets().active_policy());
        let choice = placer.choose(&query, &self.upstreams, now, random)?;
        let row = self.upstreams.get(choice.upstream);
        let address = row.ok_or(PlacementError::NoUpstream)?.spec.address;
        let prompt = request.chain.prompt_tokens();
        let ticket = self
            .upstreams
            .start(choice.upstream, prompt, choice.prefill_tokens);
        let ticket = ticket.ok_or(PlacementError::NoUpstream)?;
        placer.record_placement(request.chain, &choice, now);
        Ok(Placement {
            choice,
            ticket,
            address,
        })
    }

    /// Updates the pool's placement estimates from the response to a placed request.
    pub fn record_response(
        &mut self,
        pool: &PoolName,
        chain: &PrefixChain,
        choice: &Choice,
        feedback: Feedback,
        now: Time,
    ) {
        let Some(row) = self.upstreams.get(choice.upstream) else {
            return;
        };
        if let Some(placer) = self.placers.get_mut(pool) {
            placer.record_response(chain, choice, row.epoch, feedback, now);
        }
    }
}
