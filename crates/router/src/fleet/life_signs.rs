//! Signs of life of an upstream's process after a connection to it was lost.

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::availability::Incarnation;
use limpetsaddle_fleet::loss::LifeSign;
use limpetsaddle_http::Response;
use limpetsaddle_platform_wire as wire;
use log::debug;

use super::instance::FleetInstance;
use super::response_limits::CallKind;
use super::upstream_calls::Recipient;

/// An upstream's process and its address.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: Incarnation,
    pub recipient: Recipient,
}

impl Process {
    /// Returns the process behind a recipient, or `None` for a KV store.
    pub fn of(recipient: &Recipient) -> Option<Self> {
        let Recipient::Upstream { incarnation, .. } = recipient else {
            return None;
        };
        Some(Self {
            incarnation: incarnation.clone(),
            recipient: recipient.clone(),
        })
    }

    /// Returns the registered process with a hash.
    pub fn find(instance: &FleetInstance, hash: u64) -> Option<Self> {
        let upstreams = instance.upstreams.borrow();
        let mut rows = upstreams.iter();
        let row = rows.find(|row| row.entry.incarnation().process() == hash)?;
        Self::of(&Recipient::Upstream {
            incarnation: row.entry.incarnation(),
            address: row.entry.address,
        })
    }

    /// Returns the hash by which the fleet names the process.
    pub fn hash(&self) -> u64 {
        self.incarnation.process()
    }

    /// Returns whether it leaves, or is no longer registered.
    pub fn is_leaving(&self, instance: &FleetInstance) -> bool {
        let upstreams = instance.upstreams.borrow();
        let state = upstreams.availability(&self.incarnation, instance.now());
        matches!(state, Availability::Leaving | Availability::Gone)
    }
}

/// Asks a process for its report after a connection was lost at `lost`. Waits for the answer without
/// a limit.
///
/// A process that rests, or that limits all instances and has no permit for this one, gets no
/// request: a connection to it shows no more than whether its host refuses it.
pub async fn ask(instance: &FleetInstance, process: &Process, lost: Time) -> LifeSign {
    let asked = instance.upstream_client.ask(instance, process).await;
    let sign = match asked {
        Ok(Some(res)) => read(instance, process, res).await,
        Ok(None) => LifeSign::Missing,
        Err(error) if error.is_refused() => LifeSign::Ended,
        Err(error) => {
            let upstream = &process.incarnation.upstream;
            // The connection or the wait shows nothing of the process.
            debug!(upstream:display, error:display; "no sign of life of an upstream");
            LifeSign::Missing
        }
    };
    let sign = sign.beside(has_continued(instance, process, lost));
    instance.metrics.record_life_check(sign.code());
    sign
}

/// Returns whether a connection to a process from before `lost` has delivered more since.
fn has_continued(instance: &FleetInstance, process: &Process, lost: Time) -> bool {
    let runs = instance.runs.borrow();
    runs.has_continued(process.hash(), lost)
}

/// Returns what the response to a request for a report shows. The request names the upstream, so
/// that only another one in its place answers that it is misdirected.
async fn read(instance: &FleetInstance, process: &Process, res: Response) -> LifeSign {
    let status = res.head.status;
    if status == http::StatusCode::MISDIRECTED_REQUEST {
        return LifeSign::Ended;
    }
    let buffers = &instance.upstream_client.buffers;
    let max_bytes = buffers.max_bytes(CallKind::Report);
    let upstream = &process.incarnation.upstream;
    let body = match res.collect_within(max_bytes, &buffers.calls).await {
        Ok(body) => body,
        Err(error) => {
            debug!(upstream:display, error:display; "incomplete sign of life of an upstream");
            return LifeSign::Missing;
        }
    };
    match wire::engine::decode_report(status, &body) {
        // The upstream was started again under its id.
        Ok(report) if report.born_ms > process.incarnation.born_ms => LifeSign::Ended,
        // Upstreams that are no engines have no reports.
        Ok(_) | Err(_) => LifeSign::Answered,
    }
}
