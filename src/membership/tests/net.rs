//! A network of cores under virtual time, with loss, delay, duplicates, cuts and freezes.

use {
    super::{
        super::{
            codec::Codec,
            decide,
            messages::{Outgoing, Standing},
            settings::Settings,
            state::State,
        },
        address, member, topology,
    },
    crate::{clock::Micros, sorted::Sorted},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
};

const STEP_MS: u64 = 10;
/// Datagrams that the socket of a frozen VM holds.
const QUEUE: usize = 200;

pub(super) struct Node {
    pub state: State,
    pub running: bool,
    pub frozen: bool,
    pub side: u8,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Highest incarnation of each member that this process has known.
    known: Sorted<String, u64>,
}

struct Flight {
    due: Micros,
    to: usize,
    from: SocketAddr,
    bytes: Vec<u8>,
}

pub(super) struct Net {
    pub now: Micros,
    pub random: StdRng,
    pub nodes: Vec<Node>,
    pub loss_permille: u32,
    pub delay_ms: u64,
    pub evicted: Vec<(String, usize)>,
    /// Bytes sent, all nodes together.
    pub sent: u64,
    zones: u16,
    codec: Codec,
    flights: Vec<Flight>,
}

impl Net {
    pub fn new(seed: u64, zones: u16, each: u16) -> Self {
        let mut net = Self {
            now: Micros(60_000_000),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            loss_permille: 0,
            delay_ms: 5,
            evicted: Vec::new(),
            sent: 0,
            zones,
            codec: Codec::new(b"0123456789abcdef", &topology(zones)).unwrap(),
            flights: Vec::new(),
        };
        for number in 0..zones * each {
            let state = net.fresh(number, 1_000);
            net.nodes.push(Node {
                state,
                running: true,
                frozen: false,
                side: 0,
                inbox: Vec::new(),
                known: Sorted::default(),
            });
        }
        net
    }

    /// A process of the VM with that number; the first two VMs are the seeds.
    fn fresh(&self, number: u16, incarnation: u64) -> State {
        let settings = Settings {
            seeds: vec![address(0), address(1)],
            ..Settings::default()
        };
        let mut own = member(number, number % self.zones);
        own.incarnation = incarnation;
        let mut state = State::new(settings, own, self.now);
        decide::set_version(&mut state, 7);
        state
    }

    pub fn restart(&mut self, at: usize) {
        // A wall clock that was set back, now and then.
        let back = self.random.random_ratio(1, 4);
        let incarnation = if back { 500 } else { self.now.0 / 1_000 };
        let state = self.fresh(u16::try_from(at).unwrap(), incarnation);
        let node = &mut self.nodes[at];
        *node = Node {
            state,
            running: true,
            frozen: false,
            side: node.side,
            inbox: Vec::new(),
            known: Sorted::default(),
        };
    }

    pub fn leave(&mut self, at: usize) {
        let (now, random) = (self.now, self.random.random());
        let out = decide::leave(&mut self.nodes[at].state, now, random);
        self.send(at, out);
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(STEP_MS);
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.due <= now);
        self.flights = later;
        let due: Vec<Flight> = due;
        for flight in due {
            let inbox = &mut self.nodes[flight.to].inbox;
            if inbox.len() < QUEUE {
                inbox.push((flight.from, flight.bytes));
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].running && !self.nodes[at].frozen {
                self.wake(at);
            }
        }
    }

    /// What the thread does, in its order.
    fn wake(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let lapsed = decide::is_lapsed(&node.state, self.now);
        let before = node.state.own.incarnation;
        if lapsed {
            node.inbox.clear();
        }
        let out = decide::tick(&mut node.state, self.now, self.random.random());
        if lapsed {
            assert!(!decide::serves(&node.state), "served under a lapsed lease");
            assert!(node.state.own.incarnation > before);
        }
        self.send(at, out);
        for (from, bytes) in std::mem::take(&mut self.nodes[at].inbox) {
            let datagram = self.codec.decode(&bytes, self.now).unwrap();
            let state = &mut self.nodes[at].state;
            let out = match decide::receive(state, datagram, from, self.now) {
                Ok(out) => out,
                Err(dropped) => dropped.reply,
            };
            self.send(at, out);
        }
        self.check(at);
    }

    /// Incarnations never go back, and evictions are noted.
    fn check(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        for row in node.state.rows.values() {
            let (name, incarnation) = (&row.member.name, row.member.incarnation);
            let last = node.known.insert(name.clone(), incarnation);
            assert!(last.is_none_or(|last| last <= incarnation), "{name}");
        }
        for (name, standing) in node.state.news.drain(..) {
            if standing == Standing::Dead {
                self.evicted.push((name, at));
            }
        }
    }

    fn send(&mut self, at: usize, out: Vec<Outgoing>) {
        let (side, from) = (self.nodes[at].side, self.nodes[at].state.own.members);
        for Outgoing { to, datagram } in out {
            let to = usize::from(to.port() - 10_000);
            let bytes = self.codec.encode(datagram, self.now);
            self.sent += bytes.len() as u64;
            let node = &self.nodes[to];
            let lost = self.random.random_ratio(self.loss_permille, 1_000);
            if lost || node.side != side || !node.running {
                continue;
            }
            let copies = 1 + usize::from(self.random.random_ratio(self.loss_permille, 1_000));
            for _ in 0..copies {
                let delay = self.random.random_range(0..=self.delay_ms);
                self.flights.push(Flight {
                    due: self.now.plus_millis(delay),
                    to,
                    from,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Names of the VMs that run and have not been told to leave.
    pub fn live(&self) -> Vec<String> {
        let live = |node: &&Node| node.running && node.state.own.standing != Standing::Leaving;
        let nodes = self.nodes.iter().filter(live);
        let mut names: Vec<String> = nodes.map(|node| node.state.own.name.clone()).collect();
        names.sort();
        names
    }

    /// The names that the node sees as usable.
    pub fn seen(&self, at: usize) -> Vec<String> {
        let view = decide::view(&self.nodes[at].state, self.now);
        let mut names: Vec<String> = view.rows.into_iter().map(|row| row.name).collect();
        names.sort();
        names
    }

    /// Whether every running VM sees just the live ones.
    pub fn agrees(&self) -> bool {
        let live = self.live();
        let running = (0..self.nodes.len()).filter(|at| self.nodes[*at].running);
        running.into_iter().all(|at| self.seen(at) == live)
    }
}
