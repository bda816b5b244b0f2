//! What the membership duty knows.

use {
    super::{
        messages::{Member, Standing, Summary},
        settings::Settings,
    },
    crate::{clock::Micros, keys::MemberKey, sorted::Sorted},
    slotmap::SlotMap,
    std::net::SocketAddr,
};

/// Another member.
#[derive(Clone, Debug)]
pub struct Row {
    /// What is known of it.
    pub member: Member,
    /// When its standing last changed.
    pub changed: Micros,
    /// When it was last pinged.
    pub probed: Micros,
    /// Datagrams that have carried its present standing.
    pub told: u32,
    /// Datagrams that have carried its present beat.
    pub shown: u32,
    /// Highest sequence number that it sent itself.
    pub sequence: u64,
    /// Incarnation that `sequence` belongs to.
    pub epoch: u64,
}

/// A ping that awaits its acknowledgement.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Member that was pinged.
    pub target: MemberKey,
    /// Its incarnation then.
    pub incarnation: u64,
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Whether others have been asked to ping it.
    pub relayed: bool,
}

/// A ping sent for another member.
#[derive(Clone, Copy, Debug)]
pub struct Errand {
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Who asked.
    pub asker: SocketAddr,
    /// Number that the asker waits for.
    pub probe: u64,
    /// When it was sent.
    pub sent: Micros,
}

/// A zone's summary with its use.
#[derive(Clone, Debug)]
pub struct Zone {
    /// What is known.
    pub summary: Summary,
    /// Datagrams that have carried it.
    pub told: u32,
}

/// What the membership duty knows.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub settings: Settings,
    /// This VM.
    pub own: Member,
    /// Other members.
    pub rows: SlotMap<MemberKey, Row>,
    /// Keys of `rows` by name.
    pub names: Sorted<String, MemberKey>,
    /// Other zones and the own one, by rising key.
    pub zones: Vec<Zone>,
    /// Pings in flight.
    pub probes: Vec<Probe>,
    /// Pings for others in flight.
    pub errands: Vec<Errand>,
    /// Sequence number of the last datagram.
    pub sequence: u64,
    /// Rounds so far.
    pub round: u64,
    /// When the next round is due.
    pub due: Micros,
    /// When the last round was.
    pub last: Micros,
    /// When the present attempt to join began.
    pub since: Micros,
    /// Sequence numbers above this one were sent after the attempt began.
    pub fence: u64,
    /// Whether an acknowledgement has come since, or nobody is there to send one.
    pub joined: bool,
    /// Whether this VM knows a configuration that it may serve under.
    pub ready: bool,
    /// Name after which the next page of members starts.
    pub page: String,
    /// Whether every page has been read once since this VM joined.
    pub synced: bool,
    /// Evictions and joins to be reported.
    pub news: Vec<(String, Standing)>,
}

impl State {
    /// A member that knows nobody yet.
    #[must_use]
    pub fn new(settings: Settings, own: Member, now: Micros) -> Self {
        Self {
            settings,
            own: Member {
                standing: Standing::Suspect,
                ..own
            },
            rows: SlotMap::with_key(),
            names: Sorted::default(),
            zones: Vec::new(),
            probes: Vec::new(),
            errands: Vec::new(),
            sequence: 0,
            round: 0,
            due: now,
            last: now,
            since: now,
            fence: 0,
            joined: false,
            ready: false,
            page: String::new(),
            synced: false,
            news: Vec::new(),
        }
    }

    /// The row of that name.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(*self.names.get(name)?)
    }

    /// Other members that may be pinged: all but evicted ones.
    pub(super) fn present(&self) -> impl Iterator<Item = (MemberKey, &Row)> {
        self.rows
            .iter()
            .filter(|(_, row)| row.member.standing != Standing::Dead)
    }
}
