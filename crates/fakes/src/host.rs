//! A server on a thread of its own.

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

/// The pause between looks at what another thread changes, which does not wake
/// a runtime of this kind.
pub const POLL: Duration = Duration::from_millis(5);

/// Returns the loopback address with a port that the system chooses.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// A `Shared` is the state of a stand-in, shared by its thread and its users.
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

/// A `Fake` is a running stand-in, which stops when this is dropped.
pub struct Fake<S> {
    address: SocketAddr,
    shared: Shared<S>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl<S: Send + 'static> Fake<S> {
    /// Serves `state` at `listen`, each connection by `attend`.
    pub(crate) fn launch<F, R>(listen: SocketAddr, state: S, attend: F) -> io::Result<Self>
    where
        F: Fn(Connection, Shared<S>) -> R + Send + 'static,
        R: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Shared(Arc::new(Mutex::new(state)));
        let stopped = Arc::new(AtomicBool::new(false));
        let watched = Arc::clone(&stopped);
        let held = shared.clone();
        let thread = thread::spawn(move || {
            let mut rt = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
                .enable_timer()
                .build()
                .expect("a runtime can be built");
            rt.block_on(async {
                let handler = move |connection| attend(connection, held.clone());
                run(listener, watched, handler).await;
            });
        });
        Ok(Self {
            address,
            shared,
            stopped,
            thread: Some(thread),
        })
    }

    /// Returns the state, locked; changes take effect at once.
    ///
    /// The stand-in waits while this is held.
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
    /// Returns the address on which the stand-in listens.
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

async fn run<F, R>(listener: TcpListener, stopped: Arc<AtomicBool>, handler: F)
where
    F: Fn(Connection) -> R,
    R: Future<Output = ()> + 'static,
{
    let listener = monoio::net::TcpListener::from_std(listener).expect("a bound socket is taken");
    let (stop, shutdown) = oneshot::channel::<()>();
    monoio::spawn(async move {
        while !stopped.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL).await;
        }
        drop(stop);
    });
    let options = ServerOptions {
        max_body_bytes: 16 * 1024 * 1024,
        ..ServerOptions::default()
    };
    serve(listener, options, shutdown, handler).await;
}
