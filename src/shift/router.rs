//! Where a request goes next; duties that have nothing to do with it are passed by.

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
pub type Shifted = Arc<Vec<ServiceKey>>;

/// Takes a request from the front end to the duty that is next.
///
/// Until the shift duty has taken in a new shift, requests pass it by: they are neither seen nor
/// moved.
#[derive(Clone, Debug)]
pub struct Router {
    /// The shift duty.
    pub shift: Sender<Message>,
    /// What the shift duty published last.
    pub shifted: watch::Receiver<Shifted>,
    /// What comes after it.
    pub onward: Onward,
}

impl Router {
    /// Sends a request on its way; a full ring refuses it.
    pub fn route(&self, call: Call) {
        let service = call.meta.service;
        if self.shifted.borrow().binary_search(&service).is_err() {
            return self.onward.serve(call);
        }
        if let Err(Rejected::Full(Message::Route(call))) = self.shift.offer(Message::Route(call)) {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }
}

/// The way of a request whose zone is decided.
#[derive(Clone, Debug)]
pub struct Onward {
    /// The claims duty, for kinds that run at most once.
    pub claims: Sender<claims::Message>,
    /// The slots duty.
    pub slots: Sender<slots::Message>,
    /// Names that the settings declare.
    pub topology: Arc<Topology>,
}

impl Onward {
    /// Sends a request on its way; a full ring refuses it.
    pub fn serve(&self, call: Call) {
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
        if let Some(call) = refused {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }
}
