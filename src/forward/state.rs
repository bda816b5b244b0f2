//! Peers that accept forwarded requests.

use super::messages::Peer;

/// A peer, and the requests sent to it since it last reported its free slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The peer as it last reported.
    pub peer: Peer,
    /// Requests in flight to the peer that its last report cannot include.
    pub unreported: u32,
    /// Sequence number of its last report.
    pub report: u64,
}

/// Peers that accept forwarded requests.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Peers, sorted by name.
    pub rows: Vec<Row>,
}

impl State {
    /// Replaces the peers. A report that differs from the previous one already includes the
    /// requests in flight, so their count restarts at zero.
    ///
    /// ```
    /// let mut state = siskinstep::forward::state::State::default();
    /// state.replace(vec![]);
    /// assert!(state.rows.is_empty());
    /// ```
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let previous = std::mem::take(&mut self.rows);
        let update = |peer: Peer| {
            let row = previous.iter().find(|row| row.peer.name == peer.name);
            match row {
                Some(row) if row.peer == peer => row.clone(),
                known => Row {
                    report: known.map_or(0, |row| row.report + 1),
                    unreported: 0,
                    peer,
                },
            }
        };
        self.rows = peers.into_iter().map(update).collect();
        self.rows.sort_by(|a, b| a.peer.name.cmp(&b.peer.name));
    }

    /// The row of the peer named `name`.
    pub(super) fn row(&mut self, name: &str) -> Option<&mut Row> {
        let rows = &mut self.rows;
        let at = rows.binary_search_by(|row| row.peer.name.as_str().cmp(name));
        Some(&mut rows[at.ok()?])
    }
}
