//! A small deployment of the real programs on loopback addresses, and stand-ins for its platform, operator, upstreams
//! and callers. Used by the scripts of this review; needs nothing but the standard library.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Zones with their regions: three regions with one zone each.
pub const ZONES: [(&str, &str); 3] = [
    ("derwent-a", "derwent"),
    ("tamar-a", "tamar"),
    ("macquarie-a", "macquarie"),
];

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record file"));
        Arc::new(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }
}

/// One machine: its place, and the process that the platform runs there.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub is_entry: bool,
    child: Mutex<Option<Child>>,
    pub kills: AtomicU64,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub machines: Vec<Machine>,
    program: PathBuf,
    folder: PathBuf,
    net: [u8; 2],
    port: u16,
    pub stop: AtomicBool,
}

impl Fleet {
    /// Starts `cores` control machines and `entries` entry machines.
    pub fn start(record: &Arc<Record>, cores: usize, entries: usize) -> Arc<Self> {
        let (net, port) = free_place();
        let folder = std::env::temp_dir().join(format!("standin-{}", std::process::id()));
        let program = PathBuf::from("target/release/siskinstep-platform");
        assert!(program.exists(), "the program is not built");
        let mut machines = Vec::new();
        for at in 0..cores + entries {
            let is_entry = at >= cores;
            let place = if is_entry { at - cores } else { at } % ZONES.len();
            let class = if is_entry { "edge" } else { "core" };
            machines.push(Machine {
                name: format!("{class}-{}-{at}", ZONES[place].0),
                zone: ZONES[place].0,
                ip: Ipv4Addr::new(127, net[0], net[1], 1 + at as u8),
                is_entry,
                child: Mutex::new(None),
                kills: AtomicU64::new(0),
            });
        }
        let fleet = Arc::new(Self {
            record: Arc::clone(record),
            machines,
            program,
            folder,
            net,
            port,
            stop: AtomicBool::new(false),
        });
        for at in 0..fleet.machines.len() {
            fleet.launch(at, true);
        }
        fleet
    }

    fn at(&self, machine: usize, offset: u16) -> SocketAddr {
        SocketAddr::from((self.machines[machine].ip, self.port + offset))
    }

    pub fn frontend(&self, machine: usize) -> SocketAddr {
        self.at(machine, 0)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let all = 0..self.machines.len();
        all.filter(|at| !self.machines[*at].is_entry)
            .map(|at| self.at(at, 2))
            .collect()
    }

    pub fn entries(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|at| self.machines[*at].is_entry)
            .collect()
    }

    /// Address for the stand-in of a server.
    pub fn server_address(&self, number: usize) -> SocketAddr {
        let [a, b] = self.net;
        SocketAddr::from(([127, a, b, 100 + number as u8], self.port + 5))
    }

    /// Starts the process of a machine, with a settings file as the platform writes it.
    pub fn launch(&self, at: usize, is_first: bool) {
        let machine = &self.machines[at];
        let folder = self.folder.join(&machine.name);
        fs::create_dir_all(folder.join("data")).unwrap();
        let (role, class, serves) = if machine.is_entry {
            ("entry", "edge", r#"["edge"]"#)
        } else {
            ("control", "core", r#"["control_plane","directory"]"#)
        };
        let listen = if machine.is_entry {
            format!(
                r#"{{"frontend":"{}","readiness":"{}"}}"#,
                self.at(at, 0),
                self.at(at, 1)
            )
        } else {
            format!(
                r#"{{"control":"{}","directory":"{}"}}"#,
                self.at(at, 2),
                self.at(at, 3)
            )
        };
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!(r#""{zone}":"{region}""#))
            .collect();
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .take(3)
            .map(|seed| format!(r#""{seed}""#))
            .collect();
        let region = ZONES.iter().find(|row| row.0 == machine.zone).unwrap().1;
        let data = if machine.is_entry {
            "null".to_owned()
        } else {
            format!("{:?}", folder.join("data").display().to_string())
        };
        let text = format!(
            r#"{{"node-name":"{}","role":"{role}","machine-class":"{class}","serves":{serves},"ip":"{}","zone":"{}","region":"{region}","zones":{{{}}},"listen":{listen},"internal-ports":[{},{}],"seeds":[{}],"bootstrap":{},"loss-counted":{},"limits":{{"cpu-share":0.2,"cpu-cores":1,"memory-mb":260,"max-fds":4100,"bandwidth-mbps":1000.0,"disk-mb":256}},"data-dir":{data},"discovery":"registration","entry":"directory","heartbeat-ms":1500,"contracts":["base","drain","config","cost","retry","recover","places"],"fault-tolerance":{{"machines":1,"zones":1,"regions":1}},"bounds":{{"seed-lag-s":3,"addr-reuse-s":2,"stable-window-ms":3000,"ack-ms":4000,"sync-s":4,"drain-ms":2500,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":2500,"rollback-slack-ms":250,"max-stretch-ms":5000,"retry-budget-ratio":0.2,"retry-window-s":10,"retry-slack":60,"cold-load-factor":1.5,"cold-slack":5,"evacuate-ms":5000,"recovery-s":15,"ttl_max_s":5,"max-shift":0.15}}}}"#,
            machine.name,
            machine.ip,
            machine.zone,
            zones.join(","),
            self.port + 10,
            self.port + 25,
            seeds.join(","),
            is_first,
            !machine.is_entry,
        );
        let path = folder.join("node.json");
        fs::write(&path, text).unwrap();
        let log = File::options()
            .append(true)
            .create(true)
            .open(folder.join("log"))
            .unwrap();
        let child = Command::new(&self.program)
            .arg(role)
            .env_clear()
            .env("SISKINSTEP_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("process");
        self.record.line(&format!(
            "the platform starts {} as process {}",
            machine.name,
            child.id()
        ));
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Memory in KiB that belongs to the process of a machine alone (`RssAnon`).
    pub fn memory_kib(&self, at: usize) -> u64 {
        let child = self.machines[at].child.lock().unwrap();
        let Some(id) = child.as_ref().map(Child::id) else {
            return 0;
        };
        let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn kill(&self, at: usize) {
        let mut child = self.machines[at].child.lock().unwrap();
        if let Some(mut child) = child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&self, at: usize) -> bool {
        let mut child = self.machines[at].child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends SIGTERM, as the platform does before planned work.
    pub fn terminate(&self, at: usize) {
        let child = self.machines[at].child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            let _ = Command::new("kill")
                .args(["-s", "TERM", &child.id().to_string()])
                .status();
            self.record.line(&format!(
                "the platform sends SIGTERM to {}",
                self.machines[at].name
            ));
        }
    }

    /// Changes the settings file of a machine (the order of its seeds) and sends SIGHUP, as the platform does.
    pub fn change_settings(&self, at: usize) {
        let path = self.folder.join(&self.machines[at].name).join("node.json");
        let text = fs::read_to_string(&path).unwrap_or_default();
        let seeds = self.controls();
        let (first, second) = (format!("\"{}\"", seeds[0]), format!("\"{}\"", seeds[1]));
        let text = text
            .replace(&first, "FIRST")
            .replace(&second, &first)
            .replace("FIRST", &second);
        let next = path.with_extension("new");
        fs::write(&next, text)
            .and_then(|()| fs::rename(&next, &path))
            .expect("settings file");
        let child = self.machines[at].child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            let _ = Command::new("kill")
                .args(["-s", "HUP", &child.id().to_string()])
                .status();
            self.record.line(&format!(
                "the platform changes the settings of {} and sends SIGHUP",
                self.machines[at].name
            ));
        }
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let answer = call(
            self.at(at, 1),
            "GET /ready",
            &[],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self) {
        for at in self.entries() {
            let until = Instant::now() + Duration::from_secs(30);
            while !self.is_ready(at) {
                if Instant::now() > until {
                    self.give_up("no entry machine became ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends all processes; the case couldn't run.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.line(&format!("the case couldn't run: {why}"));
        self.end();
        std::process::exit(2);
    }

    pub fn end(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for at in 0..self.machines.len() {
            self.kill(at);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    /// Sends an order of the operator to one control machine after the other until it is acknowledged.
    pub fn order(&self, path: &str, base: &str, body: &str) {
        let until = Instant::now() + Duration::from_secs(30);
        let controls = self.controls();
        for attempt in 0.. {
            let to = controls[attempt % controls.len()];
            let headers = [
                ("Content-Type", "application/json"),
                ("X-Base-Version", base),
            ];
            let answer = call(
                to,
                &format!("POST {path}"),
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |answer| answer.status);
            self.record
                .line(&format!("operator: POST {path} to {to}: {status}"));
            if status == 200 {
                return;
            }
            if Instant::now() > until {
                self.give_up("an order was not acknowledged");
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// A loopback network of its own, and ports that are free there.
fn free_place() -> ([u8; 2], u16) {
    for number in 0..200 {
        let number = std::process::id().wrapping_mul(31).wrapping_add(number);
        let net = [20 + (number % 200) as u8, (number / 200 % 250) as u8];
        let port = 21_000 + (number % 200) as u16 * 40;
        let is_free = |offset| {
            TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], 1), port + offset)).is_ok()
        };
        if (0..26).all(is_free) {
            return (net, port);
        }
    }
    panic!("no free ports");
}

/// The link of a machine, which all transfers share.
pub struct Link {
    per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(per_s: f64) -> Arc<Self> {
        Arc::new(Self {
            per_s,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits until so many bytes fit.
    pub fn take(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at =
                (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / self.per_s);
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Bytes a second of a machine's link: 800 of its 1,000 Mbit/s.
pub const LINK_PER_S: f64 = 100e6;

/// Sends a request whose body goes over `link`.
pub fn send_over(
    link: &Link,
    stream: &mut TcpStream,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{head} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(text.as_bytes())?;
    for part in body.chunks(64 << 10) {
        link.take(part.len());
        stream.write_all(part)?;
    }
    Ok(())
}

pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body_bytes: usize,
    /// Whether the whole body arrived.
    pub is_whole: bool,
}

/// Reads until the end of a head; returns the head and what came after it.
pub fn read_head(stream: &mut TcpStream) -> io::Result<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let rest = bytes.split_off(at + 4);
            return Ok((String::from_utf8_lossy(&bytes).into_owned(), rest));
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => bytes.extend_from_slice(&chunk[..length]),
        }
    }
}

pub fn headers_of(head: &str) -> HashMap<String, String> {
    let rows = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    rows.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads an answer, at most `per_s` bytes a second if that is above 0.
pub fn read_answer(stream: &mut TcpStream, per_s: u64) -> io::Result<Answer> {
    let (head, rest) = read_head(stream)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let headers = headers_of(&head);
    let total: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut got = rest.len();
    let begun = Instant::now();
    let mut chunk = vec![0; 16 << 10];
    while got < total {
        if per_s > 0 {
            let due = Duration::from_secs_f64(got as f64 / per_s as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        let wanted = chunk.len().min(total - got);
        match stream.read(&mut chunk[..wanted]) {
            Ok(0) | Err(_) => break,
            Ok(length) => got += length,
        }
    }
    Ok(Answer {
        status,
        headers,
        body_bytes: got,
        is_whole: got == total,
    })
}

/// Connects, sends a request with a length and reads its answer.
pub fn call(
    to: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    send(&mut stream, head, headers, body)?;
    read_answer(&mut stream, 0)
}

pub fn send(
    stream: &mut TcpStream,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{head} HTTP/1.1\r\n");
    if !headers.iter().any(|row| row.0 == "Host") {
        text.push_str("Host: standin\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// How a server treats what it gets.
#[derive(Clone, Copy)]
pub struct Manner {
    /// Time that it works on a request.
    pub work: Duration,
    /// Bytes of a request's body that it reads in a second; 0 for as fast as they come.
    pub read_per_s: u64,
    /// Time for which it works, without reading on, once it has read the first part of a long body.
    pub pause: Duration,
}

/// Bytes of a long body that a server reads before it pauses.
const FIRST_PART: usize = 256 << 10;

/// Stand-in of a server: announces itself, and answers requests one at a time on each connection.
pub struct Server {
    pub id: String,
    pub runs: Mutex<HashMap<String, u32>>,
}

impl Server {
    pub fn start(
        fleet: &Arc<Fleet>,
        number: usize,
        service: &'static str,
        slots: usize,
        manner: Manner,
    ) -> Arc<Self> {
        let zone = ZONES[number % ZONES.len()].0;
        let address = fleet.server_address(number);
        let listener = TcpListener::bind(address).expect("server address");
        let server = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            runs: Mutex::default(),
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let (inner, owner) = (Arc::clone(&server), Arc::clone(fleet));
        let running = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, fleet, running) =
                    (Arc::clone(&inner), Arc::clone(&owner), Arc::clone(&running));
                thread::spawn(move || server.serve(&fleet, stream, &running, slots as u64, manner));
            }
        });
        let (inner, owner) = (Arc::clone(&server), Arc::clone(fleet));
        thread::spawn(move || {
            let mut turn = number;
            for seq in 1.. {
                if owner.stop.load(Ordering::SeqCst) {
                    return;
                }
                let body = format!(
                    r#"{{"born":{born},"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","max-concurrency":{slots}}},"status":{{"state":"ready","seq":{seq},"cold-remaining-ms":0}}}}"#
                );
                let head = format!("POST /instances/{}/heartbeat", inner.id);
                let controls = owner.controls();
                for _ in 0..controls.len() {
                    let to = controls[turn % controls.len()];
                    let headers = [("Content-Type", "application/json")];
                    let answer = call(to, &head, &headers, body.as_bytes(), Duration::from_secs(1));
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                    turn += 1;
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        server
    }

    fn serve(
        &self,
        fleet: &Fleet,
        mut stream: TcpStream,
        running: &[AtomicU64; 2],
        slots: u64,
        manner: Manner,
    ) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        while let Ok((head, rest)) = read_head(&mut stream) {
            let headers = headers_of(&head);
            let get = |name: &str| headers.get(name).cloned().unwrap_or_default();
            let (id, total) = (
                get("x-request-id"),
                get("content-length").parse::<usize>().unwrap_or(0),
            );
            let mut got = rest.len();
            let begun = Instant::now();
            let mut chunk = vec![0; 64 << 10];
            let mut has_paused = manner.pause.is_zero() || total <= FIRST_PART;
            while got < total {
                if !has_paused && got >= FIRST_PART {
                    has_paused = true;
                    fleet.record.line(&format!(
                        "{} works on {id}, and has read {got} of {total} bytes",
                        self.id
                    ));
                    thread::sleep(manner.pause);
                }
                if manner.read_per_s > 0 {
                    let due = Duration::from_secs_f64(got as f64 / manner.read_per_s as f64);
                    thread::sleep(due.saturating_sub(begun.elapsed()));
                }
                match stream.read(&mut chunk) {
                    Ok(0) | Err(_) => {
                        let text = "the rest of the body doesn't come: the connection was ended";
                        fleet.record.line(&format!(
                            "{}, {id}: {text} after {got} of {total} bytes",
                            self.id
                        ));
                        return;
                    }
                    Ok(length) => got += length,
                }
            }
            let is_health = head.starts_with("GET /health ");
            let answer_bytes = head
                .split(' ')
                .nth(1)
                .and_then(|path| path.split_once("bytes="));
            let answer_bytes = answer_bytes
                .and_then(|row| row.1.parse::<usize>().ok())
                .unwrap_or(400);
            let [running, busy] = running;
            let before = running.fetch_add(1, Ordering::SeqCst);
            let (status, extra) = if is_health {
                ("200 OK", format!("X-Instance-Id: {}\r\n", self.id))
            } else if get("x-expect-instance") != self.id {
                (
                    "421 Misdirected Request",
                    "X-Not-Executed: 1\r\n".to_owned(),
                )
            } else if before >= slots * 4 {
                (
                    "503 Service Unavailable",
                    "X-Not-Executed: 1\r\n".to_owned(),
                )
            } else {
                *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                let path = head.split(' ').nth(1).unwrap_or("");
                fleet.record.line(&format!(
                    "{} runs {id}, {path}, body of {total} bytes",
                    self.id
                ));
                // A few requests more than the slots wait for one.
                let started = Instant::now();
                while busy
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                        (n < slots).then_some(n + 1)
                    })
                    .is_err()
                {
                    thread::sleep(Duration::from_millis(2));
                }
                let waited = started.elapsed();
                if waited > Duration::from_millis(10) {
                    fleet.record.line(&format!(
                        "{}: {id} waited {} ms for a slot",
                        self.id,
                        waited.as_millis()
                    ));
                }
                thread::sleep(manner.work);
                busy.fetch_sub(1, Ordering::SeqCst);
                (
                    "200 OK",
                    format!("X-Server-Seal: seal.{}.{id}\r\n", self.id),
                )
            };
            running.fetch_sub(1, Ordering::SeqCst);
            let body = vec![
                b'x';
                if status == "200 OK" && !is_health {
                    answer_bytes
                } else {
                    0
                }
            ];
            let load = format!("{},0,{slots}", before.min(slots));
            let text = format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{extra}X-Server-Load: {load}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(text.as_bytes())
                .and_then(|()| stream.write_all(&body))
                .is_err()
            {
                return;
            }
        }
    }
}

/// The configuration of the deployment, with the time limits of the routes `r-cell` and `r-swap`.
pub fn config(cell_ms: u64, swap_ms: u64) -> String {
    format!(
        r#"{{"version":"00000003","services":[{{"name":"cellwatch","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":19.0}},{{"name":"swapdesk","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":19.0}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"hosts":[{{"host":"cell.example","paths":[{{"name":"r-cell","path-prefix":"/cell/","route-type":"idempotent","timeout-ms":{cell_ms},"target-latency-ms":1000,"priority":2,"service":"cellwatch","max-attempts":2,"session-affinity":false,"allowed-regions":[]}}]}},{{"host":"swap.example","paths":[{{"name":"r-swap","path-prefix":"/swap/","route-type":"non_idempotent","timeout-ms":{swap_ms},"target-latency-ms":4000,"priority":1,"service":"swapdesk","max-attempts":2,"session-affinity":false,"allowed-regions":[]}}]}}]}}"#
    )
}
