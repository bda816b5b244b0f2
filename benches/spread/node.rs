//! A control VM and many entry VMs, reduced to the duties that are measured.

use {
    jsonrpsee::RpcModule,
    siskinstep::{
        context::Context,
        control::{self, Control},
        edge::{self, Limits, Listener, ListenerHandle, Secret, rpc},
        keys::ZoneKey,
        membership::{self, Lease, Outputs},
        operator::OperatorClient,
        policy::{Change, Command, Drain},
        ring::{self, Ring},
        settings::{
            topology::{Kind, Topology},
            vm::Vm,
        },
        slots,
        spread::{self, Dependencies, Source, Subscribers},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            mpsc::{Receiver, Sender, channel},
        },
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::Runtime,
        sync::{oneshot, watch},
    },
};

/// Name of the threads that serve other VMs.
pub const PEERS: &str = "node-peers";
const SECRET: &str = "bench-secret-0123456789";
const RING: usize = 64;

/// A version came into force on one VM.
pub struct Applied {
    pub version: u64,
    pub at: Instant,
}

struct Node {
    peers: ListenerHandle,
    stop: oneshot::Sender<()>,
    members: ring::Sender<membership::Message>,
    threads: Vec<JoinHandle<()>>,
}

pub struct Fleet {
    control: Control,
    operator: OperatorClient,
    runtime: Runtime,
    nodes: Vec<Node>,
    version: u64,
}

fn topology(zones: u16) -> Topology {
    let mut topology = Topology::default();
    for zone in 0..zones {
        topology.add_region(format!("r{zone}"), vec![format!("r{zone}-a")]);
    }
    for service in ["cellwatch", "swapdesk", "runboard"] {
        let kind = Kind {
            name: "check".to_owned(),
            service: siskinstep::keys::ServiceKey(0),
            worth: 10,
            deadline_ms: 1_000,
            at_most_once: false,
            repeatable: false,
        };
        topology.add_service(service.to_owned(), vec![kind]);
    }
    topology
}

impl Fleet {
    pub fn start(zones: u16, each: u16) -> (Self, Receiver<Applied>) {
        let secret = Secret::new(SECRET);
        let settings = control::Settings {
            vm: Vm {
                name: "control-1".to_owned(),
                topology: topology(zones),
                ring: 4_096,
                ..Vm::default()
            },
            ..control::Settings::default()
        };
        let control = Control::start(&settings, &secret).expect("control");
        let (applied, seen) = channel();
        let mut seeds = Vec::new();
        let mut nodes = Vec::new();
        for at in 0..zones * each {
            let context = Context::new(
                &format!("entry-{at}"),
                ZoneKey(at % zones),
                Arc::new(topology(zones)),
            );
            let (node, address) = Node::start(context, &seeds, control.peers(), applied.clone());
            if seeds.len() < 3 {
                seeds.push(address);
            }
            nodes.push(node);
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime");
        let fleet = Self {
            operator: OperatorClient::new(vec![control.operators()], secret),
            control,
            runtime,
            nodes,
            version: 0,
        };
        (fleet, seen)
    }

    /// Has one more change accepted.
    pub fn change(&mut self) -> u64 {
        let at = self.version;
        // A hundred drains at most, so that the configuration does not grow without end.
        let drain = Drain::Vm(format!("none-{}", at / 2 % 100));
        let change = if at.is_multiple_of(2) {
            Change::PutDrain(drain)
        } else {
            Change::EndDrain(drain)
        };
        let command = Command {
            id: format!("c-{at}"),
            operator: "bench".to_owned(),
            expected: at,
            change,
        };
        loop {
            match self.runtime.block_on(self.operator.submit(&command)) {
                Ok(accepted) => {
                    self.version = accepted.version;
                    return self.version;
                }
                Err(error) => {
                    eprintln!("{error}");
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
    }

    pub fn stop(self) {
        for node in &self.nodes {
            // The duty may have ended.
            let _ = node.members.send(membership::Message::Leaving);
        }
        for node in self.nodes {
            node.peers.join();
            drop(node.stop);
            drop(node.members);
            for thread in node.threads {
                thread.join().expect("a duty ends in order");
            }
        }
        self.control.stop();
    }
}

impl Node {
    fn start(
        context: Context,
        seeds: &[SocketAddr],
        control: SocketAddr,
        applied: Sender<Applied>,
    ) -> (Self, SocketAddr) {
        let secret = Secret::new(SECRET);
        let mut threads = Vec::new();
        let (lookup, end) = ring::bounded(RING);
        threads.push(sink(end, drop));
        let (shift, end) = ring::bounded(RING);
        threads.push(sink(end, drop));
        let (announce, end) = ring::bounded(RING);
        threads.push(sink(end, drop));
        let (slots, end) = ring::bounded(RING);
        threads.push(sink(end, move |message| note(message, &applied)));
        let (members, members_end) = ring::bounded(RING);
        let subscribers = Subscribers {
            lookup,
            shift,
            announce,
            slots: slots.clone(),
            membership: members.clone(),
        };
        let (seen_in, seen) = watch::channel(Arc::default());
        let (policies_in, policies) = watch::channel(Arc::default());
        let (is_current_in, is_current) = watch::channel(true);
        let deps = Dependencies {
            subscribers,
            policies: policies_in,
            is_current: is_current_in,
            members: seen,
        };
        let settings = spread::Settings {
            control: vec![control],
            ..spread::Settings::default()
        };
        let (stop, stopped) = oneshot::channel();
        let duty = spread::spawn(context.clone(), settings, secret.clone(), deps, stopped);
        threads.push(duty.expect("spread"));
        let source = Source {
            policies,
            is_current,
            fleet: None,
        };
        let peers = serve(&context, &secret, source);
        let bound = membership::bind("127.0.0.1:0".parse().expect("an address")).expect("bind");
        let address = bound.address;
        let addresses = membership::Addresses {
            callers: peers.address,
            upstreams: peers.address,
            peers: peers.address,
        };
        let outputs = Outputs {
            lease: Lease::default(),
            members: seen_in,
            publish: Box::new(|_| {}),
            query_slots: Box::new(move |take| drop(slots.offer(slots::Message::Read(take)))),
        };
        let settings = membership::Settings {
            seeds: seeds.to_vec(),
            ..membership::Settings::default()
        };
        let duty = membership::spawn(
            context,
            settings,
            bound,
            addresses,
            &secret,
            members_end,
            outputs,
        );
        threads.push(duty.expect("membership"));
        let node = Self {
            peers,
            stop,
            members,
            threads,
        };
        (node, address)
    }
}

fn serve(context: &Context, secret: &Secret, source: Source) -> ListenerHandle {
    let mut module = RpcModule::new(());
    spread::register(&mut module, source).expect("one method");
    let listener = Listener {
        name: PEERS,
        address: "127.0.0.1:0".parse().expect("an address"),
        limits: Limits::default(),
        secret: Some(secret.clone()),
    };
    edge::spawn(listener, context.clone(), move || rpc::handler(module)).expect("peers")
}

/// Takes everything from a ring.
fn sink<T: Send + 'static>(
    ring: Ring<T>,
    mut take: impl FnMut(T) + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while let Some(message) = ring.recv() {
            take(message);
        }
    })
}

fn note(message: slots::Message, applied: &Sender<Applied>) {
    match message {
        slots::Message::Policy(policy) => {
            let version = policy.version;
            let at = Instant::now();
            // The measurement may be over.
            let _ = applied.send(Applied { version, at });
        }
        slots::Message::Read(take) => take(Vec::new()),
        _ => {}
    }
}
