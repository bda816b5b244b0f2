//! Requests headroom from other zones, and serves their requests for it.

use {
    super::{
        grant::HeadroomRequest,
        messages::{Demand, Message},
        settings::Settings,
        state::ReceivedGrant,
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

/// RPC method by which an entry VM requests headroom from another.
pub const HEADROOM: &str = "shift.headroom";

/// Wire format of a request for headroom.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HeadroomRequestBody {
    service: String,
    zone: String,
    want: u32,
}

/// Wire format of the response.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct HeadroomResponseBody {
    count: u32,
    lease_ms: u64,
}

/// Inputs of the thread that requests headroom.
#[derive(Debug)]
pub struct HeadroomInputs {
    /// The shift duty, which reports the demand.
    pub shift: Sender<Message>,
    /// The other entry VMs that are alive.
    pub peers: watch::Receiver<Arc<Vec<Peer>>>,
}

/// Starts the thread that requests headroom; it exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn_headroom(
    context: Context,
    settings: Settings,
    secret: Secret,
    inputs: HeadroomInputs,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let requester = Requester {
        context,
        settings,
        secret,
        inputs,
        clients: Vec::new(),
    };
    duty::spawn_local("headroom", move || duty::run_until(stop, requester.run()))
}

struct Requester {
    context: Context,
    settings: Settings,
    secret: Secret,
    inputs: HeadroomInputs,
    clients: Vec<(Peer, Client)>,
}

impl Requester {
    async fn run(mut self) {
        let mut tick = time::interval(Duration::from_millis(self.settings.ask_ms));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let (tx, rx) = oneshot::channel();
            let reply = Box::new(move |demand| drop(tx.send(demand)));
            if self.inputs.shift.offer(Message::Demand(reply)).is_err() {
                continue;
            }
            let demand = rx.await.unwrap_or_default();
            if !demand.is_empty() {
                self.update_clients();
                self.request_all(&demand);
            }
        }
    }

    /// Creates clients for new peers and drops those of peers that are no longer alive.
    fn update_clients(&mut self) {
        let peers = Arc::clone(&self.inputs.peers.borrow());
        let is_same = |a: &Peer, b: &Peer| a.name == b.name && a.address == b.address;
        self.clients
            .retain(|(known, _)| peers.iter().any(|peer| is_same(peer, known)));
        // A response that arrives after the lease has expired is useless.
        let limit = Duration::from_millis(self.settings.lease_ms);
        for peer in peers.iter() {
            if self.clients.iter().any(|(known, _)| is_same(peer, known)) {
                continue;
            }
            if let Ok(client) = Client::new(peer.address, &self.secret, limit) {
                self.clients.push((peer.clone(), client));
            }
        }
    }

    /// Requests an equal share from every peer of each zone, without waiting for the responses.
    fn request_all(&self, demand: &[Demand]) {
        for row in demand {
            let of_zone = |(peer, _): &&(Peer, Client)| peer.zone == row.zone;
            let peers = self.clients.iter().filter(of_zone).count();
            let peer_count = u32::try_from(peers).unwrap_or(u32::MAX);
            for (_, client) in self.clients.iter().filter(of_zone) {
                let share = Demand {
                    count: row.count.div_ceil(peer_count),
                    ..*row
                };
                tokio::spawn(request_grant(
                    self.context.clone(),
                    client.clone(),
                    share,
                    self.inputs.shift.clone(),
                ));
            }
        }
    }
}

async fn request_grant(context: Context, client: Client, demand: Demand, shift: Sender<Message>) {
    let topology = &context.topology;
    let request = HeadroomRequestBody {
        service: topology.services[usize::from(demand.service.0)]
            .name
            .clone(),
        zone: topology.zones[usize::from(context.zone.0)].name.clone(),
        want: demand.count,
    };
    let sent = context.clock.now();
    let Ok(response) = client
        .call::<HeadroomResponseBody>(HEADROOM, &request)
        .await
    else {
        context.metrics.count("headroom_unanswered", 1);
        return;
    };
    // Counted from the request, so that it expires here before it expires at the granting VM.
    let until: Micros = sent.plus_millis(response.lease_ms);
    let grant = ReceivedGrant {
        service: demand.service,
        zone: demand.zone,
        count: response.count.min(demand.count),
        until,
    };
    // If the ring is full, the grant is lost and expires on both sides.
    let _ = shift.offer(Message::GrantReceived(grant));
}

/// Serves requests for headroom.
struct HeadroomHandler {
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
    let handler = Arc::new(HeadroomHandler {
        context,
        settings,
        shift,
        slots,
    });
    module.register_async_method(HEADROOM, move |params, _, _| {
        let handler = Arc::clone(&handler);
        async move {
            let request: HeadroomRequestBody = rpc::params(&params)?;
            let count = handler.handle(&request).await;
            let count = count.ok_or_else(|| rpc::error(rpc::UNAVAILABLE, "unavailable", ()))?;
            let lease_ms = handler.settings.lease_ms;
            Ok::<_, ErrorObjectOwned>(HeadroomResponseBody { count, lease_ms })
        }
    })?;
    Ok(())
}

impl HeadroomHandler {
    async fn handle(&self, request: &HeadroomRequestBody) -> Option<u32> {
        let topology = &self.context.topology;
        if self.context.is_stopping() {
            return Some(0);
        }
        let service = topology.service(&request.service)?;
        let zone = topology.zone(&request.zone)?;
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |rows| drop(tx.send(rows)));
        self.slots.offer(slots::Message::Read(reply)).ok()?;
        let rows: Vec<slots::Status> = rx.await.ok()?;
        let open = rows.iter().filter(|row| row.service == service && row.open);
        let request = HeadroomRequest {
            service,
            zone,
            requested: request.want,
            free: open.map(free).sum(),
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |count| {
            // The requester may have disconnected; its grant then expires unused.
            let _ = tx.send(count);
        });
        self.shift.offer(Message::Grant(request, reply)).ok()?;
        rx.await.ok()
    }
}

fn free(row: &slots::Status) -> u32 {
    row.limit.saturating_sub(row.taken + row.inherited)
}
