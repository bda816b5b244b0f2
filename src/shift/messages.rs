//! Messages of the shift duty.

use {
    super::{
        grant::Ask,
        state::{Held, Wait},
    },
    crate::{
        call::Call,
        keys::{ServiceKey, ZoneKey},
        policy::Policy,
    },
    serde::Serialize,
    std::sync::Arc,
};

/// One shift as this VM carries it out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name.
    pub name: String,
    /// Requests that it applies to, since it was put or this process started.
    pub seen: u64,
    /// Requests that it moved, those that came back included.
    pub moved: u64,
    /// Requests that may be moved now under granted headroom.
    pub headroom: u32,
    /// Why it moves less than was asked for, if it does.
    pub wait: Option<Wait>,
}

/// Headroom that this VM needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// Service it is for.
    pub service: ServiceKey,
    /// Zone that is to grant it.
    pub zone: ZoneKey,
    /// Requests to be moved.
    pub count: u32,
}

/// What the duty is told.
pub enum Message {
    /// A request that entered here.
    Route(Call),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// A request that another zone moved here has arrived.
    Arrived {
        /// Service it is for.
        service: ServiceKey,
        /// Zone where it entered the system.
        zone: ZoneKey,
    },
    /// Another zone granted headroom.
    Hold(Held),
    /// Another zone asks for headroom; the answer is what it is granted.
    Grant(Ask, Box<dyn FnOnce(u32) + Send>),
    /// Asks how much headroom is needed.
    Wanted(Box<dyn FnOnce(Vec<Wanted>) + Send>),
    /// Asks for the shifts as they are carried out.
    Read(Box<dyn FnOnce(Vec<Status>) + Send>),
}
