//! State of the membership duty.

use {
    super::{
        messages::{Member, MemberStatus, ZoneSummary},
        settings::Settings,
    },
    crate::{clock::Micros, keys::MemberKey, sorted::Sorted},
    slotmap::SlotMap,
    std::net::SocketAddr,
};

/// Another member and its dissemination state.
#[derive(Clone, Debug)]
pub struct Row {
    /// Latest known data.
    pub member: Member,
    /// Timestamp of the last change of its status or incarnation.
    pub changed: Micros,
    /// Timestamp of the last ping from the local VM.
    pub last_ping: Micros,
    /// Number of datagrams that have carried its current status.
    pub status_sends: u32,
    /// Number of datagrams that have carried its current heartbeat.
    pub heartbeat_sends: u32,
    /// Highest sequence number received from it.
    pub last_sequence: u64,
    /// Incarnation that `last_sequence` belongs to.
    pub sequence_incarnation: u64,
}

/// A ping that awaits an acknowledgement.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Member that was pinged.
    pub target: MemberKey,
    /// Incarnation of the member when it was pinged.
    pub incarnation: u64,
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Whether zone peers have been requested to ping it.
    pub relayed: bool,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub struct RelayedPing {
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Address of the member that requested it.
    pub requester: SocketAddr,
    /// Sequence number to acknowledge to the requester.
    pub probe: u64,
    /// Timestamp at which it was sent.
    pub sent: Micros,
}

/// Summary of a zone and its dissemination state.
#[derive(Clone, Debug)]
pub struct ZoneRow {
    /// Latest known summary.
    pub summary: ZoneSummary,
    /// Number of datagrams that have carried it.
    pub sends: u32,
}

/// State of the membership duty.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub settings: Settings,
    /// The local VM.
    pub local: Member,
    /// Other members.
    pub rows: SlotMap<MemberKey, Row>,
    /// Keys of `rows` by name.
    pub names: Sorted<String, MemberKey>,
    /// Zones for which a summary was received, in ascending order of keys.
    pub zones: Vec<ZoneRow>,
    /// Pings in flight.
    pub probes: Vec<Probe>,
    /// Pings on behalf of others in flight.
    pub relayed_pings: Vec<RelayedPing>,
    /// Sequence number of the last datagram sent.
    pub sequence: u64,
    /// Number of rounds so far.
    pub rounds: u64,
    /// Timestamp at which the next round is due.
    pub next_round: Micros,
    /// Timestamp of the last round.
    pub last_round: Micros,
    /// Timestamp at which the current attempt to join started.
    pub join_started: Micros,
    /// Last sequence number sent before the current attempt to join; acknowledgements up to it are
    /// ignored for joining.
    pub join_fence: u64,
    /// Whether the attempt to join succeeded: an acknowledgement has arrived, or no other VM exists
    /// or responds.
    pub joined: bool,
    /// Whether the local VM has a configuration to serve under, and has requested updates since the
    /// last freeze.
    pub config_ready: bool,
    /// Name after which the next page of members starts.
    pub page_cursor: String,
    /// Whether every page has been read since the current attempt to join started.
    pub synced: bool,
    /// Members that became alive or dead, with their status, not yet reported to the log.
    pub status_changes: Vec<(String, MemberStatus)>,
}

impl State {
    /// Creates the state of a VM without other members.
    #[must_use]
    pub fn new(settings: Settings, local: Member, now: Micros) -> Self {
        Self {
            settings,
            local: Member {
                status: MemberStatus::Suspect,
                ..local
            },
            rows: SlotMap::with_key(),
            names: Sorted::default(),
            zones: Vec::new(),
            probes: Vec::new(),
            relayed_pings: Vec::new(),
            sequence: 0,
            rounds: 0,
            next_round: now,
            last_round: now,
            join_started: now,
            join_fence: 0,
            joined: false,
            config_ready: false,
            page_cursor: String::new(),
            synced: false,
            status_changes: Vec::new(),
        }
    }

    /// Returns the row of the member with this name.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(*self.names.get(name)?)
    }

    /// Iterates over the members that may be pinged: all except evicted ones.
    pub(super) fn pingable(&self) -> impl Iterator<Item = (MemberKey, &Row)> {
        self.rows
            .iter()
            .filter(|(_, row)| row.member.status != MemberStatus::Dead)
    }
}
