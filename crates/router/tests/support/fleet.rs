//! Runs a small fleet: daemons, and fakes of the platform, engines and a service.

use limpetsaddle_core::keys::issue_key;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;
use limpetsaddle_fakes::FakePlatform;
use limpetsaddle_fakes::FakeService;
use limpetsaddle_fakes::Instance;
use limpetsaddle_fakes::PlatformOptions;
use limpetsaddle_fakes::any_port;
use serde_json::Value;
use serde_json::json;

use super::Daemon;
use super::DaemonOptions;
use super::Relay;
use super::daemon::free_address;
use super::wait_until;

/// The model that the fleet serves.
pub const MODEL: &str = "birch";

/// A team with one key.
#[derive(Clone, Debug)]
pub struct Team {
    /// The name.
    pub name: String,
    /// The key in the form that callers send.
    pub key: String,
    /// The spec of the team's configuration object.
    pub spec: Value,
}

impl Team {
    /// Creates a team whose limits are split evenly between `domains`; `rate` is
    /// in tokens per second, `burst` in tokens.
    pub fn new(name: &str, rate: u64, burst: u64, domains: &[&str]) -> Self {
        let id = format!("{name}1").parse().expect("invalid key ID");
        let key = issue_key(&id, [7; 24]);
        let parts = 1_000 / domains.len();
        let allotments: Vec<Value> = domains
            .iter()
            .map(|domain| json!({"domain": domain, "parts": parts, "spread": 1}))
            .collect();
        let spec = json!({"team": {
            "rate": rate,
            "burst": burst,
            "weight": 1,
            "allotments": allotments,
            "keys": [key.record],
        }});
        Self {
            name: name.to_owned(),
            key: key.text,
            spec,
        }
    }

    /// Returns the team's spec with its key withdrawn.
    pub fn withdrawn(&self) -> Value {
        let mut spec = self.spec.clone();
        spec["team"]["keys"][0]["withdrawn"] = true.into();
        spec
    }
}

/// The composition of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The failure domain of each daemon.
    pub daemons: Vec<&'static str>,
    /// The failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// The settings of the engines.
    pub engine: EngineOptions,
    /// Additional command-line flags of the daemons.
    pub flags: Vec<String>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            daemons: vec!["a"],
            engines: vec!["a"],
            engine: EngineOptions::default(),
            flags: Vec::new(),
        }
    }
}

/// A running fleet, stopped on drop.
pub struct Fleet {
    /// The platform.
    pub platform: FakePlatform,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// A plain service with the routes `/orders` and `/lookups`.
    pub service: FakeService,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The proxy between each daemon and the platform.
    pub platform_paths: Vec<Relay>,
    /// The proxy between other instances and each daemon.
    pub peer_paths: Vec<Relay>,
    /// A team with ample limits.
    pub team: Team,
}

impl Fleet {
    /// Starts a fleet, then waits until every daemon is ready and admits a
    /// metered request of [`Fleet::team`].
    pub fn start(options: &FleetOptions) -> Self {
        let fleet = Self::start_without_waiting(options);
        for daemon in &fleet.daemons {
            daemon.wait_ready();
        }
        let key = &fleet.team.key;
        for daemon in &fleet.daemons {
            wait_until("admission of a metered request", || {
                super::chat(daemon.listen(), key, "warm up", 1).status == 200
            });
        }
        for engine in &fleet.engines {
            let mut state = engine.state();
            state.received.clear();
            state.runs.clear();
        }
        fleet
    }

    /// Starts a fleet without waiting until its daemons are ready.
    pub fn start_without_waiting(options: &FleetOptions) -> Self {
        let platform = FakePlatform::start(PlatformOptions::default())
            .expect("failed to start the fake platform");
        let service = FakeService::start(any_port()).expect("failed to start the fake service");
        let mut domains = options.daemons.clone();
        domains.dedup();
        let team = Team::new("ample", 1_000_000, 10_000_000, &domains);
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            service,
            daemons: Vec::new(),
            platform_paths: Vec::new(),
            peer_paths: Vec::new(),
            team,
        };
        fleet.configure(&domains);
        fleet.start_engines(options);
        fleet.start_daemons(options);
        fleet
    }

    fn configure(&self, domains: &[&str]) {
        for domain in domains {
            self.put(
                &format!("domain/{domain}"),
                json!({"domain": {"region": "north", "slots": 6}}),
            );
        }
        let engine = json!({"engine": {"model": MODEL, "weights": 1, "block": 256}});
        self.put(
            "pool/lm-pool",
            json!({"pool": {"kind": engine, "checks_fencing": true}}),
        );
        self.put("pool/order-desk", json!({"pool": {"kind": "service"}}));
        let address = self.service.address();
        self.put_upstream("desk", "order-desk", domains[0], address);
        let route = |path: &str, idempotent: bool| json!({"route": {"path": path, "pool": "order-desk", "idempotent": idempotent}});
        self.put("route/orders", route("/orders", false));
        self.put("route/lookups", route("/lookups", true));
        self.put_team(&self.team);
    }

    fn put_upstream(&self, name: &str, pool: &str, domain: &str, address: std::net::SocketAddr) {
        let spec = json!({"upstream": {"pool": pool, "domain": domain, "address": address}});
        self.put(&format!("upstream/{name}"), spec);
    }

    fn start_engines(&mut self, options: &FleetOptions) {
        for (i, domain) in options.engines.iter().enumerate() {
            let engine = EngineOptions {
                model: MODEL.to_owned(),
                ..options.engine.clone()
            };
            let engine = FakeEngine::start(engine).expect("failed to start a fake engine");
            self.put_upstream(&format!("engine-{i}"), "lm-pool", domain, engine.address());
            self.engines.push(engine);
        }
    }

    fn start_daemons(&mut self, options: &FleetOptions) {
        let mut seeds = Vec::new();
        let mut prepared = Vec::new();
        for (i, domain) in options.daemons.iter().enumerate() {
            let platform = Relay::start(self.platform.address());
            let peer = free_address();
            let path = Relay::start(peer);
            seeds.push(path.address());
            prepared.push(DaemonOptions {
                name: format!("{domain}-{i}"),
                domain: (*domain).to_owned(),
                platform: platform.address(),
                listen: free_address(),
                admin: free_address(),
                peer,
                advertise: path.address(),
                seeds: Vec::new(),
                flags: options.flags.clone(),
            });
            self.platform_paths.push(platform);
            self.peer_paths.push(path);
        }
        let instances = prepared.iter().map(|options| Instance {
            name: options.name.clone(),
            domain: options.domain.clone(),
            address: options.advertise,
            phase: "live".to_owned(),
        });
        self.platform.state().set_instances(instances.collect());
        for mut options in prepared {
            options.seeds.clone_from(&seeds);
            self.daemons.push(Daemon::start(options));
        }
    }

    /// Writes a configuration object and returns its revision.
    pub fn put(&self, id: &str, spec: Value) -> u64 {
        self.platform.state().put_config(id, spec)
    }

    /// Writes a team's configuration object and returns its revision.
    pub fn put_team(&self, team: &Team) -> u64 {
        self.put(&format!("team/{}", team.name), team.spec.clone())
    }

    /// Waits until the daemons with the indices `daemons` have applied `revision`.
    #[track_caller]
    pub fn wait_revision(&self, daemons: &[usize], revision: u64) {
        for i in daemons {
            wait_until("application of the revision", || {
                self.daemons[*i].revision() >= revision
            });
        }
    }
}
