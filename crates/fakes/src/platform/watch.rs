//! Watches of the platform's stand-in.

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
use crate::answers::Answer;
use crate::answers::empty;
use crate::answers::pause;
use crate::answers::query_number;
use crate::answers::stream_head;
use crate::host::POLL;
use crate::host::Shared;

/// Serves a watch to its end; returns an answer if it cannot be begun.
pub async fn watch(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<Answer> {
    let after = query_number(req.uri(), "after").unwrap_or(0);
    if shared.lock().store.changes_after(after).is_none() {
        return Some(empty(StatusCode::GONE));
    }
    let begun = connection.start(stream_head()).await;
    if begun.is_ok() && follow(after, connection, shared).await.is_some() {
        let _ = connection.finish().await;
    }
    None
}

/// Sends changes and bookmarks; returns `None` if the watch broke.
async fn follow(
    mut after: u64,
    connection: &mut Connection,
    shared: &Shared<Platform>,
) -> Option<()> {
    let options = shared.lock().options;
    let begun = Instant::now();
    let mut bookmarked = begun;
    let mut held = Vec::new();
    while begun.elapsed() < options.watch_duration {
        let faults = shared.lock().faults;
        match faults.outage {
            Outage::None => (),
            Outage::Silent => {
                pause(connection, POLL).await.then_some(())?;
                continue;
            }
            Outage::Unavailable | Outage::Closing => return None,
        }
        if faults.watch != WatchFault::Silent {
            let changes = shared.lock().store.changes_after(after)?;
            after = changes.last().map_or(after, |last| last.revision);
            held.extend(changes);
            let bookmark_due = bookmarked.elapsed() >= options.bookmark_interval;
            // A change alone cannot be out of order, so it waits for another.
            if faults.watch != WatchFault::Reorder || held.len() > 1 || bookmark_due {
                send_changes(&mut held, faults.watch, connection).await?;
            }
            if bookmark_due {
                bookmarked = Instant::now();
                send_line(connection, &value!({"bookmark": after})).await?;
            }
        }
        pause(connection, POLL).await.then_some(())?;
    }
    Some(())
}

async fn send_changes(
    held: &mut Vec<Object>,
    fault: WatchFault,
    connection: &mut Connection,
) -> Option<()> {
    let mut changes = std::mem::take(held);
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
