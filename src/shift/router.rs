//! Routes requests from the front end: through the shift duty only if a shift may apply to them.

use {
    super::messages::Message,
    crate::{
        call::{Call, Reason, Refusal},
        claims,
        keys::ServiceKey,
        ring::{Rejected, Sender},
        settings::topology::Topology,
        slots,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Services whose requests leave this zone under at least one shift, sorted.
pub type ShiftedServices = Arc<Vec<ServiceKey>>;

/// Sends a request to the duty after the shift duty.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Topology that the settings declare.
    pub topology: Arc<Topology>,
    /// The claims duty, for kinds that must run at most once.
    pub claims: Sender<claims::Message>,
    /// The slots duty, for all other kinds.
    pub slots: Sender<slots::Message>,
}

impl Dispatcher {
    /// Sends a request to the claims or the slots duty; refuses it if the ring is full.
    pub fn send(&self, call: Call) {
        let rejected = if self.topology.kind_row(call.meta.kind).at_most_once {
            match self.claims.offer(claims::Message::Place(call)) {
                Err(Rejected::Full(claims::Message::Place(call))) => Some(call),
                _ => None,
            }
        } else {
            match self.slots.offer(slots::Message::Place(call)) {
                Err(Rejected::Full(slots::Message::Place(call))) => Some(call),
                _ => None,
            }
        };
        refuse(rejected);
    }
}

/// Routes a request from the front end to the next duty.
///
/// Until the shift duty has applied a new shift, requests bypass it: they are neither counted nor
/// moved.
#[derive(Clone, Debug)]
pub struct Router {
    /// The shift duty.
    pub shift: Sender<Message>,
    /// Sends requests to the duties after the shift duty.
    pub dispatcher: Dispatcher,
    /// Services that the shift duty published last.
    pub shifted: watch::Receiver<ShiftedServices>,
}

impl Router {
    /// Sends a request to the next duty; refuses it if the ring is full.
    pub fn route(&self, call: Call) {
        let shifted = self.shifted.borrow();
        if shifted.binary_search(&call.meta.service).is_err() {
            return self.dispatcher.send(call);
        }
        if let Err(Rejected::Full(Message::Route(call))) = self.shift.offer(Message::Route(call)) {
            refuse(Some(call));
        }
    }
}

fn refuse(call: Option<Call>) {
    if let Some(call) = call {
        call.finish(Err(Refusal::not_run(Reason::RingFull)));
    }
}
