//! Liveness checks of the KV stores.

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
use super::instance::FleetInstance;
use super::response_limits::CallKind;
use super::upstream_calls::Recipient;
use crate::shutdown::Stopping;

/// The time for which a KV store may hold a poll open. Polls with shorter waits
/// count as probes.
const POLL_WAIT: Duration = Duration::from_millis(800);

/// The time that a poll may take beyond its wait.
const POLL_SLACK: Duration = Duration::from_millis(300);

/// The pause after a poll, and between two checks of whether this instance
/// polls.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Polls the KV stores while this instance is one of those that do so.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    let mut since: HashMap<SocketAddr, u64> = HashMap::new();
    while stopping.pause(POLL_PAUSE).await {
        let configuration = instance.configuration();
        let Some(configuration) = configuration.filter(|_| is_prober(&instance)) else {
            continue;
        };
        let stores = configuration.kv_stores().iter().map(|store| {
            let since = since.get(&store.address).copied().unwrap_or_default();
            let instance = &instance;
            async move { (store.address, poll(instance, store.address, since).await) }
        });
        for (address, result) in futures::future::join_all(stores).await {
            match result {
                Ok(events) => {
                    since.insert(address, events.next);
                    instance.observe_kv_store(KvStoreStatus {
                        store: store_hash(address),
                        boot: events.boot_epoch,
                    });
                }
                Err(error) => debug!(address:display, error:display; "KV store poll failed"),
            }
        }
    }
}

fn is_prober(instance: &FleetInstance) -> bool {
    let now = instance.now();
    let peers = instance.peers.borrow();
    peers.is_settled(now) && KvStoreMonitor::is_prober(peers.rank(now))
}

async fn poll(
    instance: &FleetInstance,
    address: SocketAddr,
    since: u64,
) -> Result<wire::engine::CacheEvents, CallError> {
    let req = wire::engine::cache_events_request(since, POLL_WAIT)?;
    let recipient = Recipient::kv_store(instance, address);
    let timeout = POLL_WAIT + POLL_SLACK;
    let client = &instance.upstream_client;
    let (status, body) = client
        .call(
            instance,
            &recipient,
            || Some(req),
            CallKind::CacheEvents,
            timeout,
        )
        .await?;
    Ok(wire::engine::decode_cache_events(status, &body)?)
}
