//! Where a request goes from the front end: to the shift duty only if a shift may apply to it.

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

/// The services of which requests leave this zone under some shift, sorted.
pub type ShiftedServices = Arc<Vec<ServiceKey>>;

/// Takes a request to the duty after the shift duty.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Names that the settings declare.
    pub topology: Arc<Topology>,
    /// The claims duty, for kinds that must run at most once.
    pub claims: Sender<claims::Message>,
    /// The slots duty, for all others.
    pub slots: Sender<slots::Message>,
}

impl Dispatcher {
    /// Sends a request on its way; a full ring refuses it.
    pub fn send(&self, call: Call) {
        let refused = if self.topology.kind_row(call.meta.kind).once {
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
        refuse(refused);
    }
}

/// Takes a request from the front end to the duty that is next.
///
/// Until the shift duty has taken in a new shift, requests pass it by: they are neither seen nor
/// moved.
#[derive(Clone, Debug)]
pub struct Router {
    /// The shift duty.
    pub shift: Sender<Message>,
    /// The duties after it.
    pub dispatcher: Dispatcher,
    /// What the shift duty published last.
    pub shifted: watch::Receiver<ShiftedServices>,
}

impl Router {
    /// Sends a request on its way; a full ring refuses it.
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
