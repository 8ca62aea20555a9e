//! An HTTP server on a dedicated thread.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::serve;

/// The interval for polling state that another thread changes, because such a
/// change does not wake this runtime.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the loopback address with port 0, for which the system chooses a port.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// The state of a fake, shared by its thread and the test.
pub struct Shared<S>(Arc<Mutex<S>>);

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<S> Shared<S> {
    pub fn lock(&self) -> MutexGuard<'_, S> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake, which stops when dropped.
pub struct Fake<S> {
    address: SocketAddr,
    shared: Shared<S>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl<S: Send + 'static> Fake<S> {
    /// Listens at `listen` and serves each connection with `serve_connection`.
    pub(crate) fn launch<F, R>(
        listen: SocketAddr,
        state: S,
        serve_connection: F,
    ) -> io::Result<Self>
    where
        F: Fn(Connection, Shared<S>) -> R + Send + 'static,
        R: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Shared(Arc::new(Mutex::new(state)));
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stopped);
        let thread_state = shared.clone();
        let thread = thread::spawn(move || {
            let mut rt = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
                .enable_timer()
                .build()
                .expect("a runtime can be built");
            rt.block_on(async {
                let handler = move |connection| serve_connection(connection, thread_state.clone());
                serve_until_stopped(listener, stop_requested, handler).await;
            });
        });
        Ok(Self {
            address,
            shared,
            stopped,
            thread: Some(thread),
        })
    }

    /// Locks and returns the state; changes take effect immediately.
    ///
    /// The fake serves no request while the lock is held.
    #[must_use]
    pub fn state(&self) -> impl DerefMut<Target = S> + '_ {
        self.shared.lock()
    }

    /// Serves until the process ends.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl<S> Fake<S> {
    /// Returns the address on which the fake listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl<S> Drop for Fake<S> {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve_until_stopped<F, R>(listener: TcpListener, stopped: Arc<AtomicBool>, handler: F)
where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    let listener = monoio::net::TcpListener::from_std(listener)
        .expect("the listener is bound and non-blocking");
    let (stop, shutdown) = oneshot::channel::<()>();
    monoio::spawn(async move {
        while !stopped.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        drop(stop);
    });
    let options = ServerOptions {
        max_body_bytes: 16 * 1024 * 1024,
        ..ServerOptions::default()
    };
    serve(listener, options, shutdown, handler).await;
}
