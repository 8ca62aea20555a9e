//! Placement of a request with all that the blackboard knows.

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

/// A `PlacementRequest` is a request that looks for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool that serves the request.
    pub pool: &'a PoolName,
    /// The chain of the prompt.
    pub chain: &'a PrefixChain,
    /// The weights that the answer must come from.
    pub weights: Option<WeightsVersion>,
    /// The upstreams that failed this request before.
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

/// A `Placement` is a request's place at an upstream.
#[derive(Debug)]
pub struct Placement {
    /// The choice with its estimate.
    pub choice: Choice,
    /// The attempt, which counts as outstanding.
    pub ticket: Ticket,
    /// The address of the upstream.
    pub address: SocketAddr,
}

/// A `QueuedRequest` is a request that waits for an upstream.
#[derive(Debug)]
pub struct QueuedRequest<W> {
    pool: PoolName,
    chain: PrefixChain,
    weights: Option<WeightsVersion>,
    exclude: Vec<UpstreamId>,
    /// What stands for the request outside.
    pub waiter: W,
}

impl<W> QueuedRequest<W> {
    /// Returns a request that waits with `waiter`.
    #[must_use]
    pub fn new(wanted: &PlacementRequest<'_>, waiter: W) -> Self {
        Self {
            pool: wanted.pool.clone(),
            chain: wanted.chain.clone(),
            weights: wanted.weights,
            exclude: wanted.exclude.to_vec(),
            waiter,
        }
    }

    fn wanted(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            pool: &self.pool,
            chain: &self.chain,
            weights: self.weights,
            exclude: &self.exclude,
        }
    }
}

/// A `Turn` is a queued request that got a place.
#[derive(Debug)]
pub struct Turn<W> {
    /// What stands for the request outside.
    pub waiter: W,
    /// The place.
    pub placement: Placement,
}

impl<W> Blackboard<W> {
    /// Places the queued request whose turn it is, if an upstream has room.
    pub fn place_next_queued(&mut self, now: Time, random: u64) -> Option<Turn<W>> {
        let upstreams = &self.upstreams;
        let placers = &self.placers;
        let policy = self.store.presets().active_policy();
        let domain = &self.members.own().domain;
        let has_room = |queued: &QueuedRequest<W>| {
            let query = queued.wanted().query(domain, policy);
            let placer = placers.get(&queued.pool);
            placer.is_some_and(|p| p.choose(&query, upstreams, now, random).is_ok())
        };
        let queued = self.queue.pop_if(now, has_room)?;
        let placement = self.place(&queued.wanted(), now, random).ok()?;
        Some(Turn {
            waiter: queued.waiter,
            placement,
        })
    }

    /// Chooses an upstream for a request and counts the attempt as outstanding.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can be chosen.
    pub fn place(
        &mut self,
        wanted: &PlacementRequest<'_>,
        now: Time,
        random: u64,
    ) -> Result<Placement, PlacementError> {
        let options = self.options.placer;
        let placer = self
            .placers
            .entry(wanted.pool.clone())
            .or_insert_with(|| Placer::new(options));
        let domain = &self.members.own().domain;
        let query = wanted.query(domain, self.store.presets().active_policy());
        let choice = placer.choose(&query, &self.upstreams, now, random)?;
        let row = self.upstreams.get(choice.upstream);
        let address = row.ok_or(PlacementError::NoUpstream)?.spec.address;
        let prompt = wanted.chain.prompt_tokens();
        let ticket = self
            .upstreams
            .start(choice.upstream, prompt, choice.prefill_tokens);
        let ticket = ticket.ok_or(PlacementError::NoUpstream)?;
        placer.record_placement(wanted.chain, &choice, now);
        Ok(Placement {
            choice,
            ticket,
            address,
        })
    }

    /// Learns from the answer to a placed request.
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
