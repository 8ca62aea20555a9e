//! Short calls of the store and of upstreams that are no callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_http::Client;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire as wire;
use thiserror::Error as ThisError;

/// The largest answer that is read, in bytes: a page of the store's largest
/// size and its frame.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A `CallError` tells why a call failed.
#[derive(Debug, ThisError)]
pub enum CallError {
    /// No usable answer came; what was asked may have taken effect.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The call cannot be made, or its answer cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The call took longer than permitted; it may have taken effect.
    #[error("no answer within {} ms", .0.as_millis())]
    Timeout(Duration),
}

/// Makes a call and returns the status and the body of the answer.
///
/// # Errors
///
/// Fails when no whole answer came within `limit`.
pub async fn call(
    client: &Client,
    address: SocketAddr,
    req: Request,
    limit: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let exchange = async {
        let res = client.send(address, req).await?;
        let status = res.head.status;
        let body = res.collect(MAX_ANSWER_BYTES).await?;
        Ok((status, body))
    };
    match monoio::time::timeout(limit, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::Timeout(limit)),
    }
}
