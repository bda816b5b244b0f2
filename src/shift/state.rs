//! State of the shift duty: shifts and caps in force, their counters, and headroom grants.

use {
    super::limit::Limit,
    crate::{
        clock::Micros,
        keys::{ServiceKey, ShiftKey, ZoneKey},
        policy::{Cap, Shift},
        sorted::Sorted,
    },
    serde::Serialize,
    slotmap::SlotMap,
};

/// Reason why a shift moves fewer requests than ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// No grant of headroom from the target is valid.
    NoHeadroom,
    /// A cap is reached.
    Cap,
    /// This VM's share of an absolute rate is zero.
    NoPart,
    /// The shift is still ramping up to its amount.
    Ramp,
}

/// A shift in force on this VM.
#[derive(Clone, Debug)]
pub struct Row {
    /// The shift as the operator ordered it.
    pub order: Shift,
    /// Service whose requests are moved.
    pub service: ServiceKey,
    /// Source zones, sorted.
    pub from: Vec<ZoneKey>,
    /// Target zones, sorted.
    pub to: Vec<ZoneKey>,
    /// Limiter for the ordered amount.
    pub amount: Limit,
    /// Limiter for the cap of the shift.
    pub cap: Limit,
    /// Start of the ramp.
    pub started: Micros,
    /// Permille of the amount at the start of the ramp.
    pub base: u64,
    /// Number of requests that the shift applies to.
    pub seen: u64,
    /// Number of requests that it moved, including those that were returned without having run.
    pub moved: u64,
    /// Number of requests due to move since headroom was last requested.
    pub due: u32,
    /// Reason for moving fewer requests than ordered, if it does.
    pub wait: Option<Wait>,
}

/// A cap on the requests that all shifts of a service together move into a set of zones.
#[derive(Clone, Debug)]
pub struct CapRow {
    /// The cap as the operator ordered it.
    pub order: Cap,
    /// Service that the cap applies to.
    pub service: ServiceKey,
    /// Zones that it protects, sorted.
    pub to: Vec<ZoneKey>,
    /// Limiter for the capped amount.
    pub limit: Limit,
}

/// Headroom that another zone granted to this VM. Each unit allows one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedGrant {
    /// Service that it applies to.
    pub service: ServiceKey,
    /// Zone that granted it.
    pub zone: ZoneKey,
    /// Number of requests that may still be moved under it.
    pub count: u32,
    /// Time at which it expires.
    pub until: Micros,
}

/// Headroom that this VM granted to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedGrant {
    /// Service that it applies to.
    pub service: ServiceKey,
    /// Zone that requested it.
    pub zone: ZoneKey,
    /// Number of requests that may still arrive.
    pub count: u32,
    /// Time at which it expires: the end of the lease and of the transit time after it. For a request
    /// that has arrived, the time from which on the slot counts include it.
    pub until: Micros,
}

/// State of the shift duty.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Shifts in force.
    pub rows: SlotMap<ShiftKey, Row>,
    /// Keys of the shifts by name.
    pub names: Sorted<String, ShiftKey>,
    /// Caps in force.
    pub caps: Vec<CapRow>,
    /// Grants of headroom that this VM may use.
    pub received: Vec<ReceivedGrant>,
    /// Grants of headroom that this VM has issued.
    pub issued: Vec<IssuedGrant>,
}
