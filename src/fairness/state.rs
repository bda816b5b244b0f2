//! Waiting requests and the virtual time of each rank.

use {
    crate::{
        clock::Micros,
        keys::{InFlightKey, WorkspaceKey},
        sorted::Sorted,
    },
    std::sync::Arc,
};

/// Requests that share one part of the free slots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flow {
    /// All requests of a configuration without workspaces.
    All,
    /// Requests of a workspace.
    Workspace(WorkspaceKey),
    /// Requests without a workspace, by the name of their route.
    Route(Arc<str>),
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) key: InFlightKey,
    pub(super) rank: u32,
    pub(super) flow: Flow,
    pub(super) tag: u64,
    pub(super) arrived: Micros,
}

/// Virtual time of a rank. Each rank has one of its own: tags of a rank that is not served stand still, and requests
/// that arrived at the time of a better rank would be sent after all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Clock {
    /// Highest tag of a request that was sent, or one more.
    pub(super) time: u64,
    /// Flows with a request that was sent at the tag `time`, in ascending order. Without them, a flow could be sent one
    /// request after the other at the same tag.
    pub(super) served: Vec<Flow>,
}

/// The requests that wait for one service, in the order in which they are sent. A rank without waiting requests has no
/// state, and others have at most two flows for each waiting request.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// By rank, then tag, then arrival. The tags of a flow ascend in the order of arrival.
    pub(super) rows: Vec<Row>,
    /// Virtual time by rank.
    pub(super) clocks: Sorted<u32, Clock>,
}

impl Queue {
    /// Keys of the waiting requests in their order.
    ///
    /// ```
    /// assert_eq!(siskinstep::fairness::Queue::default().keys().next(), None);
    /// ```
    pub fn keys(&self) -> impl Iterator<Item = InFlightKey> {
        self.rows.iter().map(|row| row.key)
    }

    /// Number of waiting requests.
    ///
    /// ```
    /// assert_eq!(siskinstep::fairness::Queue::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no request waits.
    ///
    /// ```
    /// assert!(siskinstep::fairness::Queue::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
