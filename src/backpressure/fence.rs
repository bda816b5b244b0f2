//! Stops attempts that were dispatched to an upstream before it restricted further requests.

use {super::messages::Notice, crate::keys::UpstreamKey, slotmap::SecondaryMap};

/// Restrictions of the upstreams, as the courier duty knows them from the responses that it decodes.
#[derive(Debug, Default)]
pub struct Fence {
    notices: SecondaryMap<UpstreamKey, Notice>,
}

impl Fence {
    /// Records what a response of an upstream said.
    pub fn record(&mut self, upstream: UpstreamKey, notice: Notice) {
        if notice.is_leaving {
            self.notices.insert(upstream, notice);
        }
    }

    /// Restriction in force, if the upstream may not be sent a request now.
    ///
    /// ```
    /// # use siskinstep::{backpressure::{Fence, Notice}, keys::UpstreamKey};
    /// # use slotmap::SlotMap;
    /// let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::default();
    /// let (one, other) = (keys.insert(()), keys.insert(()));
    /// let mut fence = Fence::default();
    /// fence.record(one, Notice { is_leaving: true });
    /// assert!(fence.check(one).is_some() && fence.check(other).is_none());
    /// ```
    #[must_use]
    pub fn check(&self, upstream: UpstreamKey) -> Option<Notice> {
        self.notices.get(upstream).copied()
    }
}
