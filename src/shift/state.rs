//! The shifts in force, what they moved, and the headroom that was granted.

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

/// Why a shift moves less than was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// The target has granted no headroom that is still valid.
    NoHeadroom,
    /// A cap leaves no room.
    Cap,
    /// This VM's part of an absolute rate is zero.
    NoPart,
    /// The shift rises to its amount.
    Ramp,
}

/// A shift in force, as this VM carries it out.
#[derive(Clone, Debug)]
pub struct Row {
    /// What the operator ordered.
    pub said: Shift,
    /// Service whose requests move.
    pub service: ServiceKey,
    /// Zones that the requests leave, sorted.
    pub from: Vec<ZoneKey>,
    /// Zones that may receive them, sorted.
    pub to: Vec<ZoneKey>,
    /// The amount ordered.
    pub amount: Limit,
    /// The cap.
    pub cap: Limit,
    /// Start of the ramp.
    pub began: Micros,
    /// Thousandths of the amount at the start of the ramp.
    pub base: u64,
    /// Requests that the shift applies to.
    pub seen: u64,
    /// Requests that it moved, those that came back included.
    pub moved: u64,
    /// Requests due to move since headroom was last asked for.
    pub due: u32,
    /// Why it moves less than was asked for, if it does.
    pub wait: Option<Wait>,
}

/// A cap on what all shifts of a service bring into a place.
#[derive(Clone, Debug)]
pub struct CapRow {
    /// What the operator ordered.
    pub said: Cap,
    /// Service that is capped.
    pub service: ServiceKey,
    /// Zones that it protects, sorted.
    pub to: Vec<ZoneKey>,
    /// The limit.
    pub limit: Limit,
}

/// Headroom that another zone granted to this VM: each unit is good for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Service it is for.
    pub service: ServiceKey,
    /// Zone that granted it.
    pub zone: ZoneKey,
    /// Requests that may still be moved under it.
    pub count: u32,
    /// When it ends.
    pub until: Micros,
}

/// Headroom that this VM granted to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Service it is for.
    pub service: ServiceKey,
    /// Zone that asked.
    pub zone: ZoneKey,
    /// Requests that may still come.
    pub count: u32,
    /// When it ends.
    pub until: Micros,
}

/// What the shift duty knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Shifts in force.
    pub rows: SlotMap<ShiftKey, Row>,
    /// Their keys by name.
    pub names: Sorted<String, ShiftKey>,
    /// Caps in force.
    pub caps: Vec<CapRow>,
    /// Headroom that this VM may use.
    pub held: Vec<Held>,
    /// Headroom that this VM owes.
    pub granted: Vec<Granted>,
}
