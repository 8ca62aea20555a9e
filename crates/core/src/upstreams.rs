//! What an instance knows of the state of its upstreams.
