//! Start, operation and planned stop of a daemon.

use std::future::Future;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::channel::oneshot;
use limpetsaddle_core::config::Phase;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use log::info;
use log::warn;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;

use crate::admin;
use crate::controllers::bootstrap;
use crate::controllers::exchange;
use crate::controllers::loads;
use crate::controllers::orders;
use crate::controllers::slots;
use crate::controllers::status;
use crate::controllers::ticks;
use crate::controllers::watch;
use crate::errors::Error;
use crate::errors::Result;
use crate::instance::Instance;
use crate::logging;
use crate::metrics::Event;
use crate::peers;
use crate::running::DrainOptions;
use crate::running::drain;
use crate::serve;
use crate::settings::Settings;
use crate::shutdown::SignalHandlers;
use crate::shutdown::Signals;
use crate::shutdown::Stopping;
use crate::shutdown::channel;

/// The time after the start of a stop in which new connections are still
/// accepted, as the balancer notices the stop with a delay.
const LAME_DUCK_TIME: Duration = Duration::from_secs(2);

/// The time limit for the last writes to the platform during a stop.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_secs(2);

/// The bytes of a connection that the kernel holds unread. A body of 4 MiB arrives within its
/// time over links of 150 ms and back.
const UNREAD_BYTES: usize = 64 * 1024;

/// Runs a daemon until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub fn run(settings: Settings) -> Result<()> {
    let handlers = SignalHandlers::for_stop()?;
    logging::init(settings.log_level)?;
    block_on(async move {
        let mut signals = handlers.into_signals()?;
        serve_until(settings, async move {
            signals.next().await;
            signals
        })
        .await
    })
}

/// Runs a future on a runtime with the legacy driver.
///
/// # Errors
///
/// Returns [`Error::Runtime`] if the runtime cannot be built.
pub fn block_on<F: Future<Output = Result<()>>>(future: F) -> Result<()> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(Error::Runtime)?;
    // Tasks on idle connections cannot be dropped outside the runtime; they end
    // with the process.
    ManuallyDrop::new(runtime).block_on(future)
}

/// A source of requests to end a planned stop early.
pub trait ForceStop {
    /// Waits until the stop is to end early.
    fn forced(self) -> impl Future<Output = ()>;
}

impl ForceStop for Signals {
    async fn forced(mut self) {
        self.next().await;
    }
}

impl ForceStop for () {
    async fn forced(self) {
        std::future::pending::<()>().await;
    }
}

/// Runs a daemon until `stop` resolves, then drains requests and stops.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub async fn serve_until<H: ForceStop>(
    settings: Settings,
    stop: impl Future<Output = H>,
) -> Result<()> {
    let (stopper, draining) = channel();
    let (stop_tasks, tasks_stopping) = channel();
    let (accepting, closed) = oneshot::channel();
    let instance = Instance::new(settings, draining)?;
    start(&instance, &tasks_stopping, closed)?;
    let forced = stop.await;
    info!(running = instance.running().get(); "stopping");
    drop(stopper);
    announce_stop(&instance);
    let options = DrainOptions {
        lame_duck: LAME_DUCK_TIME,
        last_request: serve::LAST_REQUEST_WAIT,
        timeout: instance.settings.drain_timeout,
    };
    let drained = drain(instance.running(), options, || instance.now(), accepting);
    let mut drained = std::pin::pin!(drained.fuse());
    let mut forced = std::pin::pin!(forced.forced().fuse());
    futures::select_biased! {
        () = drained => {}
        () = forced => warn!(running = instance.running().get(); "stopping at once"),
    }
    let last_writes = async {
        slots::release(&instance).await;
        status::write(&instance).await;
    };
    // An unavailable platform must not delay the stop.
    let _ = monoio::time::timeout(LAST_WRITES_TIMEOUT, last_writes).await;
    drop(stop_tasks);
    info!("stopped");
    Ok(())
}

fn start(
    instance: &Rc<Instance>,
    tasks_stopping: &Stopping,
    closed: oneshot::Receiver<()>,
) -> Result<()> {
    let settings = &instance.settings;
    let callers = listen(settings.listen)?;
    let operators = listen(settings.admin)?;
    peers::serve(instance, tasks_stopping)?;
    monoio::spawn(bootstrap::run(Rc::clone(instance)));
    monoio::spawn(bootstrap::refresh(
        Rc::clone(instance),
        tasks_stopping.clone(),
    ));
    monoio::spawn(exchange::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(watch::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(slots::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(loads::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(ticks::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(status::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(orders::run(Rc::clone(instance), tasks_stopping.clone()));
    monoio::spawn(admin::serve(
        Rc::clone(instance),
        operators,
        tasks_stopping.clone(),
    ));
    monoio::spawn(serve_callers(Rc::clone(instance), callers, closed));
    info!(
        name:display = settings.name,
        domain:display = settings.domain,
        listen:display = settings.listen,
        admin:display = settings.admin,
        peer:display = settings.peer;
        "started"
    );
    Ok(())
}

/// Binds an address exclusively.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    listen_with(address, ListenerOpts::new())
}

/// Does what [`listen`] does for connections of which the kernel holds little that is unread.
///
/// Without this limit, the kernel accepts ever more behind large bodies, also while nothing is
/// read.
///
/// # Errors
///
/// Returns the errors of [`listen`].
pub fn listen_bounded(address: SocketAddr) -> Result<TcpListener> {
    listen_with(address, ListenerOpts::new().recv_buf_size(UNREAD_BYTES))
}

fn listen_with(address: SocketAddr, options: ListenerOpts) -> Result<TcpListener> {
    // With port reuse, two processes could share an address unnoticed.
    let exclusive = options.reuse_port(false);
    TcpListener::bind_with_config(address, &exclusive)
        .map_err(|source| Error::Listen { address, source })
}

async fn serve_callers(
    instance: Rc<Instance>,
    listener: TcpListener,
    closed: oneshot::Receiver<()>,
) {
    let options = ServerOptions {
        max_head_bytes: instance.settings.max_head_bytes,
        max_body_bytes: instance.settings.max_body_bytes,
        ..ServerOptions::default()
    };
    let connections = Rc::new(());
    let handler = move |conn: Connection| {
        let instance = Rc::clone(&instance);
        // The reference count is the number of open connections plus one.
        let connection = Rc::clone(&connections);
        async move {
            if Rc::strong_count(&connection) > instance.settings.max_callers + 1 {
                instance.metrics.count(Event::ConnectionRefused);
                return;
            }
            serve::serve_connection(instance, conn).await;
        }
    };
    limpetsaddle_http::serve(listener, options, closed, handler).await;
}

/// Notifies the other instances that this one is stopping.
fn announce_stop(instance: &Rc<Instance>) {
    let peers: Vec<SocketAddr> = {
        let mut board = instance.board.borrow_mut();
        board.members.set_phase(Phase::Leaving);
        let now = instance.now();
        let peers = board.members.live_peers(now);
        peers.map(|member| member.address).collect()
    };
    for address in peers {
        monoio::spawn(exchange::exchange_with(Rc::clone(instance), address));
    }
}
