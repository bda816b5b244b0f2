//! What the responses of upstreams say about further requests.

/// Statement of a response about further requests to its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream is shutting down and accepts no further requests.
    pub is_leaving: bool,
}
