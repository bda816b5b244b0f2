//! A small upstream that misbehaves on request and counts what it runs.

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
const SILENCE: Duration = Duration::from_secs(30);

/// How the upstream treats requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Answers each request.
    #[default]
    None,
    /// Loses its process on a request with this key: every connection is cut.
    CrashOn(String),
    /// Ends on a request with this key: its connection is cut, and new ones are refused.
    DieOn(String),
    /// Runs requests and never answers on connections open by now.
    Silent,
    /// Answers after this many milliseconds.
    Late(u64),
    /// Ends the connection in the middle of an answer.
    Truncate,
    /// Refuses without having run.
    RefuseNotRun,
    /// Runs, then answers with status 500.
    FailAfterRun,
    /// Says that it has no load, whatever it runs.
    LieIdle,
    /// Reports no load any more.
    NoReport,
}

/// What the upstream has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Runs by idempotency key or body.
    pub runs: BTreeMap<String, u32>,
    /// Requests running now.
    pub running: u32,
    /// Most requests that ran at the same time.
    pub peak: u32,
    /// Requests begun.
    pub begun: u32,
    /// Times that it crashed.
    pub crashes: u32,
}

struct Inner {
    name: String,
    time: Duration,
    fence: Mutex<Fence>,
    fault: Mutex<Fault>,
    seen: Mutex<Seen>,
    leaving: AtomicBool,
    ended: AtomicBool,
}

/// A fake upstream that runs until it is dropped.
#[derive(Clone)]
pub struct Fake {
    inner: Arc<Inner>,
}

impl Fake {
    /// Starts an upstream that takes `time` for each request, announced at `entry`.
    pub fn start(name: &str, service: &str, slots: u16, time: Duration, entry: SocketAddr) -> Self {
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
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            time,
            fence: Mutex::new(Fence::new(body, entry)),
            fault: Mutex::default(),
            seen: Mutex::default(),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let (serving, announcing) = (Arc::clone(&inner), Arc::clone(&inner));
        thread::spawn(move || accept(&serving, &listener));
        thread::spawn(move || announce(&announcing, entry));
        Self { inner }
    }

    /// Changes how it treats requests.
    pub fn fault(&self, fault: Fault) {
        *self.inner.fault.lock().unwrap() = fault;
    }

    /// Says that it is leaving.
    pub fn leave(&self) {
        self.inner.leaving.store(true, Ordering::SeqCst);
    }

    /// Loses its process: open connections are cut, nothing is announced any more.
    pub fn end(&self) {
        self.inner.ended.store(true, Ordering::SeqCst);
    }

    /// What it has seen.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.inner.seen.lock().unwrap()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        // The two threads hold one reference each.
        if Arc::strong_count(&self.inner) <= 3 {
            self.inner.ended.store(true, Ordering::SeqCst);
        }
    }
}

fn announce(inner: &Inner, entry: SocketAddr) {
    while !inner.ended.load(Ordering::SeqCst) {
        let fault = inner.fault.lock().unwrap().clone();
        let running = inner.seen.lock().unwrap().running;
        let (home, mut body) = inner.fence.lock().unwrap().announcement();
        body.load = match fault {
            Fault::NoReport => None,
            Fault::LieIdle => Some(0),
            _ => Some(running),
        };
        body.leaving = inner.leaving.load(Ordering::SeqCst);
        // The entry VM may be down; the next announcement makes it good.
        let wait = if let Ok(granted) = sample::announce(home, &body) {
            inner.fence.lock().unwrap().apply_lease(&granted);
            Duration::from_millis(granted.renew_ms).min(ANNOUNCE_INTERVAL)
        } else {
            // A home that is gone: back to the VM that is always asked first.
            inner.fence.lock().unwrap().set_home(entry);
            ANNOUNCE_INTERVAL
        };
        thread::sleep(wait);
    }
}

fn accept(inner: &Arc<Inner>, listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        if inner.ended.load(Ordering::SeqCst) {
            return;
        }
        let inner = Arc::clone(inner);
        thread::spawn(move || {
            // The peer may cut the connection at any time.
            let _ = converse(&inner, &stream);
        });
    }
}

fn converse(inner: &Inner, stream: &TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((key, holder)) = read_request(&mut reader)? {
        if inner.ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        let fault = inner.fault.lock().unwrap().clone();
        let refuse = fault == Fault::RefuseNotRun;
        let entered = if refuse {
            None
        } else {
            inner.fence.lock().unwrap().admit(&holder)
        };
        let Some(tenure) = entered else {
            respond(
                stream,
                "503 Service Unavailable",
                "siskinstep-ran: no\r\n",
                "",
            )?;
            continue;
        };
        begin(inner, &key);
        if fault == Fault::DieOn(key.clone()) {
            inner.seen.lock().unwrap().crashes += 1;
            inner.ended.store(true, Ordering::SeqCst);
            // Wakes the listener, which then closes.
            drop(TcpStream::connect(stream.local_addr()?));
            return Ok(());
        }
        if fault == Fault::CrashOn(key.clone()) {
            let mut seen = inner.seen.lock().unwrap();
            seen.running -= 1;
            seen.crashes += 1;
            inner.fence.lock().unwrap().finish(tenure);
            return Ok(());
        }
        let late = if let Fault::Late(ms) = fault { ms } else { 0 };
        thread::sleep(inner.time + Duration::from_millis(late));
        inner.seen.lock().unwrap().running -= 1;
        inner.fence.lock().unwrap().finish(tenure);
        answer(inner, stream, &fault, &key)?;
    }
    Ok(())
}

fn begin(inner: &Inner, key: &str) {
    let mut seen = inner.seen.lock().unwrap();
    *seen.runs.entry(key.to_owned()).or_default() += 1;
    seen.begun += 1;
    seen.running += 1;
    seen.peak = seen.peak.max(seen.running);
}

fn answer(inner: &Inner, mut stream: &TcpStream, fault: &Fault, key: &str) -> io::Result<()> {
    let body = format!("{}:{key}", inner.name);
    match fault {
        Fault::Silent => {
            thread::sleep(SILENCE);
            Err(io::ErrorKind::TimedOut.into())
        }
        Fault::Truncate => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body.as_bytes()[..body.len() / 2])?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Fault::FailAfterRun => respond(stream, "500 Internal Server Error", "", &body),
        _ => respond(stream, "200 OK", "", &body),
    }
}

fn respond(mut stream: &TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Reads one request; returns its idempotency key, or its body if it has none, and its holder.
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
        let row = line.trim_end();
        if row.is_empty() {
            break;
        }
        let (name, value) = row.split_once(':').unwrap_or((row, ""));
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
