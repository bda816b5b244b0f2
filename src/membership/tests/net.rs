//! Simulated network of membership states under virtual time, with packet loss, delay, duplicates,
//! partitions and freezes.

use {
    super::{
        super::{
            codec::Codec,
            decide,
            messages::{MemberStatus, Outgoing},
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
/// Capacity of a socket's receive queue, which fills while its VM is frozen.
const MAX_QUEUED_DATAGRAMS: usize = 200;

pub(super) struct Node {
    pub state: State,
    pub running: bool,
    pub frozen: bool,
    pub partition: u8,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Highest incarnation of each member known to this process.
    incarnations: Sorted<String, u64>,
}

struct Packet {
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
    /// Total bytes sent by all nodes.
    pub sent_bytes: u64,
    zones: u16,
    codec: Codec,
    in_flight: Vec<Packet>,
}

impl Net {
    pub fn new(seed: u64, zones: u16, zone_vms: u16) -> Self {
        let mut net = Self {
            now: Micros(60_000_000),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            loss_permille: 0,
            delay_ms: 5,
            evicted: Vec::new(),
            sent_bytes: 0,
            zones,
            codec: Codec::new(b"0123456789abcdef", &topology(zones)).unwrap(),
            in_flight: Vec::new(),
        };
        for number in 0..zones * zone_vms {
            let state = net.new_state(number, 1_000);
            net.nodes.push(Node {
                state,
                running: true,
                frozen: false,
                partition: 0,
                inbox: Vec::new(),
                incarnations: Sorted::default(),
            });
        }
        net
    }

    /// Creates the state of a new process of VM `number`; the first two VMs are the seeds.
    fn new_state(&self, number: u16, incarnation: u64) -> State {
        let settings = Settings {
            seeds: vec![address(0), address(1)],
            ..Settings::default()
        };
        let mut local = member(number, number % self.zones);
        local.incarnation = incarnation;
        let mut state = State::new(settings, local, self.now);
        decide::set_version(&mut state, 7);
        state
    }

    pub fn restart(&mut self, at: usize) {
        // In a quarter of the restarts the wall clock was set back.
        let is_set_back = self.random.random_ratio(1, 4);
        let incarnation = if is_set_back { 500 } else { self.now.0 / 1_000 };
        let state = self.new_state(u16::try_from(at).unwrap(), incarnation);
        let node = &mut self.nodes[at];
        *node = Node {
            state,
            running: true,
            frozen: false,
            partition: node.partition,
            inbox: Vec::new(),
            incarnations: Sorted::default(),
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
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|packet| packet.due <= now);
        self.in_flight = later;
        let due: Vec<Packet> = due;
        for packet in due {
            let inbox = &mut self.nodes[packet.to].inbox;
            if inbox.len() < MAX_QUEUED_DATAGRAMS {
                inbox.push((packet.from, packet.bytes));
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].running && !self.nodes[at].frozen {
                self.run_node(at);
            }
        }
    }

    /// Runs the same steps as the thread of the duty, in the same order.
    fn run_node(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let is_expired = decide::is_lease_expired(&node.state, self.now);
        let before = node.state.local.incarnation;
        if is_expired {
            node.inbox.clear();
        }
        let out = decide::tick(&mut node.state, self.now, self.random.random());
        if is_expired {
            assert!(
                !decide::can_serve(&node.state),
                "served under an expired lease"
            );
            assert!(node.state.local.incarnation > before);
            decide::set_version(&mut node.state, 7);
            assert!(
                !decide::can_serve(&node.state),
                "served before it had joined"
            );
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
        self.check_and_record(at);
    }

    /// Asserts that incarnations never decrease, and records evictions.
    fn check_and_record(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        for row in node.state.rows.values() {
            let (name, incarnation) = (&row.member.name, row.member.incarnation);
            let last = node.incarnations.insert(name.clone(), incarnation);
            assert!(last.is_none_or(|last| last <= incarnation), "{name}");
        }
        for (name, status) in node.state.status_changes.drain(..) {
            if status == MemberStatus::Dead {
                self.evicted.push((name, at));
            }
        }
    }

    fn send(&mut self, at: usize, out: Vec<Outgoing>) {
        let (partition, from) = (self.nodes[at].partition, self.nodes[at].state.local.members);
        for Outgoing { to, datagram } in out {
            let to = usize::from(to.port() - 10_000);
            let bytes = self.codec.encode(datagram, self.now);
            self.sent_bytes += bytes.len() as u64;
            let node = &self.nodes[to];
            let lost = self.random.random_ratio(self.loss_permille, 1_000);
            if lost || node.partition != partition || !node.running {
                continue;
            }
            let copies = 1 + usize::from(self.random.random_ratio(self.loss_permille, 1_000));
            for _ in 0..copies {
                let delay = self.random.random_range(0..=self.delay_ms);
                self.in_flight.push(Packet {
                    due: self.now.plus_millis(delay),
                    to,
                    from,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Names of the VMs that run and are not leaving.
    pub fn live(&self) -> Vec<String> {
        let live = |node: &&Node| node.running && node.state.local.status != MemberStatus::Leaving;
        let nodes = self.nodes.iter().filter(live);
        let mut names: Vec<String> = nodes.map(|node| node.state.local.name.clone()).collect();
        names.sort();
        names
    }

    /// Names of the members that are usable in the view of the node.
    pub fn visible(&self, at: usize) -> Vec<String> {
        let view = decide::view(&self.nodes[at].state, self.now);
        let mut names: Vec<String> = view.rows.into_iter().map(|row| row.name).collect();
        names.sort();
        names
    }

    /// Whether the view of every running VM contains exactly the live VMs.
    pub fn has_converged(&self) -> bool {
        let live = self.live();
        let running = (0..self.nodes.len()).filter(|at| self.nodes[*at].running);
        running.into_iter().all(|at| self.visible(at) == live)
    }
}
