//! Changes of members, one at a time.

use {
    super::{
        decide::{Effect, Step},
        messages::{MemberChange, MemberStatus, Unavailable},
        replicate,
        state::{Role, State},
        wire::{Content, Member, Members},
    },
    crate::{
        clock::Micros,
        keys::{DiskKey, TicketKey},
    },
};

/// Most members that a cluster may have.
const MOST_MEMBERS: usize = 9;

/// The leader gives new disks their place and learners that have caught up their vote.
pub(super) fn tick(step: &mut Step<'_>) {
    if !may_change(step.state) {
        return;
    }
    let (state, now) = (&*step.state, step.now);
    let next = with_new_disk(state, now)
        .or_else(|| with_new_voter(state, now))
        .or_else(|| with_newcomer(state, now));
    if let Some(members) = next {
        propose(step, members, None);
    }
}

/// One change at a time, and only after an entry of the own term is committed.
fn may_change(state: &State) -> bool {
    let Role::Leader(leading) = &state.role else {
        return false;
    };
    let last = state.members.last().map_or(0, |(from, _)| *from);
    leading.change.is_none() && state.commit >= leading.start && last <= state.commit
}

fn heard(state: &State, disk: DiskKey) -> Micros {
    let Role::Leader(leading) = &state.role else {
        return Micros(0);
    };
    let progress = leading.progress.get(&disk);
    progress.map_or(Micros(0), |progress| progress.heard)
}

fn is_alive(state: &State, disk: DiskKey, now: Micros) -> bool {
    now < heard(state, disk).plus_millis(state.settings.election_ms)
}

/// A member that shows another disk, and whose known one is silent, has lost that one. The new disk
/// learns first: it has promised nothing of what the old one did.
fn with_new_disk(state: &State, now: Micros) -> Option<Members> {
    let mut members = state.members().clone();
    let lately = |at: &Micros| now < at.plus_millis(state.settings.election_ms);
    let changed = members.rows.iter_mut().find_map(|row| {
        let shown = state.shown.get(row.name.as_str())?;
        let (disk, at) = (&shown.disk, &shown.at);
        let lost = row.disk != state.hard.disk && !is_alive(state, row.disk, now);
        (*disk != row.disk && lost && lately(at)).then_some((row, *disk))
    });
    let (row, disk) = changed?;
    row.disk = disk;
    row.voter = false;
    (members.voters().count() > 0).then_some(members)
}

/// A control VM that shows itself joins, if the settings let it; with no room left, a member that
/// has long been silent makes some first.
fn with_newcomer(state: &State, now: Micros) -> Option<Members> {
    if !state.settings.auto_join {
        return None;
    }
    let members = state.members();
    let lately = |at: Micros| now < at.plus_millis(state.settings.election_ms);
    let mut shown = state.shown.rows().iter();
    let (name, row) = shown.find(|(name, row)| lately(row.at) && members.named(name).is_none())?;
    let mut next = members.clone();
    if next.rows.len() >= MOST_MEMBERS {
        let silent = |row: &Member| {
            let heard = heard(state, row.disk);
            row.disk != state.hard.disk && now >= heard.plus_millis(state.settings.silent_ms)
        };
        let at = next.rows.iter().position(silent)?;
        next.rows.remove(at);
        return (next.voters().count() > 0).then_some(next);
    }
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

/// A learner that holds everything committed becomes a voter.
fn with_new_voter(state: &State, now: Micros) -> Option<Members> {
    let Role::Leader(leading) = &state.role else {
        return None;
    };
    let mut members = state.members().clone();
    let caught_up = |disk: DiskKey| {
        let progress = leading.progress.get(&disk);
        progress.is_some_and(|row| row.matched >= state.commit) && is_alive(state, disk, now)
    };
    let row = members
        .rows
        .iter_mut()
        .find(|row| !row.voter && caught_up(row.disk))?;
    row.voter = true;
    Some(members)
}

fn propose(step: &mut Step<'_>, members: Members, ticket: Option<TicketKey>) {
    let at = step.push(&Content::Members(members));
    if let Some(leading) = step.state.leading() {
        leading.change = Some((at.index, ticket));
    }
    replicate::match_members(step);
}

/// Carries out an operator's change.
pub(super) fn change(step: &mut Step<'_>, ticket: TicketKey, change: MemberChange) {
    let answer = match step.refusal() {
        Some(reason) => Err(reason),
        None if !may_change(step.state) => Err(Unavailable::Busy),
        None => match changed(step.state.members(), change) {
            Ok(members) if members == *step.state.members() => Ok(Ok(())),
            Ok(members) => return propose(step, members, Some(ticket)),
            Err(text) => Ok(Err(text)),
        },
    };
    step.out.push(Effect::Changed { ticket, answer });
}

fn changed(members: &Members, change: MemberChange) -> Result<Members, String> {
    let mut next = members.clone();
    match change {
        MemberChange::Add {
            name,
            peers,
            operators,
        } => {
            if let Some(row) = members.named(&name) {
                let same = row.peers == peers && row.operators == operators;
                let text = || format!("{name} is a member at {}; remove it first", row.peers);
                return if same { Ok(next) } else { Err(text()) };
            }
            if members.rows.len() >= MOST_MEMBERS {
                return Err(format!("a cluster has at most {MOST_MEMBERS} members"));
            }
            next.rows.push(Member {
                name,
                peers,
                operators,
                disk: DiskKey(0),
                voter: false,
            });
            next.rows.sort_by(|a, b| a.name.cmp(&b.name));
        }
        MemberChange::Remove { name } => {
            next.rows.retain(|row| row.name != name);
            if next.voters().count() == 0 {
                return Err(format!("{name} is the last member that counts"));
            }
            // Sent again, it finds the member gone already.
        }
    }
    Ok(next)
}

/// The members as the leader sees them.
pub(super) fn status(state: &State, now: Micros) -> Vec<MemberStatus> {
    let last = state.log.last().index;
    let own = state.hard.disk;
    let row = |member: &Member| {
        let matched = match &state.role {
            Role::Leader(leading) => leading.progress.get(&member.disk).map(|row| row.matched),
            _ => None,
        };
        let is_self = member.disk == own;
        let matched = if is_self { last } else { matched.unwrap_or(0) };
        MemberStatus {
            name: member.name.clone(),
            peers: member.peers,
            operators: member.operators,
            voter: member.voter,
            leads: member.disk == state.leader && member.disk != DiskKey(0),
            alive: is_self || is_alive(state, member.disk, now),
            behind: last.saturating_sub(matched),
        }
    };
    state.members().rows.iter().map(row).collect()
}
