//! Random schedules of reads, heartbeats, suspensions and withdrawals of keys: no instance
//! trusts keys for longer than the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::freshness::Freshness;
use limpetsaddle_fleet::freshness::FreshnessOptions;
use proptest::prelude::*;

const INSTANCES: usize = 4;

/// The instances that read the configuration; the others rely on heartbeats.
const READERS: usize = 2;

/// The bound after which a withdrawn key must not work, in milliseconds.
const BOUND_MS: u64 = 5_000;

/// A step of a schedule; all times are in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance reads; the store handles the read after `request_time`, and the
    /// response arrives after `response_time` or never.
    Read {
        instance: usize,
        request_time: u64,
        response_time: Option<u64>,
    },
    /// An instance sends another one its version and age.
    Heartbeat {
        from: usize,
        to: usize,
        transit_time: u64,
    },
    /// An instance is suspended; deliveries wait until it resumes.
    Suspend { instance: usize, duration: u64 },
    /// The platform acknowledges a newer version, which withdraws a key.
    Publish,
}

/// A message that is delivered to an instance.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    ReadResponse {
        sent: u64,
        version: u64,
    },
    Heartbeat {
        version: u64,
        echo: Option<u64>,
        age: Option<u64>,
        stamp: u64,
        from: usize,
    },
}

struct Instance {
    freshness: Freshness,
    version: u64,
    /// The offset of its clock from the platform's, in milliseconds.
    clock_offset: u64,
    suspended_until: u64,
    /// The last time stamp received from each other instance.
    stamps: [Option<u64>; INSTANCES],
}

impl Instance {
    fn clock(&self, now: u64) -> Time {
        Time::from_origin(Duration::from_millis(now + self.clock_offset))
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ReadResponse { sent, version } => {
                self.version = self.version.max(version);
                self.freshness.confirm(self.clock(sent));
            }
            Delivery::Heartbeat {
                version,
                echo,
                age,
                stamp,
                from,
            } => {
                self.stamps[from] = self.stamps[from].max(Some(stamp));
                if let (true, Some(echo), Some(age)) = (version == self.version, echo, age) {
                    let echo = Time::from_origin(Duration::from_millis(echo));
                    let age = Duration::from_millis(age);
                    self.freshness.confirm_by_peer(echo, age);
                }
            }
        }
    }
}

struct Fleet {
    instances: Vec<Instance>,
    /// The times at which the versions were acknowledged.
    published: Vec<u64>,
    deliveries: BTreeMap<(u64, usize), (usize, Delivery)>,
    reads: BTreeMap<(u64, usize), (usize, u64, Option<u64>)>,
    next_id: usize,
}

impl Fleet {
    fn new() -> Self {
        let options = FreshnessOptions::for_withdrawal(Duration::from_millis(BOUND_MS));
        let instance = |index: usize| Instance {
            freshness: Freshness::new(options),
            version: 0,
            clock_offset: index as u64 * 77_777,
            suspended_until: 0,
            stamps: [None; INSTANCES],
        };
        Self {
            instances: (0..INSTANCES).map(instance).collect(),
            published: vec![0],
            deliveries: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_id: 0,
        }
    }

    fn start(&mut self, step: Step, now: u64) {
        self.next_id += 1;
        match step {
            Step::Read {
                instance,
                request_time,
                response_time,
            } => {
                if now >= self.instances[instance].suspended_until {
                    let key = (now + request_time, self.next_id);
                    self.reads.insert(key, (instance, now, response_time));
                }
            }
            Step::Heartbeat {
                from,
                to,
                transit_time,
            } if from != to => {
                let sender = &self.instances[from];
                if now < sender.suspended_until {
                    return;
                }
                let age = sender.freshness.age(sender.clock(now));
                let heartbeat = Delivery::Heartbeat {
                    version: sender.version,
                    echo: sender.stamps[to],
                    age: age.map(|age| u64::try_from(age.as_millis()).unwrap()),
                    stamp: now + sender.clock_offset,
                    from,
                };
                self.deliveries
                    .insert((now + transit_time, self.next_id), (to, heartbeat));
            }
            Step::Heartbeat { .. } => {}
            Step::Suspend { instance, duration } => {
                let until = &mut self.instances[instance].suspended_until;
                *until = (*until).max(now + duration);
            }
            Step::Publish => self.published.push(now),
        }
    }

    /// Handles every read and delivery that is due by `now`.
    fn advance(&mut self, now: u64) {
        while let Some(entry) = self.reads.first_entry()
            && entry.key().0 <= now
        {
            let ((at, next_id), (instance, sent, response_time)) = entry.remove_entry();
            let version = self.published.iter().filter(|p| **p <= at).count() as u64 - 1;
            if let Some(response_time) = response_time {
                let response = Delivery::ReadResponse { sent, version };
                self.deliveries
                    .insert((at + response_time, next_id), (instance, response));
            }
        }
        while let Some(entry) = self.deliveries.first_entry()
            && entry.key().0 <= now
        {
            let ((_, next_id), (to, delivery)) = entry.remove_entry();
            let until = self.instances[to].suspended_until;
            if now < until {
                self.deliveries.insert((until, next_id), (to, delivery));
            } else {
                self.instances[to].deliver(delivery);
            }
        }
    }

    fn check(&self, now: u64) -> Result<(), TestCaseError> {
        // The versions that were acknowledged longer ago than the bound.
        let old = self
            .published
            .iter()
            .filter(|p| **p + BOUND_MS < now)
            .count() as u64;
        for (index, instance) in self.instances.iter().enumerate() {
            let trusts = instance.freshness.trusts_keys(instance.clock(now));
            prop_assert!(
                !trusts || instance.version + 1 >= old,
                "instance {index} trusts keys of version {} at {now}, with {:?}",
                instance.version,
                self.published
            );
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let response_time = prop::option::weighted(0.6, 0_u64..3_000);
    prop_oneof![
        1 => (0..READERS, 0_u64..1_200, response_time)
            .prop_map(|(instance, request_time, response_time)| Step::Read { instance, request_time, response_time }),
        12 => (0..INSTANCES, 0..INSTANCES, 0_u64..2_500)
            .prop_map(|(from, to, transit_time)| Step::Heartbeat { from, to, transit_time }),
        2 => (0..INSTANCES, 0_u64..7_000)
            .prop_map(|(instance, duration)| Step::Suspend { instance, duration }),
        1 => Just(Step::Publish),
    ]
}

proptest! {
    #[test]
    fn verify_no_instance_trusts_keys_longer_than_the_bound(
        steps in prop::collection::vec((0_u64..120, step()), 50..600),
    ) {
        let mut fleet = Fleet::new();
        let mut now = 0;
        for (pause, step) in steps {
            now += pause;
            fleet.advance(now);
            fleet.check(now)?;
            fleet.start(step, now);
        }
        for _ in 0..80 {
            now += 100;
            fleet.advance(now);
            fleet.check(now)?;
        }
    }
}
