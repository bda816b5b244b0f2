//! Starts the real binaries on loopback for the integration tests; nothing is simulated.

#![allow(dead_code)] // No test binary uses all of it.

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

/// Time limit of every wait; no test fails on a shorter one.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

/// Shared secret of all processes of a test. Another test may start processes at the addresses of those that this one
/// has stopped, and they must not answer each other.
fn new_secret() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("test-secret-{}-{number}", std::process::id())
}

/// A running siskinstep binary; killed with `SIGKILL` when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts `binary` with a settings file and waits for its `E1001` (started) log line.
    pub fn start(binary: &str, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg(settings)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut output = String::new();
        while !output.contains("E1001 ") {
            let mut line = String::new();
            let read = log.read_line(&mut line).unwrap();
            assert!(read > 0, "{binary} exited before it had started:\n{output}");
            output.push_str(&line);
        }
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
            }
        });
        Self { child }
    }

    /// Sends the signal with this name, such as `TERM`.
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

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        eventually("the process exits", || self.child.try_wait().unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Temporary folder of one test, with the secret and the settings files of its processes.
pub struct TestEnv {
    pub folder: TempDir,
    pub secret: String,
}

impl TestEnv {
    pub fn new() -> Self {
        let folder = TempDir::new().unwrap();
        let secret = new_secret();
        fs::write(folder.path().join("secret"), &secret).unwrap();
        Self { folder, secret }
    }

    /// Settings that every process of the test has in common, for the given VM and zone.
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

/// A loopback address with a free port below the ephemeral range, so that no outgoing connection
/// takes the port before the process binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id().wrapping_mul(97);
    loop {
        let step = base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + step % PORT_COUNT).unwrap();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Polls every 20 ms until the closure yields a value; panics after [`WAIT_TIMEOUT`].
pub fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
