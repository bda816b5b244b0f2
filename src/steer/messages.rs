//! Messages of the steer duty.

use {
    crate::{
        call::{Payload, Reply},
        cancel::Cancel,
        catalog::follow::CatalogView,
        courier::Report,
    },
    std::sync::Arc,
};

/// A caller's request.
pub struct Ask {
    /// Name of the request, for logs.
    pub name: String,
    /// Host that the caller named.
    pub host: String,
    /// Hash of what requests for one object have in common.
    pub affinity: Option<u64>,
    /// Milliseconds that the caller waits, if it says.
    pub patience_ms: Option<u64>,
    /// The request as upstreams get it.
    pub payload: Arc<Payload>,
    /// Tells when the caller leaves.
    pub cancel: Cancel,
    /// Takes the outcome.
    pub reply: Reply,
}

impl std::fmt::Debug for Ask {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ask")
            .field("name", &self.name)
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

/// What the duty is told.
#[derive(Debug)]
pub enum Message {
    /// A caller's request.
    Ask(Box<Ask>),
    /// The end of an attempt.
    Ended(Box<Report>),
    /// A newer catalogue.
    Followed(Box<CatalogView>),
}
