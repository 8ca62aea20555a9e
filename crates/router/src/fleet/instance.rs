//! The state that all tasks of an instance of a fleet share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::freshness::Freshness;
use limpetsaddle_fleet::freshness::FreshnessOptions;
use limpetsaddle_fleet::health::HealthOptions;
use limpetsaddle_fleet::heartbeat::ServiceUsage;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
use limpetsaddle_fleet::kv_store_monitor::KvStoreStatus;
use limpetsaddle_fleet::lease::LeaseOptions;
use limpetsaddle_fleet::lease::OrderLease;
use limpetsaddle_fleet::limits::Limits;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::limits::TeamLimit;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::ServiceUsageDelta;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::retry_budget::RetryBudget;
use limpetsaddle_fleet::retry_budget::RetryBudgetOptions;
use limpetsaddle_fleet::rollout::Rollout;
use limpetsaddle_fleet::settings::FleetSettings;
use limpetsaddle_fleet::upstreams::Upstreams;
use limpetsaddle_fleet::weights::TargetWeights;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use log::info;

use super::call::CallError;
use super::metrics::Metrics;
use super::store::StoreClient;
use crate::clock::Random;
use crate::clock::SuspendClock;
use crate::errors::Result;
use crate::running::RunningCount;
use crate::shutdown::Stopping;

/// The time before the bound for old weights by which a request has to begin at
/// the latest, by what its engine is expected to need.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(600);

/// The time after the start of a planned stop in which requests are taken: what
/// comes later might not be finished before the process has to end.
const LAST_TAKEN: Duration = Duration::from_millis(2_800);

/// The time that a connection to an upstream may take to be established. One
/// lost packet costs a second, and another upstream answers sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The time that a request may take to be written to an upstream.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A `FleetInstance` is one running daemon of a fleet.
pub struct FleetInstance {
    /// The checked settings.
    pub settings: FleetSettings,
    /// The clock, which counts the time in which the machine is suspended.
    pub clock: SuspendClock,
    /// The source of randomness for spreading load.
    pub random: Random,
    /// A number that differs at each start.
    pub incarnation: u64,
    /// The counters.
    pub metrics: Metrics,
    /// The client of the platform's store.
    pub store: StoreClient,
    /// The client for upstreams.
    pub upstream_client: Client,
    /// The configuration in force.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Whether another instance has told of a newer configuration.
    pub newer_configuration: Cell<bool>,
    /// The trust in the configuration.
    pub freshness: RefCell<Freshness>,
    /// The upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// The other instances.
    pub peers: RefCell<Peers>,
    /// Which engines hold which parts of prompts.
    pub directory: RefCell<PrefixDirectory>,
    /// What is known of the KV stores.
    pub kv_stores: RefCell<KvStoreMonitor>,
    /// The limits of teams.
    pub limits: RefCell<Limits>,
    /// The newest weights of each model.
    pub named: RefCell<Vec<TargetWeights>>,
    /// The tenure of the instance that gives orders.
    pub tenure: RefCell<OrderLease>,
    /// The engines that are loading.
    pub rollout: RefCell<Rollout>,
    /// The figures of placement.
    pub placement: PlacementOptions,
    /// Closes when the instance wants no more callers.
    pub draining: Stopping,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    team_names: RefCell<HashMap<u64, Name>>,
    running: RunningCount,
    stop_began: Cell<Option<Time>>,
}

impl FleetInstance {
    /// Returns an instance that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no randomness or metrics cannot be set up.
    pub fn new(settings: FleetSettings, draining: Stopping) -> Result<Rc<Self>> {
        let clock = SuspendClock;
        let now = clock.now();
        let seed = getrandom::u64()?;
        let bounds = settings.bounds;
        let name = Name::clone(&settings.name);
        let placement = PlacementOptions {
            old_weights_max_age: bounds.max_weights_age.saturating_sub(OLD_WEIGHTS_MARGIN),
            ..PlacementOptions::default()
        };
        let client_options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            ..ClientOptions::default()
        };
        Ok(Rc::new(Self {
            clock,
            random: Random::from_seed(seed),
            incarnation: seed | 1,
            metrics: Metrics::new()?,
            store: StoreClient::new(settings.store, now),
            upstream_client: Client::new(client_options),
            configuration: RefCell::new(None),
            newer_configuration: Cell::new(false),
            freshness: RefCell::new(Freshness::new(FreshnessOptions::for_withdrawal(
                bounds.withdrawal,
            ))),
            upstreams: RefCell::new(Upstreams::new(HealthOptions::default())),
            peers: RefCell::new(Peers::new(Name::clone(&name), PeerOptions::default())),
            kv_stores: RefCell::new(KvStoreMonitor::default()),
            directory: RefCell::new(PrefixDirectory::default()),
            limits: RefCell::new(Limits::new(bounds.limits)),
            named: RefCell::new(Vec::new()),
            tenure: RefCell::new(OrderLease::new(
                name,
                LeaseOptions::for_handover(bounds.order_handover),
                now,
            )),
            rollout: RefCell::new(Rollout::default()),
            placement,
            draining,
            budgets: RefCell::new(HashMap::new()),
            team_names: RefCell::new(HashMap::new()),
            running: RunningCount::default(),
            stop_began: Cell::new(None),
            settings,
        }))
    }

    /// Returns the present time, suspensions included.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn configure(&self, configuration: Configuration) {
        let limits: Vec<(Name, TeamLimit)> = configuration
            .teams()
            .map(|team| {
                let limit = TeamLimit {
                    rate: team.rate,
                    burst: team.burst,
                };
                (Name::clone(&team.name), limit)
            })
            .collect();
        let hashed = |(name, _): &(Name, TeamLimit)| (name_hash(name), Name::clone(name));
        self.team_names.replace(limits.iter().map(hashed).collect());
        self.limits.borrow_mut().configure(&limits, self.now());
        self.prepare_budgets(&configuration);
        self.configuration.replace(Some(Rc::new(configuration)));
    }

    /// Makes room for the budget of every service, so that what others send
    /// there is counted.
    fn prepare_budgets(&self, configuration: &Configuration) {
        for service in configuration.services() {
            self.with_budget(&service.name, |_, _| ());
        }
    }

    /// Returns the team that beacons speak of by `hash`.
    pub fn team_name(&self, hash: u64) -> Option<Name> {
        self.team_names.borrow().get(&hash).cloned()
    }

    /// Records that a planned stop has begun.
    pub fn begin_stop(&self) {
        self.stop_began.set(Some(self.now()));
    }

    /// Returns the time in which requests are still taken.
    pub fn left_for_last_requests(&self) -> Duration {
        let since = self.stop_began.get().map(|at| self.now().since(at));
        since.map_or(Duration::MAX, |since| LAST_TAKEN.saturating_sub(since))
    }

    /// Returns whether the balancer should send new callers here.
    pub fn wants_callers(&self) -> bool {
        let now = self.now();
        !self.draining.is_closed()
            && self.configuration.borrow().is_some()
            && self.freshness.borrow().accepts_callers(now)
    }

    /// Records the outcome of a call of the store.
    pub fn note_store_call<T>(&self, outcome: &std::result::Result<T, CallError>) {
        self.store.note(outcome.as_ref().err(), self.now());
        self.metrics.store_call(outcome.is_ok());
    }

    /// Returns whether another instance has got an answer of the store since this
    /// one lost it.
    pub fn is_told_of_store(&self) -> bool {
        let lost = self.store.lost_at();
        let age = self.freshness.borrow().age(self.now());
        lost.zip(age)
            .is_some_and(|(lost, age)| age < self.now().since(lost))
    }

    /// Counts the first send of a request to a service.
    pub fn count_request(&self, service: &Name) {
        let now = self.now();
        self.with_budget(service, |budget, _| budget.record_request(now));
    }

    /// Takes a retry at a service, or returns false when none is left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let now = self.now();
        self.with_budget(service, |budget, peer_counts| {
            budget.try_withdraw(peer_counts, now)
        })
    }

    /// Returns the retries that are left at a service.
    pub fn retries_left(&self, service: &Name) -> f64 {
        let now = self.now();
        self.with_budget(service, |budget, peer_counts| {
            budget.remaining(peer_counts, now)
        })
    }

    /// Counts what another instance sent to a service.
    pub fn sent_elsewhere(&self, report: &ServiceUsageDelta) {
        let service = {
            let budgets = self.budgets.borrow();
            let mut names = budgets.keys();
            names
                .find(|name| name_hash(name) == report.service)
                .cloned()
        };
        // A service that is in no configuration here gets no retries either.
        if let Some(service) = service {
            let now = self.now();
            self.with_budget(&service, |budget, _| budget.record(report.count, now));
        }
    }

    /// Returns what this instance sent to each service.
    pub fn service_uses(&self) -> Vec<ServiceUsage> {
        let budgets = self.budgets.borrow();
        let uses = budgets.iter().map(|(name, budget)| ServiceUsage {
            service: name_hash(name),
            requests: budget.local_counts().requests,
            retries: budget.local_counts().retries,
        });
        uses.collect()
    }

    fn with_budget<T>(
        &self,
        service: &Name,
        work: impl FnOnce(&mut RetryBudget, PeerCounts) -> T,
    ) -> T {
        let peer_counts = self.peers.borrow().peer_counts(self.now());
        let bounds = &self.settings.bounds;
        let options = RetryBudgetOptions {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Name::clone(service))
            .or_insert_with(|| RetryBudget::new(options));
        work(budget, peer_counts)
    }

    /// Records that a KV store was heard of, here or by another instance.
    pub fn heard_store(&self, news: KvStoreStatus) {
        let now = self.now();
        if self.kv_stores.borrow_mut().record_status(news, now) {
            self.directory.borrow_mut().remove_holder(news.store);
            info!(store = news.store, boot = news.boot; "KV store started anew");
        }
    }

    /// Returns the number of requests in progress.
    pub const fn running(&self) -> &RunningCount {
        &self.running
    }
}
