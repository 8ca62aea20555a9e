//! Watches of the configuration.

use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde_json::Value;
use serde_json::json as value;

use super::Outage;
use super::Platform;
use super::WatchFault;
use super::store::Object;
use crate::host::POLL_INTERVAL;
use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::query_number;
use crate::responses::sleep_while_connected;
use crate::responses::stream_head;

/// Serves a watch until it ends, or returns a response if it cannot start.
pub async fn watch(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<HttpResponse> {
    let after = query_number(req.uri(), "after").unwrap_or(0);
    if shared.lock().store.changes_after(after).is_none() {
        return Some(empty(StatusCode::GONE));
    }
    let started = connection.start(stream_head()).await;
    if started.is_ok() && send_updates(after, connection, shared).await.is_some() {
        let _ = connection.finish().await;
    }
    None
}

/// Sends changes and bookmarks; returns `None` if the watch fails.
async fn send_updates(
    mut after: u64,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<()> {
    let options = shared.lock().options;
    let started_at = Instant::now();
    let mut last_bookmark_at = started_at;
    let mut pending = Vec::new();
    while started_at.elapsed() < options.watch_duration {
        let faults = shared.lock().faults;
        match faults.outage {
            Outage::None => (),
            Outage::Silent => {
                sleep_while_connected(connection, POLL_INTERVAL)
                    .await
                    .then_some(())?;
                continue;
            }
            Outage::Unavailable | Outage::Closing => return None,
        }
        if faults.watch != WatchFault::Silent {
            let changes = shared.lock().store.changes_after(after)?;
            after = changes.last().map_or(after, |last| last.revision);
            pending.extend(changes);
            let bookmark_due = last_bookmark_at.elapsed() >= options.bookmark_interval;
            // A single change cannot be reordered, so it waits for another one.
            if faults.watch != WatchFault::Reorder || pending.len() > 1 || bookmark_due {
                send_changes(&mut pending, faults.watch, connection).await?;
            }
            if bookmark_due {
                last_bookmark_at = Instant::now();
                send_line(connection, &value!({"bookmark": after})).await?;
            }
        }
        sleep_while_connected(connection, POLL_INTERVAL)
            .await
            .then_some(())?;
    }
    Some(())
}

async fn send_changes(
    pending: &mut Vec<Object>,
    fault: WatchFault,
    connection: &mut Connection,
) -> Option<()> {
    let mut changes = std::mem::take(pending);
    match fault {
        WatchFault::Skip => changes.retain(|change| change.revision % 2 == 1),
        WatchFault::Repeat => changes = changes.into_iter().flat_map(|c| [c.clone(), c]).collect(),
        WatchFault::Reorder => changes.reverse(),
        WatchFault::None | WatchFault::Silent => (),
    }
    for change in changes {
        send_line(connection, &value!({"object": change})).await?;
    }
    Some(())
}

async fn send_line(connection: &mut Connection, line: &Value) -> Option<()> {
    connection.send(Bytes::from(format!("{line}\n"))).await.ok()
}
