//! Measures the cost of configuration and membership at several sizes.
//!
//! Prints a line for each size and, for each quantity, the line fitted by least
//! squares. Run it with
//! `cargo run --release -p limpetsaddle-core --example sync_slopes -- --seed 1`.

use std::error::Error;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::Members;
use limpetsaddle_core::membership::MembersOptions;
use limpetsaddle_core::membership::RecordSource;
use limpetsaddle_core::membership::exchange;
use limpetsaddle_core::membership::exchange::ExchangeOptions;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::store::ConfigStore;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;

type Outcome<T> = Result<T, Box<dyn Error>>;

const OBJECTS: [u32; 5] = [500, 1_000, 2_000, 4_000, 8_000];
const DOMAIN_PEERS: [u32; 4] = [3, 6, 12, 24];

/// The numbers of instances and of failure domains per fleet.
const FLEETS: [(u32, u32); 4] = [(9, 3), (45, 5), (150, 10), (450, 19)];

const CHANGES_PER_DAY: f64 = 9_100.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const REPEATS: u32 = 2_000;

fn main() -> Outcome<()> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seed", "the seed of the random numbers", "NUMBER");
    let matches = flags.parse(std::env::args().skip(1))?;
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    objects(seed)?;
    peers()?;
    fleets()
}

/// Returns the mean duration of `work` in nanoseconds.
fn nanos(repeats: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for i in 0..repeats {
        work(i);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(repeats)
}

/// Prints the line fitted to `points` by least squares.
fn fit(quantity: &str, points: &[(u32, f64)]) {
    let count = points.iter().map(|_| 1.0).sum::<f64>();
    let x = points.iter().map(|(x, _)| f64::from(*x)).sum::<f64>() / count;
    let y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = points
        .iter()
        .map(|(n, _)| (f64::from(*n) - x).powi(2))
        .sum();
    let covariance: f64 = points
        .iter()
        .map(|(n, v)| (f64::from(*n) - x) * (v - y))
        .sum();
    let slope = covariance / variance;
    println!("fit: {quantity} = {:.1} + {slope:.3} n", y - slope * x);
}

fn team(name: u32, revision: u64) -> Outcome<Object> {
    let key = |i: u32| -> Outcome<KeyRecord> {
        Ok(KeyRecord {
            id: format!("k{name}-{i}").parse()?,
            digest: Digest::of(&i.to_le_bytes()),
            withdrawn: false,
        })
    };
    let spec = TeamSpec {
        rate: TokenRate(1_000 + revision),
        burst: Tokens(10_000),
        weight: 1,
        models: Vec::new(),
        allotments: Vec::new(),
        keys: (0..3).map(key).collect::<Outcome<_>>()?,
    };
    Ok(Object {
        id: format!("team/team-{name}").parse()?,
        revision: Revision(revision),
        spec: Some(Arc::new(Spec::Team(spec))),
    })
}

fn store_with(count: u32) -> Outcome<ConfigStore> {
    let mut store = ConfigStore::default();
    for i in 0..count {
        store.merge(team(i, u64::from(i) + 1)?);
    }
    Ok(store)
}

/// Returns the resident memory in kilobytes, or zero if it can't be determined.
fn resident_kilobytes() -> f64 {
    const PAGE_KILOBYTES: f64 = 4.0;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_KILOBYTES
}

fn objects(seed: u64) -> Outcome<()> {
    println!("objects: merge ns, compare ns, find and fetch 1 ns, its bytes, kB resident");
    let mut points: [Vec<(u32, f64)>; 5] = Default::default();
    // Reuse of freed memory would hide the growth.
    let mut kept = Vec::new();
    for count in OBJECTS {
        let before = resident_kilobytes();
        let mut ours = store_with(count)?;
        let kilobytes = resident_kilobytes() - before;
        let theirs = store_with(count)?;
        let update = |i: u32| {
            let name = u32::try_from(mix(seed + u64::from(i)) % u64::from(count))?;
            team(name, u64::from(count + i) + 1)
        };
        let updates: Vec<Object> = (0..REPEATS).map(update).collect::<Outcome<_>>()?;
        let mut pending = updates.clone().into_iter();
        let compare = nanos(REPEATS, |_| {
            black_box(ours.digests().root() == theirs.digests().root());
        });
        ours.merge(team(0, u64::from(count) + 1)?);
        let opts = ExchangeOptions::default();
        let (mut bytes, root) = (0, theirs.digests().root());
        let fetch = nanos(REPEATS, |i| {
            let buckets = ours.digests().as_slice();
            let Some(request) = theirs.versions_request(buckets, i, opts.max_version_bytes) else {
                return;
            };
            let reply = ours.reply(root, &request, opts.max_object_bytes);
            bytes = request.bytes() + reply.bytes();
        });
        let merge = nanos(REPEATS, |_| {
            black_box(pending.next().map(|object| ours.merge(object)));
        });
        let bytes = f64::from(u32::try_from(bytes)?);
        let row = [merge, compare, fetch, bytes, kilobytes];
        println!(
            "{count:>6} {merge:>9.0} {compare:>6.0} {fetch:>9.0} {bytes:>7.0} {kilobytes:>7.0}"
        );
        for (series, value) in points.iter_mut().zip(row) {
            series.push((count, value));
        }
        kept.push((ours, theirs, updates));
    }
    let names = ["merge ns", "compare ns", "fetch ns", "fetch bytes", "kB"];
    for (name, series) in names.iter().zip(&points) {
        fit(name, series);
    }
    Ok(())
}

fn member_record(name: u32, domain: u32, heartbeat: u32) -> Outcome<MemberRecord> {
    Ok(MemberRecord {
        name: format!("entry-{domain:02}-{name:03}").parse()?,
        incarnation: Incarnation(u64::from(name) + 1),
        domain: format!("domain-{domain:02}").parse()?,
        address: ([10, 0, 0, 1], 7_000).into(),
        phase: Phase::Live,
        heartbeat,
        revision: Revision(1),
    })
}

fn members_of(own: u32, peers: u32, heartbeat: u32, now: Time) -> Outcome<Members> {
    let mut members = Members::new(member_record(own, 0, 1)?, MembersOptions::default(), now);
    for peer in (0..peers).filter(|peer| *peer != own) {
        members.apply_record(
            &member_record(peer, 0, heartbeat)?,
            RecordSource::Direct,
            now,
        );
    }
    Ok(members)
}

fn peers() -> Outcome<()> {
    println!("domain peers: exchange ns at both ends, bytes of request and reply");
    let (mut times, mut sizes) = (Vec::new(), Vec::new());
    for count in DOMAIN_PEERS {
        let now = Time::from_origin(Duration::from_secs(1));
        let opts = ExchangeOptions::default();
        let mut first = members_of(0, count, 5, now)?;
        let mut second = members_of(1, count, 6, now)?;
        let (mut first_store, mut second_store) = (store_with(100)?, store_with(100)?);
        let mut bytes = 0;
        let time = nanos(REPEATS, |_| {
            first.advance_heartbeat(Revision(1), now);
            second.advance_heartbeat(Revision(1), now);
            let pending = exchange::open(&first_store, &first, &opts, now);
            let request = pending.request.clone();
            bytes = request.bytes();
            let (reply, _) =
                exchange::handle_request(&mut second_store, &mut second, request, &opts, now);
            if let ExchangeReply::State(state) = &reply {
                bytes += state.bytes();
            }
            let (store, members) = (&mut first_store, &mut first);
            let _ = black_box(exchange::apply_reply(
                store, members, &pending, reply, &opts, now,
            ));
        });
        let bytes = f64::from(u32::try_from(bytes)?);
        println!("{count:>6} {time:>9.0} {bytes:>7.0}");
        times.push((count, time));
        sizes.push((count, bytes));
    }
    fit("exchange ns", &times);
    fit("exchange bytes", &sizes);
    Ok(())
}

fn fleets() -> Outcome<()> {
    println!("instances: rows known, pick ns, watches flat and relayed, platform messages/s");
    let mut known = Vec::new();
    for (instances, domains) in FLEETS {
        let now = Time::from_origin(Duration::from_secs(1));
        let mut watches = 0;
        let mut members = members_of(0, 0, 1, now)?;
        for own in 0..domains {
            members = Members::new(member_record(own, own, 1)?, MembersOptions::default(), now);
            for peer in (0..instances).filter(|peer| *peer != own) {
                members.apply_record(
                    &member_record(peer, peer % domains, 2)?,
                    RecordSource::Direct,
                    now,
                );
            }
            watches += u32::try_from(members.watchers(now).len())?;
        }
        let rows = f64::from(u32::try_from(members.iter().count())?);
        let pick = nanos(REPEATS, |i| {
            black_box(members.pick_peer(u64::from(i), now));
        });
        let messages =
            |watches: u32| f64::from(watches) * (CHANGES_PER_DAY / SECONDS_PER_DAY + 1.0);
        let (flat, relayed) = (messages(instances), messages(watches));
        println!(
            "{instances:>6} {rows:>5.0} {pick:>7.0} {instances:>5} {watches:>4} {flat:>7.1} {relayed:>6.1}"
        );
        known.push((instances, rows));
    }
    fit("rows known", &known);
    Ok(())
}
