//! Messages of the relay duty.

use {
    crate::{
        call::{Call, Ran, Reason},
        keys::FlightKey,
    },
    std::net::SocketAddr,
};

/// An attempt to be made.
#[derive(Debug)]
pub struct Dispatch {
    /// Slot that it holds.
    pub flight: FlightKey,
    /// Where to.
    pub address: SocketAddr,
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
