//! Applies what the responses of upstreams say about further requests.

use {
    super::state::State,
    crate::{
        backpressure::{self, Notice},
        clock::Micros,
        courier::Target,
        observe::{Event, report_with},
    },
};

/// Records what a response of `target` said. Must be called before the attempt is finished, which may send further
/// requests.
pub(super) fn heed(state: &mut State, target: &Target, notice: Notice, now: Micros) {
    if notice.is_leaving {
        record_leaving(state, target, now);
    }
}

/// Stops all requests to the incarnation that `target` names.
fn record_leaving(state: &mut State, target: &Target, now: Micros) {
    if !backpressure::record_leaving(&mut state.pressure, &target.id, target.born, now) {
        return;
    }
    let key = state.ids.get(&target.id).copied();
    if let Some(upstream) = key.and_then(|key| state.upstreams.get_mut(key))
        && upstream.born <= target.born
    {
        upstream.eligible = false;
    }
    report_with(
        Event::UPSTREAM_WITHDRAWN,
        &[
            ("upstream", (*target.id).into()),
            ("born", target.born.into()),
        ],
        format_args!("{}, incarnation {}", target.id, target.born),
    );
}
