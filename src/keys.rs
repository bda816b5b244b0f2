//! Small `Copy` keys that refer to rows of arenas, and IDs. None of them owns data.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

/// Index of a region in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RegionKey(pub u16);

/// Index of an availability zone in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ZoneKey(pub u16);

/// Index of a service in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServiceKey(pub u16);

/// Index of a request kind in the topology of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KindKey(pub u16);

/// ID of a request in this process, unique within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// Random ID of a control VM's disk, assigned when its data folder is created; zero means no disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

// Generational keys: a key of a removed row never matches a later row in the same place.
new_key_type! {
    /// Key of an operator's call that awaits its response.
    pub struct OperatorCallKey;
    /// Key of a peer's call that awaits its response.
    pub struct PeerCallKey;
    /// Key of an upstream.
    pub struct UpstreamKey;
    /// Key of a request in flight.
    pub struct InFlightKey;
    /// Key of a workspace.
    pub struct WorkspaceKey;
    /// Key of a shift.
    pub struct ShiftKey;
    /// Key of a request queued for a slot.
    pub struct QueuedKey;
    /// Key of a fleet member.
    pub struct MemberKey;
    /// Key of a claim.
    pub struct ClaimKey;
}

new_key_type! {
    /// Key of one attempt to claim an idempotency key.
    pub struct ClaimAttemptKey;
}
