//! Asking the KV store whether it is up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::store_watch::StoreWatch;
use limpetsaddle_platform_wire as wire;
use log::debug;

use super::call::CallError;
use super::call::call;
use super::instance::FleetInstance;
use crate::shutdown::Stopping;

/// The time for which the store may hold a question back. Shorter ones count as
/// probes.
const WAIT: Duration = Duration::from_millis(800);

/// The time beyond its wait that a question may take.
const SLACK: Duration = Duration::from_millis(300);

/// The pause after a question, and between two looks at whether to ask.
const PAUSE: Duration = Duration::from_millis(200);

/// Asks the store as long as it falls to this instance.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    let mut since = 0;
    while stopping.pause(PAUSE).await {
        let rank = instance.peers.borrow().rank(instance.now());
        let configuration = instance.configuration();
        let store = configuration.as_ref().and_then(|c| c.kv_store());
        let Some(store) = store.filter(|_| StoreWatch::asks(rank)) else {
            continue;
        };
        match ask(&instance, store.address, since).await {
            Ok(events) => {
                since = events.next;
                instance.heard_store(events.boot_epoch);
            }
            Err(error) => debug!(error:display; "the KV store does not answer"),
        }
    }
}

async fn ask(
    instance: &FleetInstance,
    address: SocketAddr,
    since: u64,
) -> Result<wire::engine::CacheEvents, CallError> {
    let req = wire::engine::cache_events_request(since, WAIT)?;
    let (status, body) = call(&instance.upstream_client, address, req, WAIT + SLACK).await?;
    Ok(wire::engine::cache_events(status, &body)?)
}
