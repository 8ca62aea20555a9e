//! The instances that an instance knows and when it last heard of them.
