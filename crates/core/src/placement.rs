//! Choice of the upstream that serves a request.
