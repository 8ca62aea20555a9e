//! Calls to the store, and the errors of calls apart from callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::store_era::StoreEra;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::Client;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire as wire;
use thiserror::Error as ThisError;

use super::upstream_calls::SendError;

/// The largest response body that is read, in bytes: a full page of the store's
/// objects.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The cause of a failed call.
#[derive(Debug, ThisError)]
pub enum CallError {
    /// The HTTP exchange failed; the call may have taken effect.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The recipient is not available, so nothing was sent.
    #[error("nothing was sent, as the recipient is {}", .0.code())]
    Withheld(Availability),
    /// The call became obsolete before anything was sent.
    #[error("nothing was sent, as the call became obsolete")]
    Obsolete,
    /// The request cannot be encoded or the response cannot be decoded.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The call timed out; it may have taken effect.
    #[error("no response within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The response is from before the store returned from an older copy; the call
    /// may have no effect any more.
    #[error("the response is of store era {}, which has ended", .0.0)]
    OutdatedEra(StoreEra),
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Withheld(state) => Self::Withheld(state),
            SendError::Obsolete => Self::Obsolete,
            SendError::Http(error) => Self::Http(error),
        }
    }
}

/// Sends a request and returns the head and body of the response, which is read into memory
/// of `budget`.
///
/// # Errors
///
/// Fails when no complete response is received within `timeout`.
pub async fn call_with_head(
    client: &Client,
    address: SocketAddr,
    req: Request,
    timeout: Duration,
    budget: &BufferBudget,
) -> Result<(Parts, Bytes), CallError> {
    let exchange = async {
        let mut res = client.send(address, req).await?;
        let head = std::mem::replace(&mut res.head, Response::new(()).into_parts().0);
        let body = res.collect_within(MAX_RESPONSE_BYTES, budget).await?;
        Ok((head, body))
    };
    match monoio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Timeout(timeout)),
    }
}
