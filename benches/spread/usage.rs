//! Resource usage of this process as counted by the kernel in `/proc`.

use std::fs;

/// Resource usage of this process since its start.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Bytes carried by the loopback device of this network namespace, counted once.
    pub loopback_bytes: u64,
    /// Resident memory in KB.
    pub resident_kb: u64,
    /// CPU time in nanoseconds by thread name.
    cpu_nanos: Vec<(String, u64)>,
}

impl Usage {
    pub fn read() -> Self {
        let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        Self {
            loopback_bytes: number_after(&devices, "lo:"),
            resident_kb: number_after(&status, "VmRSS:"),
            cpu_nanos: cpu_by_thread(),
        }
    }

    /// Usage since `earlier`; memory is the current one.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            loopback_bytes: self.loopback_bytes - earlier.loopback_bytes,
            resident_kb: self.resident_kb,
            cpu_nanos: self
                .cpu_nanos
                .iter()
                .map(|(name, nanos)| {
                    let earlier = earlier.cpu_nanos.iter().find(|row| row.0 == *name);
                    (name.clone(), nanos - earlier.map_or(0, |row| row.1))
                })
                .collect(),
        }
    }

    /// CPU time in nanoseconds of all threads with this name.
    pub fn cpu(&self, name: &str) -> u64 {
        let rows = self.cpu_nanos.iter().filter(|row| row.0 == name);
        rows.map(|row| row.1).sum()
    }
}

/// First number after `label`, 0 if there is none.
fn number_after(text: &str, label: &str) -> u64 {
    let rest = text.split_once(label).map_or("", |(_, rest)| rest);
    let number = rest.split_whitespace().next();
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// CPU time in nanoseconds by thread name; threads of equal name are added up.
fn cpu_by_thread() -> Vec<(String, u64)> {
    let mut sums: Vec<(String, u64)> = Vec::new();
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let schedstat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos = number_after(&format!("at {schedstat}"), "at ");
        match sums.iter_mut().find(|row| row.0 == name.trim()) {
            Some(row) => row.1 += nanos,
            None => sums.push((name.trim().to_owned(), nanos)),
        }
    }
    sums
}
