//! What this VM believes about the upstreams.

use {
    crate::{clock::Micros, sorted::Sorted},
    std::sync::Arc,
};

/// Beliefs about upstreams, from their own responses.
#[derive(Debug, Default)]
pub struct State {
    /// Incarnations that said that they leave, by the name of the upstream.
    pub(super) leaving: Sorted<Arc<str>, Leaving>,
}

/// An incarnation that said that it leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// The incarnation; it and all earlier ones have left.
    pub(super) born: u64,
    /// When the catalogue last listed the upstream, or when it said that it leaves.
    pub(super) listed: Micros,
}
