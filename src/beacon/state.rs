//! Entry VMs that were heard lately.

use {
    super::messages::Beacon,
    crate::{clock::Micros, sorted::Sorted},
    std::net::SocketAddr,
};

/// Milliseconds between two datagrams. Five of them fit into the time after which a VM is no longer named.
pub const BEAT_MS: u64 = 400;
/// Milliseconds after which a silent VM is no longer named: users allow 6 s, and callers keep an
/// answer for some seconds more.
pub const SILENT_MS: u64 = 2_000;

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Its latest datagram.
    pub beacon: Beacon,
    /// When it came.
    pub at: Micros,
}

/// Entry VMs by the address that callers use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveEntries {
    /// Rows by rising address.
    pub rows: Sorted<SocketAddr, Live>,
}

impl LiveEntries {
    /// Takes a datagram in; whether it changes who is named.
    ///
    /// ```
    /// use siskinstep::{beacon::{Beacon, LiveEntries}, clock::Micros};
    /// let beacon = Beacon {
    ///     vm: "entry-1".into(), zone: "north-a".into(), callers: "10.0.0.1:80".parse().unwrap(),
    ///     incarnation: 1, beat: 1, ready: true,
    /// };
    /// let mut seen = LiveEntries::default();
    /// assert!(seen.take(beacon.clone(), Micros(0)));
    /// assert!(!seen.take(beacon, Micros(0)));
    /// assert_eq!(seen.nearest("north-a", |_| false).len(), 1);
    /// ```
    pub fn take(&mut self, beacon: Beacon, now: Micros) -> bool {
        let known = self.rows.get(&beacon.callers);
        if let Some(known) = known
            && known.beacon.incarnation == beacon.incarnation
            && known.beacon.beat >= beacon.beat
        {
            return false;
        }
        let shown = |row: &Beacon| (row.zone.clone(), row.ready);
        let changed = known.is_none_or(|known| shown(&known.beacon) != shown(&beacon));
        self.rows.insert(beacon.callers, Live { beacon, at: now });
        changed
    }

    /// Forgets who has been silent for long; whether anybody was.
    pub fn expire(&mut self, now: Micros) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now < row.at.plus_millis(SILENT_MS));
        before != self.rows.len()
    }

    fn ready(&self) -> impl Iterator<Item = &Beacon> {
        let rows = self.rows.rows().iter().map(|(_, row)| &row.beacon);
        rows.filter(|beacon| beacon.ready)
    }

    /// Addresses of the VMs that serve, for a caller in `zone`: those of the zone, else those of
    /// zones that `is_near`, else all.
    #[must_use]
    pub fn nearest(&self, zone: &str, is_near: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let own: Vec<SocketAddr> = self
            .ready()
            .filter(|row| row.zone == zone)
            .map(|row| row.callers)
            .collect();
        if !own.is_empty() {
            return own;
        }
        let near: Vec<SocketAddr> = self
            .ready()
            .filter(|row| is_near(&row.zone))
            .map(|row| row.callers)
            .collect();
        if !near.is_empty() {
            return near;
        }
        self.ready().map(|row| row.callers).collect()
    }

    /// How many VMs serve in each availability zone, by name.
    #[must_use]
    pub fn ready_by_zone(&self) -> Vec<(String, u32)> {
        let mut zones: Sorted<String, u32> = Sorted::default();
        for row in self.ready() {
            let count = zones.get(&row.zone).copied().unwrap_or(0);
            zones.insert(row.zone.clone(), count + 1);
        }
        zones.rows().to_vec()
    }
}
