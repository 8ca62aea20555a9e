//! A fleet whose instances place requests at upstreams of different speed.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::SectionKind;
use limpetsaddle_fleet::pace::PaceUpdate;
use limpetsaddle_fleet::pace::WindowPart;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::placement::place_plain;
use limpetsaddle_fleet::placement::place_prompt;
use limpetsaddle_fleet::speed::SpeedUpdate;
use limpetsaddle_fleet::speed::WorkKind;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::Ticket;
use limpetsaddle_fleet::upstreams::UpstreamEntry;

use super::Fleet;
use super::SERVICE;
use super::at;
use super::engine_spec;
use super::prompt;

/// The time of a request at an upstream of ordinary speed that is idle, in milliseconds.
pub const WORK_MS: f64 = 75.0;

/// An upstream that runs as many requests at a time as it has slots.
struct Upstream {
    name: Name,
    speed: f64,
    free_at_ms: Vec<f64>,
}

struct Running {
    instance: usize,
    ticket: Ticket,
    ends_ms: u64,
    failed: bool,
}

/// A request that was placed.
pub struct Placed {
    /// When it was placed, in milliseconds.
    pub at_ms: u64,
    /// The upstream.
    pub upstream: Name,
    /// The time to its first event in milliseconds.
    pub latency_ms: f64,
}

pub struct PaceSim {
    pub fleets: Vec<Fleet>,
    upstreams: Vec<Upstream>,
    running: VecDeque<Running>,
    kind: WorkKind,
    /// Whether times to first events are attributed to the speed of upstreams.
    pub learns: bool,
    pub now_ms: u64,
    random: u64,
    pub placed: Vec<Placed>,
    due: f64,
    /// The requests per second at all instances.
    pub rate: f64,
}

impl PaceSim {
    /// Returns a fleet of `instances` with the upstreams and their speeds.
    pub fn new(instances: u16, entries: Vec<(UpstreamEntry, f64)>, kind: WorkKind) -> Self {
        let registration = |i: u16| Registration {
            name: format!("i{i}").as_str().into(),
            address: ([10, 0, 0, 1], i + 1).into(),
            secret: None,
        };
        let fleet = |own: u16| {
            let mut fleet = Fleet::new(entries.iter().map(|(e, _)| e.clone()).collect());
            let name = format!("i{own}");
            fleet.peers = Peers::new(name.as_str().into(), PeerOptions::default(), at(0));
            let others = (0..instances).filter(|i| *i != own);
            let others = others.map(registration).collect();
            fleet.peers.set_registrations(others, at(0));
            fleet
        };
        let fleets: Vec<_> = (0..instances).map(fleet).collect();
        let mut sim = Self {
            fleets,
            upstreams: Vec::new(),
            running: VecDeque::new(),
            kind,
            learns: true,
            now_ms: 0,
            random: 1,
            placed: Vec::new(),
            due: 0.0,
            rate: 0.0,
        };
        for (entry, speed) in entries {
            sim.add(&entry, speed);
        }
        sim
    }

    fn add(&mut self, entry: &UpstreamEntry, speed: f64) {
        let slots = match self.kind {
            WorkKind::Prefill => 1,
            WorkKind::Plain => entry.slots as usize,
        };
        self.upstreams.retain(|u| u.name != entry.id);
        self.upstreams.push(Upstream {
            name: Name::clone(&entry.id),
            speed,
            free_at_ms: vec![0.0; slots],
        });
    }

    /// Starts an upstream, or restarts it, of which all instances hear at once.
    pub fn start(&mut self, entry: &UpstreamEntry, speed: f64) {
        for fleet in &mut self.fleets {
            fleet.upstreams.upsert(entry.clone(), at(self.now_ms));
        }
        self.add(entry, speed);
    }

    /// Returns the rate that uses a part of what all upstreams can do.
    pub fn rate_for(&self, utilization: f64) -> f64 {
        let all = self.upstreams.iter();
        let capacity: f64 = all
            .map(|u| u.speed * f64::from(u32::try_from(u.free_at_ms.len()).unwrap()))
            .sum();
        capacity * utilization / WORK_MS * 1_000.0
    }

    /// Plays requests for a time.
    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now_ms += 1;
            self.exchange();
            self.end();
            self.due += self.rate / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.place();
            }
        }
    }

    /// Delivers the heartbeats that are due, each instance's at a time of its own.
    fn exchange(&mut self) {
        let interval = self.fleets[0].peers.heartbeat_interval();
        let interval = u64::try_from(interval.as_millis()).unwrap();
        let now = at(self.now_ms);
        let count = self.fleets.len() as u64;
        for index in 0..self.fleets.len() {
            if self.now_ms % interval != index as u64 * interval / count {
                continue;
            }
            let fleet = &mut self.fleets[index];
            let mut heartbeat = Heartbeat::new(&format!("i{index}"), 1, self.now_ms);
            heartbeat.loads = fleet.upstreams.local_loads();
            let counts = fleet.peers.peer_counts(now);
            let place = WindowPart {
                rank: fleet.peers.rank(now),
                live: u32::try_from(counts.live).unwrap(),
            };
            let loads = fleet.peers.remote_loads(now);
            fleet.upstreams.set_window_limits(&loads, place, now);
            let speeds = fleet.upstreams.take_speed_updates();
            let paces = fleet.upstreams.take_pace_updates();
            heartbeat
                .sections
                .add(SectionKind::Speed, &(speeds, paces))
                .unwrap();
            let datagram = heartbeat.encode().unwrap().for_recipient(None).unwrap();
            let (received, _) = Heartbeat::decode(&datagram).unwrap();
            let (speeds, paces): (Vec<SpeedUpdate>, Vec<PaceUpdate>) =
                received.sections.get(SectionKind::Speed).unwrap().unwrap();
            for (_, other) in self
                .fleets
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| *i != index)
            {
                other.peers.record_heartbeat(&received, now);
                other.upstreams.apply_speeds(&speeds, now);
                other.upstreams.apply_paces(&paces, now);
            }
        }
    }

    fn end(&mut self) {
        let now_ms = self.now_ms;
        let (ended, rest): (VecDeque<_>, VecDeque<_>) =
            self.running.drain(..).partition(|r| r.ends_ms <= now_ms);
        self.running = rest;
        for mut request in ended {
            let upstreams = &mut self.fleets[request.instance].upstreams;
            let mut outcome = RequestOutcome::ConnectFailed;
            if !request.failed {
                upstreams.record_first_event(&mut request.ticket, at(now_ms));
                outcome = RequestOutcome::Responded;
            }
            upstreams.finish(&request.ticket, Some(outcome), at(now_ms));
        }
    }

    fn decide(&self, instance: usize, session: u64) -> Placement {
        let cx = self.fleets[instance].cx(at(self.now_ms), self.random);
        if self.kind == WorkKind::Plain {
            return place_plain(SERVICE, &cx).unwrap();
        }
        let prompt = prompt(&[(&format!("s{session}"), 100), ("own", 3_200)]);
        let spec = engine_spec();
        let req = PromptRequest {
            service: SERVICE,
            engine: &spec,
            prompt: &prompt,
            isolated_team: None,
            target_weights: None,
            store: None,
            rate: self.rate,
        };
        place_prompt(&req, &PlacementOptions::default(), &cx).unwrap()
    }

    fn place(&mut self) {
        self.random = mix(self.random);
        let count = self.fleets.len() as u64;
        let instance = usize::try_from(mix(self.random ^ 1) % count).unwrap();
        let placed = self.decide(instance, self.random);
        let load = RequestLoad {
            waiting_tokens: placed.prompt_tokens,
            held_tokens: placed.new_tokens,
            fragile: false,
            expected_latency: placed.expected_latency,
        };
        let now = at(self.now_ms);
        let upstreams = &mut self.fleets[instance].upstreams;
        let mut ticket = upstreams.start(&placed.upstream, load, now).unwrap();
        if self.learns {
            ticket.attribute(placed.work);
        }
        let mut all = self.upstreams.iter_mut();
        let upstream = all.find(|u| u.name == placed.upstream).unwrap();
        let free = upstream.free_at_ms.iter_mut();
        let slot = free.min_by(|a, b| a.total_cmp(b)).unwrap();
        let start = u32::try_from(self.now_ms).unwrap();
        let ends = slot.max(f64::from(start)) + WORK_MS / upstream.speed;
        let failed = upstream.speed <= 0.0;
        if !failed {
            *slot = ends;
        }
        let latency_ms = ends - f64::from(start);
        self.placed.push(Placed {
            at_ms: self.now_ms,
            upstream: placed.upstream,
            latency_ms,
        });
        let ends_ms = if failed {
            self.now_ms + 1
        } else {
            u64::try_from(Duration::from_secs_f64(ends / 1_000.0).as_millis()).unwrap()
        };
        self.running.push_back(Running {
            instance,
            ticket,
            ends_ms,
            failed,
        });
    }

    /// Returns the requests that were placed in a time.
    pub fn placed_within(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Placed> {
        let is_within = move |p: &&Placed| (from_ms..to_ms).contains(&p.at_ms);
        self.placed.iter().filter(is_within)
    }
}
