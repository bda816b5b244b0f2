//! Watch channels and the lease, through which the duties and listeners of an entry VM share their
//! latest state, and the outputs of the membership duty.

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

/// State that duties and listeners read.
#[derive(Clone, Debug)]
pub(super) struct SharedState {
    /// Lease of this VM; it serves only while the lease is valid.
    pub lease: Lease,
    /// Latest members.
    pub members: MembersReceiver,
    /// Source from which peers fetch the configuration.
    pub source: Source,
}

/// Senders of the watch channels.
#[derive(Debug)]
pub(super) struct WatchSenders {
    /// Latest members, from the membership duty.
    pub members: watch::Sender<Arc<Members>>,
    /// Configuration in force, from the spread duty.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Whether configuration updates are being received, from the spread duty.
    pub is_current: watch::Sender<bool>,
}

/// Creates the watch channels.
pub(super) fn watches() -> (SharedState, WatchSenders) {
    let (members_tx, members) = watch::channel(Arc::default());
    let (policies_tx, policies) = watch::channel(Arc::default());
    let (is_current_tx, is_current) = watch::channel(true);
    let source = Source {
        policies,
        is_current,
        fleet: None,
    };
    let shared = SharedState {
        lease: Lease::default(),
        members,
        source,
    };
    let senders = WatchSenders {
        members: members_tx,
        policies: policies_tx,
        is_current: is_current_tx,
    };
    (shared, senders)
}

/// Creates the outputs of the membership duty; none of them blocks.
pub(super) fn outputs(
    local_name: Arc<str>,
    rings: &Rings,
    lease: Lease,
    members_tx: watch::Sender<Arc<Members>>,
) -> Outputs {
    let (lookup, forward) = (rings.lookup.clone(), rings.slots_outputs.forward.clone());
    let (announce, slots) = (rings.announce.clone(), rings.slots.clone());
    let peers_tx = rings.peers.clone();
    // If a ring is full, the update is dropped; the next round sends a new one.
    let publish = move |members: &Members| {
        let _ = lookup.offer(lookup::Message::Vms(vms(members)));
        let _ = announce.offer(announce::Message::Homes(homes(members)));
        let peers = peers(members, &local_name);
        peers_tx.send_replace(Arc::new(peers.clone()));
        let _ = forward.offer(forward::Message::Peers(peers));
    };
    let query_slots =
        move |callback: SlotsCallback| drop(slots.offer(slots::Message::Read(callback)));
    Outputs {
        lease,
        members: members_tx,
        publish: Box::new(publish),
        query_slots: Box::new(query_slots),
    }
}

/// Returns all VMs, with the data by which the look-up duty ranks them.
fn vms(members: &Members) -> Vec<lookup::messages::Vm> {
    let vm = |row: &Member| lookup::messages::Vm {
        name: row.name.clone(),
        zone: row.zone,
        callers: row.callers,
        free: total_free_slots(row),
        suspect: row.status == MemberStatus::Suspect,
    };
    members.rows.iter().map(vm).collect()
}

/// Returns the VMs that upstreams may announce themselves to.
fn homes(members: &Members) -> Vec<announce::messages::Home> {
    let is_usable = |row: &&Member| row.status == MemberStatus::Alive;
    let home = |row: &Member| announce::messages::Home {
        name: row.name.clone(),
        zone: row.zone,
        address: row.upstreams,
    };
    members.rows.iter().filter(is_usable).map(home).collect()
}

/// Returns the other VMs to which requests may be forwarded.
fn peers(members: &Members, local_name: &str) -> Vec<forward::messages::Peer> {
    let is_usable = |row: &&Member| row.status == MemberStatus::Alive && row.name != local_name;
    let peer = |row: &Member| forward::messages::Peer {
        name: row.name.clone(),
        zone: row.zone,
        address: row.peers,
        free: row.free_slots.clone(),
    };
    members.rows.iter().filter(is_usable).map(peer).collect()
}

/// Returns the free slots of a VM over all services.
fn total_free_slots(row: &Member) -> u32 {
    row.free_slots
        .iter()
        .fold(0, |sum, free| sum.saturating_add(free.slots))
}
