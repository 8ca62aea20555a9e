//! Records the configuration status of daemons over time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::Fleet;
use super::get;

/// The interval between two requests for a daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon's configuration status at one point in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The incarnation of the daemon, which changes at each start.
    pub incarnation: u64,
    /// The last revision that the daemon has applied.
    pub revision: u64,
    /// The active preset.
    pub preset: String,
}

/// Records the reports of each daemon in the background until it is stopped.
pub struct StatusRecorder {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Report>>>,
}

impl StatusRecorder {
    /// Starts recording the reports of every daemon of a fleet.
    pub fn start(fleet: &Fleet) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let record = |admin: SocketAddr| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                let mut reports = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    reports.extend(fetch_report(admin));
                    thread::sleep(POLL_INTERVAL);
                }
                reports.extend(fetch_report(admin));
                reports
            })
        };
        let daemons = fleet.daemons.iter().map(|d| d.options.admin);
        let threads = daemons.map(record).collect();
        Self { stopped, threads }
    }

    /// Stops recording and returns the reports of each daemon in order.
    pub fn stop(self) -> Vec<Vec<Report>> {
        self.stopped.store(true, Ordering::Relaxed);
        let joined = self.threads.into_iter().map(JoinHandle::join);
        joined
            .map(|reports| reports.expect("a recording thread panicked"))
            .collect()
    }
}

/// Returns a daemon's report, or `None` if it is down.
fn fetch_report(admin: SocketAddr) -> Option<Report> {
    let status = get(admin, "/status", &[]).json();
    Some(Report {
        incarnation: status["incarnation"].as_u64()?,
        revision: status["revision"].as_u64()?,
        preset: status["preset"].as_str()?.to_owned(),
    })
}
