//! Evacuation orders, fenced so that one which its caller abandoned never undoes a later one that was
//! acknowledged.
//!
//! The order has neither an identity nor a base of its own, and a control VM that was frozen, or whose messages
//! were held up, may see it long after its caller repeated it elsewhere. Therefore a quorum confirms the revision
//! of the catalogue first. A caller that is still connected after that has seen no later order acknowledged; the
//! log rejects the order if a later one was accepted since the confirmed revision.

use crate::{
    agree::{SubmitResult, Unavailable},
    catalog::Order,
    policy::Rejection,
};

/// Times that an order is fenced anew because another order for the zone was accepted in the meantime.
const MAX_FENCES: u32 = 4;

/// What to do next with an evacuation order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Have a quorum confirm the revision of the catalogue.
    Confirm,
    /// Submit the order to the log.
    Submit(Order),
    /// Return the result to the caller.
    Reply(SubmitResult),
    /// Drop the order, whose caller has given up.
    Abandon,
}

/// An evacuation order in progress.
#[derive(Clone, Debug)]
pub(super) struct Evacuation {
    zone: String,
    on: bool,
    fences: u32,
}

impl Evacuation {
    /// Starts an order; the first step is to confirm the revision.
    pub(super) fn new(zone: String, on: bool) -> Self {
        Self {
            zone,
            on,
            fences: 0,
        }
    }

    /// The step after the revision was confirmed, or could not be. `is_abandoned` must be read after the
    /// confirmation arrived.
    pub(super) fn confirmed(&self, revision: Result<u64, Unavailable>, is_abandoned: bool) -> Step {
        if is_abandoned {
            return Step::Abandon;
        }
        match revision {
            Ok(base) => Step::Submit(Order::Evacuate {
                zone: self.zone.clone(),
                on: self.on,
                base: Some(base),
            }),
            Err(reason) => Step::Reply(Err(reason)),
        }
    }

    /// The step after the log returned a result.
    pub(super) fn submitted(&mut self, result: SubmitResult) -> Step {
        self.fences += 1;
        match result {
            Ok(Err(Rejection::Conflict { .. })) if self.fences < MAX_FENCES => Step::Confirm,
            // The order was not accepted, and the caller may send it again.
            Ok(Err(Rejection::Conflict { .. })) => Step::Reply(Err(Unavailable::Busy)),
            result => Step::Reply(result),
        }
    }
}
