//! Messages of the relay duty.

use {
    crate::{
        call::{Call, Ran, Reason},
        clock::Micros,
        keys::InFlightKey,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// An attempt to dispatch.
#[derive(Debug)]
pub struct Dispatch {
    /// Key of the attempt in flight, which occupies a slot.
    pub in_flight: InFlightKey,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Header value that identifies this VM's lease to the upstream.
    pub holder: Arc<str>,
    /// When to abandon the attempt.
    pub until: Micros,
    /// The call to serve.
    pub call: Call,
}

/// An attempt without a response to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Reason of the failure.
    pub reason: Reason,
    /// Whether the upstream may have run the request: `No` only if nothing was written, or if the
    /// upstream reported that it did not run it.
    pub ran: Ran,
}
