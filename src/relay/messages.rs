//! Messages of the relay duty.

use {
    crate::{
        call::{Call, Ran, Reason},
        clock::Micros,
        keys::FlightKey,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// An attempt to be made.
#[derive(Debug)]
pub struct Dispatch {
    /// Slot that it holds.
    pub flight: FlightKey,
    /// Where to.
    pub address: SocketAddr,
    /// Header value that shows this VM's lease to the upstream.
    pub holder: Arc<str>,
    /// When to give it up.
    pub until: Micros,
    /// What for.
    pub call: Call,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// `No` only if nothing was written, or the upstream says that it did not run it.
    pub ran: Ran,
}
