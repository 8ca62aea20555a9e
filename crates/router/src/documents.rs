//! HTTP server for short documents to operators and the balancer.

use bytes::Bytes;
use futures::channel::oneshot;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_http::CallerBudget;
use limpetsaddle_http::CallerBudgetOptions;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use log::warn;
use monoio::net::TcpListener;

use crate::errors::MetricsError;
use crate::shutdown::Stopping;

/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the responses that `respond` returns until the instance stops.
pub async fn serve<F>(listener: TcpListener, stopping: Stopping, respond: F)
where
    F: Fn(&Request) -> Response<Bytes> + Clone + 'static,
{
    let handler = move |conn| serve_connection(conn, respond.clone());
    let ended = end_with(stopping);
    limpetsaddle_http::serve(listener, ServerOptions::default(), ended, handler).await;
}

/// Does what [`serve`] does within a budget of its own, which strangers may use up without harm
/// to others.
pub async fn serve_within<F>(
    listener: TcpListener,
    budget: CallerBudgetOptions,
    stopping: Stopping,
    respond: F,
) where
    F: Fn(&Request) -> Response<Bytes> + Clone + 'static,
{
    let handler = move |conn| serve_connection(conn, respond.clone());
    let ended = end_with(stopping);
    let budget = CallerBudget::new(budget);
    let options = ServerOptions::default();
    limpetsaddle_http::serve_within(listener, options, budget, ended, handler).await;
}

/// Returns a channel that closes when the instance stops.
fn end_with(stopping: Stopping) -> oneshot::Receiver<()> {
    let (end, ended) = oneshot::channel();
    monoio::spawn(async move {
        stopping.closed().await;
        drop(end);
    });
    ended
}

/// Returns the response with metrics, or status 500 if they cannot be rendered.
pub fn metrics(rendered: Result<String, MetricsError>) -> Response<Bytes> {
    match rendered {
        Ok(text) => {
            let mut res = Response::new(Bytes::from(text));
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            res.headers_mut().insert(header::CONTENT_TYPE, content_type);
            res
        }
        Err(error) => {
            warn!(error:display; "cannot render metrics");
            let mut res = Response::new(Bytes::new());
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            res
        }
    }
}

async fn serve_connection(mut conn: Connection, respond: impl Fn(&Request) -> Response<Bytes>) {
    while let Ok(Some(req)) = conn.next_request().await {
        if conn.respond(respond(&req)).await.is_err() || !conn.keep_alive() {
            return;
        }
    }
}
