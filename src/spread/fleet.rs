//! What a control VM was told of the versions in force on entry VMs.

use {
    super::messages::Report,
    crate::{
        clock::{Clock, Micros},
        sorted::Sorted,
    },
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Entry VMs remembered at most.
const MOST_VMS: usize = 16_384;
/// Milliseconds after which a VM that nobody reports any more is forgotten.
const FORGET_MS: u64 = 3_600_000;

/// The version in force on an entry VM, as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRow {
    /// Name of the VM.
    pub vm: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Version in force there.
    pub version: u64,
    /// Milliseconds since it was last reported.
    pub age_ms: u64,
}

/// The reports, shared by the listener that takes them and the one that shows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    clock: Clock,
    rows: Arc<Mutex<Sorted<String, (Report, Micros)>>>,
}

impl Fleet {
    /// No reports yet.
    ///
    /// ```
    /// use siskinstep::{clock::Clock, spread::Fleet};
    /// assert!(Fleet::new(Clock::start()).rows().is_empty());
    /// ```
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            rows: Arc::default(),
        }
    }

    /// Takes in reports.
    pub fn note(&self, reports: Vec<Report>) {
        let now = self.clock.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        for report in reports {
            if rows.len() < MOST_VMS || rows.get(report.vm.as_str()).is_some() {
                rows.insert(report.vm.clone(), (report, now));
            }
        }
    }

    /// The latest report of each VM, by name.
    #[must_use]
    pub fn rows(&self) -> Vec<FleetRow> {
        let now = self.clock.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.retain(|_, (_, at)| now < at.plus_millis(FORGET_MS));
        let row = |(_, (report, at)): &(String, (Report, Micros))| FleetRow {
            vm: report.vm.clone(),
            zone: report.zone.clone(),
            version: report.version,
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
        };
        rows.rows().iter().map(row).collect()
    }
}
