//! Random schedules of reads, heartbeats, suspensions and withdrawals: no instance
//! trusts keys longer than the bound permits.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::freshness::Freshness;
use limpetsaddle_fleet::freshness::FreshnessOptions;
use proptest::prelude::*;

const INSTANCES: usize = 4;

/// The instances that read; the others go by heartbeats alone.
const READERS: usize = 2;

/// The bound on a withdrawn key, in milliseconds.
const BOUND_MS: u64 = 5_000;

/// What happens, in the order of the times at which it begins.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance reads; the store sees the read and the answer arrives later,
    /// or never.
    Read {
        instance: usize,
        there: u64,
        back: Option<u64>,
    },
    /// An instance tells another one of its version and its age.
    Heartbeat { from: usize, to: usize, takes: u64 },
    /// An instance stands still; what arrives meanwhile is taken afterwards.
    Suspend { instance: usize, span: u64 },
    /// The platform acknowledges a newer version, which withdraws a key.
    Publish,
}

/// What arrives at an instance.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    Seen {
        sent: u64,
        version: u64,
    },
    Told {
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
    /// How far its clock is ahead of the platform's.
    ahead: u64,
    suspended_until: u64,
    /// The last stamp that came from each other instance.
    stamps: [Option<u64>; INSTANCES],
}

impl Instance {
    fn clock(&self, now: u64) -> Time {
        Time::from_origin(Duration::from_millis(now + self.ahead))
    }

    fn take(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Seen { sent, version } => {
                self.version = self.version.max(version);
                self.freshness.confirm(self.clock(sent));
            }
            Arrival::Told {
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
    /// The time at which each version was acknowledged.
    published: Vec<u64>,
    arrivals: BTreeMap<(u64, usize), (usize, Arrival)>,
    reads: BTreeMap<(u64, usize), (usize, u64, Option<u64>)>,
    number: usize,
}

impl Fleet {
    fn new() -> Self {
        let options = FreshnessOptions::for_withdrawal(Duration::from_millis(BOUND_MS));
        let instance = |index: usize| Instance {
            freshness: Freshness::new(options),
            version: 0,
            ahead: index as u64 * 77_777,
            suspended_until: 0,
            stamps: [None; INSTANCES],
        };
        Self {
            instances: (0..INSTANCES).map(instance).collect(),
            published: vec![0],
            arrivals: BTreeMap::new(),
            reads: BTreeMap::new(),
            number: 0,
        }
    }

    fn begin(&mut self, step: Step, now: u64) {
        self.number += 1;
        match step {
            Step::Read {
                instance,
                there,
                back,
            } => {
                if now >= self.instances[instance].suspended_until {
                    let key = (now + there, self.number);
                    self.reads.insert(key, (instance, now, back));
                }
            }
            Step::Heartbeat { from, to, takes } if from != to => {
                let sender = &self.instances[from];
                if now < sender.suspended_until {
                    return;
                }
                let age = sender.freshness.age(sender.clock(now));
                let told = Arrival::Told {
                    version: sender.version,
                    echo: sender.stamps[to],
                    age: age.map(|age| u64::try_from(age.as_millis()).unwrap()),
                    stamp: now + sender.ahead,
                    from,
                };
                self.arrivals.insert((now + takes, self.number), (to, told));
            }
            Step::Heartbeat { .. } => {}
            Step::Suspend { instance, span } => {
                let until = &mut self.instances[instance].suspended_until;
                *until = (*until).max(now + span);
            }
            Step::Publish => self.published.push(now),
        }
    }

    /// Lets everything happen that is due by `now`.
    fn advance(&mut self, now: u64) {
        while let Some(entry) = self.reads.first_entry()
            && entry.key().0 <= now
        {
            let ((at, number), (instance, sent, back)) = entry.remove_entry();
            let version = self.published.iter().filter(|p| **p <= at).count() as u64 - 1;
            if let Some(back) = back {
                let seen = Arrival::Seen { sent, version };
                self.arrivals.insert((at + back, number), (instance, seen));
            }
        }
        while let Some(entry) = self.arrivals.first_entry()
            && entry.key().0 <= now
        {
            let ((_, number), (to, arrival)) = entry.remove_entry();
            let until = self.instances[to].suspended_until;
            if now < until {
                self.arrivals.insert((until, number), (to, arrival));
            } else {
                self.instances[to].take(arrival);
            }
        }
    }

    fn check(&self, now: u64) -> Result<(), TestCaseError> {
        // Versions that were acknowledged longer ago than the bound.
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
    let back = prop::option::weighted(0.6, 0_u64..3_000);
    prop_oneof![
        1 => (0..READERS, 0_u64..1_200, back)
            .prop_map(|(instance, there, back)| Step::Read { instance, there, back }),
        12 => (0..INSTANCES, 0..INSTANCES, 0_u64..2_500)
            .prop_map(|(from, to, takes)| Step::Heartbeat { from, to, takes }),
        2 => (0..INSTANCES, 0_u64..7_000)
            .prop_map(|(instance, span)| Step::Suspend { instance, span }),
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
            fleet.begin(step, now);
        }
        for _ in 0..80 {
            now += 100;
            fleet.advance(now);
            fleet.check(now)?;
        }
    }
}
