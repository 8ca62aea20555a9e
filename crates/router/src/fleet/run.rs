//! Start, service and planned stop of a fleet instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_fleet::settings::FleetSettings;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_platform_wire as wire;
use log::info;
use log::warn;
use monoio::net::TcpListener;

use super::heartbeats;
use super::instance::FleetInstance;
use super::kv_store;
use super::monitoring;
use super::rollout;
use super::serve;
use super::watch;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::block_on;
use crate::run::listen;
use crate::running::DrainOptions;
use crate::running::drain;
use crate::shutdown::ReloadSignals;
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

/// Runs an instance until a signal stops it.
///
/// # Errors
///
/// Fails when the instance cannot start.
pub fn run() -> Result<()> {
    let path = settings_path();
    let settings = read_settings(&path)?;
    block_on(async move {
        let mut signals = Signals::install()?;
        let reloads = ReloadSignals::install()?;
        let (stopper, draining) = channel();
        let (end, ending) = channel();
        let (no_more, closed) = oneshot::channel();
        let instance = FleetInstance::new(settings, draining)?;
        start(&instance, &ending, closed)?;
        monoio::spawn(reload(Rc::clone(&instance), reloads, path));
        signals.next().await;
        info!(running = instance.running().get(); "stopping");
        instance.begin_stop();
        drop(stopper);
        let times = DrainOptions {
            lame_duck: LAME_DUCK,
            last_request: serve::LAST_REQUEST_TIMEOUT,
            timeout: instance.settings.bounds.stop.saturating_sub(STOP_MARGIN),
        };
        drain(instance.running(), times, || instance.now(), no_more).await;
        drop(end);
        info!(running = instance.running().get(); "stopped");
        Ok(())
    })
}

fn settings_path() -> PathBuf {
    std::env::var_os(wire::SETTINGS_VARIABLE)
        .map_or_else(|| PathBuf::from(wire::DEFAULT_SETTINGS_PATH), PathBuf::from)
}

fn read_settings(path: &PathBuf) -> Result<FleetSettings> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| Error::SettingsFile {
        path: path.clone(),
        source,
    })?;
    Ok(wire::settings::decode(&text)?)
}

fn start(
    instance: &Rc<FleetInstance>,
    ending: &Stopping,
    closed: oneshot::Receiver<()>,
) -> Result<()> {
    let settings = &instance.settings;
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(SocketAddr::from((settings.ip, METRICS_PORT)))?;
    heartbeats::start(instance, ending)?;
    watch::start(instance, ending);
    monoio::spawn(rollout::run(Rc::clone(instance), ending.clone()));
    monoio::spawn(kv_store::run(Rc::clone(instance), ending.clone()));
    for listener in [readiness, metrics] {
        monoio::spawn(monitoring::serve(
            Rc::clone(instance),
            listener,
            ending.clone(),
        ));
    }
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
    let handler = move |conn: Connection| serve::serve_connection(Rc::clone(&instance), conn);
    limpetsaddle_http::serve(listener, ServerOptions::default(), closed, handler).await;
}

/// Reads the settings file after each reload signal, and logs whether it has
/// changed. Changes take effect at the next start.
async fn reload(instance: Rc<FleetInstance>, mut reloads: ReloadSignals, path: PathBuf) {
    loop {
        reloads.next().await;
        match read_settings(&path) {
            Ok(settings) => {
                let changed = settings != instance.settings;
                info!(changed; "settings file read again; changes take effect at the next start");
            }
            Err(error) => warn!(error:display; "invalid settings; keeping the current ones"),
        }
    }
}
