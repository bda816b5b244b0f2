//! Grants, renews and ends leases. Without I/O or clock.

use {
    super::{
        messages::{Absence, Announcement, Home, Lease, Notice},
        settings::Settings,
        state::{Row, State},
        token::Token,
    },
    crate::{
        clock::Micros,
        context::Context,
        keys::UpstreamKey,
        policy::{Drain, Policy},
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time after which an upstream without a lease sends back its first token.
const ECHO_MS: u64 = 10;
/// Time between two hints to an upstream that has its home here.
const HINT_INTERVAL_MS: u64 = 30_000;

/// Takes an announcement; returns the answer and what the slots duty must know.
pub(crate) fn announce(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    said: &Announcement,
) -> (Lease, Vec<Notice>) {
    // Tokens differ, so that it is clear which of two came first.
    state.issued = now.max(Micros(state.issued.0 + 1));
    let notices = accept(state, settings, context, now, said);
    let key = state.names.get(said.name.as_str()).copied();
    let key = key.filter(|key| {
        state.rows[*key].announcement.incarnation == said.incarnation && !said.leaving
    });
    let away = said.leaving || state.closed || state.stopping;
    let lease = Lease {
        granted: key.is_some(),
        holder: holder(context, said),
        token: Token::new(context, state.issued),
        lease_ms: settings.lease_ms,
        renew_ms: if key.is_some() || away {
            settings.renew_ms
        } else {
            ECHO_MS
        },
        home: hint(state, context, now, key, said),
    };
    (lease, notices)
}

fn accept(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    said: &Announcement,
) -> Vec<Notice> {
    let known = state.names.get(said.name.as_str()).copied();
    if known.is_some_and(|key| is_stale(state, key, said)) {
        return Vec::new();
    }
    let moved = !is_mine(context, said);
    if moved {
        // It last took another home's token. Tokens from before are of an earlier tenure.
        state.fences.insert(said.name.clone(), state.issued);
    }
    let Some(key) = known else {
        return join(state, settings, context, now, said);
    };
    if said.leaving {
        return end(state, key, Absence::Leaving);
    }
    if !is_same(state, key, said) {
        let mut notices = end(state, key, Absence::Replaced);
        notices.extend(join(state, settings, context, now, said));
        return notices;
    }
    if moved {
        return end(state, key, Absence::Moved);
    }
    renew(state, settings, context, now, key, said)
}

/// Another VM to announce to, if one is better; seldom to an upstream that has a home here.
///
/// An upstream that comes back from there keeps this home: the other VM may be out of its reach.
fn hint(
    state: &mut State,
    context: &Context,
    now: Micros,
    key: Option<UpstreamKey>,
    said: &Announcement,
) -> Option<SocketAddr> {
    let home = better_home(state, context, said)?;
    let Some(key) = key else {
        return Some(home);
    };
    let stopping = state.stopping;
    let row = &mut state.rows[key];
    if !stopping && now < row.hinted.plus_millis(HINT_INTERVAL_MS) {
        return None;
    }
    row.hinted = now;
    Some(home)
}

/// Whether the upstream last took an answer of this life of this VM.
fn is_mine(context: &Context, said: &Announcement) -> bool {
    let token = said.token.as_ref();
    token.is_some_and(|token| token.vm == *context.vm && token.life == context.incarnation)
}

/// Ends the leases that have lapsed.
pub(crate) fn expire(state: &mut State, settings: Settings, now: Micros) -> Vec<(String, Notice)> {
    let lapsed = state.rows.iter().filter(|(_, row)| row.expires <= now);
    let lapsed: Vec<UpstreamKey> = lapsed.map(|(key, _)| key).collect();
    // A token as old as a lease gives none, with or without a fence.
    state
        .fences
        .retain(|_, fence| fence.plus_millis(settings.lease_ms) > now);
    let mut notices = Vec::new();
    for key in lapsed {
        let name = state.rows[key].announcement.name.clone();
        let ended = end(state, key, Absence::Expired);
        notices.extend(ended.into_iter().map(|notice| (name.clone(), notice)));
    }
    notices
}

/// Ends every lease when this VM is drained; a later `closed` of false grants again.
pub(crate) fn close(state: &mut State, closed: bool) -> Vec<Notice> {
    state.closed = closed;
    if !closed {
        return Vec::new();
    }
    let keys: Vec<UpstreamKey> = state.rows.keys().collect();
    let ended = keys
        .into_iter()
        .flat_map(|key| end(state, key, Absence::Released));
    ended.collect()
}

/// Whether the drains in force take this VM or its availability zone out of service.
///
/// ```
/// use siskinstep::{announce, context::Context, keys::ZoneKey, policy::Policy};
/// let context = Context::new("entry-1", ZoneKey(0), Default::default());
/// assert!(!announce::is_drained(&Policy::default(), &context));
/// ```
#[must_use]
pub fn is_drained(policy: &Policy, context: &Context) -> bool {
    let zone = context.topology.zones.get(usize::from(context.zone.0));
    policy.has_drain(&Drain::Vm(context.vm.to_string()))
        || zone.is_some_and(|zone| policy.has_drain(&Drain::AvailabilityZone(zone.name.clone())))
}

fn end(state: &mut State, key: UpstreamKey, why: Absence) -> Vec<Notice> {
    state.remove(key);
    vec![Notice::Absent { key, why }]
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

/// When the lease ends that an echoed token gives; `None` if it gives none any more.
fn expires(
    state: &State,
    settings: Settings,
    context: &Context,
    now: Micros,
    said: &Announcement,
) -> Option<Micros> {
    let token = said.token.as_ref().filter(|_| is_mine(context, said))?;
    let fence = state.fences.get(said.name.as_str()).copied();
    let in_order = token.at <= state.issued && fence.is_none_or(|fence| token.at >= fence);
    let expires = token.at.plus_millis(settings.lease_ms);
    (in_order && expires > now).then_some(expires)
}

fn renew(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    key: UpstreamKey,
    said: &Announcement,
) -> Vec<Notice> {
    let Some(expires) = expires(state, settings, context, now, said) else {
        return Vec::new();
    };
    let row = &mut state.rows[key];
    // An announcement that was overtaken on its way must not undo a later one.
    if expires < row.expires {
        return Vec::new();
    }
    row.expires = expires;
    row.announcement = said.clone();
    vec![present(context, key, said, expires)]
}

fn join(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    said: &Announcement,
) -> Vec<Notice> {
    if said.leaving || state.closed || state.stopping {
        return Vec::new();
    }
    let Some(expires) = expires(state, settings, context, now, said) else {
        return Vec::new();
    };
    let key = state.rows.insert(Row {
        announcement: said.clone(),
        expires,
        hinted: now,
    });
    state.names.insert(said.name.clone(), key);
    vec![present(context, key, said, expires)]
}

fn present(context: &Context, key: UpstreamKey, said: &Announcement, expires: Micros) -> Notice {
    Notice::Present {
        key,
        announcement: said.clone(),
        holder: holder(context, said).into(),
        expires,
    }
}

/// Names this life of the VM and that life of the upstream.
fn holder(context: &Context, said: &Announcement) -> String {
    let (vm, life) = (&context.vm, context.incarnation);
    format!("{vm}.{life:x}.{:x}", said.incarnation)
}

/// Another VM of this availability zone that should be the upstream's home, if any.
///
/// Rendezvous hashing: a VM that comes or goes moves only the upstreams that it wins or had.
fn better_home(state: &State, context: &Context, said: &Announcement) -> Option<SocketAddr> {
    let own = (!state.closed && !state.stopping).then(|| weight(&context.vm, said));
    let near = state
        .homes
        .iter()
        .filter(|home| home.zone == context.zone && *home.name != *context.vm)
        .filter(|home| !state.policy.has_drain(&Drain::Vm(home.name.clone())));
    let best: &Home = near.max_by_key(|home| (weight(&home.name, said), home.address))?;
    let better = own.is_none_or(|own| weight(&best.name, said) > own);
    better.then_some(best.address)
}

fn weight(vm: &str, said: &Announcement) -> u64 {
    xxh3_64_with_seed(said.name.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}
