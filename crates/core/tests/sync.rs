//! Tests random exchanges of stores over a faulty network, in virtual time.

mod sync_support;

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Preset;
use limpetsaddle_core::config::PresetsSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::keys::authenticate;
use limpetsaddle_core::membership::Members;
use limpetsaddle_core::membership::MembersOptions;
use limpetsaddle_core::membership::exchange;
use limpetsaddle_core::membership::exchange::ExchangeOptions;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::PendingRequest;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::store::ConfigStore;
use limpetsaddle_core::units::Revision;
use proptest::prelude::*;

use crate::sync_support::at;
use crate::sync_support::member_record;
use crate::sync_support::object;
use crate::sync_support::route;
use crate::sync_support::team;

const NODES: usize = 4;
const ROUTES: u64 = 6;
const KEY: &str = "lsk-k1-plain";

/// Messages contain few objects, so that exchanges take several rounds.
const OPTS: ExchangeOptions = ExchangeOptions {
    max_records: 2,
    max_heartbeats: 2,
    max_requested: 1,
    max_object_bytes: 300,
    max_version_bytes: 200,
    max_rounds: 64,
};

#[derive(Clone, Copy, Debug)]
enum Step {
    Write {
        kind: u64,
    },
    Watch {
        node: usize,
        change: usize,
    },
    List {
        node: usize,
    },
    Open {
        from: usize,
        to: usize,
    },
    Push {
        from: usize,
        to: usize,
        change: usize,
    },
    Deliver {
        message: usize,
        duplicate: bool,
    },
    Lose {
        message: usize,
    },
    Restart {
        node: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let pick = 0..1_000_usize;
    let step = prop_oneof![
        4 => (0..1_000_u64).prop_map(|kind| Step::Write { kind }),
        3 => (node.clone(), pick.clone()).prop_map(|(node, change)| Step::Watch { node, change }),
        1 => node.clone().prop_map(|node| Step::List { node }),
        4 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Open { from, to }),
        2 => (node.clone(), node.clone(), pick.clone())
            .prop_map(|(from, to, change)| Step::Push { from, to, change }),
        12 => (pick.clone(), proptest::bool::ANY)
            .prop_map(|(message, duplicate)| Step::Deliver { message, duplicate }),
        2 => pick.prop_map(|message| Step::Lose { message }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ];
    proptest::collection::vec(step, 1..200)
}

#[derive(Clone)]
enum Message {
    Request {
        from: usize,
        to: usize,
        pending: PendingRequest,
    },
    Reply {
        from: usize,
        to: usize,
        pending: PendingRequest,
        reply: ExchangeReply,
    },
}

struct Node {
    members: Members,
    store: ConfigStore,
    seen: BTreeMap<ObjectId, Revision>,
    withdrawn: bool,
}

impl Node {
    fn start(index: usize, incarnation: u64) -> Self {
        let own = member_record(&format!("n{index}"), "d1", incarnation, 0);
        Self {
            members: Members::new(own, MembersOptions::default(), at(0)),
            store: ConfigStore::default(),
            seen: BTreeMap::new(),
            withdrawn: false,
        }
    }
}

struct World {
    history: Vec<Object>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    clock: u64,
}

fn key_team(withdrawn: bool) -> Spec {
    let key = KeyRecord {
        id: "k1".parse().unwrap(),
        digest: Digest::of(KEY.as_bytes()),
        withdrawn,
    };
    team(1, vec![key])
}

impl World {
    fn new() -> Self {
        Self {
            history: vec![object("team/yard", 1, Some(key_team(false)))],
            nodes: (0..NODES).map(|i| Node::start(i, 1)).collect(),
            messages: Vec::new(),
            clock: 0,
        }
    }

    fn write(&mut self, kind: u64) {
        let revision = self.history.len() as u64 + 1;
        let name = format!("route/r{}", kind / 8 % ROUTES);
        let object = match kind % 8 {
            0 => object(&name, revision, None),
            1 => object(&name, revision, Some(route("no-slash", revision))),
            2 => object("team/yard", revision, Some(key_team(true))),
            3 => {
                let active = Preset::ALL[usize::try_from(kind / 8).unwrap() % 3];
                let spec = PresetsSpec {
                    active,
                    ..PresetsSpec::default()
                };
                object("presets/current", revision, Some(Spec::Presets(spec)))
            }
            _ => object(&name, revision, Some(route("/r", revision))),
        };
        self.history.push(object);
    }

    /// Returns the newest object of each id up to `revision`.
    fn newest(&self, revision: Revision) -> BTreeMap<ObjectId, Object> {
        let known = self.history.iter().filter(|o| o.revision <= revision);
        known.map(|o| (o.id.clone(), o.clone())).collect()
    }

    /// Returns the objects that a store complete up to `revision` must have in force.
    ///
    /// If the newest object with an id is invalid, an older one may be in force.
    fn expected(&self, revision: Revision) -> BTreeMap<ObjectId, Object> {
        let mut newest = self.newest(revision);
        newest.retain(|_, o| o.spec.as_ref().is_none_or(|s| s.validate().is_ok()));
        newest
    }

    fn list(&mut self, node: usize) {
        let now = at(self.clock);
        let revision = Revision(self.history.len() as u64);
        let newest = self.newest(revision);
        let store = &mut self.nodes[node].store;
        store.merge_all(newest.into_values());
        store.confirm(revision, Duration::ZERO, now);
    }

    fn open(&mut self, from: usize, to: usize) {
        let now = at(self.clock);
        let node = &mut self.nodes[from];
        node.members
            .advance_heartbeat(node.store.highest_revision(), now);
        let pending = exchange::open(&node.store, &node.members, &OPTS, now);
        self.messages.push(Message::Request { from, to, pending });
    }

    fn push(&mut self, from: usize, to: usize, change: usize) {
        let now = at(self.clock);
        let node = &self.nodes[from];
        let id = self.history[change % self.history.len()].id.clone();
        let objects = node.store.objects(&[id], OPTS.max_object_bytes);
        let pending = exchange::push(&node.store, &node.members, objects, now);
        self.messages.push(Message::Request { from, to, pending });
    }

    fn deliver(&mut self, message: Message) {
        let now = at(self.clock);
        match message {
            Message::Request { from, to, pending } => {
                let node = &mut self.nodes[to];
                let request = pending.request.clone();
                let (store, members) = (&mut node.store, &mut node.members);
                let (reply, _) = exchange::handle_request(store, members, request, &OPTS, now);
                self.messages.push(Message::Reply {
                    from,
                    to,
                    pending,
                    reply,
                });
            }
            Message::Reply {
                from,
                to,
                pending,
                reply,
            } => {
                let node = &mut self.nodes[from];
                let (store, members) = (&mut node.store, &mut node.members);
                let outcome = exchange::apply_reply(store, members, &pending, reply, &OPTS, now);
                if let Ok(Some(pending)) = outcome.map(|outcome| outcome.next) {
                    self.messages.push(Message::Request { from, to, pending });
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        self.clock += 100;
        let count = self.messages.len().max(1);
        match step {
            Step::Write { kind } => self.write(kind),
            Step::Watch { node, change } => {
                let change = self.history[change % self.history.len()].clone();
                self.nodes[node].store.merge(change);
            }
            Step::List { node } => self.list(node),
            Step::Open { from, to } => self.open(from, to),
            Step::Push { from, to, change } => self.push(from, to, change),
            Step::Deliver { message, duplicate } => {
                let Some(found) = self.messages.get(message % count).cloned() else {
                    return;
                };
                if !duplicate {
                    self.messages.swap_remove(message % count);
                }
                self.deliver(found);
            }
            Step::Lose { message } => {
                if !self.messages.is_empty() {
                    self.messages.swap_remove(message % count);
                }
            }
            Step::Restart { node } => self.nodes[node] = Node::start(node, self.clock),
        }
    }

    fn check(&mut self) {
        for i in 0..NODES {
            self.check_node(i);
        }
    }

    fn check_node(&mut self, i: usize) {
        let confirmed = self.nodes[i].store.confirmation().map(|c| c.revision);
        let complete = self.expected(confirmed.unwrap_or(Revision::ABSENT));
        let ids: Vec<ObjectId> = self.history.iter().map(|o| o.id.clone()).collect();
        let node = &mut self.nodes[i];
        for id in ids {
            let Some(held) = node.store.get(&id) else {
                assert!(!node.seen.contains_key(&id), "{id} vanished");
                assert!(!complete.contains_key(&id), "{id} is missing");
                continue;
            };
            let before = node.seen.insert(id.clone(), held.revision);
            assert!(
                before <= Some(held.revision),
                "{id} reverted to an older revision"
            );
            let min_revision = complete.get(&id).map(|o| o.revision);
            assert!(min_revision <= Some(held.revision), "{id} is behind");
            let spec = held.spec.as_deref();
            assert!(spec.is_none_or(|s| s.validate().is_ok()));
            if let Some(Spec::Presets(presets)) = spec {
                assert_eq!(node.store.presets(), presets);
            }
        }
        let result = authenticate(&node.store, KEY.as_bytes());
        assert!(
            !node.withdrawn || result.is_err(),
            "a withdrawn key was accepted again"
        );
        node.withdrawn |= result == Err(Reason::WithdrawnKey);
    }

    fn settle(&mut self) {
        self.messages.clear();
        self.list(0);
        for round in 0..3 * NODES {
            let from = round % NODES;
            self.clock += 1_000;
            self.open(from, (from + 1) % NODES);
            while let Some(message) = self.messages.pop() {
                self.deliver(message);
            }
            self.check();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_stores_converge_and_never_revert(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            world.check();
        }
        world.settle();
        let last = Revision(world.history.len() as u64);
        let expected = world.expected(last);
        for node in &world.nodes {
            for (id, object) in &expected {
                let held = node.store.get(id);
                prop_assert_eq!(held.as_ref(), Some(object));
            }
            prop_assert_eq!(node.store.digests(), world.nodes[0].store.digests());
            prop_assert_eq!(node.store.confirmation().map(|c| c.revision), Some(last));
        }
    }
}
