//! Starts real processes on loopback for process tests. Small; no cluster simulator.

#![allow(dead_code)] // Each test file uses a part of it.

use {
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// How long anything may take before a test gives up. No verdict rests on less.
pub const PATIENCE: Duration = Duration::from_mins(1);

const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// The secret that every process of a test shares.
pub const SECRET: &str = "test-secret-0123456789";

/// A process of the system; killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts `binary` on a settings file and waits until it says that it has started.
    pub fn start(binary: &str, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg(settings)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut seen = String::new();
        while !seen.contains("E1001 ") {
            let mut line = String::new();
            let read = log.read_line(&mut line).unwrap();
            assert!(read > 0, "{binary} ended early:\n{seen}");
            seen.push_str(&line);
        }
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
            }
        });
        Self { child }
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        eventually("the process ends", || self.child.try_wait().unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings and files of one test.
pub struct Fleet {
    pub folder: TempDir,
}

impl Fleet {
    pub fn new() -> Self {
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("secret"), SECRET).unwrap();
        Self { folder }
    }

    /// The settings that every process of the test shares.
    pub fn settings(&self, vm: &str, zone: &str) -> Value {
        json!({
            "vm": vm,
            "availability_zone": zone,
            "secret_file": self.folder.path().join("secret"),
            "regions": [
                {"name": "derwent", "availability_zones": ["derwent-a", "derwent-b"]},
                {"name": "tamar", "availability_zones": ["tamar-a"]},
            ],
            "services": [
                {"name": "cellwatch", "kinds": [{"name": "check", "deadline_ms": 5000}]},
                {"name": "swapdesk", "kinds": [{"name": "book", "deadline_ms": 5000, "once": true}]},
            ],
        })
    }

    pub fn write(&self, settings: &Value) -> PathBuf {
        let name = settings["vm"].as_str().unwrap();
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        path
    }

    pub fn start(&self, binary: &str, settings: &Value) -> Process {
        Process::start(binary, &self.write(settings))
    }
}

/// A free address on loopback, below the ports that the system hands out for outgoing
/// connections, so that none of those takes it before the process binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id().wrapping_mul(97);
    loop {
        let step = base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + step % PORTS).unwrap();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Repeats `attempt` until it yields something.
pub fn eventually<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = attempt() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "gave up waiting: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
