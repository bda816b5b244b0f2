//! Stops attempts that were dispatched to an upstream before it restricted further requests.

use {
    super::messages::Notice,
    crate::{clock::Micros, keys::UpstreamKey},
    slotmap::SecondaryMap,
};

/// Restrictions of the upstreams, as the courier duty knows them from the responses that it decodes.
#[derive(Debug, Default)]
pub struct Fence {
    notices: SecondaryMap<UpstreamKey, Notice>,
}

impl Fence {
    /// Records what a response of an upstream said.
    pub fn record(&mut self, upstream: UpstreamKey, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let known = self.notices.get(upstream).copied().unwrap_or_default();
        let merged = Notice {
            is_leaving: known.is_leaving || notice.is_leaving,
            rest_until: known.rest_until.max(notice.rest_until),
        };
        self.notices.insert(upstream, merged);
    }

    /// Restriction in force, if the upstream may not be sent a request now.
    ///
    /// ```
    /// # use siskinstep::{backpressure::{Fence, Notice}, clock::Micros, keys::UpstreamKey};
    /// # use slotmap::SlotMap;
    /// let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::default();
    /// let (one, other) = (keys.insert(()), keys.insert(()));
    /// let mut fence = Fence::default();
    /// fence.record(one, Notice { is_leaving: true, rest_until: None });
    /// assert!(fence.check(one, Micros(0)).is_some() && fence.check(other, Micros(0)).is_none());
    /// ```
    #[must_use]
    pub fn check(&self, upstream: UpstreamKey, now: Micros) -> Option<Notice> {
        let notice = self.notices.get(upstream)?;
        let is_resting = notice.rest_until.is_some_and(|until| now < until);
        (notice.is_leaving || is_resting).then_some(*notice)
    }
}
