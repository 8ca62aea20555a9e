//! The accept loop of a server.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt as _;
use futures::channel::oneshot;
use futures::future::Either;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use crate::callers::CallerBudget;
use crate::server::Connection;
use crate::server::ServerOptions;

/// The delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time without a new connection after which the queue of the listener is empty.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(1);

/// The longest wait after which the queue counts as empty: in a longer one, the process was
/// too slow to see what arrived meanwhile.
const MAX_EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);

/// The longest time for accepting the connections in the queue during a shutdown.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections and runs `handler` for each in its own task.
///
/// Closes the listener and returns when the sender of `shutdown` sends or is dropped.
/// Connections that were established before are accepted first, for at most half a
/// second, as closing the listener would reset them and lose their requests.
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
    shutdown: oneshot::Receiver<()>,
    handler: F,
) where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    accept_all(listener, options, None, shutdown, handler).await;
}

/// Does what [`serve`] does within a budget: accepts no connection before there is room for it.
///
/// Ends connections of callers for that which have nothing to lose or are too slow.
pub async fn serve_within<F, R>(
    listener: TcpListener,
    options: ServerOptions,
    budget: CallerBudget,
    shutdown: oneshot::Receiver<()>,
    handler: F,
) where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    accept_all(listener, options, Some(budget), shutdown, handler).await;
}

async fn accept_all<F, R>(
    listener: TcpListener,
    options: ServerOptions,
    budget: Option<CallerBudget>,
    mut shutdown: oneshot::Receiver<()>,
    handler: F,
) where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    let start = |stream: TcpStream, address: SocketAddr| {
        let mut conn = Connection::new(stream, options.clone());
        if let Some(budget) = &budget {
            conn.set_budget_at(budget, address.ip());
        }
        let task = handler(conn);
        // The panic hook reports the panic; unwinding drops the connection.
        monoio::spawn(AssertUnwindSafe(task).catch_unwind().map(drop));
    };
    loop {
        let accept = std::pin::pin!(listener.accept());
        match futures::future::select(&mut shutdown, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, address)), _)) => {
                if let Some(budget) = &budget {
                    let room = std::pin::pin!(budget.make_room(address.ip()));
                    match futures::future::select(&mut shutdown, room).await {
                        Either::Left(_) => {
                            start(stream, address);
                            break;
                        }
                        // Closing it without reading promises that nothing has run.
                        Either::Right((false, _)) => continue,
                        Either::Right((true, _)) => {}
                    }
                }
                start(stream, address);
            }
            Either::Right((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    let end = Instant::now() + QUEUE_TIMEOUT;
    while Instant::now() < end {
        let begun = Instant::now();
        match monoio::time::timeout(EMPTY_QUEUE_TIME, listener.accept()).await {
            Ok(Ok((stream, address))) => {
                start(stream, address);
                if accept_rest(&listener, &start) {
                    return;
                }
            }
            Ok(Err(_)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Err(_) if begun.elapsed() <= MAX_EMPTY_QUEUE_TIME => return,
            Err(_) => {}
        }
    }
}

/// Accepts what is in the queue after a connection was accepted, and returns whether the
/// queue was empty when the last call was made.
///
/// The driver takes the listener for readable until an accept would block, so each of these
/// calls reaches the kernel without waiting for the driver.
fn accept_rest(listener: &TcpListener, start: &impl Fn(TcpStream, SocketAddr)) -> bool {
    loop {
        match listener.accept().now_or_never() {
            Some(Ok((stream, address))) => start(stream, address),
            Some(Err(_)) => return false,
            None => return true,
        }
    }
}
