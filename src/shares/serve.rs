//! The duty of a control VM that leases tokens while it leads, and the method by which entry VMs call it.

use {
    super::{
        encode::{self, Encoded},
        grant::{self, Grants, Limit, Start, WRITE_OFF_MS},
        messages::{LeaseRequest, LeaseResponse},
        settings::Settings,
    },
    crate::{
        catalog::serve::Source,
        clock::Micros,
        context::Context,
        duty,
        edge::rpc::{self, INVALID_PARAMS, UNAVAILABLE},
        ring::{Ring, Sender, Wait},
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::sync::oneshot,
};

/// Method by which an entry VM asks for tokens. A change of the encoding, which names no fields, changes the name.
pub(super) const LEASE_METHOD: &str = "shares.lease";
/// Interval at which the duty looks whether it leads.
const TICK_MS: u64 = 200;
/// Time without a look after which this control VM may have been suspended while another one led.
const MAX_TICK_MS: u64 = 1_000;

/// Reason for which a call is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This control VM does not lead; the leader as far as known.
    NotLeader(Option<SocketAddr>),
    /// A later call of this entry VM was answered before.
    Superseded,
}

/// Call of an entry VM.
pub struct Message {
    request: LeaseRequest,
    reply: oneshot::Sender<Result<LeaseResponse, Refusal>>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.request.vm)
    }
}

/// When the control VMs changed their leader, as far as this one knows.
#[derive(Debug, Default)]
pub(super) struct Tenures {
    leader: Option<SocketAddr>,
    began: Micros,
}

impl Tenures {
    /// Records the leader known at `now`, another control VM.
    pub(super) fn observe(&mut self, leader: Option<SocketAddr>, now: Micros) {
        if leader.is_some() && leader != self.leader {
            self.leader = leader;
            self.began = now;
        }
    }

    /// Begins the tenure of this control VM; returns what is known of the one before.
    pub(super) fn begin(&mut self, local: SocketAddr, now: Micros) -> Start {
        let is_settled = now >= self.began.plus_millis(WRITE_OFF_MS);
        self.leader = Some(local);
        self.began = now;
        if is_settled {
            Start::Settled
        } else {
            Start::Unsettled
        }
    }
}

struct Duty {
    context: Context,
    settings: Settings,
    local: SocketAddr,
    source: Source,
    tenures: Tenures,
    /// The state, while this control VM leads.
    grants: Option<Grants>,
    /// Revision of the catalogue whose limits the state has.
    revision: u64,
    looked_at: Micros,
    expired_at: Micros,
}

/// Adds the method to the module of a peer listener.
///
/// # Errors
/// A method of the same name is registered already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    ring: Sender<Message>,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(LEASE_METHOD, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let encoded: Encoded = rpc::params(&params)?;
            let Some(request) = encode::decode(&encoded) else {
                let text = "lease: malformed";
                return Err(rpc::error(INVALID_PARAMS, text, ()));
            };
            lease(&ring, request).await
        }
    })?;
    Ok(())
}

async fn lease(ring: &Sender<Message>, request: LeaseRequest) -> Result<Encoded, ErrorObjectOwned> {
    let (reply, result) = oneshot::channel();
    if ring.offer(Message { request, reply }).is_err() {
        return Err(rpc::error(UNAVAILABLE, "too many calls", ()));
    }
    match result.await {
        Ok(Ok(response)) => Ok(encode::encode(&response)),
        Ok(Err(Refusal::NotLeader(leader))) => {
            let text = "this control VM does not lead";
            Err(rpc::error(UNAVAILABLE, text, leader))
        }
        Ok(Err(Refusal::Superseded)) => {
            let text = "a later call was answered before";
            Err(rpc::error(UNAVAILABLE, text, ()))
        }
        Err(_) => Err(rpc::error(UNAVAILABLE, "stopping", ())),
    }
}

/// Starts the duty, which exits when the ring closes. `local` is the peer listener of this control VM.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    local: SocketAddr,
    source: Source,
    ring: Ring<Message>,
) -> io::Result<JoinHandle<()>> {
    let mut duty = Duty {
        context,
        settings,
        local,
        source,
        tenures: Tenures::default(),
        grants: None,
        revision: 0,
        looked_at: Micros(0),
        expired_at: Micros(0),
    };
    duty::spawn("shares", move || duty.run(&ring))
}

impl Duty {
    fn run(&mut self, ring: &Ring<Message>) {
        loop {
            let received = ring.recv_within(Duration::from_millis(TICK_MS));
            let now = self.context.clock.now();
            match received {
                Wait::Message(message) => {
                    self.look(now);
                    let result = self.lease(&message.request, now);
                    // The caller may have given up.
                    let _ = message.reply.send(result);
                }
                Wait::Timeout => self.look(now),
                Wait::Closed => return,
            }
        }
    }

    /// Begins or ends to lead, and follows the limits of the catalogue.
    fn look(&mut self, now: Micros) {
        let leader = *self.source.leader.borrow();
        if leader != Some(self.local) {
            self.tenures.observe(leader, now);
        }
        let is_leading = leader == Some(self.local) && *self.source.is_led.borrow();
        let is_late = now > self.looked_at.plus_millis(MAX_TICK_MS);
        self.looked_at = now;
        if !is_leading || is_late {
            self.grants = None;
        }
        if !is_leading {
            return;
        }
        let catalog = Arc::clone(&self.source.policies.borrow().catalog);
        let grants = self.grants.get_or_insert_with(|| {
            self.revision = 0;
            let start = self.tenures.begin(self.local, now);
            Grants::new(self.settings, start, now)
        });
        if catalog.revision != self.revision && catalog.workspaces.has_changed(self.revision) {
            let limits = catalog.workspaces.rows().iter().map(|row| {
                let (rate, burst) = (row.value.rate, row.value.burst);
                (row.name.as_str(), Limit { rate, burst })
            });
            grant::set_limits(grants, limits, now);
        }
        self.revision = catalog.revision;
        if now >= self.expired_at.plus_millis(TICK_MS) {
            self.expired_at = now;
            grant::expire(grants, now);
            let leased = usize::try_from(grants.leased()).unwrap_or(usize::MAX);
            self.context.metrics.set_gauge("shares_leased", leased);
        }
    }

    fn lease(&mut self, request: &LeaseRequest, now: Micros) -> Result<LeaseResponse, Refusal> {
        let metrics = &self.context.metrics;
        let Some(grants) = &mut self.grants else {
            metrics.count("shares_misdirected", 1);
            return Err(Refusal::NotLeader(*self.source.leader.borrow()));
        };
        let leased = grant::lease(grants, request, now);
        let response = leased.map_err(|_| Refusal::Superseded)?;
        let granted = response.rows.iter().map(|row| u64::from(row.granted)).sum();
        let denied = response.rows.iter().filter(|row| row.retry_ms > 0).count();
        metrics.count("shares_calls", 1);
        metrics.count("shares_granted", granted);
        metrics.count("shares_denied", u64::try_from(denied).unwrap_or(u64::MAX));
        Ok(response)
    }
}
