//! What this VM believes about the upstreams.

use {
    crate::{
        clock::Micros,
        keys::{InFlightKey, UpstreamKey},
        sorted::Sorted,
    },
    slotmap::SecondaryMap,
    std::sync::Arc,
};

/// Beliefs about upstreams, from their own responses.
#[derive(Debug, Default)]
pub struct State {
    /// Incarnations that said that they leave, by the name of the upstream.
    pub(super) leaving: Sorted<Arc<str>, Leaving>,
    /// Rest periods that upstreams asked for, and their consequences.
    pub(super) rests: SecondaryMap<UpstreamKey, Rest>,
    /// Rest periods of upstreams that the catalogue does not list, by name and incarnation. A late report may list
    /// them again.
    pub(super) unlisted: Sorted<(Arc<str>, u64), Rest>,
}

/// An incarnation that said that it leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// The incarnation; it and all earlier ones have left.
    pub(super) born: u64,
    /// When the catalogue last listed the upstream, or when it said that it leaves.
    pub(super) listed: Micros,
}

/// An upstream that asked for a rest period.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest {
    /// End of the period as the upstream stated it.
    pub(super) asked_until: Micros,
    /// Time before which no request is sent, in all phases but `Probing`.
    pub(super) until: Micros,
    /// Milliseconds between two requests; halves with each of them while the upstream returns.
    pub(super) spacing_ms: u64,
    pub(super) phase: Phase,
}

/// Phase of a rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// After `until`, the next request is the probe.
    Resting,
    /// The probe is in flight.
    Probing(InFlightKey),
    /// Requests follow at a rate that rises.
    Returning,
}
