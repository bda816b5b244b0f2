//! Messages of the handover duty.

use {
    crate::{
        agree::{SubmitResult, Unavailable},
        cancel::Cancel,
        catalog::{Catalog, Order},
    },
    std::sync::Arc,
};

/// Result of a read: the newest catalogue, or the reason why it is not known.
pub type ReadResult = Result<Arc<Catalog>, Unavailable>;

/// Messages that the duty receives.
pub enum Message {
    /// A change of the catalogue.
    Order {
        /// The change.
        order: Box<Order>,
        /// Callback for the result.
        reply: Box<dyn FnOnce(SubmitResult) + Send>,
    },
    /// An order to evacuate an availability zone or to admit it again.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated.
        on: bool,
        /// Signals that the caller has given up.
        cancel: Cancel,
        /// Callback for the result.
        reply: Box<dyn FnOnce(SubmitResult) + Send>,
    },
    /// A read of the catalogue that is never older than what any control VM has acknowledged.
    Read {
        /// Callback for the result.
        reply: Box<dyn FnOnce(ReadResult) + Send>,
    },
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Order { .. } => "Order",
            Self::Evacuate { .. } => "Evacuate",
            Self::Read { .. } => "Read",
        })
    }
}
