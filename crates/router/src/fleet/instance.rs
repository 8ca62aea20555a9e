//! The state that all tasks of a fleet instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::begin_limit::BeginLimit;
use limpetsaddle_fleet::caller_resources::CallerResources;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::configuration::Team;
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
use limpetsaddle_fleet::limits::Demand;
use limpetsaddle_fleet::limits::Limits;
use limpetsaddle_fleet::limits::TeamLimit;
use limpetsaddle_fleet::newer_versions::NewerVersions;
use limpetsaddle_fleet::newer_versions::Reliance;
use limpetsaddle_fleet::patience::PatienceOptions;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::ServiceUsageDelta;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::retry_budget::RetryBudget;
use limpetsaddle_fleet::retry_budget::RetryBudgetOptions;
use limpetsaddle_fleet::rollout::Rollout;
use limpetsaddle_fleet::rollout::RolloutOptions;
use limpetsaddle_fleet::runs::RunLog;
use limpetsaddle_fleet::settings::FleetSettings;
use limpetsaddle_fleet::settings::Resources;
use limpetsaddle_fleet::store_polls::StorePolls;
use limpetsaddle_fleet::unusable_entries::UnusableEntries;
use limpetsaddle_fleet::upstreams::Upstreams;
use limpetsaddle_fleet::weights::TargetWeights;
use limpetsaddle_http::CallerBudget;
use limpetsaddle_http::CallerBudgetOptions;
use limpetsaddle_http::CallerShares;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Connection;
use limpetsaddle_http::SharePercent;
use log::info;

use super::call::CallError;
use super::canary::CanaryDesk;
use super::crashes::Losses;
use super::metrics::Metrics;
use super::pass_on::Relays;
use super::permits::PermitDesk;
use super::quarantine::QuarantineStore;
use super::reach::Ways;
use super::serve::UnreadLog;
use super::store::StoreClient;
use super::upstream_calls::UpstreamClient;
use crate::clock::Random;
use crate::clock::SuspendClock;
use crate::errors::Result;
use crate::running::RunningCount;
use crate::shutdown::Stopping;

/// The margin before the age limit of old weights in which no request may be
/// expected to start.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(600);

/// The time after the start of a planned stop in which requests are accepted:
/// later ones might not finish before the process has to exit.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// The timeout for connecting to an upstream. A lost packet costs a second, in
/// which another upstream can respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The state of one instance of a fleet.
pub struct FleetInstance {
    pub settings: FleetSettings,
    /// The clock, which counts the time in which the machine is suspended.
    pub clock: SuspendClock,
    /// The randomness for spreading load.
    pub random: Random,
    /// A number that differs at each start.
    pub incarnation: u64,
    pub metrics: Metrics,
    /// The memory and descriptors that callers may use.
    pub callers: CallerBudget,
    /// The limit on log lines about requests that cannot be read.
    pub unread_log: UnreadLog,
    /// The client for the platform's store.
    pub store: StoreClient,
    /// The entries of the store that cannot be used.
    pub unusable_entries: RefCell<UnusableEntries>,
    /// The client for every call to upstreams and KV stores.
    pub upstream_client: UpstreamClient,
    /// The configuration in force.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// The time at which the configuration in force was applied.
    pub configured_at: Cell<Option<Time>>,
    /// Whether a peer has reported a newer configuration.
    pub newer_configuration: Cell<bool>,
    /// The newer versions of the configuration that peers have reported.
    pub newer_versions: RefCell<NewerVersions>,
    /// The failed polls of the store.
    pub store_polls: RefCell<StorePolls>,
    /// The age of the configuration, on which the trust in keys depends.
    pub freshness: RefCell<Freshness>,
    pub upstreams: RefCell<Upstreams>,
    /// The recent runs of prompts at engines.
    pub runs: RefCell<RunLog>,
    /// The parts of prompts that are withheld from engines.
    pub quarantine: RefCell<Quarantine>,
    /// The record of withheld parts at the platform.
    pub quarantine_record: QuarantineStore,
    /// The permits for upstreams that limit all instances together.
    pub permits: PermitDesk,
    /// The upstreams to which connections were lost, and that are being checked.
    pub losses: Losses,
    /// The ways to the services.
    pub ways: Ways,
    /// The requests that are passed on to peers, and those of peers.
    pub relays: Relays,
    /// The other instances.
    pub peers: RefCell<Peers>,
    /// The cached prompt prefixes of each engine and KV store.
    pub directory: RefCell<PrefixDirectory>,
    /// The liveness of the KV stores.
    pub kv_stores: RefCell<KvStoreMonitor>,
    /// The rate limits of teams.
    pub limits: RefCell<Limits>,
    /// The target weights of each model.
    pub target_weights: RefCell<Vec<TargetWeights>>,
    /// Whether the target weights of all models have been listed since the start.
    pub has_listed_weights: Cell<bool>,
    /// The lease of the instance that gives orders to engines.
    pub lease: RefCell<OrderLease>,
    /// The rollouts of software, where operators order them.
    pub canary: Option<CanaryDesk>,
    /// The engines that are loading weights.
    pub rollout: RefCell<Rollout>,
    pub placement: PlacementOptions,
    /// The limit on the begin of requests on outdated weights.
    pub begin_limit: BeginLimit,
    /// The patience with silent upstreams.
    pub patience: PatienceOptions,
    /// Closes when the instance accepts no more connections.
    pub draining: Stopping,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    team_names: RefCell<HashMap<u64, Name>>,
    running: RunningCount,
    stop_began: Cell<Option<Time>>,
}

impl FleetInstance {
    /// Returns an instance without configuration, upstreams or peers.
    ///
    /// # Errors
    ///
    /// Fails when the system provides no randomness or metrics cannot be set up.
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
            // The deadline of each request and call is the only limit on silence.
            head_timeout: Duration::MAX,
            idle_timeout: Duration::MAX,
            ..ClientOptions::default()
        };
        let callers = caller_budget(&settings);
        let mut upstreams = Upstreams::new(HealthOptions::default());
        upstreams.adapt(settings.features.adaptation);
        Ok(Rc::new(Self {
            clock,
            random: Random::from_seed(seed),
            incarnation: seed | 1,
            metrics: Metrics::new(callers.ends())?,
            store: StoreClient::new(settings.store, now),
            unusable_entries: RefCell::default(),
            upstream_client: UpstreamClient::new(client_options, callers.memory()),
            callers,
            unread_log: UnreadLog::default(),
            configuration: RefCell::new(None),
            configured_at: Cell::new(None),
            newer_configuration: Cell::new(false),
            newer_versions: RefCell::default(),
            store_polls: RefCell::default(),
            freshness: RefCell::new(Freshness::new(FreshnessOptions::for_withdrawal(
                bounds.withdrawal,
            ))),
            upstreams: RefCell::new(upstreams),
            runs: RefCell::new(RunLog::default()),
            quarantine: RefCell::new(Quarantine::new(QuarantineOptions::default(), now)),
            quarantine_record: QuarantineStore::default(),
            permits: PermitDesk::default(),
            losses: Losses::default(),
            ways: Ways::default(),
            relays: Relays::default(),
            peers: RefCell::new(Peers::new(Name::clone(&name), PeerOptions::default(), now)),
            kv_stores: RefCell::new(KvStoreMonitor::default()),
            directory: RefCell::new(PrefixDirectory::default()),
            limits: RefCell::new(if settings.features.pressure {
                Limits::with_contention(bounds.limits)
            } else {
                Limits::new(bounds.limits)
            }),
            target_weights: RefCell::new(Vec::new()),
            has_listed_weights: Cell::new(false),
            lease: RefCell::new(OrderLease::new(
                name,
                LeaseOptions::for_handover(bounds.order_handover),
                now,
            )),
            canary: (settings.features.rollouts).then(|| CanaryDesk::new(bounds.canary)),
            rollout: RefCell::new(Rollout::new(RolloutOptions {
                max_weights_age: placement.old_weights_max_age,
            })),
            placement,
            begin_limit: BeginLimit {
                max_age: bounds.max_weights_age,
                ..BeginLimit::default()
            },
            patience: PatienceOptions::default(),
            draining,
            budgets: RefCell::new(HashMap::new()),
            team_names: RefCell::new(HashMap::new()),
            running: RunningCount::default(),
            stop_began: Cell::new(None),
            settings,
        }))
    }

    /// Returns the current time, which includes suspensions of the machine.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Applies a configuration.
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
        self.create_budgets(&configuration);
        let version = configuration.version;
        self.newer_versions.borrow_mut().record_applied(version);
        self.configuration.replace(Some(Rc::new(configuration)));
        self.configured_at.set(Some(self.now()));
    }

    /// Creates the retry budget of every service, so that the requests of peers
    /// count from the beginning.
    fn create_budgets(&self, configuration: &Configuration) {
        for service in configuration.services() {
            self.with_budget(&service.name, |_| ());
        }
    }

    /// Returns the team whose name has the hash that heartbeats carry.
    pub fn team_name(&self, hash: u64) -> Option<Name> {
        self.team_names.borrow().get(&hash).cloned()
    }

    /// Records the beginning of a planned stop.
    pub fn begin_stop(&self) {
        self.stop_began.set(Some(self.now()));
    }

    /// Returns the beginning of the planned stop, if it has begun.
    pub const fn stop_began(&self) -> Option<Time> {
        self.stop_began.get()
    }

    /// Returns the remaining time in which requests are accepted.
    pub fn remaining_accept_time(&self) -> Duration {
        let since = self.stop_began.get().map(|at| self.now().since(at));
        since.map_or(Duration::MAX, |since| {
            STOP_ACCEPT_TIME.saturating_sub(since)
        })
    }

    /// Announces the end of the connection in the next response if the instance is
    /// stopping.
    pub fn announce_close(&self, conn: &mut Connection) {
        if self.draining.is_closed() {
            conn.close_after_response();
        }
    }

    /// Returns whether the load balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        !self.draining.is_closed()
            && self.configuration.borrow().is_some()
            && self.freshness.borrow().accepts_callers(now)
            && self.reliance() != Reliance::Outdated
    }

    /// Passes the store's era to the lease.
    pub fn observe_lease_era(&self) {
        let Some(era) = self.store.era() else {
            return;
        };
        if self.lease.borrow_mut().observe_era(era, self.now()) {
            self.metrics.record_store_restore();
        }
    }

    /// Records the result of a call to the store that was sent at `sent`.
    pub fn record_store_call<T>(&self, result: &std::result::Result<T, CallError>, sent: Time) {
        self.store.record(result.as_ref().err(), sent, self.now());
        self.metrics.record_store_call(result.is_ok());
    }

    /// Returns how far this instance may rely on its configuration.
    pub fn reliance(&self) -> Reliance {
        let now = self.now();
        let age = self.freshness.borrow().age(now);
        let bound = self.settings.bounds.configuration;
        Reliance::on(&self.newer_versions.borrow(), age, bound, now)
    }

    /// Charges a team's limit `cost` units, or returns the time after which the request may
    /// be admitted.
    ///
    /// The share of the limit depends on the peers that are live now: they may have timed out
    /// while the machine was suspended.
    pub fn charge(
        &self,
        team: &Team,
        demand: Demand,
        now: Time,
    ) -> std::result::Result<(), Duration> {
        self.update_limits(now);
        let mut limits = self.limits.borrow_mut();
        limits.charge_demand(&team.name, demand, now)
    }

    /// Tells the limits of teams which instances report and how often.
    pub fn update_limits(&self, now: Time) {
        let peers = self.peers.borrow();
        let mut limits = self.limits.borrow_mut();
        if self.settings.features.pressure {
            limits.set_report_interval(peers.report_interval());
            limits.set_peer_counts(peers.reporting_counts(now), now);
        } else {
            limits.set_peer_counts(peers.peer_counts(now), now);
        }
    }

    /// Counts the first attempt of a request to a service.
    pub fn count_request(&self, service: &Name) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Withdraws a retry from a service's budget, and returns whether one was
    /// available.
    pub fn withdraw_retry(&self, service: &Name) -> bool {
        let now = self.now();
        let counts = self.peers.borrow().peer_counts(now);
        self.with_budget(service, |budget| budget.try_withdraw(counts, now))
    }

    /// Returns the number of retries available at a service.
    pub fn available_retries(&self, service: &Name) -> f64 {
        let now = self.now();
        let counts = self.peers.borrow().peer_counts(now);
        self.with_budget(service, |budget| budget.remaining(counts, now))
    }

    /// Returns the requests per second that all instances send to a service.
    pub fn request_rate(&self, service: &Name) -> f64 {
        let now = self.now();
        self.with_budget(service, |budget| budget.request_rate(now))
    }

    /// Counts the requests that a peer has sent to a service.
    pub fn record_peer_requests(&self, report: &ServiceUsageDelta) {
        let service = {
            let budgets = self.budgets.borrow();
            let mut names = budgets.keys();
            names
                .find(|name| name_hash(name) == report.service)
                .cloned()
        };
        // A service that is not configured here gets no retries either.
        if let Some(service) = service {
            let now = self.now();
            self.with_budget(&service, |budget| budget.record(report.count, now));
        }
    }

    /// Returns the number of requests and retries that this instance has sent
    /// to each service.
    pub fn service_usage(&self) -> Vec<ServiceUsage> {
        let budgets = self.budgets.borrow();
        let usage = budgets.iter().map(|(name, budget)| ServiceUsage {
            service: name_hash(name),
            requests: budget.local_counts().requests,
            retries: budget.local_counts().retries,
        });
        usage.collect()
    }

    fn with_budget<T>(&self, service: &Name, operation: impl FnOnce(&mut RetryBudget) -> T) -> T {
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
        operation(budget)
    }

    /// Records a sign of life of a KV store, observed here or by a peer.
    pub fn observe_kv_store(&self, report: KvStoreStatus) {
        let now = self.now();
        if self.kv_stores.borrow_mut().record_status(report, now) {
            self.directory.borrow_mut().remove_holder(report.store);
            info!(store = report.store, boot = report.boot; "KV store restarted");
        }
    }

    /// Returns the number of requests in progress.
    pub const fn running(&self) -> &RunningCount {
        &self.running
    }
}

fn caller_budget(settings: &FleetSettings) -> CallerBudget {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let stated = settings.resources.max_descriptors;
    let resources = CallerResources::of(&Resources {
        max_descriptors: stated.into_iter().chain(limit).min(),
        ..settings.resources
    });
    let size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    CallerBudget::new(CallerBudgetOptions {
        memory: size(resources.memory),
        connections: size(resources.connections),
        descriptors: size(resources.descriptors),
    })
    .with_shares(CallerShares {
        address: SharePercent::new(resources.address_share),
        team: SharePercent::new(resources.team_share),
    })
}
