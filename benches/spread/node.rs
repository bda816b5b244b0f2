//! A control VM and many entry VMs, reduced to the duties under measurement.

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

/// Name of the listener threads that respond to other VMs.
pub const PEERS_THREAD: &str = "node-peers";
const SECRET: &str = "bench-secret-0123456789";
const RING_CAPACITY: usize = 64;

/// Notification that a policy version is in force on one VM.
pub struct Applied {
    pub version: u64,
    pub at: Instant,
}

struct Node {
    peers: ListenerHandle,
    stop: oneshot::Sender<()>,
    membership: ring::Sender<membership::Message>,
    threads: Vec<JoinHandle<()>>,
}

/// A control VM, entry VMs, and an operator that submits changes.
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
    /// Starts the VMs, and returns a channel that reports each version in force on an entry VM.
    pub fn start(zones: u16, vms_per_zone: u16) -> (Self, Receiver<Applied>) {
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
        let (applied, receiver) = channel();
        let mut seeds = Vec::new();
        let mut nodes = Vec::new();
        for index in 0..zones * vms_per_zone {
            let context = Context::new(
                &format!("entry-{index}"),
                ZoneKey(index % zones),
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
        (fleet, receiver)
    }

    /// Submits one more change, retries until it is accepted, and returns its version.
    pub fn change(&mut self) -> u64 {
        let version = self.version;
        // Reuses 100 names of drains, which bounds the size of the configuration.
        let drain = Drain::Vm(format!("none-{}", version / 2 % 100));
        let change = if version.is_multiple_of(2) {
            Change::PutDrain(drain)
        } else {
            Change::EndDrain(drain)
        };
        let command = Command {
            id: format!("c-{version}"),
            operator: "bench".to_owned(),
            expected: version,
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
            // The duty may already have stopped.
            let _ = node.membership.send(membership::Message::Leaving);
        }
        for node in self.nodes {
            node.peers.join();
            drop(node.stop);
            drop(node.membership);
            for thread in node.threads {
                thread.join().expect("duty does not panic");
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
        let (lookup, receiver) = ring::bounded(RING_CAPACITY);
        threads.push(sink(receiver, drop));
        let (shift, receiver) = ring::bounded(RING_CAPACITY);
        threads.push(sink(receiver, drop));
        let (announce, receiver) = ring::bounded(RING_CAPACITY);
        threads.push(sink(receiver, drop));
        let (slots, receiver) = ring::bounded(RING_CAPACITY);
        threads.push(sink(receiver, move |message| on_message(message, &applied)));
        let (membership, membership_receiver) = ring::bounded(RING_CAPACITY);
        let subscribers = Subscribers {
            lookup,
            shift,
            announce,
            slots: slots.clone(),
            membership: membership.clone(),
        };
        let (members_sender, members_receiver) = watch::channel(Arc::default());
        let (policies_sender, policies) = watch::channel(Arc::default());
        let (is_current_sender, is_current) = watch::channel(true);
        let deps = Dependencies {
            subscribers,
            policies: policies_sender,
            is_current: is_current_sender,
            members: members_receiver,
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
        let bound = membership::bind("127.0.0.1:0".parse().expect("valid address")).expect("bind");
        let address = bound.address;
        let addresses = membership::Addresses {
            callers: peers.address,
            upstreams: peers.address,
            peers: peers.address,
        };
        let outputs = Outputs {
            lease: Lease::default(),
            members: members_sender,
            publish: Box::new(|_| {}),
            query_slots: Box::new(move |reply| drop(slots.offer(slots::Message::Read(reply)))),
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
            membership_receiver,
            outputs,
        );
        threads.push(duty.expect("membership"));
        let node = Self {
            peers,
            stop,
            membership,
            threads,
        };
        (node, address)
    }
}

fn serve(context: &Context, secret: &Secret, source: Source) -> ListenerHandle {
    let mut module = RpcModule::new(());
    spread::register(&mut module, source).expect("unique method name");
    let listener = Listener {
        name: PEERS_THREAD,
        address: "127.0.0.1:0".parse().expect("valid address"),
        limits: Limits::default(),
        secret: Some(secret.clone()),
    };
    edge::spawn(listener, context.clone(), move || rpc::handler(module)).expect("peers")
}

/// Spawns a thread that passes each message of `ring` to `handle`.
fn sink<T: Send + 'static>(
    ring: Ring<T>,
    mut handle: impl FnMut(T) + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while let Some(message) = ring.recv() {
            handle(message);
        }
    })
}

/// Handles a message to the slots duty: reports a new policy to `applied`, and responds to a query
/// with no slots.
fn on_message(message: slots::Message, applied: &Sender<Applied>) {
    match message {
        slots::Message::Policy(policy) => {
            let version = policy.version;
            let at = Instant::now();
            // The receiver is dropped once the measurement is over.
            let _ = applied.send(Applied { version, at });
        }
        slots::Message::Read(reply) => reply(Vec::new()),
        _ => {}
    }
}
