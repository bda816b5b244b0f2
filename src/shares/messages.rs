//! Messages between entry VMs and the leader of the control VMs.

use serde::{Deserialize, Serialize};

/// Call of an entry VM: all of what it has, so that lost and repeated calls need no repair.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the entry VM.
    pub vm: String,
    /// Start time of its process; a later one supersedes earlier ones.
    pub incarnation: u64,
    /// Number of the call, increasing within an incarnation.
    pub sequence: u64,
    /// Workspaces of which the entry VM holds, has spent or wants tokens.
    pub rows: Vec<RequestRow>,
}

/// Tokens of one workspace on the calling entry VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRow {
    /// Name of the workspace.
    pub name: String,
    /// Tokens spent since the entry VM began to count; it counts on while it has a row at the leader.
    pub spent: u64,
    /// Tokens that the entry VM keeps. All others that the leader granted it are returned.
    pub held: u32,
    /// Further tokens wanted.
    pub wanted: u32,
}

/// Answer of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Number of the answered call.
    pub sequence: u64,
    /// A row for each workspace of the call.
    pub rows: Vec<ResponseRow>,
}

/// Tokens granted of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseRow {
    /// Name of the workspace.
    pub name: String,
    /// Number of tokens granted.
    pub granted: u32,
    /// If none was granted: milliseconds after which one can be expected. 0 otherwise.
    pub retry_ms: u32,
}
