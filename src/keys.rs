//! Small `Copy` keys. Each names a row of an arena; none owns anything.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

/// A region's row in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RegionKey(pub u16);

/// An availability zone's row in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ZoneKey(pub u16);

/// A service's row in the settings' service table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServiceKey(pub u16);

/// A request kind's row in the settings' kind table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KindKey(pub u16);

/// One request as it passes through this process; unique within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// Identity of a control VM's disk, drawn when its data folder was made; zero is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskKey(pub u64);

new_key_type! {
    /// An operator's call that waits for its answer, with a generation.
    pub struct TicketKey;
    /// A peer's call that waits for its answer, with a generation.
    pub struct ExchangeKey;
    /// An upstream's row in an arena, with a generation.
    pub struct UpstreamKey;
    /// An attempt in flight, with a generation.
    pub struct FlightKey;
    /// A shift's row in an arena, with a generation.
    pub struct ShiftKey;
    /// A request that waits for a slot, with a generation.
    pub struct WaitKey;
    /// A member's row in an arena, with a generation.
    pub struct MemberKey;
    /// A claim's row in an arena, with a generation.
    pub struct ClaimKey;
}

new_key_type! {
    /// One try to claim an idempotency key, with a generation.
    pub struct TryKey;
}
