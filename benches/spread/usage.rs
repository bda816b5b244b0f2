//! What this process has used, as the kernel counts it.

use std::fs;

/// What this process has used.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Bytes that the loopback device has carried.
    pub bytes: u64,
    /// Kilobytes of resident memory.
    pub resident: u64,
    /// Nanoseconds on a core by name of thread.
    threads: Vec<(String, u64)>,
}

impl Usage {
    pub fn read() -> Self {
        let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        Self {
            bytes: number_after(&devices, "lo:"),
            resident: number_after(&status, "VmRSS:"),
            threads: threads(),
        }
    }

    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            bytes: self.bytes - earlier.bytes,
            resident: self.resident,
            threads: self
                .threads
                .iter()
                .map(|(name, nanos)| {
                    let earlier = earlier.threads.iter().find(|row| row.0 == *name);
                    (name.clone(), nanos - earlier.map_or(0, |row| row.1))
                })
                .collect(),
        }
    }

    /// Nanoseconds of all threads of that name.
    pub fn cpu(&self, name: &str) -> u64 {
        let rows = self.threads.iter().filter(|row| row.0 == name);
        rows.map(|row| row.1).sum()
    }
}

fn number_after(text: &str, label: &str) -> u64 {
    let rest = text.split_once(label).map_or("", |(_, rest)| rest);
    let number = rest.split_whitespace().next();
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Sums by name; names are unique in what is returned.
fn threads() -> Vec<(String, u64)> {
    let mut sums: Vec<(String, u64)> = Vec::new();
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let spent = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let spent = number_after(&format!("at {spent}"), "at ");
        match sums.iter_mut().find(|row| row.0 == name.trim()) {
            Some(row) => row.1 += spent,
            None => sums.push((name.trim().to_owned(), spent)),
        }
    }
    sums
}
