//! The candidate upstreams for one request.

use super::CandidateSource;
use crate::units::Tokens;
use crate::upstreams::UpstreamId;

/// A `Candidate` is an upstream with the number of tokens it is expected to cache.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: UpstreamId,
    pub(super) cached: Tokens,
    pub(super) source: CandidateSource,
}

/// A `Shortlist` contains each candidate once, with the most expected cached tokens.
#[derive(Debug, Default)]
pub(super) struct Shortlist {
    candidates: Vec<Candidate>,
}

impl Shortlist {
    pub(super) fn add(&mut self, id: UpstreamId, cached: Tokens, source: CandidateSource) {
        let candidate = Candidate { id, cached, source };
        match self.candidates.iter_mut().find(|c| c.id == id) {
            Some(existing) if existing.cached >= cached => {}
            Some(existing) => *existing = candidate,
            None => self.candidates.push(candidate),
        }
    }

    pub(super) fn contains(&self, id: UpstreamId) -> bool {
        self.candidates.iter().any(|c| c.id == id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter()
    }
}
