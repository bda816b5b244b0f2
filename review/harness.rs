//! Parts that the cases share: a small deployment on loopback addresses, and stand-ins for its
//! backends, operator and clients. Only the standard library is used.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(elapsed.as_millis()).unwrap()
}

/// A whole HTTP/1.1 message. Names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|row| row.0 == name);
        found.map(|row| row.1.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message with a length or in chunks; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buffer)? {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(cut())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first_line: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let at = loop {
                if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if !read_more(stream, buffer)? {
                    return Err(cut());
                }
            };
            let digits = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let size = usize::from_str_radix(digits.trim(), 16).map_err(|_| cut())?;
            while buffer.len() < at + 2 + size + 2 {
                if !read_more(stream, buffer)? {
                    return Err(cut());
                }
            }
            message
                .body
                .extend_from_slice(&buffer[at + 2..at + 2 + size]);
            buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(cut());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0_u8; 16 << 10];
    let count = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..count]);
    Ok(count > 0)
}

/// Sends one request on a new connection and reads the whole answer, within `limit`.
pub fn call(
    to: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(&request_bytes(to, head, headers, body))?;
    let mut buffer = Vec::new();
    read_answer(&mut stream, &mut buffer, until)
}

pub fn request_bytes(to: SocketAddr, head: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{head} HTTP/1.1\r\n");
    if !headers.iter().any(|row| row.0 == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn read_answer(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Instant,
) -> io::Result<Message> {
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read_message(stream, buffer)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A machine: an address on which every process uses the same ports.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

const ZONES: [(&str, &str); 6] = [
    ("derwent-a", "derwent"),
    ("tamar-a", "tamar"),
    ("macquarie-a", "macquarie"),
    ("derwent-b", "derwent"),
    ("tamar-b", "tamar"),
    ("macquarie-b", "macquarie"),
];

/// Bounds of the site makepeace-lights that the cases need, in milliseconds.
pub const STABLE_WINDOW_MS: u64 = 3_000;
pub const EVACUATE_MS: u64 = 5_000;
/// How long a backend of the site is cold after its start.
pub const COLD_START_MS: u64 = 3_000;

const FRONTEND: u16 = 0;
const READINESS: u16 = 1;
const CONTROL: u16 = 2;
const DIRECTORY: u16 = 3;
const BACKENDS: u16 = 4;
const INTERNAL: u16 = 20;
const PORTS: u16 = 36;

/// A small deployment: processes with the commands of the deploy file, each with an address of its own.
pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    net: [u8; 2],
    base: u16,
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
    children: Vec<(String, Child)>,
}

impl Fleet {
    /// Picks free addresses and ports for `controls` and `entries`, given by zone.
    pub fn new(record: Record, controls: &[&str], entries: &[&str]) -> io::Result<Self> {
        // Made and removed by the script, which also ends what is named in `pids`.
        let folder = PathBuf::from(std::env::var("REVIEW_TMP").map_err(io::Error::other)?);
        fs::create_dir_all(&folder)?;
        let mut random = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let count = controls.len() + entries.len() + 24;
        for _ in 0..50 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let net = [16 + (random >> 33) as u8 % 200, (random >> 43) as u8];
            let base = 12_000 + (random >> 51) as u16 % 15_000;
            let is_free = (1..=count as u8).all(|at| {
                let ip = Ipv4Addr::new(127, net[0], net[1], at);
                (base..base + PORTS).all(|port| {
                    TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
                })
            });
            if !is_free {
                continue;
            }
            let machines = |rows: &[&str], name: &str, first: u8| {
                let rows = rows.iter().enumerate();
                let row = |(at, zone): (usize, &&str)| Machine {
                    name: format!("{name}-{zone}-{at}"),
                    zone: (*zone).to_owned(),
                    ip: Ipv4Addr::new(127, net[0], net[1], first + at as u8),
                };
                rows.map(row).collect::<Vec<_>>()
            };
            let first_entry = 1 + controls.len() as u8;
            return Ok(Self {
                record,
                folder,
                net,
                base,
                controls: machines(controls, "core", 1),
                entries: machines(entries, "edge", first_entry),
                children: Vec::new(),
            });
        }
        Err(io::Error::other("no free addresses"))
    }

    fn at(&self, machine: &Machine, offset: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(machine.ip, self.base + offset))
    }

    pub fn frontend(&self, entry: usize) -> SocketAddr {
        self.at(&self.entries[entry], FRONTEND)
    }

    pub fn control(&self, control: usize) -> SocketAddr {
        self.at(&self.controls[control], CONTROL)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|at| self.control(at))
            .collect()
    }

    /// Address of the backend number `at`.
    pub fn backend(&self, at: u8) -> SocketAddr {
        let first = (self.controls.len() + self.entries.len()) as u8 + 1;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], first + at);
        SocketAddr::V4(SocketAddrV4::new(ip, self.base + BACKENDS))
    }

    /// Writes the settings file of a machine, as the platform does.
    fn settings(&self, machine: &Machine, is_control: bool) -> io::Result<PathBuf> {
        let quoted = |rows: Vec<String>| {
            let rows: Vec<String> = rows.iter().map(|row| format!("\"{row}\"")).collect();
            format!("[{}]", rows.join(","))
        };
        let seeds = self
            .control_addresses()
            .iter()
            .take(3)
            .map(ToString::to_string)
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|row| format!("\"{}\":\"{}\"", row.0, row.1))
            .collect();
        let region = ZONES.iter().find(|row| row.0 == machine.zone).unwrap().1;
        let data = self.folder.join(&machine.name);
        fs::create_dir_all(&data)?;
        let (class, serves, listen, data_dir, cpu, memory, disk) = if is_control {
            let listen = format!(
                "{{\"control\":\"{}\",\"directory\":\"{}\"}}",
                self.at(machine, CONTROL),
                self.at(machine, DIRECTORY)
            );
            let serves = "[\"control_plane\",\"directory\"]";
            let data = format!("\"{}\"", data.display());
            ("core", serves, listen, data, 0.3, 256, 256)
        } else {
            let listen = format!(
                "{{\"frontend\":\"{}\",\"readiness\":\"{}\"}}",
                self.at(machine, FRONTEND),
                self.at(machine, READINESS)
            );
            ("edge", "[\"edge\"]", listen, "null".to_owned(), 0.2, 260, 0)
        };
        let role = if is_control { "control" } else { "entry" };
        let text = format!(
            "{{\"node-name\":\"{}\",\"role\":\"{role}\",\"machine-class\":\"{class}\",\"serves\":{serves},\
             \"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"{region}\",\"zones\":{{{}}},\"listen\":{listen},\
             \"internal-ports\":[{},{}],\"seeds\":{},\"bootstrap\":true,\"loss-counted\":{is_control},\
             \"limits\":{{\"cpu-share\":{cpu},\"cpu-cores\":1,\"memory-mb\":{memory},\"max-fds\":4100,\
             \"bandwidth-mbps\":1000.0,\"disk-mb\":{disk}}},\"data-dir\":{data_dir},\
             \"discovery\":\"registration\",\"entry\":\"directory\",\"heartbeat-ms\":1500,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"],\
             \"fault-tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":1}},\
             \"bounds\":{{\"seed-lag-s\":3,\"addr-reuse-s\":2,\"stable-window-ms\":{STABLE_WINDOW_MS},\
             \"ack-ms\":4000,\"sync-s\":4,\"drain-ms\":2500,\"grace-s\":6,\"loss-slack-ms\":200,\
             \"config-apply-ms\":2500,\"rollback-slack-ms\":250,\"max-stretch-ms\":5000,\
             \"retry-budget-ratio\":0.2,\"retry-window-s\":10,\"retry-slack\":60,\"cold-load-factor\":1.5,\
             \"cold-slack\":5,\"evacuate-ms\":{EVACUATE_MS},\"recovery-s\":15,\"ttl_max_s\":5,\
             \"max-shift\":0.15}}}}",
            machine.name,
            machine.ip,
            machine.zone,
            zones.join(","),
            self.base + INTERNAL,
            self.base + PORTS - 1,
            quoted(seeds),
        );
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts every process.
    pub fn start(&mut self) -> io::Result<()> {
        let program = std::env::var("REVIEW_PLATFORM").map_err(io::Error::other)?;
        let machines: Vec<(Machine, bool)> = self
            .controls
            .iter()
            .map(|row| (row.clone(), true))
            .chain(self.entries.iter().map(|row| (row.clone(), false)))
            .collect();
        for (machine, is_control) in machines {
            let settings = self.settings(&machine, is_control)?;
            let log = File::create(self.folder.join(format!("{}.log", machine.name)))?;
            let child = Command::new(&program)
                .arg(if is_control { "control" } else { "entry" })
                .env("SISKINSTEP_NODE_FILE", settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            self.record
                .line(&format!("starts {} at {}", machine.name, machine.ip));
            self.children.push((machine.name, child));
            let ids = self.children.iter().map(|row| format!("{}\n", row.1.id()));
            fs::write(self.folder.join("pids"), ids.collect::<String>())?;
        }
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &str, signal: &str) -> io::Result<()> {
        let row = self.children.iter().find(|row| row.0 == machine);
        let (_, child) = row.ok_or_else(|| io::Error::other("no such process"))?;
        self.record.line(&format!("signal {signal} to {machine}"));
        let text = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").arg("-c").arg(text).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill failed"))
        }
    }

    /// Whether every process still runs.
    pub fn all_run(&mut self) -> bool {
        let mut running = true;
        for (name, child) in &mut self.children {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{name} has ended: {status}"));
                running = false;
            }
        }
        running
    }

    /// Waits until `entry` says that it is ready.
    pub fn wait_ready(&self, entry: usize) -> io::Result<()> {
        let to = self.at(&self.entries[entry], READINESS);
        for _ in 0..200 {
            if let Ok(answer) = call(to, "GET /ready", &[], b"", Duration::from_millis(500))
                && answer.status() == 200
            {
                return Ok(());
            }
            sleep_ms(100);
        }
        Err(io::Error::other("an entry VM did not become ready"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(self.folder.join("pids"));
    }
}

/// The operator: sends an order to the nodes in turn, a second for each, until one answers it.
/// Returns the status of the answer that ends the call, and when it came.
pub fn order(
    record: &Record,
    nodes: &[SocketAddr],
    path: &str,
    base: Option<&str>,
    body: &str,
) -> io::Result<(u16, f64)> {
    let mut pause = 100;
    for attempt in 0..12 {
        let to = nodes[attempt % nodes.len()];
        record.line(&format!("operator sends POST {path} to {to}"));
        let mut headers = vec![("Content-Type", "application/json")];
        headers.extend(base.map(|base| ("X-Base-Version", base)));
        let head = format!("POST {path}");
        match call(to, &head, &headers, body.as_bytes(), Duration::from_secs(1)) {
            Ok(answer) => {
                let status = answer.status();
                record.line(&format!("operator gets {status} for POST {path} from {to}"));
                if status < 500 && status != 408 && status != 429 {
                    return Ok((status, record.seconds()));
                }
            }
            Err(error) => record.line(&format!(
                "operator gives up on {to} for POST {path}: {error}"
            )),
        }
        sleep_ms(pause);
        pause = (pause * 2).min(800);
    }
    Err(io::Error::other(format!("no answer to POST {path}")))
}

/// How a backend answers one request.
pub enum Reply {
    /// Runs it for so many milliseconds and answers 200.
    Run(u64),
    /// Rejects it without running it, though it has free slots.
    Shed,
    /// Begins to run it and ends: all its connections are reset, and it is back after so many milliseconds.
    Crash(u64),
}

/// What a backend does beside its plain duty.
pub trait Conduct: Send + Sync {
    fn reply(&self, backend: &Backend, request: &Message) -> Reply;
    /// Whether a second copy of the answer that was just sent arrives late, at the point where the next
    /// response is expected.
    fn repeats_late(&self, _backend: &str, _status: u16) -> bool {
        false
    }
}

/// A run of a request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub backend: String,
    pub at: f64,
    /// Whether the backend crashed at it.
    pub crashed: bool,
}

/// A backend: answers requests on its address and reports its status to the control plane.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: AtomicU64,
    /// Until when it is cold, and until when it is down.
    pub cold_until: Mutex<Option<Instant>>,
    pub down_until: Mutex<Option<Instant>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    desk: Mutex<Desk>,
    freed: Condvar,
}

/// Requests at a backend since its last start.
#[derive(Default)]
struct Desk {
    start: u64,
    running: u32,
    waiting: u32,
}

/// Requests that wait at a backend, for each of its slots: as at the site.
const QUEUE_PER_SLOT: u32 = 3;

/// What a request finds at a backend.
enum Slot {
    /// A slot, since this start.
    Taken(u64),
    /// Neither a slot nor room to wait, or its time is over.
    Full,
    /// The backend has ended.
    Ended,
}

impl Backend {
    /// A backend that is warm, and starts now.
    pub fn new(id: String, service: &str, zone: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            born: unix_ms().into(),
            cold_until: Mutex::default(),
            down_until: Mutex::default(),
            open: Mutex::default(),
            desk: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Takes a slot, or waits for one until `until`.
    fn take_slot(&self, until: Instant) -> Slot {
        let mut desk = self.desk.lock().unwrap();
        let start = desk.start;
        if desk.running >= self.slots {
            if desk.waiting >= QUEUE_PER_SLOT * self.slots {
                return Slot::Full;
            }
            desk.waiting += 1;
            while desk.start == start && desk.running >= self.slots && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                desk = self.freed.wait_timeout(desk, left).unwrap().0;
            }
            if desk.start != start {
                return Slot::Ended;
            }
            desk.waiting -= 1;
            if desk.running >= self.slots {
                return Slot::Full;
            }
        }
        desk.running += 1;
        Slot::Taken(start)
    }

    /// Returns a slot; false if the backend has ended since it was taken.
    fn return_slot(&self, start: u64) -> bool {
        let mut desk = self.desk.lock().unwrap();
        let is_same = desk.start == start;
        if is_same {
            desk.running -= 1;
            self.freed.notify_all();
        }
        is_same
    }

    fn load(&self) -> String {
        let desk = self.desk.lock().unwrap();
        format!(
            "X-Server-Load: {},{},{}\r\n",
            desk.running, desk.waiting, self.slots
        )
    }

    pub fn is_down(&self) -> bool {
        let until = *self.down_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    pub fn cold_ms(&self) -> u64 {
        let until = *self.cold_until.lock().unwrap();
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| u64::try_from(left.as_millis()).unwrap())
    }

    pub fn make_cold(&self) {
        *self.cold_until.lock().unwrap() =
            Some(Instant::now() + Duration::from_millis(COLD_START_MS));
    }

    /// Ends all its connections; it starts again after `down_ms`, cold, under the id that it had.
    pub fn go_down(&self, down_ms: u64) {
        let back = Instant::now() + Duration::from_millis(down_ms);
        *self.down_until.lock().unwrap() = Some(back);
        *self.cold_until.lock().unwrap() = Some(back + Duration::from_millis(COLD_START_MS));
        self.born.store(unix_ms() + down_ms, Ordering::Relaxed);
        let mut desk = self.desk.lock().unwrap();
        *desk = Desk {
            start: desk.start + 1,
            ..Desk::default()
        };
        drop(desk);
        self.freed.notify_all();
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// What all backends share.
pub struct World {
    pub record: Record,
    pub runs: Mutex<Vec<Run>>,
    pub conduct: Box<dyn Conduct>,
    pub controls: Vec<SocketAddr>,
    pub stop: AtomicBool,
    seal: AtomicU64,
}

impl World {
    pub fn new(record: Record, controls: Vec<SocketAddr>, conduct: Box<dyn Conduct>) -> Arc<Self> {
        Arc::new(Self {
            record,
            runs: Mutex::default(),
            conduct,
            controls,
            stop: AtomicBool::new(false),
            seal: AtomicU64::new(1),
        })
    }

    /// Starts the threads of a backend.
    pub fn start(self: &Arc<Self>, backend: Backend) -> io::Result<Arc<Backend>> {
        let listener = TcpListener::bind(backend.address)?;
        let backend = Arc::new(backend);
        self.record.line(&format!(
            "backend {} of {} in {} at {}",
            backend.id, backend.service, backend.zone, backend.address
        ));
        let (world, row) = (Arc::clone(self), Arc::clone(&backend));
        thread::spawn(move || world.report_status(&row));
        let (world, row) = (Arc::clone(self), Arc::clone(&backend));
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            let mut listener = Some(listener);
            for number in 0.. {
                let stream = accept(&row, &mut listener);
                let shared = Shared {
                    world: Arc::clone(&world),
                    backend: Arc::clone(&row),
                };
                if let Ok(copy) = stream.try_clone() {
                    row.open.lock().unwrap().insert(number, copy);
                }
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                    shared.backend.open.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(backend)
    }

    fn report_status(&self, backend: &Backend) {
        let (mut seq, mut at, mut url) = (0, 0, None::<SocketAddr>);
        while !self.stop.load(Ordering::Relaxed) {
            if backend.is_down() {
                // Its next status report is that of a new start, whose counts start anew.
                (seq, url) = (0, None);
                sleep_ms(20);
                continue;
            }
            for _ in 0..4 {
                seq += 1;
                let to = url.unwrap_or(self.controls[at % self.controls.len()]);
                let cold_ms = backend.cold_ms();
                let body = format!(
                    "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                     \"zone\":\"{}\",\"max-concurrency\":{}}},\"status\":{{\"state\":\"ready\",\
                     \"seq\":{seq},\"cold-remaining-ms\":{cold_ms}}}}}",
                    backend.address,
                    backend.born.load(Ordering::Relaxed),
                    backend.service,
                    backend.zone,
                    backend.slots
                );
                let head = format!("POST /instances/{}/heartbeat", backend.id);
                let json = [("Content-Type", "application/json")];
                let answer = call(to, &head, &json, body.as_bytes(), Duration::from_secs(1));
                if let Ok(answer) = answer
                    && answer.status() / 100 == 2
                {
                    if cold_ms > 0 {
                        let id = &backend.id;
                        self.record.line(&format!(
                            "{id} reports cold-remaining-ms {cold_ms}, acknowledged"
                        ));
                    }
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let rest = text.split("\"heartbeat-url\":\"").nth(1);
                    let named = rest.and_then(|rest| rest.split('"').next()?.parse().ok());
                    url = named.or(url);
                    break;
                }
                url = None;
                at += 1;
            }
            for _ in 0..75 {
                if backend.is_down() {
                    break;
                }
                sleep_ms(20);
            }
        }
    }
}

/// Accepts the next connection. While the backend is down, nothing listens at its address.
fn accept(backend: &Backend, listener: &mut Option<TcpListener>) -> TcpStream {
    loop {
        if backend.is_down() {
            *listener = None;
            sleep_ms(5);
            continue;
        }
        if listener.is_none() {
            let bound = TcpListener::bind(backend.address);
            *listener = bound.ok().filter(|row| row.set_nonblocking(true).is_ok());
        }
        match listener.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) if stream.set_nonblocking(false).is_ok() => return stream,
            _ => sleep_ms(1),
        }
    }
}

struct Shared {
    world: Arc<World>,
    backend: Arc<Backend>,
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            if let Some(copy) = late.take() {
                self.world
                    .record
                    .line(&format!("{} sends its late extra copy", self.backend.id));
                stream.write_all(&copy)?;
            }
            let (status, bytes) = match self.answer(&request) {
                Some(answer) => answer,
                None => return Ok(()),
            };
            stream.write_all(&bytes)?;
            if self.world.conduct.repeats_late(&self.backend.id, status) {
                late = Some(bytes);
            }
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> Option<(u16, Vec<u8>)> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let name = &self.backend.id;
        let text = |status: &str, headers: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes()
        };
        if request.path() == "/health" {
            let headers = format!("X-Instance-Id: {name}\r\n");
            return Some((200, text("200 OK", &headers, "ok")));
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != name) {
            return Some((
                421,
                text("421 Misdirected Request", "X-Not-Executed: 1\r\n", ""),
            ));
        }
        let not_run = || {
            let headers = format!("X-Not-Executed: 1\r\n{}", self.backend.load());
            Some((503, text("503 Service Unavailable", &headers, "")))
        };
        let reply = self.world.conduct.reply(&self.backend, request);
        if matches!(reply, Reply::Shed) {
            let line = format!("{name} rejects {id} without running it");
            self.world.record.line(&line);
            return not_run();
        }
        let limit_ms = request
            .header("x-deadline-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(limit_ms.unwrap_or(10_000));
        let start = match self.backend.take_slot(until) {
            Slot::Taken(start) => start,
            Slot::Full => return not_run(),
            Slot::Ended => return None,
        };
        match reply {
            Reply::Crash(down_ms) => {
                self.begin(&id, true);
                self.world.record.line(&format!("{name} crashes at {id}"));
                self.backend.go_down(down_ms);
                None
            }
            Reply::Run(work_ms) => {
                self.begin(&id, false);
                sleep_ms(work_ms);
                if !self.backend.return_slot(start) {
                    return None;
                }
                let seal = self.world.seal.fetch_add(1, Ordering::Relaxed);
                let headers = format!("X-Server-Seal: {seal:x}.{name}\r\n{}", self.backend.load());
                let body = format!("{id} done by {name}");
                Some((200, text("200 OK", &headers, &body)))
            }
            Reply::Shed => None,
        }
    }

    fn begin(&self, id: &str, crashed: bool) {
        let at = self.world.record.seconds();
        self.world
            .record
            .line(&format!("{} runs {id}", self.backend.id));
        self.world.runs.lock().unwrap().push(Run {
            id: id.to_owned(),
            backend: self.backend.id.clone(),
            at,
            crashed,
        });
    }
}
