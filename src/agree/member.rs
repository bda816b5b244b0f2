//! Changes of the cluster's members, one at a time.

use {
    super::{
        decide::{Effect, Note, Step},
        messages::{MemberChange, MemberStatus, Unavailable},
        placement::{self, Place},
        replicate,
        settings::Settings,
        state::{Progress, ReceivedHello, Role, State},
        wire::{Content, Member, Members},
    },
    crate::{
        clock::Micros,
        keys::{DiskId, OperatorCallKey},
    },
};

/// Voters of a large fleet: the loss of a region of three, or of any four of them, leaves a quorum, and a
/// commit waits for five disks.
const LARGE_VOTERS: usize = 9;

/// Voters that are lost or heard, as the leader sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Tolerance {
    /// Voters of which the leader heard within an election time-out, itself among them.
    pub(super) heard: usize,
    /// Voters that make a quorum.
    pub(super) quorum: usize,
}

impl Tolerance {
    /// Further losses that leave a quorum.
    pub(super) fn losses(self) -> usize {
        self.heard.saturating_sub(self.quorum)
    }
}

/// Voters of which the loss of `count` leaves a quorum.
fn voters_to_lose(count: usize) -> usize {
    2 * count + 1
}

fn max_voters(settings: &Settings) -> usize {
    voters_to_lose(settings.tolerated_losses).max(LARGE_VOTERS)
}

/// Fewest voters that the tolerated losses leave with a quorum: as many disks as are stated, or all voters of a zone or
/// region, unless these could not be lost with all voters there either.
fn min_voters(state: &State) -> usize {
    let members = state.members();
    let spare = members.voters().count().saturating_sub(members.quorum());
    let tolerated = state.settings.tolerated_losses;
    let groups = placement::group_sizes(state).into_iter();
    let largest = groups.filter(|size| *size <= spare).max();
    voters_to_lose(largest.unwrap_or(0).max(tolerated))
}

/// As the leader, replaces lost disks, promotes learners that have caught up, removes members that are
/// silent, and adds VMs that join.
pub(super) fn tick(step: &mut Step<'_>) {
    report_tolerance(step);
    if !may_change(step.state) {
        return;
    }
    let (state, now) = (&*step.state, step.now);
    let next = with_new_disk(state, now)
        .or_else(|| with_new_voter(state, now))
        .or_else(|| without_silent(state, now))
        .or_else(|| without_surplus(state, now))
        .or_else(|| with_joining_vm(state, now));
    let Some(members) = next.filter(|members| keeps_quorum(state, members, now)) else {
        return;
    };
    let is_removed = |row: &&Member| members.named(&row.name).is_none();
    let removed = state.members().rows.iter().find(is_removed);
    if let Some(disk) = removed
        .filter(|row| is_silent(state, row, now))
        .map(|row| row.disk)
    {
        step.note(Note::MemberSilent(disk));
    }
    propose(step, members, None);
}

/// As the leader, reports when the voters begin or cease to tolerate as many losses as the settings state.
fn report_tolerance(step: &mut Step<'_>) {
    let (now, required) = (step.now, step.state.settings.tolerated_losses);
    let Role::Leader(leader_state) = &step.state.role else {
        return;
    };
    // Before that, the others have not replied yet.
    let has_led = step.state.commit >= leader_state.first_index;
    if !has_led || now < leader_state.next_heartbeat {
        return;
    }
    let tolerance = tolerance(step.state, step.state.members(), now);
    let is_low = tolerance.losses() < required;
    if let Some(leader_state) = step.state.leader_state()
        && leader_state.tolerance_low != Some(is_low)
    {
        leader_state.tolerance_low = Some(is_low);
        step.note(Note::Tolerance(tolerance));
    }
}

/// Whether a change of members may be proposed: no other one is in progress, and an entry of the
/// current term is committed.
fn may_change(state: &State) -> bool {
    let Role::Leader(leader_state) = &state.role else {
        return false;
    };
    let last = state.members.last().map_or(0, |(from, _)| *from);
    leader_state.change.is_none()
        && state.commit >= leader_state.first_index
        && last <= state.commit
}

fn progress(state: &State, disk: DiskId) -> Option<&Progress> {
    let Role::Leader(leader_state) = &state.role else {
        return None;
    };
    leader_state.progress.get(&disk)
}

fn last_contact(state: &State, disk: DiskId) -> Micros {
    progress(state, disk).map_or(Micros(0), |progress| progress.last_contact)
}

fn silent_since(state: &State, disk: DiskId) -> Micros {
    progress(state, disk).map_or(Micros(0), |progress| progress.silent_since)
}

fn is_alive(state: &State, disk: DiskId, now: Micros) -> bool {
    now < last_contact(state, disk).plus_millis(state.settings.election_ms)
}

/// The members with a lost disk replaced. A disk is considered lost when its VM reports another one
/// and nothing was received from the known one for an election time-out. The new disk starts as a
/// learner, as it does not have the votes and entries that the old one acknowledged.
fn with_new_disk(state: &State, now: Micros) -> Option<Members> {
    let mut members = state.members().clone();
    let is_recent = |at: &Micros| now < at.plus_millis(state.settings.election_ms);
    let changed = members.rows.iter_mut().find_map(|row| {
        let hello = state.hellos.get(row.name.as_str())?;
        let (disk, at) = (&hello.disk, &hello.at);
        let is_lost = row.disk != state.hard.disk && !is_alive(state, row.disk, now);
        (*disk != row.disk && is_lost && is_recent(at)).then_some((row, *disk))
    });
    let (row, disk) = changed?;
    row.disk = disk;
    row.voter = false;
    Some(members)
}

fn tolerance(state: &State, members: &Members, now: Micros) -> Tolerance {
    let has_replied = |disk| progress(state, disk).is_some_and(Progress::has_replied);
    let is_heard = |disk: &DiskId| {
        *disk == state.hard.disk || (has_replied(*disk) && is_alive(state, *disk, now))
    };
    Tolerance {
        heard: members.voters().filter(is_heard).count(),
        quorum: members.quorum(),
    }
}

/// Whether the voters that the leader still hears make a quorum of `next`, so that the change can be
/// committed. Without one, an entry that only this replica has would keep the others from electing a leader.
fn keeps_quorum(state: &State, next: &Members, now: Micros) -> bool {
    let tolerance = tolerance(state, next, now);
    tolerance.heard >= tolerance.quorum
}

/// Whether the leader received nothing from that other member for `silent_ms`. A member whose disk is not
/// known yet was added by an operator and may start later.
fn is_silent(state: &State, row: &Member, now: Micros) -> bool {
    let is_other = row.disk != state.hard.disk && row.disk != DiskId(0);
    let since = silent_since(state, row.disk);
    is_other && now >= since.plus_millis(state.settings.silent_ms)
}

/// The members without the one that has been silent for longest, as it makes the quorum larger and counts
/// towards none. A voter is kept if too few would remain: should it only be cut off, the disks that are
/// tolerated to be lost might otherwise be all that had an entry.
fn without_silent(state: &State, now: Micros) -> Option<Members> {
    if !state.settings.auto_join {
        return None;
    }
    let mut members = state.members().clone();
    let may_lose_voter = members.voters().count() > min_voters(state);
    let may_go = |row: &&Member| (may_lose_voter || !row.voter) && is_silent(state, row, now);
    let silent = members.rows.iter().filter(may_go);
    let removed = silent
        .min_by_key(|row| silent_since(state, row.disk))?
        .name
        .clone();
    members.rows.retain(|row| row.name != removed);
    Some(members)
}

/// Name of the voter that a learner at `place` is to replace: one that is silent, or one whose replacement
/// makes the spread more even.
fn replaced_voter(state: &State, place: Option<&Place>, now: Micros) -> Option<String> {
    let mut rows = state.members().rows.iter();
    let silent = rows.find(|row| row.voter && is_silent(state, row, now));
    if let Some(row) = silent {
        return Some(row.name.clone());
    }
    let (voters, places, local) = placement::voters(state)?;
    let at = placement::replaceable(&places, local, place?)?;
    Some(voters[at].name.clone())
}

/// The members with a VM added that sends hellos, if the settings let VMs join without an operator. The VM
/// is the one that leaves the voters spread most evenly. If all voters are there, it is added only to
/// replace one of them.
fn with_joining_vm(state: &State, now: Micros) -> Option<Members> {
    if !state.settings.auto_join {
        return None;
    }
    let members = state.members();
    let hellos = state.hellos.rows().iter();
    let candidates: Vec<&(String, ReceivedHello)> = hellos
        .filter(|(name, row)| {
            placement::is_recent(state, row.at, now) && members.named(name).is_none()
        })
        .collect();
    let places: Vec<Option<&Place>> = candidates
        .iter()
        .map(|row| state.places.get(row.0.as_str()))
        .collect();
    let member_places: Vec<&Place> = members
        .rows
        .iter()
        .filter_map(|row| state.places.get(row.name.as_str()))
        .collect();
    let has_zones = !state.settings.zone.is_empty();
    let best = placement::best_candidate(&member_places, &places, has_zones)?;
    let mut next = members.clone();
    let max_voters = max_voters(&state.settings);
    if next.rows.len() >= max_voters {
        let voters = next.voters().count();
        if voters != next.rows.len() || voters > max_voters {
            return None;
        }
        replaced_voter(state, places[best], now)?;
    }
    let (name, row) = candidates[best];
    next.rows.push(Member {
        name: name.clone(),
        peers: row.peers,
        operators: row.operators,
        disk: row.disk,
        voter: false,
    });
    next.rows.sort_by(|a, b| a.name.cmp(&b.name));
    Some(next)
}

/// Whether a learner is alive and has all entries that were committed a heartbeat ago: while commands are
/// accepted without a pause, it always lacks those of the last round trip.
fn is_caught_up(state: &State, disk: DiskId, now: Micros) -> bool {
    let Role::Leader(leader_state) = &state.role else {
        return false;
    };
    let progress = leader_state.progress.get(&disk);
    progress.is_some_and(|row| row.matched >= leader_state.settled_commit)
        && is_alive(state, disk, now)
}

/// The members with one learner promoted to voter that has caught up, if there is room for a voter.
fn with_new_voter(state: &State, now: Micros) -> Option<Members> {
    let mut members = state.members().clone();
    if members.voters().count() >= max_voters(&state.settings) {
        return None;
    }
    let mut rows = members.rows.iter_mut();
    let row = rows.find(|row| !row.voter && is_caught_up(state, row.disk, now))?;
    row.voter = true;
    Some(members)
}

/// The members without the voter that a learner which has caught up is to replace; a later change promotes
/// the learner. If it replaces none, the members without the learner.
fn without_surplus(state: &State, now: Micros) -> Option<Members> {
    let mut members = state.members().clone();
    let is_full = members.voters().count() >= max_voters(&state.settings);
    if !state.settings.auto_join || !is_full {
        return None;
    }
    let learner = members.rows.iter().find(|row| !row.voter)?;
    let place = state.places.get(learner.name.as_str());
    let removed = match replaced_voter(state, place, now) {
        Some(name) if is_caught_up(state, learner.disk, now) => name,
        Some(_) => return None,
        None => learner.name.clone(),
    };
    members.rows.retain(|row| row.name != removed);
    Some(members)
}

fn propose(step: &mut Step<'_>, members: Members, operator_call: Option<OperatorCallKey>) {
    let at = step.push(&Content::Members(members));
    if let Some(leader_state) = step.state.leader_state() {
        leader_state.change = Some((at.index, operator_call));
    }
    replicate::sync_progress(step);
}

/// Executes an operator's change of members.
pub(super) fn change(step: &mut Step<'_>, operator_call: OperatorCallKey, change: MemberChange) {
    let result = match step.refusal() {
        Some(reason) => Err(reason),
        None if !may_change(step.state) => Err(Unavailable::Busy),
        None => match apply_change(step.state, change) {
            Ok(members) if members == *step.state.members() => Ok(Ok(())),
            Ok(members) if !keeps_quorum(step.state, &members, step.now) => {
                let text = "too few of the remaining voters respond; try again once they do";
                Ok(Err(text.to_owned()))
            }
            Ok(members) => return propose(step, members, Some(operator_call)),
            Err(text) => Ok(Err(text)),
        },
    };
    step.effects.push(Effect::ReplyMembers {
        operator_call,
        result,
    });
}

fn apply_change(state: &State, change: MemberChange) -> Result<Members, String> {
    let (members, max_voters) = (state.members(), max_voters(&state.settings));
    let mut next = members.clone();
    match change {
        MemberChange::Add {
            name,
            peers,
            operators,
        } => {
            if let Some(row) = members.named(&name) {
                let is_same = row.peers == peers && row.operators == operators;
                let text = || format!("{name} is a member at {}; remove it first", row.peers);
                return if is_same { Ok(next) } else { Err(text()) };
            }
            if members.rows.len() >= max_voters {
                return Err(format!("a cluster has at most {max_voters} members"));
            }
            next.rows.push(Member {
                name,
                peers,
                operators,
                disk: DiskId(0),
                voter: false,
            });
            next.rows.sort_by(|a, b| a.name.cmp(&b.name));
        }
        MemberChange::Remove { name } => {
            next.rows.retain(|row| row.name != name);
            if next.voters().count() == 0 {
                return Err(format!("{name} is the last voting member"));
            }
            // A repeated removal finds no such member and succeeds.
        }
    }
    Ok(next)
}

/// Status of the members as seen by the leader.
pub(super) fn status(state: &State, now: Micros) -> Vec<MemberStatus> {
    let last = state.log.last().index;
    let local_disk = state.hard.disk;
    // A change that is not committed may be undone by the loss of this leader.
    let mut changes = state.members.iter().rev();
    let committed = changes.find(|(from, _)| *from <= state.commit);
    let row = |member: &Member| {
        let matched = match &state.role {
            Role::Leader(leader_state) => leader_state
                .progress
                .get(&member.disk)
                .map(|row| row.matched),
            _ => None,
        };
        let is_self = member.disk == local_disk;
        let matched = if is_self { last } else { matched.unwrap_or(0) };
        MemberStatus {
            name: member.name.clone(),
            peers: member.peers,
            operators: member.operators,
            voter: member.voter && committed.is_some_and(|(_, rows)| rows.is_voter(member.disk)),
            leads: member.disk == state.leader && member.disk != DiskId(0),
            alive: is_self || is_alive(state, member.disk, now),
            behind: last.saturating_sub(matched),
        }
    };
    state.members().rows.iter().map(row).collect()
}
