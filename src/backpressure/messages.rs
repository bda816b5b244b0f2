//! What the responses of upstreams say about further requests, and what this VM makes of it.

use crate::clock::Micros;

/// Statement of a response about further requests to its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream is shutting down and accepts no further requests.
    pub is_leaving: bool,
    /// End of the period in which the upstream asks for no requests, if it asks for one.
    pub rest_until: Option<Micros>,
}

/// Change of what this VM believes about an upstream that asked for a rest period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is sent no requests until then.
    Resting(Micros),
    /// One request tests whether it accepts requests again.
    Probing,
    /// It accepts requests again, and gets them at a rate that rises.
    Returning,
    /// It gets requests without a limit.
    Returned,
}
