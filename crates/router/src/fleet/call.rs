//! Short calls to the store and to upstreams, apart from callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_http::Client;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire as wire;
use thiserror::Error as ThisError;

/// The largest response body that is read, in bytes: a full page of the store's
/// objects.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The cause of a failed call.
#[derive(Debug, ThisError)]
pub enum CallError {
    /// The HTTP exchange failed; the call may have taken effect.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The request cannot be encoded or the response cannot be decoded.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The call timed out; it may have taken effect.
    #[error("no response within {} ms", .0.as_millis())]
    Timeout(Duration),
}

/// Sends a request and returns the status and body of the response.
///
/// # Errors
///
/// Fails when no complete response is received within `timeout`.
pub async fn call(
    client: &Client,
    address: SocketAddr,
    req: Request,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let exchange = async {
        let res = client.send(address, req).await?;
        let status = res.head.status;
        let body = res.collect(MAX_RESPONSE_BYTES).await?;
        Ok((status, body))
    };
    match monoio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Timeout(timeout)),
    }
}
