//! The peers that take forwarded requests.

use super::messages::Peer;

/// The peers that take forwarded requests, and how many requests each has in flight from here.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Peers with the requests in flight to each, by name.
    pub rows: Vec<(Peer, u32)>,
}

impl State {
    /// Replaces the peers; counts of those that stay are kept.
    ///
    /// ```
    /// let mut state = siskinstep::forward::state::State::default();
    /// state.replace(vec![]);
    /// assert!(state.rows.is_empty());
    /// ```
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let last = std::mem::take(&mut self.rows);
        let count = |peer: &Peer| {
            let row = last.iter().find(|(other, _)| other.name == peer.name);
            row.map_or(0, |(_, inflight)| *inflight)
        };
        self.rows = peers
            .into_iter()
            .map(|peer| (peer.clone(), count(&peer)))
            .collect();
        self.rows.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    }
}
