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

/// Time after which an upstream without a lease is to echo its first token.
const ECHO_MS: u64 = 10;
/// Minimum interval between two hints of a better home to an upstream whose home is this VM.
const HINT_INTERVAL_MS: u64 = 30_000;

/// Handles an announcement. Returns the response and the notices for the slots duty.
pub(crate) fn announce(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    announcement: &Announcement,
) -> (Lease, Vec<Notice>) {
    // Every token has a different time, so that any two of them are ordered.
    state.issued = now.max(Micros(state.issued.0 + 1));
    let notices = accept(state, settings, context, now, announcement);
    let key = state.names.get(announcement.name.as_str()).copied();
    let key = key.filter(|key| {
        state.rows[*key].announcement.incarnation == announcement.incarnation
            && !announcement.leaving
    });
    let is_unavailable = announcement.leaving || state.drained || state.stopping;
    let lease = Lease {
        granted: key.is_some(),
        holder: holder(context, announcement),
        token: Token::new(context, state.issued),
        lease_ms: settings.lease_ms,
        renew_ms: if key.is_some() || is_unavailable {
            settings.renew_ms
        } else {
            ECHO_MS
        },
        home: hint(state, context, now, key, announcement),
    };
    (lease, notices)
}

fn accept(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    announcement: &Announcement,
) -> Vec<Notice> {
    let known = state.names.get(announcement.name.as_str()).copied();
    if known.is_some_and(|key| is_stale(state, key, announcement)) {
        return Vec::new();
    }
    let moved = !has_local_token(context, announcement);
    if moved {
        // The upstream last accepted the token of another home. Tokens that this VM issued before
        // belong to an earlier tenure and are void.
        state.fences.insert(announcement.name.clone(), state.issued);
    }
    let Some(key) = known else {
        return join(state, settings, context, now, announcement);
    };
    if announcement.leaving {
        return remove(state, key, Absence::Leaving);
    }
    if !is_unchanged(state, key, announcement) {
        let mut notices = remove(state, key, Absence::Replaced);
        notices.extend(join(state, settings, context, now, announcement));
        return notices;
    }
    if moved {
        return remove(state, key, Absence::Moved);
    }
    renew(state, settings, context, now, key, announcement)
}

/// Address of a better home, if there is one. An upstream whose home is this VM gets it at most
/// once in [`HINT_INTERVAL_MS`], except during shutdown.
///
/// An upstream that returns from the other VM keeps this home: it may be unable to reach that VM.
fn hint(
    state: &mut State,
    context: &Context,
    now: Micros,
    key: Option<UpstreamKey>,
    announcement: &Announcement,
) -> Option<SocketAddr> {
    let home = better_home(state, context, announcement)?;
    let Some(key) = key else {
        return Some(home);
    };
    let stopping = state.stopping;
    let row = &mut state.rows[key];
    if !stopping && now < row.last_hint.plus_millis(HINT_INTERVAL_MS) {
        return None;
    }
    row.last_hint = now;
    Some(home)
}

/// Returns whether the upstream last accepted a token of this incarnation of this VM.
fn has_local_token(context: &Context, announcement: &Announcement) -> bool {
    let token = announcement.token.as_ref();
    token.is_some_and(|token| token.vm == *context.vm && token.incarnation == context.incarnation)
}

/// Ends the leases that have expired.
pub(crate) fn expire(state: &mut State, settings: Settings, now: Micros) -> Vec<(String, Notice)> {
    let expired = state.rows.iter().filter(|(_, row)| row.expires <= now);
    let expired: Vec<UpstreamKey> = expired.map(|(key, _)| key).collect();
    // A token older than a lease grants nothing, so its fence is no longer needed.
    state
        .fences
        .retain(|_, fence| fence.plus_millis(settings.lease_ms) > now);
    let mut notices = Vec::new();
    for key in expired {
        let name = state.rows[key].announcement.name.clone();
        let removed = remove(state, key, Absence::Expired);
        notices.extend(removed.into_iter().map(|notice| (name.clone(), notice)));
    }
    notices
}

/// Ends every lease if `drained` is true; with false, this VM grants leases again.
pub(crate) fn set_drained(state: &mut State, drained: bool) -> Vec<Notice> {
    state.drained = drained;
    if !drained {
        return Vec::new();
    }
    let keys: Vec<UpstreamKey> = state.rows.keys().collect();
    let notices = keys
        .into_iter()
        .flat_map(|key| remove(state, key, Absence::Released));
    notices.collect()
}

/// Returns whether the drains in force take this VM or its availability zone out of service.
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

fn remove(state: &mut State, key: UpstreamKey, why: Absence) -> Vec<Notice> {
    state.remove(key);
    vec![Notice::Absent { key, why }]
}

/// Returns whether the announcement is a delayed one of an earlier incarnation.
fn is_stale(state: &State, key: UpstreamKey, announcement: &Announcement) -> bool {
    announcement.incarnation < state.rows[key].announcement.incarnation
}

/// Returns whether incarnation, address and service are unchanged, so that requests in flight stay
/// counted.
fn is_unchanged(state: &State, key: UpstreamKey, announcement: &Announcement) -> bool {
    let previous = &state.rows[key].announcement;
    previous.incarnation == announcement.incarnation
        && previous.address == announcement.address
        && previous.service == announcement.service
}

/// Time at which the lease of an echoed token expires; `None` if the token grants no lease.
fn expires(
    state: &State,
    settings: Settings,
    context: &Context,
    now: Micros,
    announcement: &Announcement,
) -> Option<Micros> {
    let token = announcement
        .token
        .as_ref()
        .filter(|_| has_local_token(context, announcement))?;
    let fence = state.fences.get(announcement.name.as_str()).copied();
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
    announcement: &Announcement,
) -> Vec<Notice> {
    let Some(expires) = expires(state, settings, context, now, announcement) else {
        return Vec::new();
    };
    let row = &mut state.rows[key];
    // An announcement that arrives out of order must not override a later one.
    if expires < row.expires {
        return Vec::new();
    }
    row.expires = expires;
    row.announcement = announcement.clone();
    vec![present_notice(context, key, announcement, expires)]
}

fn join(
    state: &mut State,
    settings: Settings,
    context: &Context,
    now: Micros,
    announcement: &Announcement,
) -> Vec<Notice> {
    if announcement.leaving || state.drained || state.stopping {
        return Vec::new();
    }
    let Some(expires) = expires(state, settings, context, now, announcement) else {
        return Vec::new();
    };
    let key = state.rows.insert(Row {
        announcement: announcement.clone(),
        expires,
        last_hint: now,
    });
    state.names.insert(announcement.name.clone(), key);
    vec![present_notice(context, key, announcement, expires)]
}

fn present_notice(
    context: &Context,
    key: UpstreamKey,
    announcement: &Announcement,
    expires: Micros,
) -> Notice {
    Notice::Present {
        key,
        announcement: announcement.clone(),
        holder: holder(context, announcement).into(),
        expires,
    }
}

/// Identifies this incarnation of the VM and the announced incarnation of the upstream.
fn holder(context: &Context, announcement: &Announcement) -> String {
    let (vm, incarnation) = (&context.vm, context.incarnation);
    format!("{vm}.{incarnation:x}.{:x}", announcement.incarnation)
}

/// Address of another VM of this availability zone that should be the upstream's home, if any.
///
/// Uses rendezvous hashing: when a VM joins or leaves, only the upstreams that it gains or loses
/// move.
fn better_home(
    state: &State,
    context: &Context,
    announcement: &Announcement,
) -> Option<SocketAddr> {
    let local = (!state.drained && !state.stopping).then(|| weight(&context.vm, announcement));
    let candidates = state
        .homes
        .iter()
        .filter(|home| home.zone == context.zone && *home.name != *context.vm)
        .filter(|home| !state.policy.has_drain(&Drain::Vm(home.name.clone())));
    let best: &Home =
        candidates.max_by_key(|home| (weight(&home.name, announcement), home.address))?;
    let is_better = local.is_none_or(|local| weight(&best.name, announcement) > local);
    is_better.then_some(best.address)
}

fn weight(vm: &str, announcement: &Announcement) -> u64 {
    xxh3_64_with_seed(
        announcement.name.as_bytes(),
        xxh3_64_with_seed(vm.as_bytes(), 0),
    )
}
