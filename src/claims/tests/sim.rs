//! Simulation of three entry VMs, three ledgers, a network and upstreams in virtual time.

use {
    crate::{
        call::{Ran, Reason},
        claims::{
            decide::{self, LedgerReply, NewAttempt, RunOutcome, Step},
            state::{Phase, State},
        },
        clock::Micros,
        keys::ClaimAttemptKey,
        ledger::{
            self, AttemptId, Fingerprint, Order, Row, Status, VoteTable,
            encode::{self, Record},
            join::{self, Plan},
        },
    },
    bytes::Bytes,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

const ENTRIES: usize = 3;
const LEDGERS: usize = 3;
const KEYS: usize = 40;
const DURATION_MS: u64 = 120_000;
const CLAIM_MS: u64 = 5_000;
const STORE_MS: u64 = 500;
const RUN_MS: u64 = 4_000;
const JOIN_INTERVAL_MS: u64 = 60;
const MAX_DELAY_MS: u64 = 4_000;

/// Probabilities of each fault in permille.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    drop: u32,
    crash: u32,
    partition: u32,
    wipe: u32,
    slow: u32,
}

impl Faults {
    pub const NONE: Self = Self {
        drop: 0,
        crash: 0,
        partition: 0,
        wipe: 0,
        slow: 0,
    };
    pub const ALL: Self = Self {
        drop: 40,
        crash: 60,
        partition: 120,
        wipe: 6,
        slow: 100,
    };
    /// Loses disks while votes arrive slowly.
    pub const DISKS: Self = Self {
        drop: 250,
        crash: 30,
        partition: 0,
        wipe: 8,
        slow: 400,
    };
}

/// Event counts, so that a test can verify that each kind of response was checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub ran: u64,
    pub stored: u64,
    pub lost: u64,
    pub refused: u64,
    pub reused: u64,
    pub unavailable: u64,
    pub rejoined: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.ran += other.ran;
        self.stored += other.stored;
        self.lost += other.lost;
        self.refused += other.refused;
        self.reused += other.reused;
        self.unavailable += other.unavailable;
        self.rejoined += other.rejoined;
    }
}

enum Event {
    NewRequest,
    ToLedger(Source, usize, Phase, Order),
    ToEntry(Source, LedgerReply),
    Synced(usize, u64),
    Crash(usize),
    Run(Source, usize, Fingerprint),
    Ran(Source, RunOutcome),
    Tick(usize),
    Join(usize),
}

#[derive(Clone, Copy)]
struct Source {
    entry: usize,
    generation: u64,
    at: ClaimAttemptKey,
}

#[derive(Default)]
struct Entry {
    generation: u64,
    state: State,
    pending_replies: BTreeMap<ClaimAttemptKey, Bytes>,
}

struct LedgerNode {
    generation: u64,
    table: VoteTable,
    disk: Vec<u8>,
    unsynced: Vec<u8>,
    replies: Vec<(Source, LedgerReply)>,
    copied: Vec<u64>,
}

pub struct World {
    rng: StdRng,
    faults: Faults,
    now: u64,
    serial: u64,
    queue: BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    ledgers: Vec<LedgerNode>,
    partitioned: [[bool; LEDGERS]; ENTRIES + LEDGERS],
    // Expected state: the runs of each key, with the request's fingerprint and the response.
    runs: Vec<Vec<(Fingerprint, Bytes)>>,
    tally: Tally,
}

fn key_name(key: usize) -> Bytes {
    Bytes::from(format!("key-{key}"))
}

fn key_index(key: &[u8]) -> usize {
    std::str::from_utf8(&key[4..]).unwrap().parse().unwrap()
}

fn blank_ledger(rng: &mut StdRng, generation: u64, now: u64) -> LedgerNode {
    let status = Status {
        incarnation: rng.random(),
        created_ms: now / 1_000,
        ..Status::default()
    };
    let mut disk = Vec::new();
    encode::encode(&Record::Status(status.clone()), &mut disk);
    LedgerNode {
        generation,
        table: VoteTable::new(status),
        disk,
        unsynced: Vec::new(),
        replies: Vec::new(),
        copied: Vec::new(),
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ledgers = (0..LEDGERS).map(|_| blank_ledger(&mut rng, 0, 0)).collect();
        let mut world = Self {
            rng,
            faults,
            now: 0,
            serial: 0,
            queue: BTreeMap::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            ledgers,
            partitioned: Default::default(),
            runs: vec![Vec::new(); KEYS],
            tally: Tally::default(),
        };
        for entry in 0..ENTRIES {
            world.after(1, Event::Tick(entry));
        }
        for ledger in 0..LEDGERS {
            world.after(1, Event::Join(ledger));
        }
        world.after(JOIN_INTERVAL_MS * 9, Event::NewRequest);
        world
    }

    pub fn run(mut self) -> Tally {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            if now > DURATION_MS * 1_000 {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.tally
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.serial += 1;
        let jitter = self.rng.random_range(0..1_000);
        let at = self.now + ms * 1_000 + jitter;
        self.queue.insert((at, self.serial), event);
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn delay(&mut self) -> u64 {
        let max_ms = if self.chance(self.faults.slow) {
            MAX_DELAY_MS
        } else {
            30
        };
        self.rng.random_range(0..max_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.new_request(),
            Event::ToLedger(from, ledger, phase, order) => self.apply(from, ledger, phase, &order),
            Event::ToEntry(to, reply) => self.on_reply(to, &reply),
            Event::Synced(ledger, generation) => self.on_synced(ledger, generation),
            Event::Crash(ledger) => self.restart(ledger),
            Event::Run(from, key, fingerprint) => self.run_upstream(from, key, fingerprint),
            Event::Ran(to, run) => self.on_ran(to, run),
            Event::Tick(entry) => self.tick(entry),
            Event::Join(ledger) => self.join(ledger),
        }
    }

    fn new_request(&mut self) {
        self.inject_faults();
        let wait = self.rng.random_range(0..500);
        self.after(wait, Event::NewRequest);
        // Keys increase with time; each is resent for some seconds and sometimes much later.
        let newest = usize::try_from(self.now / 1_000 * KEYS as u64 / DURATION_MS).unwrap();
        let span = if self.chance(300) { newest + 1 } else { 3 };
        let key = newest.saturating_sub(self.rng.random_range(0..span));
        let entry = self.rng.random_range(0..ENTRIES);
        let new = NewAttempt {
            group: 0,
            members: 3,
            key: key_name(key.min(KEYS - 1)),
            fingerprint: Fingerprint(0, u64::from(self.chance(150))),
            id: AttemptId(self.rng.random(), self.rng.random()),
            deadline: Micros(self.now).plus_millis(CLAIM_MS),
        };
        let generation = self.entries[entry].generation;
        let state = &mut self.entries[entry].state;
        let at = decide::open(state, new);
        let order = decide::claim(&state.attempts[at], RUN_MS);
        self.broadcast(
            Source {
                entry,
                generation,
                at,
            },
            Phase::Claiming,
            &order,
        );
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.crash) {
            let entry = self.rng.random_range(0..ENTRIES);
            let generation = self.entries[entry].generation + 1;
            self.entries[entry] = Entry {
                generation,
                ..Entry::default()
            };
        }
        if self.chance(self.faults.crash) {
            let ledger = self.rng.random_range(0..LEDGERS);
            self.restart(ledger);
        }
        if self.chance(self.faults.wipe) {
            self.wipe();
        }
        for partition in [true, false, false, false] {
            let row = self.rng.random_range(0..ENTRIES + LEDGERS);
            let ledger = self.rng.random_range(0..LEDGERS);
            if self.chance(self.faults.partition) {
                self.partitioned[row][ledger] = partition;
            }
        }
    }

    /// Loses a disk, unless no other ledger votes: the loss of all disks is not tolerated.
    fn wipe(&mut self) {
        let at = self.rng.random_range(0..LEDGERS);
        let mut others = (0..LEDGERS).filter(|other| *other != at);
        if others.any(|other| self.ledgers[other].table.status.is_voting) {
            let generation = self.ledgers[at].generation + 1;
            self.ledgers[at] = blank_ledger(&mut self.rng, generation, self.now);
        }
    }

    /// Restarts a ledger after a crash that keeps an arbitrary prefix of the unsynced bytes,
    /// possibly with a corrupted last byte.
    fn restart(&mut self, at: usize) {
        let node = &mut self.ledgers[at];
        let mut tail = std::mem::take(&mut node.unsynced);
        tail.truncate(self.rng.random_range(0..=tail.len()));
        if let Some(byte) = tail.last_mut().filter(|_| self.rng.random()) {
            *byte ^= 1;
        }
        node.disk.extend(tail);
        let recovered = encode::recover(&node.disk);
        node.disk.truncate(recovered.length);
        let mut table = VoteTable::new(Status::default());
        for record in recovered.records {
            match record {
                Record::Status(status) => table.status = status,
                Record::Put(row) => table.put(row),
            }
        }
        node.table = table;
        node.generation += 1;
        node.replies.clear();
        node.copied.clear();
    }

    fn broadcast(&mut self, source: Source, phase: Phase, order: &Order) {
        for ledger in 0..LEDGERS {
            let copies = if self.chance(self.faults.drop) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = self.delay();
                if !self.chance(self.faults.drop) {
                    let event = Event::ToLedger(source, ledger, phase, order.clone());
                    self.after(delay, event);
                }
            }
        }
    }

    fn apply(&mut self, from: Source, ledger: usize, phase: Phase, order: &Order) {
        if self.partitioned[from.entry][ledger] {
            return;
        }
        let settings = ledger::Settings::default();
        let node = &mut self.ledgers[ledger];
        let now = self.now / 1_000;
        let (reply, row) = ledger::decide::apply(&mut node.table, settings, order, now);
        if let Some(row) = row {
            encode::encode(&Record::Put(row), &mut node.unsynced);
        }
        let reply = LedgerReply {
            ledger: u8::try_from(ledger).unwrap(),
            phase,
            reply: Some(reply),
        };
        node.replies.push((from, reply));
        let generation = node.generation;
        let delay = self.rng.random_range(0..5);
        self.after(delay, Event::Synced(ledger, generation));
        if self.chance(self.faults.crash) {
            // Crashes before or soon after the sync, when replies may already be in flight.
            self.after(2, Event::Crash(ledger));
        }
    }

    fn on_synced(&mut self, ledger: usize, generation: u64) {
        let node = &mut self.ledgers[ledger];
        if node.generation != generation {
            return;
        }
        let written = std::mem::take(&mut node.unsynced);
        node.disk.extend(written);
        for (to, reply) in std::mem::take(&mut node.replies) {
            let delay = self.delay();
            if !self.partitioned[to.entry][ledger] && !self.chance(self.faults.drop) {
                self.after(delay, Event::ToEntry(to, reply));
            }
        }
    }

    fn on_reply(&mut self, to: Source, reply: &LedgerReply) {
        let now = Micros(self.now);
        let entry = &mut self.entries[to.entry];
        if entry.generation != to.generation {
            return;
        }
        if let Some(step) = decide::on_reply(&mut entry.state, to.at, reply, now) {
            self.step(to, step);
        }
    }

    fn tick(&mut self, entry: usize) {
        self.after(20, Event::Tick(entry));
        let generation = self.entries[entry].generation;
        let now = Micros(self.now);
        for (at, step) in decide::expired(&mut self.entries[entry].state, now) {
            self.step(
                Source {
                    entry,
                    generation,
                    at,
                },
                step,
            );
        }
    }

    fn step(&mut self, from: Source, step: Step) {
        let row = self.entries[from.entry].state.attempts[from.at].clone();
        let key = key_index(&row.key);
        let runs = &self.runs[key];
        match step {
            Step::Dispatch => {
                let delay = self.rng.random_range(0..50);
                return self.after(delay, Event::Run(from, key, row.fingerprint));
            }
            Step::Replay(answer) => {
                let replayed = (row.fingerprint, answer);
                assert_eq!(
                    runs.as_slice(),
                    [replayed],
                    "replayed answer differs from the answer of the only run"
                );
                self.tally.stored += 1;
            }
            Step::Refuse(refusal) => {
                let has_run = runs
                    .iter()
                    .any(|(fingerprint, _)| *fingerprint == row.fingerprint);
                assert!(
                    refusal.ran != Ran::No || !has_run,
                    "{refusal:?}, but the request ran"
                );
                match refusal.reason {
                    Reason::KeyReused => self.tally.reused += 1,
                    Reason::MayHaveRun => self.tally.lost += 1,
                    Reason::ClaimUnavailable => self.tally.unavailable += 1,
                    _ => {}
                }
            }
            Step::Finish => {
                let answer = self.entries[from.entry]
                    .pending_replies
                    .remove(&from.at)
                    .unwrap();
                assert_eq!(runs.as_slice(), [(row.fingerprint, answer)]);
                decide::close(&mut self.entries[from.entry].state, from.at);
                return;
            }
        }
        let order = decide::release(&row);
        decide::close(&mut self.entries[from.entry].state, from.at);
        self.broadcast(from, Phase::Closing, &order);
    }

    /// Simulates the upstream: refuses, runs and responds, runs and loses the response, or never
    /// runs.
    fn run_upstream(&mut self, from: Source, key: usize, fingerprint: Fingerprint) {
        let alive = self.entries[from.entry].generation == from.generation;
        if !alive && self.rng.random() {
            return;
        }
        let delay = self.rng.random_range(0..RUN_MS / 2);
        match self.rng.random_range(0..10) {
            0..2 => {
                self.tally.refused += 1;
                self.after(1, Event::Ran(from, RunOutcome::NotRun));
            }
            2 => self.after(delay, Event::Ran(from, RunOutcome::Lost)),
            case => {
                self.serial += 1;
                let answer = Bytes::from(format!("answer {}", self.serial));
                self.runs[key].push((fingerprint, answer.clone()));
                assert!(self.runs[key].len() <= 1, "key {key} ran twice");
                self.tally.ran += 1;
                let run = if case == 3 {
                    RunOutcome::Lost
                } else {
                    RunOutcome::Answer(answer)
                };
                self.after(delay, Event::Ran(from, run));
            }
        }
    }

    fn on_ran(&mut self, to: Source, run: RunOutcome) {
        let deadline = Micros(self.now).plus_millis(STORE_MS);
        let entry = &mut self.entries[to.entry];
        if entry.generation != to.generation {
            return;
        }
        let row = entry.state.attempts[to.at].clone();
        if run == RunOutcome::NotRun {
            let runs = &self.runs[key_index(&row.key)];
            let has_run = runs
                .iter()
                .any(|(fingerprint, _)| *fingerprint == row.fingerprint);
            assert!(!has_run, "reported as not run, but the request ran");
        }
        if let RunOutcome::Answer(answer) = &run {
            entry.pending_replies.insert(to.at, answer.clone());
        }
        let order = decide::ended(&mut entry.state, to.at, run, deadline).unwrap();
        self.broadcast(to, Phase::Closing, &order);
    }

    fn join(&mut self, local: usize) {
        self.after(JOIN_INTERVAL_MS, Event::Join(local));
        if self.ledgers[local].table.status.is_voting {
            return;
        }
        let others: Vec<usize> = (0..LEDGERS).filter(|at| *at != local).collect();
        let query = |at: &usize| {
            let reached = !self.partitioned[ENTRIES + local][*at];
            reached.then(|| self.ledgers[*at].table.status.clone())
        };
        let statuses: Vec<Option<Status>> = others.iter().map(query).collect();
        let status = &self.ledgers[local].table.status;
        let age_ms = self.now / 1_000 - status.created_ms;
        match join::plan(
            status,
            &statuses,
            age_ms,
            ledger::Settings::default().expiry_ms,
        ) {
            Plan::Wait => self.ledgers[local].copied.clear(),
            Plan::FoundGroup(founders) => self.start_voting(local, founders),
            Plan::CopyFrom(sources) => {
                let new = |at: &usize| {
                    let incarnation = self.ledgers[*at].table.status.incarnation;
                    !self.ledgers[local].copied.contains(&incarnation)
                };
                let next = sources.iter().map(|at| others[*at]).find(new);
                if let Some(source) = next {
                    self.copy(local, source);
                } else {
                    self.tally.rejoined += 1;
                    self.start_voting(local, Vec::new());
                }
            }
        }
    }

    fn copy(&mut self, local: usize, source: usize) {
        let rows: Vec<Row> = self.ledgers[source].table.rows().cloned().collect();
        let incarnation = self.ledgers[source].table.status.incarnation;
        let node = &mut self.ledgers[local];
        for row in rows {
            if let Some(row) = ledger::decide::merge(&mut node.table, row) {
                encode::encode(&Record::Put(row), &mut node.disk);
            }
        }
        node.copied.push(incarnation);
    }

    fn start_voting(&mut self, local: usize, founders: Vec<u64>) {
        let node = &mut self.ledgers[local];
        node.table.status.is_voting = true;
        node.table.status.founders = founders;
        let record = Record::Status(node.table.status.clone());
        encode::encode(&record, &mut node.disk);
    }
}
