//! Serving of short documents to operators and the balancer.

use bytes::Bytes;
use futures::channel::oneshot;
use http::Response;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use monoio::net::TcpListener;

use crate::shutdown::Stopping;

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

async fn serve_connection(mut conn: Connection, answer: impl Fn(&Request) -> Response<Bytes>) {
    while let Ok(Some(req)) = conn.next_request().await {
        if conn.respond(answer(&req)).await.is_err() || !conn.keep_alive() {
            return;
        }
    }
}
