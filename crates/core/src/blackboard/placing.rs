//! Placement of a request with all that the blackboard knows.

use std::net::SocketAddr;

use super::Blackboard;
use crate::names::PoolName;
use crate::placement::Choice;
use crate::placement::Feedback;
use crate::placement::Placer;
use crate::placement::PrefixChain;
use crate::placement::Query;
use crate::placement::Unplaced;
use crate::units::Time;
use crate::units::WeightsVersion;
use crate::upstreams::Ticket;
use crate::upstreams::UpstreamId;

/// A `Wanted` is a request that looks for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The pool that serves the request.
    pub pool: &'a PoolName,
    /// The chain of the prompt.
    pub chain: &'a PrefixChain,
    /// The weights that the answer must come from.
    pub weights: Option<WeightsVersion>,
    /// The upstreams that failed this request before.
    pub exclude: &'a [UpstreamId],
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

impl<W> Blackboard<W> {
    /// Chooses an upstream for a request and counts the attempt as outstanding.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can be chosen.
    pub fn place(
        &mut self,
        wanted: &Wanted<'_>,
        now: Time,
        random: u64,
    ) -> Result<Placement, Unplaced> {
        let options = self.options.placer;
        let placer = self
            .placers
            .entry(wanted.pool.clone())
            .or_insert_with(|| Placer::new(options));
        let query = Query {
            pool: wanted.pool,
            domain: &self.members.own().domain,
            chain: wanted.chain,
            weights: wanted.weights,
            exclude: wanted.exclude,
            policy: self.store.presets().in_force(),
        };
        let choice = placer.choose(&query, &self.upstreams, now, random)?;
        let row = self.upstreams.get(choice.upstream);
        let address = row.ok_or(Unplaced::NoUpstream)?.spec.address;
        let prompt = wanted.chain.prompt();
        let ticket = self
            .upstreams
            .start(choice.upstream, prompt, choice.prefill);
        let ticket = ticket.ok_or(Unplaced::NoUpstream)?;
        placer.placed(wanted.chain, &choice, now);
        Ok(Placement {
            choice,
            ticket,
            address,
        })
    }

    /// Learns from the answer to a placed request.
    pub fn answered(
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
            placer.answered(chain, choice, row.epoch, feedback, now);
        }
    }
}
