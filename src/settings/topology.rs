//! Regions, availability zones, services and request kinds: the arenas that keys point into.

use {
    super::section::Section,
    crate::{
        keys::{KindKey, RegionKey, ServiceKey, ZoneKey},
        sorted::Sorted,
    },
};

/// Distance between zones of different regions.
pub const FARTHEST: u8 = 2;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique among zones.
    pub name: String,
    /// Region it belongs to.
    pub region: RegionKey,
}

/// A service that upstreams offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, the first segment of a request's path.
    pub name: String,
}

/// A kind of request to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Name, the second segment of a request's path.
    pub name: String,
    /// Service it belongs to.
    pub service: ServiceKey,
    /// Stated worth of one answer, 1 to 1000; overload sheds the least first.
    pub worth: u16,
    /// Deadline in milliseconds for callers that state none.
    pub deadline_ms: u64,
    /// Whether it must run at most once, under an idempotency key.
    pub once: bool,
    /// Whether it may run again after an attempt that may have run; never with `once`.
    pub repeatable: bool,
}

/// Every name that settings declare, as arenas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Region names by [`RegionKey`].
    pub regions: Vec<String>,
    /// Zones by [`ZoneKey`].
    pub zones: Vec<Zone>,
    /// Services by [`ServiceKey`].
    pub services: Vec<Service>,
    /// Request kinds by [`KindKey`].
    pub kinds: Vec<Kind>,
    zone_names: Sorted<String, ZoneKey>,
    service_names: Sorted<String, ServiceKey>,
    kind_names: Sorted<(ServiceKey, String), KindKey>,
}

impl Topology {
    /// Reads `regions` and `services` of a settings file.
    pub fn read(section: &mut Section<'_>) -> Self {
        let mut topology = Self::default();
        let regions = section.list("regions", |row| {
            (row.name("name"), row.texts("availability_zones"))
        });
        for (name, zones) in regions {
            topology.add_region(name, zones);
        }
        let services = section.list("services", |row| {
            (row.name("name"), row.list("kinds", read_kind))
        });
        for (name, kinds) in services {
            topology.add_service(name, kinds);
        }
        topology.check(section);
        topology
    }

    /// Adds a region with its zones.
    ///
    /// ```
    /// let mut topology = siskinstep::settings::topology::Topology::default();
    /// topology.add_region("tamar".into(), vec!["tamar-a".into()]);
    /// assert!(topology.zone("tamar-a").is_some());
    /// ```
    pub fn add_region(&mut self, name: String, zones: Vec<String>) {
        let region = RegionKey(key(self.regions.len()));
        self.regions.push(name);
        for name in zones {
            let zone = ZoneKey(key(self.zones.len()));
            self.zone_names.insert(name.clone(), zone);
            self.zones.push(Zone { name, region });
        }
    }

    /// Adds a service with its request kinds; their `service` field is filled in.
    ///
    /// ```
    /// let mut topology = siskinstep::settings::topology::Topology::default();
    /// topology.add_service("lookup-svc".into(), vec![]);
    /// assert!(topology.service("lookup-svc").is_some());
    /// ```
    pub fn add_service(&mut self, name: String, kinds: Vec<Kind>) {
        let service = ServiceKey(key(self.services.len()));
        self.service_names.insert(name.clone(), service);
        self.services.push(Service { name });
        for kind in kinds {
            let at = KindKey(key(self.kinds.len()));
            self.kind_names.insert((service, kind.name.clone()), at);
            self.kinds.push(Kind { service, ..kind });
        }
    }

    /// The zone of that name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.zone("derwent-a").is_none());
    /// ```
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// The region of that name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.region("derwent").is_none());
    /// ```
    #[must_use]
    pub fn region(&self, name: &str) -> Option<RegionKey> {
        let at = self.regions.iter().position(|region| region == name)?;
        Some(RegionKey(key(at)))
    }

    /// The region that a zone belongs to.
    ///
    /// # Panics
    /// Only if `zone` comes from another topology.
    #[must_use]
    pub fn region_of(&self, zone: ZoneKey) -> RegionKey {
        self.zones[usize::from(zone.0)].region
    }

    /// How far a zone is: 0 the same, 1 the same region, [`FARTHEST`] another region.
    ///
    /// ```
    /// use siskinstep::{keys::ZoneKey, settings::topology::Topology};
    /// let mut topology = Topology::default();
    /// topology.add_region("tamar".into(), vec!["tamar-a".into(), "tamar-b".into()]);
    /// assert_eq!(topology.distance(ZoneKey(0), ZoneKey(1)), 1);
    /// ```
    #[must_use]
    pub fn distance(&self, from: ZoneKey, to: ZoneKey) -> u8 {
        if from == to {
            return 0;
        }
        if self.region_of(from) == self.region_of(to) {
            return 1;
        }
        FARTHEST
    }

    /// The service of that name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.service("cellwatch").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// The request kind of that name within a service.
    ///
    /// ```
    /// use siskinstep::{keys::ServiceKey, settings::topology::Topology};
    /// assert!(Topology::default().kind(ServiceKey(0), "check").is_none());
    /// ```
    #[must_use]
    pub fn kind(&self, service: ServiceKey, name: &str) -> Option<KindKey> {
        self.kind_names.get(&(service, name.to_owned())).copied()
    }

    /// The row of a request kind.
    ///
    /// # Panics
    /// Only if `kind` comes from another topology.
    #[must_use]
    pub fn kind_row(&self, kind: KindKey) -> &Kind {
        &self.kinds[usize::from(kind.0)]
    }

    fn check(&self, section: &mut Section<'_>) {
        if self.zones.is_empty() {
            section.reject(
                "regions",
                "expected at least one region with one availability zone",
            );
        }
        if self.kinds.is_empty() {
            section.reject("services", "expected at least one service with one kind");
        }
        if self.zone_names.len() != self.zones.len() {
            section.reject("regions", "availability zone names must differ");
        }
        if self.service_names.len() != self.services.len() {
            section.reject("services", "service names must differ");
        }
        if self.kind_names.len() != self.kinds.len() {
            section.reject("services", "kind names must differ within a service");
        }
    }
}

const DEFAULT_WORTH: u64 = 10;
const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn read_kind(row: &mut Section<'_>) -> Kind {
    let worth = row.number("worth", DEFAULT_WORTH, 1..=1_000);
    let once = row.flag("once", false);
    let repeatable = row.flag("repeatable", false);
    if once && repeatable {
        row.reject("repeatable", "expected false on a kind with `once`");
    }
    Kind {
        name: row.name("name"),
        service: ServiceKey(0),
        worth: u16::try_from(worth).unwrap_or(u16::MAX),
        deadline_ms: row.number("deadline_ms", DEFAULT_DEADLINE_MS, 1..=600_000),
        once,
        repeatable,
    }
}

fn key(at: usize) -> u16 {
    u16::try_from(at).unwrap_or(u16::MAX)
}
