//! Asks other zones for headroom, and answers their questions.

use {
    super::{
        grant::Ask,
        messages::{Message, Wanted},
        settings::Settings,
        state::Held,
    },
    crate::{
        clock::Micros,
        context::Context,
        duty,
        edge::{Secret, client::Client, rpc},
        forward::Peer,
        ring::Sender,
        slots,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{self, MissedTickBehavior},
    },
};

/// Method by which one entry VM asks another for headroom.
pub const HEADROOM: &str = "shift.headroom";

/// The question on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Question {
    service: String,
    zone: String,
    want: u32,
}

/// The answer on the wire.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Granted {
    count: u32,
    lease_ms: u64,
}

/// Where the asking thread learns what to ask, and of whom.
#[derive(Debug)]
pub struct Sources {
    /// The shift duty.
    pub shift: Sender<Message>,
    /// The other entry VMs that are alive.
    pub peers: watch::Receiver<Arc<Vec<Peer>>>,
}

/// Starts the thread that asks for headroom; it ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn_headroom(
    context: Context,
    settings: Settings,
    secret: Secret,
    sources: Sources,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let asker = Asker {
        context,
        settings,
        secret,
        sources,
        clients: Vec::new(),
    };
    duty::spawn_local("headroom", move || duty::until(stop, asker.run()))
}

struct Asker {
    context: Context,
    settings: Settings,
    secret: Secret,
    sources: Sources,
    clients: Vec<(Peer, Client)>,
}

impl Asker {
    async fn run(mut self) {
        let mut tick = time::interval(Duration::from_millis(self.settings.ask_ms));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let (tx, rx) = oneshot::channel();
            let reply = Box::new(move |wanted| drop(tx.send(wanted)));
            if self.sources.shift.offer(Message::Wanted(reply)).is_err() {
                continue;
            }
            let wanted = rx.await.unwrap_or_default();
            if !wanted.is_empty() {
                self.connect();
                self.ask_all(&wanted);
            }
        }
    }

    /// Keeps a client for each peer that is alive.
    fn connect(&mut self) {
        let peers = Arc::clone(&self.sources.peers.borrow());
        let same = |a: &Peer, b: &Peer| a.name == b.name && a.address == b.address;
        self.clients
            .retain(|(known, _)| peers.iter().any(|peer| same(peer, known)));
        // An answer that comes after the lease is of no use.
        let limit = Duration::from_millis(self.settings.lease_ms);
        for peer in peers.iter() {
            if self.clients.iter().any(|(known, _)| same(peer, known)) {
                continue;
            }
            if let Ok(client) = Client::new(peer.address, &self.secret, limit) {
                self.clients.push((peer.clone(), client));
            }
        }
    }

    /// Asks every peer of each zone for its part; answers arrive on their own.
    fn ask_all(&self, wanted: &[Wanted]) {
        for row in wanted {
            let of_zone = |(peer, _): &&(Peer, Client)| peer.zone == row.zone;
            let peers = self.clients.iter().filter(of_zone).count();
            let parts = u32::try_from(peers).unwrap_or(u32::MAX);
            for (_, client) in self.clients.iter().filter(of_zone) {
                let part = Wanted {
                    count: row.count.div_ceil(parts),
                    ..*row
                };
                tokio::spawn(exchange(
                    self.context.clone(),
                    client.clone(),
                    part,
                    self.sources.shift.clone(),
                ));
            }
        }
    }
}

async fn exchange(context: Context, client: Client, wanted: Wanted, shift: Sender<Message>) {
    let topology = &context.topology;
    let question = Question {
        service: topology.services[usize::from(wanted.service.0)]
            .name
            .clone(),
        zone: topology.zones[usize::from(context.zone.0)].name.clone(),
        want: wanted.count,
    };
    let asked = context.clock.now();
    let Ok(granted) = client.call::<Granted>(HEADROOM, &question).await else {
        context.metrics.count("headroom_unanswered", 1);
        return;
    };
    // Counted from the question, so that it ends here before it ends there.
    let until: Micros = asked.plus_millis(granted.lease_ms);
    let held = Held {
        service: wanted.service,
        zone: wanted.zone,
        count: granted.count.min(wanted.count),
        until,
    };
    // A full ring loses the grant, which then lapses on both sides.
    let _ = shift.offer(Message::Hold(held));
}

/// What an answer needs.
struct Granting {
    context: Context,
    settings: Settings,
    shift: Sender<Message>,
    slots: Sender<slots::Message>,
}

/// Adds the method that grants headroom to other zones.
///
/// # Errors
/// The module has a method of that name.
pub fn register(
    module: &mut RpcModule<()>,
    context: Context,
    settings: Settings,
    shift: Sender<Message>,
    slots: Sender<slots::Message>,
) -> Result<(), RegisterMethodError> {
    let granting = Arc::new(Granting {
        context,
        settings,
        shift,
        slots,
    });
    module.register_async_method(HEADROOM, move |params, _, _| {
        let granting = Arc::clone(&granting);
        async move {
            let question: Question = rpc::params(&params)?;
            let count = granting.answer(&question).await;
            let count = count.ok_or_else(|| rpc::error(rpc::UNAVAILABLE, "unavailable", ()))?;
            let lease_ms = granting.settings.lease_ms;
            Ok::<_, ErrorObjectOwned>(Granted { count, lease_ms })
        }
    })?;
    Ok(())
}

impl Granting {
    async fn answer(&self, question: &Question) -> Option<u32> {
        let topology = &self.context.topology;
        if self.context.stopping() {
            return Some(0);
        }
        let service = topology.service(&question.service)?;
        let zone = topology.zone(&question.zone)?;
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |rows| drop(tx.send(rows)));
        self.slots.offer(slots::Message::Read(reply)).ok()?;
        let rows: Vec<slots::Status> = rx.await.ok()?;
        let open = rows.iter().filter(|row| row.service == service && row.open);
        let ask = Ask {
            service,
            zone,
            want: question.want,
            free: open.map(free).sum(),
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |count| {
            // The asker may have gone; what it was granted lapses.
            let _ = tx.send(count);
        });
        self.shift.offer(Message::Grant(ask, reply)).ok()?;
        rx.await.ok()
    }
}

fn free(row: &slots::Status) -> u32 {
    row.limit.saturating_sub(row.taken + row.inherited)
}
