//! Entry VMs with a recent heartbeat.

use {
    super::messages::Beacon,
    crate::{clock::Micros, sorted::Sorted},
    std::net::SocketAddr,
};

/// Interval of heartbeats in milliseconds. Five intervals fit into `EXPIRY_MS`.
pub const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Interval in milliseconds of heartbeats to control VMs of other zones, which name this zone's entry VMs
/// only to callers whose own zone has no control VM: every control VM hears every entry VM, so most
/// heartbeats go there.
pub const DISTANT_INTERVAL_MS: u64 = 1_600;
/// Milliseconds without a heartbeat after which an entry VM is no longer listed, in the local zone and in
/// others. Users allow 6 s, which must also cover the seconds for which callers cache a response.
pub const EXPIRY_MS: u64 = 2_000;
/// The same for entry VMs of other zones.
pub const DISTANT_EXPIRY_MS: u64 = 4_000;

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
    /// Records a heartbeat that arrived at `now`. Heartbeats of an earlier incarnation, or of the same one
    /// with the same or a lower counter, are ignored; a VM whose clock was set back is listed again once its
    /// earlier incarnation has expired. Returns whether an entry VM was added, or its zone or
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
        let order = |row: &Beacon| (row.incarnation, row.beat);
        if let Some(last) = last
            && order(&last.beacon) >= order(&beacon)
        {
            return false;
        }
        let listed = |row: &Beacon| (row.zone.clone(), row.ready);
        let changed = last.is_none_or(|last| listed(&last.beacon) != listed(&beacon));
        self.rows
            .insert(beacon.callers, LiveEntry { beacon, at: now });
        changed
    }

    /// Removes entry VMs whose last heartbeat is at least `EXPIRY_MS` old, or `DISTANT_EXPIRY_MS` if they
    /// are not in `zone`, unless that is empty. Returns whether there were any.
    pub fn expire(&mut self, zone: &str, now: Micros) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| {
            let is_near = zone.is_empty() || row.beacon.zone == zone;
            let expiry_ms = if is_near {
                EXPIRY_MS
            } else {
                DISTANT_EXPIRY_MS
            };
            now < row.at.plus_millis(expiry_ms)
        });
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
