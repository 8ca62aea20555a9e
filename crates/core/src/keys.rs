//! Callers' keys and their authentication.
