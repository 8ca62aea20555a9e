//! Weighted fair queuing between teams.
