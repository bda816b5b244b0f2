//! Tests of requests that callers send before the earlier ones of the connection were answered.

use {
    super::{
        super::{Handler, ListenerHandle, Outgoing, ahead::Ahead},
        stop::{LIMIT, connect, listen, rest},
    },
    crate::{context::Context, keys::ZoneKey},
    std::{
        cell::Cell,
        fs,
        io::{Read, Write},
        net::TcpStream,
        rc::Rc,
        sync::{Arc, mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};

/// Time after which callers give up on a VM that has not read an idempotent request.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Size of the response to `/close`: more than its caller's kernel takes, and less than the listener's does.
const CLOSE_BYTES: usize = 1 << 20;

/// What a handler has done with a request.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    Entered(String),
    Dropped(String),
}

/// Reports the end of a handler, also if it is cancelled.
struct Guard(mpsc::Sender<Step>, String);

impl Drop for Guard {
    fn drop(&mut self) {
        // The test may be over.
        let _ = self.0.send(Step::Dropped(self.1.clone()));
    }
}

/// A listener that answers a request with its path. Requests for `/slow` wait for a permit of `gate`; the
/// response to `/close` closes the connection.
struct Server {
    context: Context,
    handle: ListenerHandle,
    steps: mpsc::Receiver<Step>,
    gate: Arc<Semaphore>,
}

impl Server {
    fn start() -> Self {
        let (sender, steps) = mpsc::channel();
        let gate = Arc::new(Semaphore::new(0));
        let opened = Arc::clone(&gate);
        let make_handler = move || -> Handler {
            Rc::new(move |incoming| {
                let path = String::from_utf8_lossy(&incoming.target).into_owned();
                sender.send(Step::Entered(path.clone())).unwrap();
                let guard = Guard(sender.clone(), path.clone());
                let opened = Arc::clone(&opened);
                Box::pin(async move {
                    if path == "/slow" {
                        opened.acquire().await.unwrap().forget();
                    }
                    drop(guard);
                    if path == "/close" {
                        let body = format!("[{path}]{}", "x".repeat(CLOSE_BYTES));
                        return Outgoing::new(200, "text/plain", body).with_connection_close();
                    }
                    Outgoing::new(200, "text/plain", format!("[{path}]"))
                })
            })
        };
        let context = Context::new("vm-1", ZoneKey(0), Arc::default());
        Self {
            handle: listen(&context, make_handler),
            context,
            steps,
            gate,
        }
    }

    fn await_step(&self, step: &Step) {
        while self.steps.recv_timeout(LIMIT).unwrap() != *step {}
    }

    /// Connects and sends a request for `/slow`, which runs when this returns.
    fn start_slow(&self) -> TcpStream {
        let mut stream = connect(self.handle.address);
        stream.write_all(&request("/slow")).unwrap();
        self.await_step(&Step::Entered("/slow".into()));
        stream
    }

    /// Paths of the requests that the handler has got since the last call.
    fn entered(&self) -> Vec<String> {
        let paths = self.steps.try_iter().filter_map(|step| match step {
            Step::Entered(path) => Some(path),
            Step::Dropped(_) => None,
        });
        paths.collect()
    }

    /// Bytes sent on `stream` that the listener has not read from its socket.
    fn unread(&self, stream: &TcpStream) -> usize {
        let port = |port: u16| format!(":{port:04X}");
        let local = port(self.handle.address.port());
        let remote = port(stream.local_addr().unwrap().port());
        let table = fs::read_to_string("/proc/net/tcp").unwrap();
        let row = table.lines().find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            (fields[1].ends_with(&local) && fields[2].ends_with(&remote)).then(|| fields[4].into())
        });
        let row: String = row.unwrap();
        usize::from_str_radix(row.split(':').next_back().unwrap(), 16).unwrap()
    }

    /// Whether the listener reads everything sent on `stream` before the caller gives up.
    fn reads_all(&self, stream: &TcpStream) -> bool {
        let started = Instant::now();
        while started.elapsed() < UNREAD_LIMIT {
            if self.unread(stream) == 0 {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

fn request(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes()
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        text.push(char::from(byte[0]));
    }
    text
}

/// Bodies of the responses in `text`, in their order.
fn bodies(text: &str) -> Vec<&str> {
    let parts = text
        .split('[')
        .skip(1)
        .filter_map(|part| part.split(']').next());
    parts.collect()
}

/// Guards against responses that are lost or change places when several requests arrive at once.
#[test]
fn ten_requests_of_one_write_are_answered_in_order() {
    let server = Server::start();
    let paths: Vec<String> = (0..10).map(|at| format!("/{at}")).collect();
    let sent: Vec<u8> = paths.iter().flat_map(|path| request(path)).collect();
    let mut stream = connect(server.handle.address);
    stream.write_all(&sent).unwrap();
    let text = read_until(&mut stream, "[/9]");
    assert_eq!(bodies(&text), paths);
    assert_eq!(server.entered(), paths);
}

/// Guards against requests that run although no response can follow, and against a response that its caller loses
/// to a reset, as the connection was closed with requests unread.
#[test]
fn requests_behind_a_response_that_closes_are_not_run() {
    for behind in [1, 20, 2_000] {
        let server = Server::start();
        let mut stream = server.start_slow();
        stream.write_all(&request("/close")).unwrap();
        stream
            .write_all(&request("/behind").repeat(behind))
            .unwrap();
        thread::sleep(Duration::from_millis(50));
        server.gate.add_permits(1);
        server.await_step(&Step::Entered("/close".into()));
        // The caller reads only after a reset would have arrived, and sends one more before it knows of the end.
        let _ = stream.write_all(&request("/late"));
        thread::sleep(Duration::from_millis(100));
        let (in_order, text) = rest(stream);
        assert_eq!(bodies(&text), ["/slow", "/close"], "{behind}");
        assert!(
            in_order && text.len() > CLOSE_BYTES,
            "{behind} {}",
            text.len()
        );
        assert!(server.entered().is_empty(), "{behind}");
    }
}

/// Guards against a stop that cuts the response of a request that runs, as others were sent behind it: read, unread,
/// and on their way. Those are not run, and the caller learns of it by an orderly end.
#[test]
fn a_stop_answers_what_runs_and_ends_in_order() {
    for behind in [1, 20, 2_000] {
        let server = Server::start();
        let mut stream = server.start_slow();
        stream
            .write_all(&request("/behind").repeat(behind))
            .unwrap();
        thread::sleep(Duration::from_millis(50));
        server.context.begin_shutdown();
        let handle = server.handle;
        let stopping = thread::spawn(move || handle.join());
        thread::sleep(Duration::from_millis(50));
        stream.write_all(&request("/late")).unwrap();
        server.gate.add_permits(1);
        thread::sleep(Duration::from_millis(100));
        let (in_order, text) = rest(stream);
        stopping.join().unwrap();
        assert!(in_order, "{behind} {text}");
        assert_eq!(bodies(&text), ["/slow"], "{behind}");
        assert!(text.contains("connection: close"), "{behind} {text}");
    }
}

/// Guards against a stop that closes a connection in the middle of a head, because that part arrived while the
/// request before it ran.
#[test]
fn a_head_that_began_behind_another_request_is_answered_at_a_stop() {
    for bytes in [8, 20] {
        check_half_head(bytes);
    }
}

/// Sends half of a head in parts of that many bytes.
fn check_half_head(bytes: usize) {
    let server = Server::start();
    let mut stream = server.start_slow();
    let next = request("/next");
    for part in next[..20].chunks(bytes) {
        stream.write_all(part).unwrap();
        thread::sleep(Duration::from_millis(50));
    }
    server.gate.add_permits(1);
    read_until(&mut stream, "[/slow]");
    server.context.begin_shutdown();
    let handle = server.handle;
    let stopping = thread::spawn(move || handle.join());
    thread::sleep(Duration::from_millis(200));
    // The listener may have closed the connection.
    let _ = stream.write_all(&next[20..]);
    let (in_order, text) = rest(stream);
    stopping.join().unwrap();
    assert!(in_order && text.ends_with("[/next]"), "{text:?}");
}

/// Guards against work for a caller that has left: the request that runs is cancelled, as without others behind it,
/// and those behind it are not run.
#[test]
fn requests_of_a_caller_that_has_left_end_and_do_not_start() {
    for behind in [1, 20] {
        let server = Server::start();
        let mut stream = server.start_slow();
        for _ in 0..behind {
            stream.write_all(&request("/behind")).unwrap();
            thread::sleep(Duration::from_millis(2));
        }
        drop(stream);
        server.await_step(&Step::Dropped("/slow".into()));
        server.gate.add_permits(1);
        thread::sleep(Duration::from_millis(100));
        assert!(server.entered().is_empty(), "{behind}");
    }
}

/// Guards against callers that give up on this VM because it leaves requests unread while the one before them runs.
#[test]
fn requests_behind_a_slow_one_are_read() {
    let server = Server::start();
    let mut stream = server.start_slow();
    for at in 0..10 {
        stream.write_all(&request(&format!("/{at}"))).unwrap();
        assert!(server.reads_all(&stream), "{at}");
    }
    assert!(server.entered().is_empty());
    server.gate.add_permits(1);
    let text = read_until(&mut stream, "[/9]");
    assert_eq!(bodies(&text).len(), 11, "{text}");
}

/// Guards against requests with bodies that are split or joined wrongly where they were read ahead in parts.
#[test]
fn bodies_that_were_read_ahead_are_complete() {
    let server = Server::start();
    let mut stream = server.start_slow();
    for length in [0, 1, 5_000, 9_000] {
        let head = format!("PUT /put HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(5));
        stream.write_all(&vec![b'x'; length]).unwrap();
        assert!(server.reads_all(&stream), "{length}");
    }
    stream.write_all(&request("/last")).unwrap();
    server.gate.add_permits(1);
    let text = read_until(&mut stream, "[/last]");
    assert_eq!(bodies(&text).len(), 6, "{text}");
}

/// Guards against a caller that fills this VM's memory with requests behind a slow one.
#[test]
fn what_is_read_ahead_is_bounded() {
    const SENT: usize = 120_000;
    /// hyper's own buffer and the read-ahead buffer.
    const MOST: usize = (16 << 10) + (32 << 10);
    let server = Server::start();
    let mut stream = server.start_slow();
    let next = request("/next");
    let count = SENT / next.len();
    stream.write_all(&next.repeat(count)).unwrap();
    thread::sleep(Duration::from_millis(300));
    let unread = server.unread(&stream);
    let sent = count * next.len();
    assert!(sent - unread <= MOST, "{sent} {unread}");
    server.gate.add_permits(1);
    let reader = thread::spawn(move || {
        let mut text = Vec::new();
        let mut part = vec![0; 64 << 10];
        while text.windows(7).filter(|row| row == b"[/next]").count() < count {
            let length = stream.read(&mut part).unwrap();
            text.extend_from_slice(&part[..length]);
        }
    });
    reader.join().unwrap();
    assert_eq!(server.entered().len(), count);
}

/// Guards against callers on many connections that together fill this VM's memory, and against bytes that count for
/// ever once they are taken or their connection is gone.
#[test]
fn what_all_connections_read_ahead_is_bounded() {
    const MOST: usize = 4 << 20;
    let total = Rc::new(Cell::new(0));
    let mut open: Vec<Ahead> = (0..1_000).map(|_| Ahead::new(Rc::clone(&total))).collect();
    for ahead in &mut open {
        while ahead.room() > 0 {
            ahead.add(&vec![7; ahead.room().min(5_000)]);
        }
    }
    assert_eq!(total.get(), MOST);
    assert_eq!(open[0].take(10_000).len(), 10_000);
    assert_eq!(open[999].room(), 10_000);
    assert_eq!(open[0].take(usize::MAX).len(), (32 << 10) - 10_000);
    assert!(open[0].is_empty());
    open.clear();
    assert_eq!(total.get(), 0);
}
