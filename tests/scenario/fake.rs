//! Fake upstream that injects faults and counts the requests that it runs.

use {
    siskinstep::{
        announce::AnnouncementBody,
        clock::wall_millis,
        dev::{fence::Fence, sample},
    },
    std::{
        collections::BTreeMap,
        io::{self, BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
const SILENT_DURATION: Duration = Duration::from_secs(30);

/// Fault that the upstream injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Responds to each request.
    #[default]
    None,
    /// Closes the connection of a request with this key without a response and counts a crash.
    CrashOn(String),
    /// Terminates on a request with this key: its connection is closed, new ones are refused.
    TerminateOn(String),
    /// Runs requests and sends no response: the connection is closed after 30 s, also if the fault
    /// has been cleared.
    Silent,
    /// Responds this many milliseconds later than usual.
    Delay(u64),
    /// Closes the connection in the middle of a response.
    Truncate,
    /// Refuses requests and marks them as not run.
    RefuseNotRun,
    /// Runs requests, then responds with status 500.
    FailAfterRun,
    /// Reports a load of 0, whatever it runs.
    LieIdle,
    /// Omits the load from its announcements.
    NoReport,
}

/// Counters of the requests that the upstream received.
#[derive(Debug, Default)]
pub struct Counters {
    /// Runs by idempotency key or body.
    pub runs: BTreeMap<String, u32>,
    /// Requests that are running.
    pub running: u32,
    /// Maximum number of requests that ran at the same time.
    pub peak: u32,
    /// Requests whose run has begun.
    pub begun: u32,
    /// Crashes by [`Fault::CrashOn`] and [`Fault::TerminateOn`].
    pub crashes: u32,
}

struct Shared {
    name: String,
    service_time: Duration,
    fence: Mutex<Fence>,
    fault: Mutex<Fault>,
    counters: Mutex<Counters>,
    leaving: AtomicBool,
    terminated: AtomicBool,
}

/// Fake upstream that runs until it is dropped.
#[derive(Clone)]
pub struct FakeUpstream {
    shared: Arc<Shared>,
}

impl FakeUpstream {
    /// Starts an upstream that takes `service_time` per request and announces itself at `entry`.
    pub fn start(
        name: &str,
        service: &str,
        slots: u16,
        service_time: Duration,
        entry: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let body = AnnouncementBody {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            incarnation: wall_millis(),
            token: None,
            inherited: None,
            load: None,
            leaving: false,
        };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            service_time,
            fence: Mutex::new(Fence::new(body, entry)),
            fault: Mutex::default(),
            counters: Mutex::default(),
            leaving: AtomicBool::new(false),
            terminated: AtomicBool::new(false),
        });
        let (serving, announcing) = (Arc::clone(&shared), Arc::clone(&shared));
        thread::spawn(move || accept(&serving, &listener));
        thread::spawn(move || announce(&announcing, entry));
        Self { shared }
    }

    /// Injects the fault from now on, in place of the previous one.
    pub fn inject(&self, fault: Fault) {
        *self.shared.fault.lock().unwrap() = fault;
    }

    /// Announces from now on that it is leaving.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Terminates the upstream without notice: announcements stop, new connections and further
    /// requests are closed without a response. A request that is running still gets its response.
    pub fn terminate(&self) {
        self.shared.terminated.store(true, Ordering::SeqCst);
    }

    /// Locks and returns the counters.
    pub fn counters(&self) -> MutexGuard<'_, Counters> {
        self.shared.counters.lock().unwrap()
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        // Besides this one, the accept thread and the announce thread hold a reference each.
        if Arc::strong_count(&self.shared) <= 3 {
            self.shared.terminated.store(true, Ordering::SeqCst);
        }
    }
}

fn announce(shared: &Shared, entry: SocketAddr) {
    while !shared.terminated.load(Ordering::SeqCst) {
        let fault = shared.fault.lock().unwrap().clone();
        let running = shared.counters.lock().unwrap().running;
        let (home, mut body) = shared.fence.lock().unwrap().announcement();
        body.load = match fault {
            Fault::NoReport => None,
            Fault::LieIdle => Some(0),
            _ => Some(running),
        };
        body.leaving = shared.leaving.load(Ordering::SeqCst);
        // The entry VM may be down; the next announcement is the retry.
        let interval = if let Ok(lease) = sample::announce(home, &body) {
            shared.fence.lock().unwrap().apply_lease(&lease);
            Duration::from_millis(lease.renew_ms).min(ANNOUNCE_INTERVAL)
        } else {
            // The home does not respond: announce to the initial entry VM again.
            shared.fence.lock().unwrap().set_home(entry);
            ANNOUNCE_INTERVAL
        };
        thread::sleep(interval);
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        if shared.terminated.load(Ordering::SeqCst) {
            return;
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            // The peer may close the connection at any time.
            let _ = serve_connection(&shared, &stream);
        });
    }
}

fn serve_connection(shared: &Shared, stream: &TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((key, holder)) = read_request(&mut reader)? {
        if shared.terminated.load(Ordering::SeqCst) {
            return Ok(());
        }
        let fault = shared.fault.lock().unwrap().clone();
        let refuse = fault == Fault::RefuseNotRun;
        let entered = if refuse {
            None
        } else {
            shared.fence.lock().unwrap().admit(&holder)
        };
        let Some(tenure) = entered else {
            write_response(
                stream,
                "503 Service Unavailable",
                "siskinstep-ran: no\r\n",
                "",
            )?;
            continue;
        };
        count_begun(shared, &key);
        if fault == Fault::TerminateOn(key.clone()) {
            shared.counters.lock().unwrap().crashes += 1;
            shared.terminated.store(true, Ordering::SeqCst);
            // Unblocks `accept`, so that the listener is closed.
            drop(TcpStream::connect(stream.local_addr()?));
            return Ok(());
        }
        if fault == Fault::CrashOn(key.clone()) {
            let mut counters = shared.counters.lock().unwrap();
            counters.running -= 1;
            counters.crashes += 1;
            shared.fence.lock().unwrap().finish(tenure);
            return Ok(());
        }
        let delay_ms = if let Fault::Delay(ms) = fault { ms } else { 0 };
        thread::sleep(shared.service_time + Duration::from_millis(delay_ms));
        shared.counters.lock().unwrap().running -= 1;
        shared.fence.lock().unwrap().finish(tenure);
        respond(shared, stream, &fault, &key)?;
    }
    Ok(())
}

fn count_begun(shared: &Shared, key: &str) {
    let mut counters = shared.counters.lock().unwrap();
    *counters.runs.entry(key.to_owned()).or_default() += 1;
    counters.begun += 1;
    counters.running += 1;
    counters.peak = counters.peak.max(counters.running);
}

fn respond(shared: &Shared, mut stream: &TcpStream, fault: &Fault, key: &str) -> io::Result<()> {
    let body = format!("{}:{key}", shared.name);
    match fault {
        Fault::Silent => {
            thread::sleep(SILENT_DURATION);
            Err(io::ErrorKind::TimedOut.into())
        }
        Fault::Truncate => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body.as_bytes()[..body.len() / 2])?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Fault::FailAfterRun => write_response(stream, "500 Internal Server Error", "", &body),
        _ => write_response(stream, "200 OK", "", &body),
    }
}

fn write_response(
    mut stream: &TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Reads one request; returns its idempotency key, or its body if it has none, and the value of its
/// `siskinstep-holder` header. `None` at the end of the stream.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<(String, String)>> {
    let (mut key, mut length) = (None, 0);
    let mut holder = String::new();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let header = line.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').unwrap_or((header, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "siskinstep-holder" => value.trim().clone_into(&mut holder),
            "idempotency-key" => key = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let key = key.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
    Ok(Some((key, holder)))
}
