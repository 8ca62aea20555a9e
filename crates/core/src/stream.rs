//! Progress of a streamed answer, token by token.
