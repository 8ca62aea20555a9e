//! The life of a daemon: start, service and planned stop.

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
use crate::metrics::Event;
use crate::peers;
use crate::running::DrainOptions;
use crate::running::drain;
use crate::serve;
use crate::settings::Settings;
use crate::shutdown::Signals;
use crate::shutdown::Stopping;
use crate::shutdown::channel;

/// The time after the start of a stop in which new connections are still
/// served, as the balancer learns of the stop with a delay.
const LAME_DUCK: Duration = Duration::from_secs(2);

/// The time that the last writes to the platform get during a stop.
const FAREWELL: Duration = Duration::from_secs(2);

/// Runs a daemon until a signal asks it to stop.
///
/// # Errors
///
/// Returns the cause when the daemon cannot start.
pub fn run(settings: Settings) -> Result<()> {
    block_on(async move {
        let mut signals = Signals::install()?;
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
/// Returns [`Error::Runtime`] when the runtime cannot be built.
pub fn block_on<F: Future<Output = Result<()>>>(future: F) -> Result<()> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(Error::Runtime)?;
    // Tasks that still wait on idle connections cannot be dropped outside the
    // runtime; they end with the process.
    ManuallyDrop::new(runtime).block_on(future)
}

/// A `Hurry` can be asked to cut a planned stop short.
pub trait Hurry {
    /// Waits until the stop is to be cut short.
    fn hurry(self) -> impl Future<Output = ()>;
}

impl Hurry for Signals {
    async fn hurry(mut self) {
        self.next().await;
    }
}

impl Hurry for () {
    async fn hurry(self) {
        std::future::pending::<()>().await;
    }
}

/// Runs a daemon until `stop` resolves, then stops it gracefully.
///
/// # Errors
///
/// Returns the cause when the daemon cannot start.
pub async fn serve_until<H: Hurry>(
    settings: Settings,
    stop: impl Future<Output = H>,
) -> Result<()> {
    let (stopper, draining) = channel();
    let (end, ending) = channel();
    let (no_more, closed) = oneshot::channel();
    let instance = Instance::new(settings, draining)?;
    start(&instance, &ending, closed)?;
    let hurry = stop.await;
    info!(running = instance.running().get(); "stopping");
    drop(stopper);
    leave(&instance);
    let times = DrainOptions {
        lame_duck: LAME_DUCK,
        last_request: serve::LAST_REQUEST,
        timeout: instance.settings.drain_timeout,
    };
    let drained = drain(instance.running(), times, || instance.now(), no_more);
    let mut drained = std::pin::pin!(drained.fuse());
    let mut hurry = std::pin::pin!(hurry.hurry().fuse());
    futures::select_biased! {
        () = drained => {}
        () = hurry => warn!(running = instance.running().get(); "stopping at once"),
    }
    let farewell = async {
        slots::release(&instance).await;
        status::write(&instance).await;
    };
    // A platform that is down must not hold up the stop.
    let _ = monoio::time::timeout(FAREWELL, farewell).await;
    drop(end);
    info!("stopped");
    Ok(())
}

fn start(instance: &Rc<Instance>, ending: &Stopping, closed: oneshot::Receiver<()>) -> Result<()> {
    let settings = &instance.settings;
    let callers = listen(settings.listen)?;
    let operators = listen(settings.admin)?;
    peers::serve(instance, ending)?;
    monoio::spawn(bootstrap::run(Rc::clone(instance)));
    monoio::spawn(bootstrap::refresh(Rc::clone(instance), ending.clone()));
    monoio::spawn(exchange::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(watch::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(slots::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(loads::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(ticks::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(status::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(orders::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(admin::serve(Rc::clone(instance), operators, ending.clone()));
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

/// Binds an address.
///
/// # Errors
///
/// Returns [`Error::Listen`] with the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    // Two processes must never share an address unnoticed.
    let exclusive = ListenerOpts::new().reuse_port(false);
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
    let open = Rc::new(());
    let handler = move |conn: Connection| {
        let instance = Rc::clone(&instance);
        // Each open connection holds one count.
        let permit = Rc::clone(&open);
        async move {
            if Rc::strong_count(&permit) > instance.settings.max_callers + 1 {
                instance.metrics.count(Event::ConnectionRefused);
                return;
            }
            serve::serve_connection(instance, conn).await;
        }
    };
    limpetsaddle_http::serve(listener, options, closed, handler).await;
}

/// Tells the other instances that this one is about to stop.
fn leave(instance: &Rc<Instance>) {
    let peers: Vec<SocketAddr> = {
        let mut board = instance.board.borrow_mut();
        board.members.set_phase(Phase::Leaving);
        let now = instance.now();
        let peers = board.members.live_peers(now);
        peers.map(|row| row.address).collect()
    };
    for address in peers {
        monoio::spawn(exchange::exchange_with(Rc::clone(instance), address));
    }
}
