//! The accept loop of a server.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt as _;
use futures::channel::oneshot;
use futures::future::Either;
use monoio::net::TcpListener;

use crate::server::Connection;
use crate::server::ServerOptions;

/// The delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and runs `handler` for each in its own task.
///
/// Closes the listener and returns when the sender of `shutdown` sends or is dropped.
/// Tasks of accepted connections keep running. A panic in a handler closes only its
/// own connection.
///
/// ```
/// use futures::channel::oneshot;
/// use limpetsaddle_http::Connection;
/// use limpetsaddle_http::ServerOptions;
/// use limpetsaddle_http::serve;
/// use monoio::net::TcpListener;
///
/// async fn greet(mut connection: Connection) {
///     if let Ok(Some(_)) = connection.next_request().await {
///         let _ = connection.respond(http::Response::new("hello".into())).await;
///     }
/// }
///
/// let mut rt = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
///     .enable_timer()
///     .build()?;
/// rt.block_on(async {
///     let listener = TcpListener::bind("127.0.0.1:0")?;
///     let (stop, shutdown) = oneshot::channel();
///     let server = monoio::spawn(serve(listener, ServerOptions::default(), shutdown, greet));
///     drop(stop);
///     server.await;
///     Ok(())
/// })
/// # as std::io::Result<()>;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn serve<F, R>(
    listener: TcpListener,
    options: ServerOptions,
    mut shutdown: oneshot::Receiver<()>,
    handler: F,
) where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    loop {
        let accept = std::pin::pin!(listener.accept());
        let accepted = match futures::future::select(&mut shutdown, accept).await {
            Either::Left(_) => return,
            Either::Right((accepted, _)) => accepted,
        };
        let Ok((stream, _)) = accepted else {
            monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task = handler(Connection::new(stream, options.clone()));
        // The panic hook reports the panic; unwinding drops the connection.
        monoio::spawn(AssertUnwindSafe(task).catch_unwind().map(drop));
    }
}
