//! Regions, availability zones, services and request kinds, as arenas indexed by their keys.

use {
    super::section::Section,
    crate::{
        keys::{KindKey, RegionKey, ServiceKey, ZoneKey},
        sorted::Sorted,
    },
};

/// Distance between zones of different regions, the largest that [`Topology::distance`] returns.
pub const MAX_DISTANCE: u8 = 2;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique among all zones.
    pub name: String,
    /// Region that contains the zone.
    pub region: RegionKey,
}

/// A service provided by upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name; the first segment of the request path.
    pub name: String,
}

/// A request kind of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Name; the second segment of the request path.
    pub name: String,
    /// Service that the kind belongs to.
    pub service: ServiceKey,
    /// Configured value of one response, 1 to 1000; under overload, the lowest is shed first.
    pub worth: u16,
    /// Default deadline in milliseconds, for requests that specify none.
    pub deadline_ms: u64,
    /// Whether a request must be executed at most once; requires an idempotency key.
    pub at_most_once: bool,
    /// Whether a request may be retried after an attempt that may have been executed; excludes `at_most_once`.
    pub repeatable: bool,
}

/// All names declared in the settings, as arenas.
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
    /// Reads and checks `regions` and `services` of a settings file.
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
        let region = RegionKey(index(self.regions.len()));
        self.regions.push(name);
        for name in zones {
            let zone = ZoneKey(index(self.zones.len()));
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
        let service = ServiceKey(index(self.services.len()));
        self.service_names.insert(name.clone(), service);
        self.services.push(Service { name });
        for kind in kinds {
            let kind_key = KindKey(index(self.kinds.len()));
            self.kind_names
                .insert((service, kind.name.clone()), kind_key);
            self.kinds.push(Kind { service, ..kind });
        }
    }

    /// Looks up a zone by name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.zone("derwent-a").is_none());
    /// ```
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// Looks up a region by name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.region("derwent").is_none());
    /// ```
    #[must_use]
    pub fn region(&self, name: &str) -> Option<RegionKey> {
        let at = self.regions.iter().position(|region| region == name)?;
        Some(RegionKey(index(at)))
    }

    /// Region that contains a zone.
    ///
    /// # Panics
    /// If `zone` is not a key of this topology.
    #[must_use]
    pub fn region_of(&self, zone: ZoneKey) -> RegionKey {
        self.zones[usize::from(zone.0)].region
    }

    /// Distance between two zones: 0 if they are the same, 1 within a region, [`MAX_DISTANCE`] between
    /// regions.
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
        MAX_DISTANCE
    }

    /// Looks up a service by name.
    ///
    /// ```
    /// let topology = siskinstep::settings::topology::Topology::default();
    /// assert!(topology.service("cellwatch").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Looks up a request kind of a service by name.
    ///
    /// ```
    /// use siskinstep::{keys::ServiceKey, settings::topology::Topology};
    /// assert!(Topology::default().kind(ServiceKey(0), "check").is_none());
    /// ```
    #[must_use]
    pub fn kind(&self, service: ServiceKey, name: &str) -> Option<KindKey> {
        self.kind_names.get(&(service, name.to_owned())).copied()
    }

    /// Row of a request kind.
    ///
    /// # Panics
    /// If `kind` is not a key of this topology.
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
            section.reject("regions", "availability zone names must be unique");
        }
        if self.service_names.len() != self.services.len() {
            section.reject("services", "service names must be unique");
        }
        if self.kind_names.len() != self.kinds.len() {
            section.reject("services", "kind names must be unique within a service");
        }
    }
}

const DEFAULT_WORTH: u64 = 10;
const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn read_kind(row: &mut Section<'_>) -> Kind {
    let worth = row.number("worth", DEFAULT_WORTH, 1..=1_000);
    let at_most_once = row.flag("once", false);
    let repeatable = row.flag("repeatable", false);
    if at_most_once && repeatable {
        row.reject("repeatable", "expected false on a kind with `once`");
    }
    Kind {
        name: row.name("name"),
        service: ServiceKey(0),
        worth: u16::try_from(worth).unwrap_or(u16::MAX),
        deadline_ms: row.number("deadline_ms", DEFAULT_DEADLINE_MS, 1..=600_000),
        at_most_once,
        repeatable,
    }
}

/// Index of an arena row as a key's integer; saturates.
fn index(at: usize) -> u16 {
    u16::try_from(at).unwrap_or(u16::MAX)
}
