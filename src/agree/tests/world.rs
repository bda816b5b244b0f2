//! Replicas joined by a simulated network and disks, with an oracle beside them.

use {
    super::{
        super::{
            decide::{self, Effect, Input, Note},
            messages::{MemberChange, Unavailable},
            settings::{MemberConfig, Settings},
            state::State,
            wire::{Body, Envelope, Members},
        },
        oracle::{Oracle, check_promise, reach},
    },
    crate::{
        clock::Micros,
        keys::{DiskKey, TicketKey},
        policy::{Accepted, Change, Command, Drain, Rejection},
        sorted::Sorted,
        storage::{Ack, Batch, Hard, Position, Recovered},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr},
};

pub(super) const MS: u64 = 1_000;

/// What the network does to a message, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Weather {
    pub(super) lost: u32,
    pub(super) doubled: u32,
    pub(super) longest_ms: u64,
}

pub(super) struct Node {
    pub(super) state: Option<State>,
    /// What would be read after a crash.
    pub(super) disk: Recovered,
    writing: Option<Batch>,
    /// Difference of its clock from the world's.
    offset: u64,
    frozen: u64,
    listed: MemberConfig,
    checked: u64,
    pub(super) renewed: usize,
    starts: u64,
}

#[derive(Clone, Debug)]
enum Happening {
    Input {
        node: usize,
        start: u64,
        input: Input,
    },
    Synced {
        node: usize,
        start: u64,
    },
    Wake {
        node: usize,
        start: u64,
    },
}

#[derive(Clone, Debug)]
enum Asked {
    Command(Command),
    Read { floor: u64 },
    Change,
}

pub(super) struct World {
    pub(super) nodes: Vec<Node>,
    pub(super) now: u64,
    pub(super) random: StdRng,
    pub(super) weather: Weather,
    /// Pairs that cannot reach each other.
    pub(super) cut: Vec<(usize, usize)>,
    /// A replica that short messages reach, but none with entries: its link loses large ones.
    pub(super) starved: Option<usize>,
    /// Whether replicas know the founders alone, and the others join by themselves.
    open: bool,
    pub(super) oracle: Oracle,
    pub(super) commands: Vec<Command>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: Sorted<u64, Happening>,
    serial: u64,
    tickets: SlotMap<TicketKey, Asked>,
    pub(super) notes: Vec<(usize, Note)>,
    /// Disks as they were when they were lost.
    lost: Vec<Recovered>,
}

pub(super) fn address(node: usize) -> SocketAddr {
    let port = u16::try_from(9_000 + node).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl World {
    /// `founders` replicas found the cluster; the others up to `size` wait to be added.
    pub(super) fn new(seed: u64, founders: usize, size: usize) -> Self {
        let listed = |node| MemberConfig {
            name: format!("control-{node}"),
            peers: address(node),
            operators: address(node),
        };
        let node = |node| Node {
            state: None,
            disk: Recovered::default(),
            writing: None,
            offset: (60_000 + 7_919 * node as u64) * MS,
            frozen: 0,
            listed: listed(node),
            checked: 0,
            renewed: 0,
            starts: 0,
        };
        let mut world = Self {
            nodes: (0..size).map(node).collect(),
            now: 0,
            random: StdRng::seed_from_u64(seed),
            weather: Weather {
                longest_ms: 5,
                ..Weather::default()
            },
            cut: Vec::new(),
            starved: None,
            open: false,
            oracle: Oracle::default(),
            commands: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: Sorted::default(),
            serial: 0,
            tickets: SlotMap::default(),
            notes: Vec::new(),
            lost: Vec::new(),
        };
        for node in 0..size {
            world.lose_disk(node);
            world.start(node, founders);
        }
        world
    }

    /// The same where nobody is listed but the founders, and no operator adds the others.
    pub(super) fn open(seed: u64, founders: usize, size: usize) -> Self {
        let mut world = Self::new(seed, founders, size);
        world.open = true;
        for node in 0..size {
            world.crash(node);
            world.lose_disk(node);
            world.start(node, founders);
        }
        world
    }

    fn settings(&self, node: usize, founders: usize) -> Settings {
        let mut members: Vec<MemberConfig> = (0..founders)
            .map(|at| self.nodes[at].listed.clone())
            .collect();
        if node >= founders && !self.open {
            members.push(self.nodes[node].listed.clone());
        }
        Settings {
            snapshot_entries: 12,
            members,
            auto_join: self.open,
            ..Settings::default()
        }
    }

    pub(super) fn start(&mut self, node: usize, founders: usize) {
        let settings = self.settings(node, founders);
        let row = &mut self.nodes[node];
        row.starts += 1;
        row.disk.hard.boot += 1;
        let now = Micros(self.now + row.offset);
        let found = row.disk.clone();
        row.state = Some(State::new(settings, row.listed.clone(), found, now));
        row.checked = 0;
        self.put(
            self.now,
            Happening::Wake {
                node,
                start: self.nodes[node].starts,
            },
        );
    }

    /// Ends the process at once; the write under way may have reached the disk, or a part of it.
    pub(super) fn crash(&mut self, node: usize) {
        let row = &mut self.nodes[node];
        row.state = None;
        row.starts += 1;
        if let Some(mut batch) = row.writing.take() {
            match self.random.random_range(0..3) {
                0 => return,
                1 => batch.entries.clear(),
                _ => {}
            }
            reach(&mut row.disk, &batch);
        }
    }

    pub(super) fn lose_disk(&mut self, node: usize) {
        let disk = DiskKey(self.random.random::<u64>() | 1);
        self.lost.push(self.nodes[node].disk.clone());
        self.nodes[node].disk = Recovered {
            hard: Hard {
                disk,
                ..Hard::default()
            },
            ..Recovered::default()
        };
    }

    pub(super) fn freeze(&mut self, node: usize, ms: u64) {
        self.nodes[node].frozen = self.now + ms * MS;
    }

    /// Whether every membership that any replica believes in keeps a quorum without `victim`.
    pub(super) fn can_lose_disk(&self, victim: usize) -> bool {
        let kept = |members: Members| {
            let lives = |disk: &DiskKey| {
                let mut others = self
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|(at, _)| *at != victim);
                others.any(|(_, row)| row.disk.hard.disk == *disk)
            };
            members.rows.is_empty() || members.voters().filter(lives).count() >= members.quorum()
        };
        let states = self.nodes.iter().filter_map(|row| row.state.as_ref());
        let believed = |state: &'_ State| {
            let rows = &state.members;
            let from = rows.iter().rposition(|row| row.0 <= state.commit);
            rows[from.unwrap_or(0)..]
                .iter()
                .map(|row| row.1.clone())
                .collect::<Vec<_>>()
        };
        let mut all = states.flat_map(believed);
        // A founder that nobody has heard yet may not be the only one to know of the cluster.
        let known = self.oracle.chosen.len() > 1;
        known && self.nodes.iter().all(|row| row.state.is_some()) && all.all(kept)
    }

    fn put(&mut self, at: u64, happening: Happening) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.happenings.insert(self.serial, happening);
    }

    /// Lets everything happen for `ms`.
    pub(super) fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        let (Happening::Input { node, start, .. }
        | Happening::Synced { node, start }
        | Happening::Wake { node, start }) = happening;
        let row = &mut self.nodes[node];
        if row.state.is_none() || row.starts != start {
            return;
        }
        if row.frozen > self.now {
            let until = row.frozen;
            return self.put(until, happening);
        }
        match happening {
            Happening::Input { input, .. } => self.step(node, input),
            Happening::Wake { .. } => {
                self.step(node, Input::Tick);
                self.wake(node);
            }
            Happening::Synced { .. } => {
                if let Some(batch) = row.writing.take() {
                    reach(&mut row.disk, &batch);
                    self.step(node, Input::Storage(Ack::Synced));
                }
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let row = &self.nodes[node];
        let Some(state) = &row.state else { return };
        let next = decide::next_wake(state).0.saturating_sub(row.offset);
        let start = row.starts;
        let at = next.clamp(self.now + MS, self.now + 50 * MS);
        self.put(at, Happening::Wake { node, start });
    }

    pub(super) fn step(&mut self, node: usize, input: Input) {
        let random = self.random.random();
        let row = &mut self.nodes[node];
        let Some(state) = &mut row.state else { return };
        let effects = decide::step(state, input, Micros(self.now + row.offset), random);
        let start = row.starts;
        for effect in effects {
            self.carry_out(node, start, effect);
        }
        self.check(node);
    }

    fn carry_out(&mut self, node: usize, start: u64, effect: Effect) {
        match effect {
            Effect::Write(batch) => {
                assert!(self.nodes[node].writing.is_none(), "one write at a time");
                self.nodes[node].writing = Some(batch);
                let at = self.now + self.random.random_range(50..8 * MS);
                self.put(at, Happening::Synced { node, start });
            }
            Effect::Send { to, envelope, .. } => self.send(node, to, &envelope),
            Effect::Answer { ticket, answer } => self.answered(ticket, answer),
            Effect::Read { ticket, answer } => self.read(node, ticket, &answer),
            Effect::Changed { ticket, answer } => {
                self.tickets.remove(ticket);
                self.oracle.changes += usize::from(matches!(answer, Ok(Ok(()))));
            }
            Effect::Renew => self.renew(node),
            Effect::Note(what) => self.noted(node, what),
            Effect::Publish | Effect::Unanswered(_) => {}
        }
    }

    fn renew(&mut self, node: usize) {
        self.crash(node);
        self.lose_disk(node);
        self.nodes[node].renewed += 1;
        self.start(node, 3);
    }

    fn noted(&mut self, node: usize, what: Note) {
        self.notes.push((node, what));
        assert_ne!(
            what,
            Note::Contradiction,
            "a committed entry was contradicted"
        );
        if what == Note::Elected
            && let Some(state) = &self.nodes[node].state
        {
            let (term, disk) = (state.hard.term, state.hard.disk);
            let other = self.oracle.leaders.insert(term, disk);
            assert!(
                other.is_none_or(|other| other == disk),
                "two leaders in term {term}"
            );
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: &Envelope) {
        check_promise(&self.nodes[from].disk, envelope);
        let to = usize::from(to.port() - 9_000);
        let pair = (from.min(to), from.max(to));
        let copies = 1 + u32::from(self.random.random_ratio(self.weather.doubled, 1_000));
        for _ in 0..copies {
            let lost = self.random.random_ratio(self.weather.lost, 1_000);
            let delay = self.random.random_range(100..=self.weather.longest_ms * MS);
            let has_entries =
                matches!(&envelope.body, Body::Append { entries, .. } if !entries.is_empty());
            let is_starved = has_entries && self.starved == Some(to);
            if lost || is_starved || self.cut.contains(&pair) {
                continue;
            }
            let input = Input::Peer {
                envelope: envelope.clone(),
                exchange: None,
            };
            let start = self.nodes[to].starts;
            self.put(
                self.now + delay,
                Happening::Input {
                    node: to,
                    start,
                    input,
                },
            );
        }
    }

    /// What a replica's own clock shows.
    pub(super) fn clock(&self, node: usize) -> Micros {
        Micros(self.now + self.nodes[node].offset)
    }

    /// A new command on the newest version that any answer has shown.
    pub(super) fn order(&mut self, node: usize) {
        let at = self.commands.len();
        self.commands.push(Command {
            id: format!("c-{at}"),
            operator: format!("op-{at}"),
            expected: self.oracle.newest,
            change: Change::PutDrain(Drain::Vm(format!("vm-{at}"))),
        });
        self.resend(node, at);
    }

    pub(super) fn resend(&mut self, node: usize, command: usize) {
        let command = self.commands[command].clone();
        let ticket = self.tickets.insert(Asked::Command(command.clone()));
        self.input(node, Input::Submit { ticket, command });
    }

    pub(super) fn ask_read(&mut self, node: usize) {
        let floor = self.oracle.newest;
        let ticket = self.tickets.insert(Asked::Read { floor });
        self.input(node, Input::Read { ticket });
    }

    pub(super) fn change(&mut self, node: usize, change: MemberChange) {
        let ticket = self.tickets.insert(Asked::Change);
        self.input(node, Input::Change { ticket, change });
    }

    fn input(&mut self, node: usize, input: Input) {
        let start = self.nodes[node].starts;
        self.put(self.now, Happening::Input { node, start, input });
    }

    fn answered(
        &mut self,
        ticket: TicketKey,
        answer: Result<Result<Accepted, Rejection>, Unavailable>,
    ) {
        let Some(Asked::Command(command)) = self.tickets.remove(ticket) else {
            panic!("an answer that nobody waits for");
        };
        let Ok(answer) = answer else {
            self.oracle.unavailable += 1;
            return;
        };
        let before = self
            .oracle
            .answers
            .insert(command.id.clone(), answer.clone());
        assert!(
            before.is_none_or(|before| before == answer),
            "{} answered twice",
            command.id
        );
        if let Ok(Accepted { version }) = answer {
            let winner = self.oracle.winners.insert(version, command.id.clone());
            assert!(
                winner.as_ref().is_none_or(|other| *other == command.id),
                "two winners of {version}"
            );
            self.oracle.accepted += usize::from(winner.is_none());
            self.oracle.newest = self.oracle.newest.max(version);
        } else if let Err(Rejection::Conflict { version, .. }) = answer {
            self.oracle.newest = self.oracle.newest.max(version);
        }
    }

    fn read(&mut self, node: usize, ticket: TicketKey, answer: &Result<(), Unavailable>) {
        let Some(Asked::Read { floor }) = self.tickets.remove(ticket) else {
            panic!("an answer that nobody waits for");
        };
        if answer.is_err() {
            self.oracle.unavailable += 1;
            return;
        }
        self.oracle.reads += 1;
        let version = self.nodes[node].state.as_ref().unwrap().machine.version;
        assert!(
            version >= floor,
            "read {version} after {floor} was accepted"
        );
    }

    /// Every replica commits the same entries.
    fn check(&mut self, node: usize) {
        let row = &mut self.nodes[node];
        let Some(state) = &row.state else { return };
        for index in row.checked + 1..=state.commit {
            let Some(entry) = state.log.get(index) else {
                continue;
            };
            let Some(chosen) = self.oracle.chosen.get(&index) else {
                self.oracle.chosen.insert(index, entry.clone());
                self.oracle.check_members(entry);
                continue;
            };
            assert_eq!(chosen, entry, "node {node} index {index}");
        }
        let leads = state.leads() && state.commit > row.checked;
        row.checked = state.commit;
        if leads {
            self.check_commit(node);
        }
    }

    /// A leader commits only with an entry of its own term, which a quorum of voters has on disk.
    fn check_commit(&self, leader: usize) {
        let state = self.nodes[leader].state.as_ref().unwrap();
        let (index, term) = (state.commit, state.hard.term);
        assert_eq!(
            state.log.term_at(index),
            Some(term),
            "an entry of an old term is committed"
        );
        let members = state.members();
        let holds = |disk: &&Recovered| {
            let mut entries = disk.entries.iter();
            let found = entries.any(|entry| entry.at == Position { term, index });
            let base = disk.snapshot.as_ref().map_or(0, |row| row.at.index);
            members.votes(disk.hard.disk) && (found || base >= index)
        };
        // A disk may be lost after it has answered; until it is replaced nobody is elected without
        // the others that hold the entry.
        let disks = self.nodes.iter().map(|row| &row.disk).chain(&self.lost);
        let count = disks.filter(holds).count();
        assert!(
            count >= members.quorum(),
            "{index} is committed by {count} disks"
        );
    }

    /// Ends all faults, and checks that the cluster takes commands and every replica agrees.
    pub(super) fn heal_and_check(&mut self, founders: usize) {
        self.cut.clear();
        self.weather = Weather {
            longest_ms: 5,
            ..Weather::default()
        };
        for node in 0..self.nodes.len() {
            self.nodes[node].frozen = 0;
            if self.nodes[node].state.is_none() {
                self.start(node, founders);
            }
        }
        self.run(20_000);
        let before = self.oracle.accepted;
        // The first round may only learn which version is in force.
        for _ in 0..2 {
            for node in 0..self.nodes.len() {
                self.order(node);
            }
            self.run(3_000);
        }
        if self.oracle.accepted == before {
            self.print();
        }
        assert!(
            self.oracle.accepted > before,
            "no command is taken after the faults"
        );
        let leader = self.leader().expect("a leader");
        let machine = self.nodes[leader].state.as_ref().unwrap().machine.clone();
        for (id, answer) in self.oracle.answers.rows() {
            let receipt = machine.receipt(id).expect("every answer is remembered");
            assert_eq!(receipt.answer, *answer, "{id}");
        }
        let members = self.nodes[leader].state.as_ref().unwrap().members().clone();
        for row in &members.rows {
            let node = usize::from(row.peers.port() - 9_000);
            let state = self.nodes[node].state.as_ref().unwrap();
            if row.disk != state.hard.disk {
                self.print();
            }
            assert!(
                row.voter && row.disk == state.hard.disk,
                "{row:?} was not repaired"
            );
            assert_eq!(state.machine, machine, "{}", row.name);
        }
    }

    fn print(&self) {
        for row in &self.nodes {
            let Some(state) = &row.state else { continue };
            let (hard, last) = (state.hard, state.log.last());
            eprintln!(
                "{} {hard:?} last {last:?} commit {}",
                row.listed.name, state.commit
            );
            eprintln!("  {:?} admitted {}", state.role, state.admitted);
            eprintln!("  {:?} {:?}", state.members(), state.welcomes);
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |row: &Node| row.state.as_ref().is_some_and(State::leads);
        let leaders = (0..self.nodes.len()).filter(|at| leads(&self.nodes[*at]));
        leaders.max_by_key(|at| self.nodes[*at].state.as_ref().map(|state| state.hard.term))
    }
}
