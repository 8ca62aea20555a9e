//! A fake platform with a configuration, and the upstreams in it.

use std::io;
use std::net::SocketAddr;

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

/// The model that the engines serve.
pub const MODEL: &str = "birch-7b";

/// The size of a cache block, in tokens.
pub const BLOCK_TOKENS: usize = 2_048;

/// The sum of the parts by which a team's limits are divided among the failure
/// domains.
const TOTAL_PARTS: usize = 1_000;

/// The number of slots of each failure domain.
const SLOTS: u16 = 6;

/// The name of the pool of engines.
const ENGINE_POOL: &str = "lm-pool";

/// The name of the pool of plain services.
const SERVICE_POOL: &str = "order-desk";

/// The name, failure domain and addresses of an instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// The name of the instance.
    pub name: String,
    /// The failure domain.
    pub domain: &'static str,
    /// The listening address for callers.
    pub listen: SocketAddr,
    /// The listening address for operators.
    pub admin: SocketAddr,
    /// The listening address for other instances.
    pub peer: SocketAddr,
}

impl InstanceConfig {
    /// Returns the command-line flags of the daemon.
    pub fn flags(&self, platform: SocketAddr, instances: &[Self]) -> Vec<String> {
        let seeds: Vec<String> = instances.iter().map(|p| p.peer.to_string()).collect();
        let flags = [
            ("--name", self.name.clone()),
            ("--domain", self.domain.to_owned()),
            ("--platform", platform.to_string()),
            ("--seeds", seeds.join(",")),
            ("--listen", self.listen.to_string()),
            ("--admin", self.admin.to_string()),
            ("--peer", self.peer.to_string()),
        ];
        let pairs = flags.into_iter();
        pairs
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }
}

/// Returns `per_domain` instances for each failure domain, on ports from `port` on.
pub fn instances(domains: &[&'static str], per_domain: usize, port: u16) -> Vec<InstanceConfig> {
    let mut port = port;
    let mut next_address = || {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        port += 1;
        address
    };
    let mut instances = Vec::new();
    for domain in domains {
        for number in 1..=per_domain {
            instances.push(InstanceConfig {
                name: format!("{domain}-{number}"),
                domain,
                listen: next_address(),
                admin: next_address(),
                peer: next_address(),
            });
        }
    }
    instances
}

/// A configured platform and its upstreams.
pub struct Setup {
    /// The platform.
    pub platform: FakePlatform,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service with the route `/orders`.
    pub service: FakeService,
    domains: Vec<&'static str>,
}

impl Setup {
    /// Starts a platform and `count` engines, distributed over the failure domains.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(
        domains: &[&'static str],
        count: usize,
        engine: &EngineOptions,
    ) -> io::Result<Self> {
        let mut setup = Self {
            platform: FakePlatform::start(PlatformOptions::default())?,
            engines: Vec::new(),
            service: FakeService::start(any_port())?,
            domains: domains.to_vec(),
        };
        for domain in domains {
            let spec = json!({"domain": {"region": "vestland", "slots": SLOTS}});
            setup.put(&format!("domain/{domain}"), spec);
        }
        setup.put_pools();
        for i in 0..count {
            let engine = FakeEngine::start(EngineOptions {
                model: MODEL.to_owned(),
                block_tokens: BLOCK_TOKENS,
                ..engine.clone()
            })?;
            let domain = domains[i % domains.len()];
            setup.put_upstream(&format!("lm-{i}"), ENGINE_POOL, domain, engine.address());
            setup.engines.push(engine);
        }
        Ok(setup)
    }

    fn put_pools(&self) {
        let kind = json!({"engine": {"model": MODEL, "weights": 1, "block": BLOCK_TOKENS}});
        let pool = json!({"pool": {"kind": kind, "checks_fencing": true}});
        self.put(&format!("pool/{ENGINE_POOL}"), pool);
        let pool = json!({"pool": {"kind": "service"}});
        self.put(&format!("pool/{SERVICE_POOL}"), pool);
        let route = json!({"route": {"path": "/orders", "pool": SERVICE_POOL}});
        self.put("route/orders", route);
        let address = self.service.address();
        self.put_upstream("order-desk-1", SERVICE_POOL, self.domains[0], address);
    }

    fn put_upstream(&self, name: &str, pool: &str, domain: &str, address: SocketAddr) {
        let spec = json!({"upstream": {"pool": pool, "domain": domain, "address": address}});
        self.put(&format!("upstream/{name}"), spec);
    }

    /// Writes a configuration object.
    pub fn put(&self, id: &str, spec: Value) {
        self.platform.state().put_config(id, spec);
    }

    /// Writes a team whose limits are split evenly between the failure domains, and
    /// returns its key. `rate` is in tokens per second, `burst` in tokens.
    pub fn put_team(&self, name: &str, rate: u64, burst: u64) -> String {
        let id = format!("{name}1").parse().expect("invalid key ID");
        let key = issue_key(&id, *b"a-key-for-examples-only!");
        let parts = TOTAL_PARTS / self.domains.len();
        let allotment = |domain: &&str| json!({"domain": domain, "parts": parts, "spread": 1});
        let allotments: Vec<Value> = self.domains.iter().map(allotment).collect();
        let team = json!({"team": {
            "rate": rate,
            "burst": burst,
            "weight": 1,
            "allotments": allotments,
            "keys": [key.record],
        }});
        self.put(&format!("team/{name}"), team);
        key.text
    }

    /// Registers the instances with the platform.
    pub fn register_instances(&self, instances: &[InstanceConfig]) {
        let instances = instances.iter().map(|instance| Instance {
            name: instance.name.clone(),
            domain: instance.domain.to_owned(),
            address: instance.peer,
            phase: "live".to_owned(),
        });
        self.platform.state().set_instances(instances.collect());
    }
}
