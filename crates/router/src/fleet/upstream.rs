//! Short calls of upstreams that are no callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire as wire;
use thiserror::Error as ThisError;

use super::instance::FleetInstance;

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// An `UpstreamError` tells why a call of an upstream failed.
#[derive(Debug, ThisError)]
pub enum UpstreamError {
    /// No usable answer came.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The call cannot be made, or its answer cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The upstream took longer than permitted.
    #[error("no answer within {} ms", .0.as_millis())]
    Timeout(Duration),
}

/// Makes a call and returns the status and the body of the answer.
///
/// # Errors
///
/// Fails when no answer came within `limit`.
pub async fn call(
    instance: &FleetInstance,
    address: SocketAddr,
    req: Request,
    limit: Duration,
) -> Result<(StatusCode, Bytes), UpstreamError> {
    let exchange = async {
        let res = instance.upstream_client.send(address, req).await?;
        let status = res.head.status;
        let body = res.collect(MAX_ANSWER_BYTES).await?;
        Ok((status, body))
    };
    match monoio::time::timeout(limit, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(UpstreamError::Timeout(limit)),
    }
}
