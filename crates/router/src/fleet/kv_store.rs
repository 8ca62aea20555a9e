//! Asking the KV stores whether they are up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
use limpetsaddle_fleet::kv_store_monitor::KvStoreStatus;
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

/// Asks the stores as long as that falls to this instance.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    let mut since: HashMap<SocketAddr, u64> = HashMap::new();
    while stopping.pause(PAUSE).await {
        let rank = instance.peers.borrow().rank(instance.now());
        let configuration = instance.configuration();
        let Some(configuration) = configuration.filter(|_| KvStoreMonitor::is_prober(rank)) else {
            continue;
        };
        let stores = configuration.kv_stores().iter().map(|store| {
            let since = since.get(&store.address).copied().unwrap_or_default();
            let instance = &instance;
            async move { (store.address, ask(instance, store.address, since).await) }
        });
        for (address, answer) in futures::future::join_all(stores).await {
            match answer {
                Ok(events) => {
                    since.insert(address, events.next);
                    instance.heard_store(KvStoreStatus {
                        store: store_hash(address),
                        boot: events.boot_epoch,
                    });
                }
                Err(error) => debug!(address:display, error:display; "a KV store does not answer"),
            }
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
