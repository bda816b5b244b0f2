//! The peers that take forwarded requests.

use super::messages::Peer;

/// A peer, and what has changed there since its report of free slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The peer as it last reported.
    pub peer: Peer,
    /// Requests in flight to it that its report cannot have counted.
    pub unseen: u32,
    /// Number of its report.
    pub report: u64,
}

/// The peers that take forwarded requests, by name.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Peers, sorted by name.
    pub rows: Vec<Row>,
}

impl State {
    /// Replaces the peers. A report that says something new counts what is in flight by itself.
    ///
    /// ```
    /// let mut state = siskinstep::forward::state::State::default();
    /// state.replace(vec![]);
    /// assert!(state.rows.is_empty());
    /// ```
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let last = std::mem::take(&mut self.rows);
        let renew = |peer: Peer| {
            let row = last.iter().find(|row| row.peer.name == peer.name);
            match row {
                Some(row) if row.peer == peer => row.clone(),
                known => Row {
                    report: known.map_or(0, |row| row.report + 1),
                    unseen: 0,
                    peer,
                },
            }
        };
        self.rows = peers.into_iter().map(renew).collect();
        self.rows.sort_by(|a, b| a.peer.name.cmp(&b.peer.name));
    }

    /// The row of the peer of that name.
    pub(super) fn row(&mut self, name: &str) -> Option<&mut Row> {
        let rows = &mut self.rows;
        let at = rows.binary_search_by(|row| row.peer.name.as_str().cmp(name));
        Some(&mut rows[at.ok()?])
    }
}
