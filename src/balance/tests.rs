//! Many entry VMs that select among many upstreams from the same old reports, without network or clock.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "numbers are small and nonnegative"
)]

use {
    super::{
        Average, Estimate, Load,
        decide::{self, Candidate, draw},
    },
    crate::clock::Micros,
    std::{collections::VecDeque, sync::LazyLock},
};

const VMS: usize = 124;
const UPSTREAMS: usize = 128;
const STEP_MS: u64 = 5;
/// Only this part of the time counts.
const COUNTED_MS: std::ops::Range<u64> = 3_000..9_000;
/// Age of a report when it arrives, and the longest time until the next one.
const AGE_MS: u64 = 100;
const REPORT_MS: u64 = 2_900;
/// Windows of 100 ms in that time.
const WINDOWS: f64 = 60.0;
const HALF_LIFE_MS: u64 = 500;
const MAX_SENDS: usize = 6;
/// Wait that counts for a request which was rejected at each send.
const LOST_MS: u64 = 10_000;

/// A request: time of arrival, remaining work in milliseconds, VM, rejecting upstreams.
type Request = (u64, f64, usize, Vec<usize>);

#[derive(Default)]
struct Server {
    slots: u32,
    /// Permanent and present factor of its work time; end of the present one.
    speed: f64,
    slow: (f64, u64),
    cold_until: u64,
    next_report: u64,
    running: Vec<Request>,
    queue: VecDeque<Request>,
    /// Arrivals that it rejected in the current window.
    rejected: u32,
    /// Loads at the last steps.
    history: VecDeque<Load>,
}

impl Server {
    fn factor(&self, now: u64) -> f64 {
        let cold = if now < self.cold_until { 3.0 } else { 1.0 };
        self.speed * self.slow.0 * cold
    }

    /// Running and waiting requests per slot.
    fn depth(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64 / f64::from(self.slots)
    }

    /// Starts waiting requests and records their waits.
    fn start(&mut self, now: u64, waits: &mut Vec<u64>) {
        while self.running.len() < self.slots as usize {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            waits.push(now - request.0);
            self.running.push(request);
        }
    }
}

/// What one VM knows of one upstream.
#[derive(Clone, Default)]
struct View {
    estimate: Estimate,
    own: u32,
    reported: u32,
}

type Select = fn(&World, usize, &[usize], u64) -> Option<usize>;

#[derive(Default)]
struct World {
    servers: Vec<Server>,
    views: Vec<Vec<View>>,
    peers: Vec<Average>,
    /// Present upstreams.
    count: usize,
    now: u64,
    /// Random numbers drawn so far.
    drawn: u64,
    /// Requests to send.
    due: Vec<Request>,
    waits: Vec<u64>,
    outcome: Outcome,
}

impl World {
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        draw(self.drawn, 0)
    }

    fn expect(&self, vm: usize, server: usize) -> super::Expected {
        let view = &self.views[vm][server];
        let slots = self.servers[server].slots;
        let (peers, now) = (self.peers[vm], Micros::from_millis(self.now));
        view.estimate
            .expect(view.own, slots, peers, now, HALF_LIFE_MS)
    }

    fn minimum(&self, tried: &[usize], cost: impl Fn(usize) -> f64) -> Option<usize> {
        let allowed = (0..self.count).filter(|server| !tried.contains(server));
        allowed.min_by(|one, other| cost(*one).total_cmp(&cost(*other)))
    }

    /// Replaces one upstream every 200 ms, adds 24, and lets 16 come back cold twice.
    fn change(&mut self, has: impl Fn(&str) -> bool) {
        let now = self.now;
        if has("replaced") && now.is_multiple_of(200) {
            let index = now as usize / 200 % self.count;
            self.servers[index].speed = 0.7 + 0.8 * self.draw();
            self.servers[index].cold_until = now + 1_000;
            for row in &mut self.views {
                row[index].estimate = Estimate::default();
            }
        }
        if has("added") && now == 5_000 {
            self.count = UPSTREAMS;
            for server in &mut self.servers[UPSTREAMS - 24..] {
                server.cold_until = now + 1_000;
            }
        }
        if has("cold") && (now == 4_000 || now == 6_500) {
            for index in 0..16 {
                self.servers[index * 7 % self.count].cold_until = now + 2_000;
            }
        }
    }

    fn work(&mut self) {
        let now = self.now;
        for index in 0..self.count {
            if now >= self.servers[index].slow.1 {
                let slow = (self.draw() * 10.0 - 7.0).max(1.0);
                self.servers[index].slow = (slow, now + 50 + (self.draw() * 150.0) as u64);
            }
            let server = &mut self.servers[index];
            let done = STEP_MS as f64 / server.factor(now);
            server.running.retain_mut(|request| {
                request.1 -= done;
                self.views[request.2][index].own -= u32::from(request.1 <= 0.0);
                request.1 > 0.0
            });
            server.start(now, &mut self.waits);
            let load = Load {
                running: server.running.len() as u32,
                waiting: server.queue.len() as u32,
                slots: server.slots,
                slow_percent: Some((server.slow.0 * 100.0) as u32),
                at: Micros::from_millis(now),
            };
            server.history.push_front(load);
            server.history.truncate((AGE_MS / STEP_MS) as usize + 1);
        }
    }

    /// Reports old loads to all VMs.
    fn report(&mut self) {
        for index in 0..self.count {
            if self.now < self.servers[index].next_report.max(AGE_MS) {
                continue;
            }
            self.servers[index].next_report = self.now + (self.draw() * REPORT_MS as f64) as u64;
            let load = *self.servers[index].history.back().unwrap();
            for (row, peers) in self.views.iter_mut().zip(&mut self.peers) {
                let view = &mut row[index];
                view.reported = load.running + load.waiting;
                view.estimate.record(load, view.own, HALF_LIFE_MS);
                let per_slot = view.estimate.others() / f64::from(load.slots);
                peers.record(per_slot, Micros::from_millis(self.now));
            }
        }
    }

    /// Sends a request; an upstream with as many waiting requests as slots rejects it.
    fn send(&mut self, mut request: Request, select: Select) {
        let (vm, random) = (request.2, (self.draw() * 1e15) as u64);
        let Some(index) = select(self, vm, &request.3, random) else {
            return;
        };
        let (server, view) = (&mut self.servers[index], &mut self.views[vm][index]);
        if server.queue.len() < server.slots as usize {
            view.own += 1;
            server.queue.push_back(request);
            return server.start(self.now, &mut self.waits);
        }
        server.rejected += 1;
        self.outcome.rejections += u32::from(self.now >= COUNTED_MS.start);
        let mut load = server.history[0];
        load.waiting = server.queue.len() as u32;
        view.reported = load.running + load.waiting;
        view.estimate.record(load, view.own, HALF_LIFE_MS);
        request.3.push(index);
        if request.3.len() < MAX_SENDS {
            self.due.push(request);
        } else {
            self.waits.push(LOST_MS);
        }
    }

    fn end_window(&mut self) {
        let present = &mut self.servers[..self.count];
        let mean = present.iter().map(Server::depth).sum::<f64>() / self.count as f64;
        let rejected = |row: &Server| f64::from(row.rejected) / f64::from(row.slots);
        let (mut sent, mut held) = (0.0_f64, 0.0_f64);
        for server in present {
            held = held.max(server.depth());
            sent = sent.max(server.depth() + rejected(server));
            server.rejected = 0;
        }
        self.outcome.present_peak += held / mean / WINDOWS;
        self.outcome.sent_peak += sent / mean / WINDOWS;
    }
}

/// The least estimated load, with a free slot if there is one.
fn existing(world: &World, vm: usize, tried: &[usize], _: u64) -> Option<usize> {
    world.minimum(tried, |server| {
        let load = world.expect(vm, server).load;
        let is_full = load >= f64::from(world.servers[server].slots);
        load + if is_full { 1e6 } else { 0.0 }
    })
}

fn random(world: &World, _: usize, tried: &[usize], random: u64) -> Option<usize> {
    world.minimum(tried, |server| draw(random, server as u64))
}

fn least_reported(world: &World, vm: usize, tried: &[usize], _: u64) -> Option<usize> {
    world.minimum(tried, |server| f64::from(world.views[vm][server].reported))
}

/// The shortest wait and then the fastest work, from complete knowledge.
fn oracle(world: &World, _: usize, tried: &[usize], _: u64) -> Option<usize> {
    world.minimum(tried, |server| {
        let server = &world.servers[server];
        let excess = server.depth() - 1.0 + 1.0 / f64::from(server.slots);
        (excess.max(0.0) * 1e3 + 1.0) * server.factor(world.now)
    })
}

fn new(world: &World, vm: usize, tried: &[usize], random: u64) -> Option<usize> {
    let now = Micros::from_millis(world.now);
    let candidate = |index: usize| Candidate {
        expected: world.expect(vm, index),
        slots: world.servers[index].slots,
        slowness: world.views[vm][index].estimate.slowness(1.0, now),
    };
    let allowed = |index: usize| (!tried.contains(&index)).then(|| candidate(index));
    decide::select(world.count, 8, allowed, random)
}

const SELECTORS: [Select; 5] = [existing, random, least_reported, oracle, new];
/// The last one is all the others together.
const SCENARIOS: [&str; 6] = ["steady", "bursts", "replaced", "added", "cold", "all"];

/// The peaks are the highest load per slot of an upstream in a window of 100 ms, relative to the mean of all
/// upstreams, on average over the windows.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Of the requests sent there: those present at the end of the window, and those rejected in it.
    sent_peak: f64,
    /// Of the requests present there. An upstream rejects more than two per slot, so that this hides overload.
    present_peak: f64,
    rejections: u32,
    p99_ms: f64,
}

/// Simulates a scenario at 0.7 of the capacity.
fn simulate(scenario: &str, select: Select) -> Outcome {
    let has = |name: &str| scenario == name || scenario == "all";
    let mut world = World {
        views: vec![vec![View::default(); UPSTREAMS]; VMS],
        peers: vec![Average::default(); VMS],
        count: if has("added") {
            UPSTREAMS - 24
        } else {
            UPSTREAMS
        },
        ..World::default()
    };
    let mut capacity = 0.0;
    for index in 0..UPSTREAMS {
        let server = Server {
            slots: 3 + (world.draw() * 6.0) as u32,
            speed: 0.7 + 0.8 * world.draw(),
            next_report: (world.draw() * 1_500.0) as u64,
            ..Server::default()
        };
        // The mean work takes 714 ms, with the slow phases 1.1 times as long.
        if index < world.count {
            capacity += f64::from(server.slots) / server.speed / 714.0 / 1.1;
        }
        world.servers.push(server);
    }
    let mut arrivals = 0.0;
    while world.now < COUNTED_MS.end {
        world.change(has);
        world.work();
        world.report();
        let is_burst = has("bursts") && world.now % 4_000 >= 3_000;
        arrivals += capacity * if is_burst { 1.1 } else { 0.7 } * STEP_MS as f64;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let work = 150.0 * (2_000.0_f64 / 150.0).powf(world.draw());
            let vm = (world.draw() * VMS as f64) as usize;
            world.due.push((world.now, work, vm, Vec::new()));
        }
        for request in std::mem::take(&mut world.due) {
            world.send(request, select);
        }
        if world.now < COUNTED_MS.start {
            world.waits.clear();
        } else if world.now.is_multiple_of(100) {
            world.end_window();
        }
        world.now += STEP_MS;
    }
    world.waits.sort_unstable();
    world.outcome.p99_ms = world.waits[world.waits.len() * 99 / 100] as f64;
    world.outcome
}

/// Outcomes of all selectors by scenario.
static OUTCOMES: LazyLock<Vec<[Outcome; 5]>> = LazyLock::new(|| {
    let outcomes = |scenario: &&str| SELECTORS.map(|select| simulate(scenario, select));
    let rows: Vec<[Outcome; 5]> = SCENARIOS.iter().map(outcomes).collect();
    for (scenario, row) in SCENARIOS.iter().zip(&rows) {
        println!("{scenario}: existing, random, least reported, oracle, new: {row:#.2?}");
    }
    rows
});

/// Whether `new` is at most `part` of `old` in each pair.
fn check(part: f64, pairs: impl Iterator<Item = (f64, f64)>) {
    let missed: Vec<(f64, f64)> = pairs.filter(|(old, new)| *new > part * old).collect();
    assert!(missed.is_empty(), "{missed:?}");
}

/// Guards against many VMs that send to the same upstream after the same report.
#[test]
fn peaks_of_sent_requests_are_at_most_half_of_the_existing_ones() {
    let pairs = OUTCOMES
        .iter()
        .map(|row| (row[0].sent_peak, row[4].sent_peak));
    check(0.5, pairs);
}

/// Guards against overload at some upstreams, with rejected requests left out.
#[test]
fn peaks_of_present_requests_are_at_most_half_of_the_existing_ones() {
    let pairs = OUTCOMES
        .iter()
        .map(|row| (row[0].present_peak, row[4].present_peak));
    check(0.5, pairs);
}

/// Guards against a selection that ignores the reports, or trusts them too much.
#[test]
fn rejections_and_waits_are_below_those_of_simpler_selections() {
    for [existing, random, least, _, new] in &*OUTCOMES {
        for other in [existing, random, least] {
            assert!(new.rejections < other.rejections, "{new:?} {other:?}");
            assert!(new.p99_ms < other.p99_ms, "{new:?} {other:?}");
        }
    }
}

/// Guards against waits at some upstreams while others have free slots.
#[test]
fn waits_are_at_most_a_fifth_above_those_with_complete_knowledge() {
    check(
        1.2,
        OUTCOMES.iter().map(|row| (row[3].p99_ms, row[4].p99_ms)),
    );
}
