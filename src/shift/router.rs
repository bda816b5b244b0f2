//! Where a request goes from the front end: to the shift duty only if a shift may apply to it.

use {
    super::messages::Message,
    crate::{
        call::{Call, Reason, Refusal},
        keys::ServiceKey,
        ring::{Rejected, Sender},
        slots,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// The services of which requests leave this zone under some shift, sorted.
pub type Shifted = Arc<Vec<ServiceKey>>;

/// Takes a request to the duty that is next.
///
/// Until the shift duty has taken in a new shift, requests pass it by: they are neither seen nor
/// moved.
#[derive(Clone, Debug)]
pub struct Router {
    /// The shift duty.
    pub shift: Sender<Message>,
    /// The slots duty.
    pub slots: Sender<slots::Message>,
    /// What the shift duty published last.
    pub shifted: watch::Receiver<Shifted>,
}

impl Router {
    /// Sends a request on its way; a full ring refuses it.
    pub fn route(&self, call: Call) {
        let may_move = self
            .shifted
            .borrow()
            .binary_search(&call.meta.service)
            .is_ok();
        let refused = if may_move {
            match self.shift.offer(Message::Route(call)) {
                Err(Rejected::Full(Message::Route(call))) => Some(call),
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
