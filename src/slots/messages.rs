//! Messages of the slots duty.

use {
    crate::{
        announce::{Absence, Notice},
        call::{Answer, Call},
        keys::{FlightKey, ServiceKey},
        policy::Policy,
        relay::Failure,
    },
    std::sync::Arc,
};

/// One upstream as the duty counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name.
    pub name: String,
    /// Service.
    pub service: ServiceKey,
    /// Slots that it announces.
    pub limit: u32,
    /// Slots taken from here.
    pub taken: u32,
    /// Slots that earlier homes may still hold.
    pub inherited: u32,
    /// Whether it gets new work.
    pub open: bool,
    /// Why it gets none, if it is on its own account.
    pub absence: Option<Absence>,
    /// Whether an operator drains it, its VM or its availability zone.
    pub drained: bool,
}

/// What the duty is told.
pub enum Message {
    /// A request that needs an upstream.
    Place(Call),
    /// An attempt ended; its call comes back.
    Done {
        /// The attempt.
        flight: FlightKey,
        /// The call it was made for.
        call: Call,
        /// How it ended.
        result: Result<Answer, Failure>,
    },
    /// News of an upstream.
    Upstream(Notice),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// Asks for the counts.
    Read(Box<dyn FnOnce(Vec<Status>) + Send>),
}
