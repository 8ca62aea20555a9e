//! Status reports of the instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Collection;
use limpetsaddle_platform::InstanceStatus;
use limpetsaddle_platform::InvalidEntry;
use limpetsaddle_platform::Platform;

use crate::error::Error;
use crate::error::Result;
use crate::report::Report;
use crate::report::StatusReport;

/// The interval between two reads of the instances' status records.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the status of each instance, and the records that cannot be read.
async fn statuses(platform: &Platform) -> Result<(Vec<InstanceStatus>, Vec<InvalidEntry>)> {
    let records = platform.list_records(Collection::Status).await?;
    let mut statuses: Vec<InstanceStatus> = records.valid.into_iter().map(|r| r.value).collect();
    statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok((statuses, records.invalid))
}

pub(super) async fn show(platform: &Platform) -> Result<Report> {
    let (instances, invalid) = statuses(platform).await?;
    let mut refusals = BTreeMap::new();
    for (reason, count) in instances.iter().flat_map(|i| &i.refusals) {
        *refusals.entry(reason.clone()).or_default() += count;
    }
    Ok(Report::Status(StatusReport {
        instances,
        refusals,
        invalid,
    }))
}

/// Returns the instances that do not report `revision` as in force.
///
/// Includes instances that are leaving. Registered instances and status records
/// are combined, because the registry lags behind the status records.
async fn lagging_instances(platform: &Platform, revision: Revision) -> Result<Vec<InstanceName>> {
    let (statuses, _) = statuses(platform).await?;
    let registered = platform.instances().await?.valid;
    let registered = registered.into_iter().map(|i| i.name);
    let reporting = statuses.iter().map(|s| s.instance.clone());
    let mut names: BTreeSet<InstanceName> = registered.chain(reporting).collect();
    for status in statuses.iter().filter(|s| s.revision >= revision) {
        names.remove(&status.instance);
    }
    Ok(names.into_iter().collect())
}

/// Waits until every instance reports `revision` as in force.
///
/// Retries when the platform fails.
///
/// # Errors
///
/// Returns the platform's last error, or [`Error::WaitTimedOut`], after
/// `timeout`.
pub(super) async fn wait_until_in_force(
    platform: &Platform,
    revision: Revision,
    timeout: Duration,
) -> Result<()> {
    let started = Instant::now();
    loop {
        let result = lagging_instances(platform, revision).await;
        if matches!(&result, Ok(names) if names.is_empty()) {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            let waiting = result?;
            return Err(Error::WaitTimedOut { revision, waiting });
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
