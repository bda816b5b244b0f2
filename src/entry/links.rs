//! The latest values that duties and listeners of an entry VM read from each other.

use {
    super::rings::Rings,
    crate::{
        announce, forward, lookup,
        membership::{
            Lease, Member, MemberStatus, Members, Outputs, SlotsCallback, messages::MembersReceiver,
        },
        policy::Policy,
        slots,
        spread::Source,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// The reading ends.
#[derive(Clone, Debug)]
pub(super) struct Links {
    /// Lease under which this VM serves.
    pub lease: Lease,
    /// The latest members.
    pub seen: MembersReceiver,
    /// Answers to peers that ask for the configuration.
    pub source: Source,
}

/// The writing ends.
#[derive(Debug)]
pub(super) struct Feeds {
    /// Written by the membership duty.
    pub seen: watch::Sender<Arc<Members>>,
    /// Written by the spread duty.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Written by the spread duty.
    pub is_current: watch::Sender<bool>,
}

/// Makes both ends.
pub(super) fn links() -> (Links, Feeds) {
    let (seen_in, seen) = watch::channel(Arc::default());
    let (policies_in, policies) = watch::channel(Arc::default());
    let (is_current_in, is_current) = watch::channel(true);
    let source = Source {
        policies,
        is_current,
        fleet: None,
    };
    let links = Links {
        lease: Lease::default(),
        seen,
        source,
    };
    let feeds = Feeds {
        seen: seen_in,
        policies: policies_in,
        is_current: is_current_in,
    };
    (links, feeds)
}

/// What the membership duty writes to; none of it waits.
pub(super) fn outputs(
    own: Arc<str>,
    rings: &Rings,
    lease: Lease,
    seen: watch::Sender<Arc<Members>>,
) -> Outputs {
    let (lookup, forward) = (rings.lookup.clone(), rings.out.forward.clone());
    let (announce, slots) = (rings.announce.clone(), rings.slots.clone());
    let others = rings.peers.clone();
    // A ring that is full now is tried again with the next round.
    let publish = move |members: &Members| {
        let _ = lookup.offer(lookup::Message::Vms(vms(members)));
        let _ = announce.offer(announce::Message::Homes(homes(members)));
        let peers = peers(members, &own);
        others.send_replace(Arc::new(peers.clone()));
        let _ = forward.offer(forward::Message::Peers(peers));
    };
    let query_slots = move |take: SlotsCallback| drop(slots.offer(slots::Message::Read(take)));
    Outputs {
        lease,
        members: seen,
        publish: Box::new(publish),
        query_slots: Box::new(query_slots),
    }
}

fn vms(members: &Members) -> Vec<lookup::messages::Vm> {
    let vm = |row: &Member| lookup::messages::Vm {
        name: row.name.clone(),
        zone: row.zone,
        callers: row.callers,
        free: free(row),
        suspect: row.status == MemberStatus::Suspect,
    };
    members.rows.iter().map(vm).collect()
}

/// VMs that upstreams may announce themselves to.
fn homes(members: &Members) -> Vec<announce::messages::Home> {
    let usable = |row: &&Member| row.status == MemberStatus::Alive;
    let home = |row: &Member| announce::messages::Home {
        name: row.name.clone(),
        zone: row.zone,
        address: row.upstreams,
    };
    members.rows.iter().filter(usable).map(home).collect()
}

/// Other VMs that forwarded requests may go to.
fn peers(members: &Members, own: &str) -> Vec<forward::messages::Peer> {
    let usable = |row: &&Member| row.status == MemberStatus::Alive && row.name != own;
    let peer = |row: &Member| forward::messages::Peer {
        name: row.name.clone(),
        zone: row.zone,
        address: row.peers,
        free: row.free_slots.clone(),
    };
    members.rows.iter().filter(usable).map(peer).collect()
}

fn free(row: &Member) -> u32 {
    row.free_slots
        .iter()
        .fold(0, |sum, free| sum.saturating_add(free.slots))
}
