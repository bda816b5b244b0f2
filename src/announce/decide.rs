//! Grants, renews and ends leases. Without I/O or clock.

use {
    super::{
        messages::{Announcement, Notice},
        settings::Settings,
        state::{Row, State},
    },
    crate::{clock::Micros, keys::UpstreamKey},
};

/// Takes an announcement and returns what the slots duty must know.
pub(super) fn announce(
    state: &mut State,
    settings: Settings,
    now: Micros,
    said: Announcement,
) -> Vec<Notice> {
    let known = state.names.get(said.name.as_str()).copied();
    match known {
        Some(key) if is_stale(state, key, &said) => Vec::new(),
        Some(key) if is_same(state, key, &said) => renew(state, settings, now, key, said),
        Some(key) => {
            state.remove(key);
            let mut notices = vec![Notice::Absent { key }];
            notices.extend(join(state, settings, now, said));
            notices
        }
        None => join(state, settings, now, said),
    }
}

/// Ends the leases that have lapsed.
pub(super) fn lapse(state: &mut State, now: Micros) -> Vec<(String, Notice)> {
    let lapsed = state.rows.iter().filter(|(_, row)| row.lapses <= now);
    let lapsed: Vec<UpstreamKey> = lapsed.map(|(key, _)| key).collect();
    let mut notices = Vec::new();
    for key in lapsed {
        let name = state.rows[key].announcement.name.clone();
        state.remove(key);
        notices.push((name, Notice::Absent { key }));
    }
    notices
}

/// An announcement of an earlier life, late on its way.
fn is_stale(state: &State, key: UpstreamKey, said: &Announcement) -> bool {
    said.incarnation < state.rows[key].announcement.incarnation
}

/// The same life at the same address, so work in flight stays counted.
fn is_same(state: &State, key: UpstreamKey, said: &Announcement) -> bool {
    let last = &state.rows[key].announcement;
    last.incarnation == said.incarnation
        && last.address == said.address
        && last.service == said.service
}

fn renew(
    state: &mut State,
    settings: Settings,
    now: Micros,
    key: UpstreamKey,
    said: Announcement,
) -> Vec<Notice> {
    if said.leaving {
        state.remove(key);
        return vec![Notice::Absent { key }];
    }
    let row = &mut state.rows[key];
    row.lapses = now.plus_millis(settings.lease_ms);
    if row.announcement == said {
        return Vec::new();
    }
    row.announcement = said.clone();
    vec![Notice::Present {
        key,
        announcement: said,
    }]
}

fn join(state: &mut State, settings: Settings, now: Micros, said: Announcement) -> Vec<Notice> {
    if said.leaving {
        return Vec::new();
    }
    let lapses = now.plus_millis(settings.lease_ms);
    let name = said.name.clone();
    let key = state.rows.insert(Row {
        announcement: said.clone(),
        lapses,
    });
    state.names.insert(name, key);
    vec![Notice::Present {
        key,
        announcement: said,
    }]
}
