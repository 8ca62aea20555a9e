//! A record of what daemons report of themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::Fleet;
use super::get;

/// The pause between two looks at a daemon.
const PAUSE: Duration = Duration::from_millis(20);

/// A `Report` is one answer of a daemon about its configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The run of the daemon.
    pub incarnation: u64,
    /// The revision up to which the configuration is in force.
    pub revision: u64,
    /// The preset in force.
    pub preset: String,
}

/// A `History` records the reports of each daemon until it is ended.
pub struct History {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Report>>>,
}

impl History {
    /// Begins to record the reports of every daemon of a fleet.
    pub fn begin(fleet: &Fleet) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let record = |admin: SocketAddr| {
            let ended = Arc::clone(&ended);
            thread::spawn(move || {
                let mut reports = Vec::new();
                while !ended.load(Ordering::Relaxed) {
                    reports.extend(look(admin));
                    thread::sleep(PAUSE);
                }
                reports.extend(look(admin));
                reports
            })
        };
        let daemons = fleet.daemons.iter().map(|d| d.options.admin);
        let threads = daemons.map(record).collect();
        Self { ended, threads }
    }

    /// Ends the record and returns the reports of each daemon in order.
    pub fn end(self) -> Vec<Vec<Report>> {
        self.ended.store(true, Ordering::Relaxed);
        let ends = self.threads.into_iter().map(JoinHandle::join);
        ends.map(|reports| reports.expect("the recorder does not panic"))
            .collect()
    }
}

/// Returns a daemon's report, or `None` when it is down.
fn look(admin: SocketAddr) -> Option<Report> {
    let status = get(admin, "/status", &[]).json();
    Some(Report {
        incarnation: status["incarnation"].as_u64()?,
        revision: status["revision"].as_u64()?,
        preset: status["preset"].as_str()?.to_owned(),
    })
}
