//! Messages of the slots duty.

use {
    crate::{
        announce::{Absence, Notice},
        call::{Answer, Call},
        keys::{InFlightKey, ServiceKey},
        policy::Policy,
        relay::Failure,
    },
    std::sync::Arc,
};

/// Slot counts and availability of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name of the upstream.
    pub name: String,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Slots that it announces.
    pub limit: u32,
    /// Slots taken by attempts of this VM.
    pub taken: u32,
    /// Slots that attempts of its previous home VMs may still hold.
    pub inherited: u32,
    /// Whether it receives new requests.
    pub open: bool,
    /// Why the announce duty reports it absent; `None` while it is present.
    pub absence: Option<Absence>,
    /// Whether an operator drains the upstream, this VM or this availability zone.
    pub drained: bool,
}

/// Messages to the slots duty.
pub enum Message {
    /// A request that needs an upstream.
    Place(Call),
    /// An attempt ended; its call is returned.
    Done {
        /// The attempt.
        in_flight: InFlightKey,
        /// The call that the attempt was made for.
        call: Call,
        /// The response, or why there is none.
        result: Result<Answer, Failure>,
    },
    /// An upstream joined, renewed its lease or became absent.
    Upstream(Notice),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// Requests the status of every upstream.
    Read(Box<dyn FnOnce(Vec<Status>) + Send>),
}
