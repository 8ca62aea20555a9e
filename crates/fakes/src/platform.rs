//! A stand-in for the platform's object API.

mod calls;
mod faults;
mod store;
mod watch;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use self::store::Store;
use crate::host::Fake;

pub use self::faults::Outage;
pub use self::faults::PlatformFaults;
pub use self::faults::WatchFault;

/// A `FakePlatform` is a running stand-in of the platform.
pub type FakePlatform = Fake<Platform>;

/// How the platform's stand-in behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The time between bookmarks of a watch.
    pub bookmark_interval: Duration,
    /// The time after which a watch is ended.
    pub watch_duration: Duration,
    /// The number of changes that a watch can look back.
    pub history: usize,
    /// The time by which the list of instances lags.
    pub instances_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: crate::host::any_port(),
            bookmark_interval: Duration::from_secs(1),
            watch_duration: Duration::from_secs(30),
            history: 1000,
            instances_lag: Duration::ZERO,
        }
    }
}

/// An `Instance` is an entry of the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address for other instances.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub phase: String,
}

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Calls that read.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
    /// Watches that were begun.
    pub watches: u64,
    /// Calls that got 429 or fell into an outage.
    pub refused: u64,
}

/// A `Platform` is the state of the platform.
#[derive(Debug, Serialize)]
pub struct Platform {
    /// What is wrong.
    pub faults: PlatformFaults,
    /// The calls so far.
    pub calls: PlatformCalls,
    store: Store,
    #[serde(skip)]
    options: PlatformOptions,
    #[serde(skip)]
    instances: VecDeque<InstanceList>,
    #[serde(skip)]
    window: CallWindow,
}

/// An `InstanceList` is a list of instances with the time at which it shows.
#[derive(Debug)]
struct InstanceList {
    shows_at: Instant,
    instances: Vec<Instance>,
}

/// A `CallWindow` counts the calls of the current second.
#[derive(Debug)]
struct CallWindow {
    since: Instant,
    calls: u32,
}

impl Platform {
    /// Replaces the list of instances, which shows after the lag.
    pub fn set_instances(&mut self, instances: Vec<Instance>) {
        self.instances.push_back(InstanceList {
            shows_at: Instant::now() + self.options.instances_lag,
            instances,
        });
    }

    /// Writes a configuration object regardless of its revision, which is returned.
    pub fn put_config(&mut self, id: &str, spec: Value) -> u64 {
        let expected = self.store.object(id).map_or(0, |object| object.revision);
        let _ = self.store.put_object(id, expected, spec);
        self.store.revision()
    }

    /// Returns the revision of the last change of the configuration.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    fn shown_instances(&mut self) -> &[Instance] {
        let now = Instant::now();
        while self
            .instances
            .get(1)
            .is_some_and(|next| next.shows_at <= now)
        {
            self.instances.pop_front();
        }
        let first = self.instances.front().filter(|list| list.shows_at <= now);
        first.map_or(&[], |list| &list.instances)
    }

    fn is_over_rate(&mut self) -> bool {
        let Some(limit) = self.faults.max_calls_per_second else {
            return false;
        };
        if self.window.since.elapsed() >= Duration::from_secs(1) {
            self.window = CallWindow::start();
        }
        self.window.calls = self.window.calls.saturating_add(1);
        self.window.calls > limit
    }

    /// Consumes one lost answer, if one is due.
    fn loses_answer(&mut self) -> bool {
        let due = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        due
    }
}

impl CallWindow {
    fn start() -> Self {
        Self {
            since: Instant::now(),
            calls: 0,
        }
    }
}

impl Fake<Platform> {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    ///
    /// ```
    /// use limpetsaddle_fakes::FakePlatform;
    /// use limpetsaddle_fakes::PlatformOptions;
    ///
    /// let platform = FakePlatform::start(PlatformOptions::default())?;
    /// platform.state().faults.lost_answers = 1;
    /// assert_eq!(platform.state().revision(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let state = Platform {
            faults: PlatformFaults::default(),
            calls: PlatformCalls::default(),
            store: Store::new(options.history),
            options,
            instances: VecDeque::new(),
            window: CallWindow::start(),
        };
        Self::launch(options.listen, state, calls::attend)
    }
}
