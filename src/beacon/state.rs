//! Entry VMs with a recent heartbeat.

use {
    super::messages::Beacon,
    crate::{clock::Micros, sorted::Sorted},
    std::net::SocketAddr,
};

/// Interval of heartbeats in milliseconds. Five intervals fit into `EXPIRY_MS`.
pub const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Milliseconds without a heartbeat after which an entry VM is no longer listed. Users allow 6 s,
/// which must also cover the seconds for which callers cache a response.
pub const EXPIRY_MS: u64 = 2_000;

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEntry {
    /// Its latest heartbeat.
    pub beacon: Beacon,
    /// When the heartbeat arrived.
    pub at: Micros,
}

/// Entry VMs with a recent heartbeat, by the address of their caller listener.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveEntries {
    /// Rows in ascending order of address.
    pub rows: Sorted<SocketAddr, LiveEntry>,
}

impl LiveEntries {
    /// Records a heartbeat that arrived at `now`. Heartbeats of the same incarnation with the same
    /// or a lower counter are ignored. Returns whether an entry VM was added, or its zone or
    /// readiness changed.
    ///
    /// ```
    /// use siskinstep::{beacon::{Beacon, LiveEntries}, clock::Micros};
    /// let beacon = Beacon {
    ///     vm: "entry-1".into(), zone: "north-a".into(), callers: "10.0.0.1:80".parse().unwrap(),
    ///     incarnation: 1, beat: 1, ready: true,
    /// };
    /// let mut entries = LiveEntries::default();
    /// assert!(entries.record(beacon.clone(), Micros(0)));
    /// assert!(!entries.record(beacon, Micros(0)));
    /// assert_eq!(entries.nearest("north-a", |_| false).len(), 1);
    /// ```
    pub fn record(&mut self, beacon: Beacon, now: Micros) -> bool {
        let last = self.rows.get(&beacon.callers);
        if let Some(last) = last
            && last.beacon.incarnation == beacon.incarnation
            && last.beacon.beat >= beacon.beat
        {
            return false;
        }
        let listed = |row: &Beacon| (row.zone.clone(), row.ready);
        let changed = last.is_none_or(|last| listed(&last.beacon) != listed(&beacon));
        self.rows
            .insert(beacon.callers, LiveEntry { beacon, at: now });
        changed
    }

    /// Removes entry VMs whose last heartbeat is at least `EXPIRY_MS` old. Returns whether there
    /// were any.
    pub fn expire(&mut self, now: Micros) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now < row.at.plus_millis(EXPIRY_MS));
        before != self.rows.len()
    }

    fn ready(&self) -> impl Iterator<Item = &Beacon> {
        let rows = self.rows.rows().iter().map(|(_, row)| &row.beacon);
        rows.filter(|beacon| beacon.ready)
    }

    /// Addresses of the ready entry VMs for a caller in `zone`: those in the same zone, otherwise
    /// those in zones for which `is_near` returns true, otherwise all.
    #[must_use]
    pub fn nearest(&self, zone: &str, is_near: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let local: Vec<SocketAddr> = self
            .ready()
            .filter(|row| row.zone == zone)
            .map(|row| row.callers)
            .collect();
        if !local.is_empty() {
            return local;
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

    /// Number of ready entry VMs in each availability zone, by zone name.
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
