//! The state that all tasks of an instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_core::blackboard::Blackboard;
use limpetsaddle_core::blackboard::BlackboardOptions;
use limpetsaddle_core::blackboard::Placement;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::new_incarnation;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_fleet::unusable_entries::UnusableEntries;
use limpetsaddle_http::Client;
use limpetsaddle_peer::PeerClient;
use limpetsaddle_platform::Platform;

use crate::clock::Clock;
use crate::clock::Random;
use crate::clock::time_of_day;
use crate::errors::Result;
use crate::metrics::Event;
use crate::metrics::Metrics;
use crate::running::RunningCount;
use crate::settings::Settings;
use crate::shutdown::Stopping;

/// The channel that notifies a queued request of its placement or refusal.
pub type Waiter = oneshot::Sender<std::result::Result<Placement, Refusal>>;

/// The shared state of a running daemon.
pub struct Instance {
    /// The validated settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The source of random numbers for placement and jitter.
    pub random: Random,
    /// The metrics.
    pub metrics: Metrics,
    /// The state that decisions are based on.
    pub board: RefCell<Blackboard<Waiter>>,
    /// The client for engines and services.
    pub upstream: Client,
    /// The client of the platform's object API.
    pub platform: Platform,
    /// The entries of the platform that cannot be used.
    pub unusable_entries: RefCell<UnusableEntries>,
    /// The client for other instances.
    pub peers: PeerClient,
    /// Closes when the instance begins to stop.
    pub draining: Stopping,
    /// The revision of this instance's own status record.
    pub status_revision: Cell<Revision>,
    incarnation: Incarnation,
    last_number: Cell<u64>,
    running: RunningCount,
    contact: Cell<Time>,
    peers_asked: Cell<bool>,
}

impl Instance {
    /// Returns an instance without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if random numbers are unavailable or metrics cannot be set up.
    pub fn new(settings: Settings, draining: Stopping) -> Result<Rc<Self>> {
        let clock = Clock::default();
        let random = Random::from_seed(getrandom::u64()?);
        let millis = u64::try_from(time_of_day().as_millis()).unwrap_or(u64::MAX);
        let incarnation = new_incarnation(millis, random.draw());
        let own = MemberRecord {
            name: settings.name.clone(),
            incarnation,
            domain: settings.domain.clone(),
            address: settings.advertise,
            phase: Phase::Live,
            heartbeat: 0,
            revision: Revision::ABSENT,
        };
        let options = BlackboardOptions::default();
        let board = Blackboard::new(own, options, clock.now());
        Ok(Rc::new(Self {
            clock,
            random,
            metrics: Metrics::new()?,
            board: RefCell::new(board),
            upstream: Client::new(limpetsaddle_http::ClientOptions::default()),
            platform: Platform::new(
                settings.platform.clone(),
                limpetsaddle_platform::PlatformOptions::default(),
            ),
            unusable_entries: RefCell::default(),
            peers: PeerClient::new(limpetsaddle_peer::ClientOptions::default()),
            settings,
            draining,
            incarnation,
            status_revision: Cell::new(Revision::ABSENT),
            last_number: Cell::new(0),
            running: RunningCount::default(),
            contact: Cell::new(Time::ZERO),
            peers_asked: Cell::new(false),
        }))
    }

    /// Returns the current time on the monotonic clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records a contact whose request was sent at `sent` and has been replied to.
    pub fn record_contact(&self, sent: Time) {
        self.contact.set(self.contact.get().max(sent));
        self.board.borrow_mut().ledger.on_contact(sent);
    }

    /// Returns the time since the last confirmed contact.
    pub fn time_since_contact(&self) -> Duration {
        self.now().since(self.contact.get())
    }

    /// Records that peers have been asked for their configuration.
    pub fn record_peers_asked(&self) {
        self.peers_asked.set(true);
    }

    /// Returns whether a complete configuration is in force.
    ///
    /// Peers must have been asked too, as they may hold the last valid version of an
    /// object that is invalid at the platform.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.peers_asked.get() && self.board.borrow().is_ready()
    }

    /// Counts a call to the platform by its result.
    pub fn record_platform_call(&self, succeeded: bool) {
        self.metrics.count(if succeeded {
            Event::PlatformOk
        } else {
            Event::PlatformFailed
        });
    }

    /// Returns a new request id, unique across instances and restarts.
    pub fn next_request_id(&self) -> Rc<str> {
        let number = self.next_number();
        format!("req-{:x}-{number:x}", self.incarnation.0).into()
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a number that this incarnation has not used before.
    pub fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Returns the counter of requests in progress.
    #[must_use]
    pub const fn running(&self) -> &RunningCount {
        &self.running
    }

    /// Places queued requests while upstreams have capacity.
    pub fn serve_queue(&self) {
        let now = self.now();
        let random = self.random.draw();
        let mut board = self.board.borrow_mut();
        while let Some(queued) = board.place_next_queued(now, random) {
            if let Err(Ok(unused)) = queued.waiter.send(Ok(queued.placement)) {
                // The caller has disconnected in the meantime.
                board
                    .upstreams
                    .finish(unused.ticket, AttemptOutcome::Cancelled, now, random);
            }
        }
    }
}
