//! Versions in force on entry VMs, as reported to a control VM.

use {
    super::messages::VersionReport,
    crate::{
        clock::{Clock, Micros},
        sorted::Sorted,
    },
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Maximum number of entry VMs in the table.
const MAX_VMS: usize = 16_384;
/// Milliseconds after the last report at which a VM is removed.
const REPORT_RETENTION_MS: u64 = 3_600_000;

/// Version in force on an entry VM, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRow {
    /// Name of the VM.
    pub vm: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Version in force on the VM.
    pub version: u64,
    /// Milliseconds since it was last reported.
    pub age_ms: u64,
}

/// Version reports, shared by the listener that receives them and the one that serves them to
/// operators.
#[derive(Clone, Debug)]
pub struct Fleet {
    clock: Clock,
    rows: Arc<Mutex<Sorted<String, (VersionReport, Micros)>>>,
}

impl Fleet {
    /// Creates a table without reports.
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

    /// Records reports. Reports of new VMs are dropped while the table is full.
    pub fn record(&self, reports: Vec<VersionReport>) {
        let now = self.clock.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        for report in reports {
            if rows.len() < MAX_VMS || rows.get(report.vm.as_str()).is_some() {
                rows.insert(report.vm.clone(), (report, now));
            }
        }
    }

    /// Returns the latest report of each VM, ordered by name.
    #[must_use]
    pub fn rows(&self) -> Vec<FleetRow> {
        let now = self.clock.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.retain(|_, (_, at)| now < at.plus_millis(REPORT_RETENTION_MS));
        let row = |(_, (report, at)): &(String, (VersionReport, Micros))| FleetRow {
            vm: report.vm.clone(),
            zone: report.zone.clone(),
            version: report.version,
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
        };
        rows.rows().iter().map(row).collect()
    }
}
