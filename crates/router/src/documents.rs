//! Serving of short documents to operators and the balancer.

use bytes::Bytes;
use futures::channel::oneshot;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use log::warn;
use monoio::net::TcpListener;

use crate::errors::MetricsError;
use crate::shutdown::Stopping;

/// The type of the text in which metrics are printed.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers each request with what `answer` returns, until the instance ends.
pub async fn serve<F>(listener: TcpListener, stopping: Stopping, answer: F)
where
    F: Fn(&Request) -> Response<Bytes> + Clone + 'static,
{
    let (end, ended) = oneshot::channel();
    monoio::spawn(async move {
        stopping.closed().await;
        drop(end);
    });
    let handler = move |conn| serve_connection(conn, answer.clone());
    limpetsaddle_http::serve(listener, ServerOptions::default(), ended, handler).await;
}

/// Returns the answer that holds metrics.
pub fn metrics(rendered: Result<String, MetricsError>) -> Response<Bytes> {
    match rendered {
        Ok(text) => {
            let mut res = Response::new(Bytes::from(text));
            let kind = HeaderValue::from_static(METRICS_TYPE);
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res
        }
        Err(error) => {
            warn!(error:display; "metrics not rendered");
            let mut res = Response::new(Bytes::new());
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            res
        }
    }
}

async fn serve_connection(mut conn: Connection, answer: impl Fn(&Request) -> Response<Bytes>) {
    while let Ok(Some(req)) = conn.next_request().await {
        if conn.respond(answer(&req)).await.is_err() || !conn.keep_alive() {
            return;
        }
    }
}
