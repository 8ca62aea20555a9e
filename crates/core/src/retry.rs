//! Retries within one budget over the whole path.
