//! Messages of the steer duty.

use {
    crate::{
        call::{Payload, Reply},
        cancel::Cancel,
        catalog::follow::CatalogView,
        courier::Report,
        shares::LeaseResponse,
        workspaces::Credential,
    },
    std::sync::Arc,
};

/// A request from a caller.
pub struct Request {
    /// Name of the request, for log lines.
    pub name: String,
    /// Host that the request addresses.
    pub host: String,
    /// Hash of the affinity key, if the request has one.
    pub affinity: Option<u64>,
    /// Credential of the caller.
    pub credential: Credential,
    /// Milliseconds until the caller times out, if it sent a deadline.
    pub timeout_ms: Option<u64>,
    /// The request as it is sent to upstreams.
    pub payload: Arc<Payload>,
    /// Signals that the caller has disconnected.
    pub cancel: Cancel,
    /// Receives the outcome.
    pub reply: Reply,
}

impl std::fmt::Debug for Request {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Request")
            .field("name", &self.name)
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

/// Messages that the duty receives.
#[derive(Debug)]
pub enum Message {
    /// A request from a caller.
    Request(Box<Request>),
    /// Report of an ended attempt.
    AttemptEnded(Box<Report>),
    /// End of a call to the leader for tokens of limits: its answer, or `None`.
    LeaseAnswer(Option<LeaseResponse>),
    /// A newer catalogue, or a change of the control or entry VMs.
    CatalogUpdate(Box<CatalogView>),
    /// Whether any control VM can be reached.
    ControlReachable(bool),
}
