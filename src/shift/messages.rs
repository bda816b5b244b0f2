//! Messages of the shift duty.

use {
    super::{
        grant::HeadroomRequest,
        state::{ReceivedGrant, Wait},
    },
    crate::{
        call::Call,
        keys::{ServiceKey, ZoneKey},
        policy::Policy,
    },
    serde::Serialize,
    std::sync::Arc,
};

/// Status of one shift on this VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the shift.
    pub name: String,
    /// Number of requests that it applies to, since it was last set or this process started.
    pub seen: u64,
    /// Number of requests that it moved, including those that were returned without having run.
    pub moved: u64,
    /// Number of requests that may be moved now under granted headroom.
    pub headroom: u32,
    /// Reason for moving fewer requests than ordered, if it does.
    pub wait: Option<Wait>,
}

/// Headroom that this VM needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Service that it applies to.
    pub service: ServiceKey,
    /// Zone that is to grant it.
    pub zone: ZoneKey,
    /// Number of requests to be moved.
    pub count: u32,
}

/// Messages that the duty receives.
pub enum Message {
    /// A request that entered the system at this VM.
    Route(Call),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// A request that another zone moved to this zone has arrived.
    Arrived {
        /// Service of the request.
        service: ServiceKey,
        /// Zone where the request entered the system.
        zone: ZoneKey,
    },
    /// Another zone granted headroom.
    GrantReceived(ReceivedGrant),
    /// Another zone requests headroom; the reply is the number of requests granted.
    Grant(HeadroomRequest, Box<dyn FnOnce(u32) + Send>),
    /// Query for the headroom that this VM needs.
    Demand(Box<dyn FnOnce(Vec<Demand>) + Send>),
    /// Query for the status of every shift.
    Read(Box<dyn FnOnce(Vec<Status>) + Send>),
}
