//! Start, service and planned stop of a fleet instance.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::channel::oneshot;
use limpetsaddle_fleet::settings::FleetSettings;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use log::LevelFilter;
use log::info;
use log::warn;
use monoio::net::TcpListener;

use super::canary;
use super::heartbeats;
use super::instance::FleetInstance;
use super::kv_store;
use super::monitoring;
use super::peer_requests;
use super::quarantine;
use super::reach;
use super::rollout;
use super::serve;
use super::settings_file::SettingsFile;
use super::watch;
use crate::errors::Result;
use crate::logging;
use crate::run::block_on;
use crate::run::listen;
use crate::run::listen_bounded;
use crate::running::DrainOptions;
use crate::running::drain;
use crate::shutdown::SignalHandlers;
use crate::shutdown::Signals;
use crate::shutdown::Stopping;
use crate::shutdown::channel;

const METRICS_PORT: u16 = 9_464;

/// The time after the start of a stop in which new connections are still
/// accepted: the load balancer checks once a second and needs two failed checks.
/// Requests that arrive later than three seconds after the signal could not be
/// finished.
const LAME_DUCK: Duration = Duration::from_millis(2_100);

/// The time before the end of the permitted stop at which the process exits.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// The time of a reload after which the log tells that the file is not read yet.
const SLOW_READ_TIME: Duration = Duration::from_secs(2);

/// The pause after a reload, in which further signals request only one more.
const RELOAD_PAUSE: Duration = Duration::from_millis(200);

/// Runs an instance until a signal stops it.
///
/// # Errors
///
/// Fails when the instance cannot start.
pub fn run() -> Result<()> {
    // A signal without a handler would end the process.
    let stops = SignalHandlers::for_stop()?;
    let reloads = SignalHandlers::for_reload()?;
    logging::init_fleet(LevelFilter::Info)?;
    block_on(serve_until_stopped(stops, reloads))
}

async fn serve_until_stopped(stops: SignalHandlers, reloads: SignalHandlers) -> Result<()> {
    let mut stops = stops.into_signals()?;
    let reloads = reloads.into_signals()?;
    let file = SettingsFile::from_environment();
    let Some(settings) = read_unless_stopped(&file, &mut stops).await? else {
        info!("stopped before the settings were read");
        return Ok(());
    };
    let (stopper, draining) = channel();
    let (end, ending) = channel();
    let (no_more, closed) = oneshot::channel();
    let instance = FleetInstance::new(settings, draining)?;
    start(&instance, &ending, closed)?;
    monoio::spawn(reload(Rc::clone(&instance), reloads, file));
    stops.next().await;
    info!(running = instance.running().get(); "stopping");
    instance.begin_stop();
    drop(stopper);
    let times = DrainOptions {
        lame_duck: LAME_DUCK,
        last_request: serve::LAST_REQUEST_TIMEOUT,
        timeout: instance.settings.bounds.stop.saturating_sub(STOP_MARGIN),
    };
    // Further stop signals are ignored: the platform kills the process in the end.
    drain(instance.running(), times, || instance.now(), no_more).await;
    drop(end);
    info!(running = instance.running().get(); "stopped");
    Ok(())
}

/// Reads the settings, or returns `None` when a signal requests a stop first.
async fn read_unless_stopped(
    file: &SettingsFile,
    stops: &mut Signals,
) -> Result<Option<FleetSettings>> {
    let mut read = std::pin::pin!(file.read().fuse());
    let mut stop = std::pin::pin!(stops.next().fuse());
    futures::select_biased! {
        () = stop => Ok(None),
        settings = read => settings.map(Some),
    }
}

fn start(
    instance: &Rc<FleetInstance>,
    ending: &Stopping,
    closed: oneshot::Receiver<()>,
) -> Result<()> {
    let settings = &instance.settings;
    let callers = listen_bounded(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(SocketAddr::from((settings.ip, METRICS_PORT)))?;
    let peers = listen_bounded(SocketAddr::from((settings.ip, settings.heartbeat_port)))?;
    heartbeats::start(instance, ending)?;
    watch::start(instance, ending);
    monoio::spawn(rollout::run(Rc::clone(instance), ending.clone()));
    if instance.canary.is_some() {
        monoio::spawn(canary::run(Rc::clone(instance), ending.clone()));
    }
    monoio::spawn(kv_store::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(quarantine::run(Rc::clone(instance), ending.clone()));
    for listener in [readiness, metrics] {
        monoio::spawn(monitoring::serve(
            Rc::clone(instance),
            listener,
            ending.clone(),
        ));
    }
    monoio::spawn(peer_requests::serve(
        Rc::clone(instance),
        peers,
        ending.clone(),
    ));
    monoio::spawn(reach::look(Rc::clone(instance), ending.clone()));
    monoio::spawn(serve_callers(Rc::clone(instance), callers, closed));
    info!(
        name:display = settings.name,
        domain:display = settings.domain,
        callers:display = settings.callers,
        readiness:display = settings.readiness,
        store:display = settings.store,
        incarnation = instance.incarnation;
        "started"
    );
    Ok(())
}

async fn serve_callers(
    instance: Rc<FleetInstance>,
    listener: TcpListener,
    closed: oneshot::Receiver<()>,
) {
    let budget = instance.callers.clone();
    let options = ServerOptions::default();
    let handler = move |conn: Connection| serve::serve_connection(Rc::clone(&instance), conn);
    limpetsaddle_http::serve_within(listener, options, budget, closed, handler).await;
}

/// Reads the settings file after reload signals, and logs whether it has changed.
/// Changes take effect at the next start.
async fn reload(instance: Rc<FleetInstance>, mut reloads: Signals, file: SettingsFile) {
    loop {
        reloads.next_series().await;
        let mut read = std::pin::pin!(file.read());
        let in_time = monoio::time::timeout(SLOW_READ_TIME, &mut read).await;
        let result = if let Ok(result) = in_time {
            result
        } else {
            warn!("settings file not read yet; keeping the current settings");
            read.await
        };
        match result {
            Ok(settings) => {
                let changed = settings != instance.settings;
                info!(changed; "settings file read again; changes take effect at the next start");
            }
            Err(error) => warn!(error:display; "invalid settings; keeping the current ones"),
        }
        monoio::time::sleep(RELOAD_PAUSE).await;
    }
}
