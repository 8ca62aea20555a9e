//! A fake of the platform's object API.

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

/// A running fake platform.
pub type FakePlatform = Fake<Platform>;

/// The parameters of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The interval between bookmarks of a watch.
    pub bookmark_interval: Duration,
    /// The maximum duration of a watch.
    pub watch_duration: Duration,
    /// The number of past changes available to a watch.
    pub history: usize,
    /// The delay before a new list of instances is visible.
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

/// A registered instance.
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
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Started watches.
    pub watches: u64,
    /// Calls that got 429 or were made during an outage.
    pub refused: u64,
}

/// The state of the platform.
#[derive(Debug, Serialize)]
pub struct Platform {
    /// The active faults.
    pub faults: PlatformFaults,
    /// The numbers of calls.
    pub calls: PlatformCalls,
    store: Store,
    #[serde(skip)]
    options: PlatformOptions,
    #[serde(skip)]
    instances: VecDeque<InstanceList>,
    #[serde(skip)]
    window: RateWindow,
}

/// A list of instances with the time at which it becomes visible.
#[derive(Debug)]
struct InstanceList {
    visible_at: Instant,
    instances: Vec<Instance>,
}

/// The number of calls in the current second.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    calls: u32,
}

impl Platform {
    /// Replaces the list of instances, which becomes visible after `instances_lag`.
    pub fn set_instances(&mut self, instances: Vec<Instance>) {
        self.instances.push_back(InstanceList {
            visible_at: Instant::now() + self.options.instances_lag,
            instances,
        });
    }

    /// Writes a configuration object unconditionally and returns the new revision.
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

    fn visible_instances(&mut self) -> &[Instance] {
        let now = Instant::now();
        while self
            .instances
            .get(1)
            .is_some_and(|next| next.visible_at <= now)
        {
            self.instances.pop_front();
        }
        let first = self.instances.front().filter(|list| list.visible_at <= now);
        first.map_or(&[], |list| &list.instances)
    }

    fn count_and_check_rate(&mut self) -> bool {
        let Some(limit) = self.faults.max_calls_per_second else {
            return false;
        };
        if self.window.started_at.elapsed() >= Duration::from_secs(1) {
            self.window = RateWindow::start();
        }
        self.window.calls = self.window.calls.saturating_add(1);
        self.window.calls > limit
    }

    /// Returns whether to drop a response, and counts the fault down.
    fn consume_lost_response(&mut self) -> bool {
        let due = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        due
    }
}

impl RateWindow {
    fn start() -> Self {
        Self {
            started_at: Instant::now(),
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
            window: RateWindow::start(),
        };
        Self::launch(options.listen, state, calls::serve_connection)
    }
}
