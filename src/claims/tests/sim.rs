//! Three entries, three ledgers, a network and upstreams in virtual time.

use {
    crate::{
        call::{Ran, Reason},
        claims::{
            decide::{self, Ending, Heard, Opening, Step},
            state::{Phase, State},
        },
        clock::Micros,
        keys::TryKey,
        ledger::{
            self, Attempt, Book, Fingerprint, Order, Row, Status,
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
const END_MS: u64 = 120_000;
const CLAIM_MS: u64 = 5_000;
const STORE_MS: u64 = 500;
const RUN_MS: u64 = 4_000;
const JOIN_MS: u64 = 60;
const SLOWEST_MS: u64 = 4_000;

/// Chances in a thousand of a fault.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    drop: u32,
    crash: u32,
    cut: u32,
    wipe: u32,
    slow: u32,
}

impl Faults {
    pub const NONE: Self = Self {
        drop: 0,
        crash: 0,
        cut: 0,
        wipe: 0,
        slow: 0,
    };
    pub const ALL: Self = Self {
        drop: 40,
        crash: 60,
        cut: 120,
        wipe: 6,
        slow: 100,
    };
    /// Disks are lost just as votes are gathered slowly.
    pub const DISKS: Self = Self {
        drop: 250,
        crash: 30,
        cut: 0,
        wipe: 8,
        slow: 400,
    };
}

/// What happened, so that a test sees that the oracle was asked.
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
    Caller,
    ToLedger(Source, usize, Phase, Order),
    ToEntry(Source, Heard),
    Synced(usize, u64),
    Crash(usize),
    Run(Source, usize, Fingerprint),
    Ran(Source, Ending),
    Tick(usize),
    Join(usize),
}

#[derive(Clone, Copy)]
struct Source {
    entry: usize,
    life: u64,
    at: TryKey,
}

#[derive(Default)]
struct Entry {
    life: u64,
    state: State,
    ends: BTreeMap<TryKey, Bytes>,
}

struct Store {
    life: u64,
    book: Book,
    disk: Vec<u8>,
    unsynced: Vec<u8>,
    replies: Vec<(Source, Heard)>,
    copied: Vec<u64>,
}

pub struct World {
    rng: StdRng,
    faults: Faults,
    now: u64,
    serial: u64,
    queue: BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    stores: Vec<Store>,
    cut: [[bool; LEDGERS]; ENTRIES + LEDGERS],
    // The oracle: the runs of each key, with the request and its answer.
    runs: Vec<Vec<(Fingerprint, Bytes)>>,
    tally: Tally,
}

fn name(key: usize) -> Bytes {
    Bytes::from(format!("key-{key}"))
}

fn place(key: &[u8]) -> usize {
    std::str::from_utf8(&key[4..]).unwrap().parse().unwrap()
}

fn blank(rng: &mut StdRng, life: u64, now: u64) -> Store {
    let status = Status {
        incarnation: rng.random(),
        born: now / 1_000,
        ..Status::default()
    };
    let mut disk = Vec::new();
    encode::encode(&Record::Status(status.clone()), &mut disk);
    Store {
        life,
        book: Book::new(status),
        disk,
        unsynced: Vec::new(),
        replies: Vec::new(),
        copied: Vec::new(),
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let stores = (0..LEDGERS).map(|_| blank(&mut rng, 0, 0)).collect();
        let mut world = Self {
            rng,
            faults,
            now: 0,
            serial: 0,
            queue: BTreeMap::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            stores,
            cut: Default::default(),
            runs: vec![Vec::new(); KEYS],
            tally: Tally::default(),
        };
        for entry in 0..ENTRIES {
            world.after(1, Event::Tick(entry));
        }
        for ledger in 0..LEDGERS {
            world.after(1, Event::Join(ledger));
        }
        world.after(JOIN_MS * 9, Event::Caller);
        world
    }

    pub fn run(mut self) -> Tally {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            if now > END_MS * 1_000 {
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

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn delay(&mut self) -> u64 {
        let most = if self.chance(self.faults.slow) {
            SLOWEST_MS
        } else {
            30
        };
        self.rng.random_range(0..most)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller => self.caller(),
            Event::ToLedger(from, ledger, phase, order) => self.order(from, ledger, phase, &order),
            Event::ToEntry(to, heard) => self.heard(to, &heard),
            Event::Synced(ledger, life) => self.synced(ledger, life),
            Event::Crash(ledger) => self.restart(ledger),
            Event::Run(from, key, print) => self.start(from, key, print),
            Event::Ran(to, ending) => self.ran(to, ending),
            Event::Tick(entry) => self.tick(entry),
            Event::Join(ledger) => self.join(ledger),
        }
    }

    fn caller(&mut self) {
        self.chaos();
        let pause = self.rng.random_range(0..500);
        self.after(pause, Event::Caller);
        // Keys rise with time; each is resent for some seconds, and now and then much later.
        let newest = usize::try_from(self.now / 1_000 * KEYS as u64 / END_MS).unwrap();
        let back = if self.chance(300) { newest + 1 } else { 3 };
        let key = newest.saturating_sub(self.rng.random_range(0..back));
        let entry = self.rng.random_range(0..ENTRIES);
        let opening = Opening {
            group: 0,
            members: 3,
            key: name(key.min(KEYS - 1)),
            print: Fingerprint(0, u64::from(self.chance(150))),
            attempt: Attempt(self.rng.random(), self.rng.random()),
            limit: Micros(self.now).plus_millis(CLAIM_MS),
        };
        let life = self.entries[entry].life;
        let state = &mut self.entries[entry].state;
        let at = decide::open(state, opening);
        let order = decide::claim(&state.tries[at], RUN_MS);
        self.broadcast(Source { entry, life, at }, Phase::Claiming, &order);
    }

    fn chaos(&mut self) {
        if self.chance(self.faults.crash) {
            let entry = self.rng.random_range(0..ENTRIES);
            let life = self.entries[entry].life + 1;
            self.entries[entry] = Entry {
                life,
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
        for cut in [true, false, false, false] {
            let row = self.rng.random_range(0..ENTRIES + LEDGERS);
            let ledger = self.rng.random_range(0..LEDGERS);
            if self.chance(self.faults.cut) {
                self.cut[row][ledger] = cut;
            }
        }
    }

    /// Loses a disk, unless no other ledger remembers: the loss of all disks is no fault covered.
    fn wipe(&mut self) {
        let at = self.rng.random_range(0..LEDGERS);
        let mut others = (0..LEDGERS).filter(|other| *other != at);
        if others.any(|other| self.stores[other].book.status.sure) {
            let life = self.stores[at].life + 1;
            self.stores[at] = blank(&mut self.rng, life, self.now);
        }
    }

    /// A crash keeps any part of what was not synced, perhaps with a broken byte.
    fn restart(&mut self, at: usize) {
        let store = &mut self.stores[at];
        let mut tail = std::mem::take(&mut store.unsynced);
        tail.truncate(self.rng.random_range(0..=tail.len()));
        if let Some(byte) = tail.last_mut().filter(|_| self.rng.random()) {
            *byte ^= 1;
        }
        store.disk.extend(tail);
        let recovered = encode::recover(&store.disk);
        store.disk.truncate(recovered.length);
        let mut book = Book::new(Status::default());
        for record in recovered.records {
            match record {
                Record::Status(status) => book.status = status,
                Record::Put(row) => book.put(row),
            }
        }
        store.book = book;
        store.life += 1;
        store.replies.clear();
        store.copied.clear();
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

    fn order(&mut self, from: Source, ledger: usize, phase: Phase, order: &Order) {
        if self.cut[from.entry][ledger] {
            return;
        }
        let settings = ledger::Settings::default();
        let store = &mut self.stores[ledger];
        let now = self.now / 1_000;
        let (reply, row) = ledger::decide::apply(&mut store.book, settings, order, now);
        if let Some(row) = row {
            encode::encode(&Record::Put(row), &mut store.unsynced);
        }
        let heard = Heard {
            ledger: u8::try_from(ledger).unwrap(),
            phase,
            reply: Some(reply),
        };
        store.replies.push((from, heard));
        let life = store.life;
        let delay = self.rng.random_range(0..5);
        self.after(delay, Event::Synced(ledger, life));
        if self.chance(self.faults.crash) {
            // Often before the sync, and as soon as replies could be out.
            self.after(2, Event::Crash(ledger));
        }
    }

    fn synced(&mut self, ledger: usize, life: u64) {
        let store = &mut self.stores[ledger];
        if store.life != life {
            return;
        }
        let written = std::mem::take(&mut store.unsynced);
        store.disk.extend(written);
        for (to, heard) in std::mem::take(&mut store.replies) {
            let delay = self.delay();
            if !self.cut[to.entry][ledger] && !self.chance(self.faults.drop) {
                self.after(delay, Event::ToEntry(to, heard));
            }
        }
    }

    fn heard(&mut self, to: Source, heard: &Heard) {
        let now = Micros(self.now);
        let entry = &mut self.entries[to.entry];
        if entry.life != to.life {
            return;
        }
        if let Some(step) = decide::heard(&mut entry.state, to.at, heard, now) {
            self.step(to, step);
        }
    }

    fn tick(&mut self, entry: usize) {
        self.after(20, Event::Tick(entry));
        let life = self.entries[entry].life;
        let now = Micros(self.now);
        for (at, step) in decide::due(&mut self.entries[entry].state, now) {
            self.step(Source { entry, life, at }, step);
        }
    }

    fn step(&mut self, from: Source, step: Step) {
        let row = self.entries[from.entry].state.tries[from.at].clone();
        let key = place(&row.key);
        let runs = &self.runs[key];
        match step {
            Step::Dispatch => {
                let delay = self.rng.random_range(0..50);
                return self.after(delay, Event::Run(from, key, row.print));
            }
            Step::Stored(answer) => {
                let told = (row.print, answer);
                assert_eq!(runs.as_slice(), [told], "not the answer of the one run");
                self.tally.stored += 1;
            }
            Step::Refuse(refusal) => {
                let same = runs.iter().any(|(print, _)| *print == row.print);
                assert!(refusal.ran != Ran::No || !same, "{refusal:?}, but it ran");
                match refusal.reason {
                    Reason::KeyReused => self.tally.reused += 1,
                    Reason::MayHaveRun => self.tally.lost += 1,
                    Reason::ClaimUnavailable => self.tally.unavailable += 1,
                    _ => {}
                }
            }
            Step::Finish => {
                let answer = self.entries[from.entry].ends.remove(&from.at).unwrap();
                assert_eq!(runs.as_slice(), [(row.print, answer)]);
                decide::close(&mut self.entries[from.entry].state, from.at);
                return;
            }
        }
        let order = decide::release(&row);
        decide::close(&mut self.entries[from.entry].state, from.at);
        self.broadcast(from, Phase::Closing, &order);
    }

    /// The upstream: it may refuse, run and answer, run and lose the answer, or never run.
    fn start(&mut self, from: Source, key: usize, print: Fingerprint) {
        let alive = self.entries[from.entry].life == from.life;
        if !alive && self.rng.random() {
            return;
        }
        let delay = self.rng.random_range(0..RUN_MS / 2);
        match self.rng.random_range(0..10) {
            0..2 => {
                self.tally.refused += 1;
                self.after(1, Event::Ran(from, Ending::NotRun));
            }
            2 => self.after(delay, Event::Ran(from, Ending::Lost)),
            fate => {
                self.serial += 1;
                let answer = Bytes::from(format!("answer {}", self.serial));
                self.runs[key].push((print, answer.clone()));
                assert!(self.runs[key].len() <= 1, "key {key} ran twice");
                self.tally.ran += 1;
                let ending = if fate == 3 {
                    Ending::Lost
                } else {
                    Ending::Answer(answer)
                };
                self.after(delay, Event::Ran(from, ending));
            }
        }
    }

    fn ran(&mut self, to: Source, ending: Ending) {
        let limit = Micros(self.now).plus_millis(STORE_MS);
        let entry = &mut self.entries[to.entry];
        if entry.life != to.life {
            return;
        }
        let row = entry.state.tries[to.at].clone();
        if ending == Ending::NotRun {
            let runs = &self.runs[place(&row.key)];
            let same = runs.iter().any(|(print, _)| *print == row.print);
            assert!(!same, "said not run, but it ran");
        }
        if let Ending::Answer(answer) = &ending {
            entry.ends.insert(to.at, answer.clone());
        }
        let order = decide::ended(&mut entry.state, to.at, ending, limit).unwrap();
        self.broadcast(to, Phase::Closing, &order);
    }

    fn join(&mut self, me: usize) {
        self.after(JOIN_MS, Event::Join(me));
        if self.stores[me].book.status.sure {
            return;
        }
        let others: Vec<usize> = (0..LEDGERS).filter(|at| *at != me).collect();
        let ask = |at: &usize| {
            let reached = !self.cut[ENTRIES + me][*at];
            reached.then(|| self.stores[*at].book.status.clone())
        };
        let seen: Vec<Option<Status>> = others.iter().map(ask).collect();
        let status = &self.stores[me].book.status;
        let age_ms = self.now / 1_000 - status.born;
        match join::plan(status, &seen, age_ms, ledger::Settings::default().expiry_ms) {
            Plan::Wait => self.stores[me].copied.clear(),
            Plan::Found(founders) => self.vote(me, founders),
            Plan::Copy(sources) => {
                let new = |at: &usize| {
                    let incarnation = self.stores[*at].book.status.incarnation;
                    !self.stores[me].copied.contains(&incarnation)
                };
                let next = sources.iter().map(|at| others[*at]).find(new);
                if let Some(source) = next {
                    self.copy(me, source);
                } else {
                    self.tally.rejoined += 1;
                    self.vote(me, Vec::new());
                }
            }
        }
    }

    fn copy(&mut self, me: usize, source: usize) {
        let rows: Vec<Row> = self.stores[source].book.rows().cloned().collect();
        let incarnation = self.stores[source].book.status.incarnation;
        let store = &mut self.stores[me];
        for row in rows {
            if let Some(row) = ledger::decide::merge(&mut store.book, row) {
                encode::encode(&Record::Put(row), &mut store.disk);
            }
        }
        store.copied.push(incarnation);
    }

    fn vote(&mut self, me: usize, founders: Vec<u64>) {
        let store = &mut self.stores[me];
        store.book.status.sure = true;
        store.book.status.founders = founders;
        let record = Record::Status(store.book.status.clone());
        encode::encode(&record, &mut store.disk);
    }
}
