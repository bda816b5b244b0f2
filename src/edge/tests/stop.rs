//! Tests of a planned stop of the listener: requests that wait in the kernel, that are half read or half answered.

use {
    super::super::{Handler, Limits, Listener, ListenerHandle, Outgoing, spawn},
    crate::{context::Context, keys::ZoneKey},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        rc::Rc,
        sync::{Arc, mpsc},
        thread,
        time::Duration,
    },
};

pub(super) const LIMIT: Duration = Duration::from_secs(20);
pub(super) const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against a planned stop that resets connections which the kernel has established, with requests that
/// have arrived, and which the listener has not accepted yet.
#[test]
fn connections_in_the_backlog_are_served_after_a_stop() {
    for _ in 0..10 {
        let (entered, is_entered) = std::sync::mpsc::channel();
        let (release, released) = std::sync::mpsc::channel::<()>();
        let listener = Listener {
            name: "test",
            address: "127.0.0.1:0".parse().unwrap(),
            limits: Limits::default(),
            secret: None,
        };
        let context = Context::new("vm-1", ZoneKey(0), Arc::default());
        let make_handler = move || -> Handler {
            Rc::new(move |incoming| {
                if incoming.path() == b"/block" {
                    entered.send(()).unwrap();
                    released.recv().unwrap();
                }
                Box::pin(async move { Outgoing::new(200, "text/plain", "served") })
            })
        };
        let handle = spawn(listener, context.clone(), make_handler).unwrap();
        let request = |path: &str| {
            let mut stream = TcpStream::connect(handle.address).unwrap();
            let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
            stream.write_all(text.as_bytes()).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(20)))
                .unwrap();
            stream
        };
        let blocking = request("/block");
        is_entered.recv_timeout(Duration::from_secs(20)).unwrap();
        // The listener's thread is blocked, so the kernel holds these.
        let waiting: Vec<TcpStream> = (0..8).map(|_| request("/")).collect();
        context.begin_shutdown();
        let stopping = std::thread::spawn(move || handle.join());
        std::thread::sleep(Duration::from_millis(20));
        release.send(()).unwrap();
        for mut stream in waiting.into_iter().chain([blocking]) {
            let mut text = String::new();
            let read = stream.read_to_string(&mut text);
            assert!(read.is_ok() && text.contains("served"), "{read:?} {text}");
        }
        stopping.join().unwrap();
    }
}

/// A listener whose thread blocks in each request for `/block` until `release` gets a message.
struct Blocking {
    context: Context,
    handle: ListenerHandle,
    entered: mpsc::Receiver<()>,
    release: mpsc::Sender<()>,
}

impl Blocking {
    fn start() -> Self {
        let (entered_tx, entered) = mpsc::channel();
        let (release, released) = mpsc::channel::<()>();
        let make_handler = move || -> Handler {
            Rc::new(move |incoming| {
                if incoming.path() == b"/block" {
                    entered_tx.send(()).unwrap();
                    released.recv().unwrap();
                }
                Box::pin(async move { Outgoing::new(200, "text/plain", "served") })
            })
        };
        let context = Context::new("vm-1", ZoneKey(0), Arc::default());
        Self {
            handle: listen(&context, make_handler),
            context,
            entered,
            release,
        }
    }
}

pub(super) fn listen(
    context: &Context,
    make_handler: impl FnOnce() -> Handler + Send + 'static,
) -> ListenerHandle {
    listen_within(Limits::default(), context, make_handler)
}

pub(super) fn listen_within(
    limits: Limits,
    context: &Context,
    make_handler: impl FnOnce() -> Handler + Send + 'static,
) -> ListenerHandle {
    let listener = Listener {
        name: "test",
        address: "127.0.0.1:0".parse().unwrap(),
        limits,
        secret: None,
    };
    spawn(listener, context.clone(), make_handler).unwrap()
}

pub(super) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends a request and reads its response, which leaves the connection open.
fn keep_alive(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(REQUEST).unwrap();
    let mut text = Vec::new();
    while !text.ends_with(b"served") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        text.push(byte[0]);
    }
    stream
}

/// Everything that the peer sends until it closes the connection, and whether it closes in order.
pub(super) fn rest(mut stream: TcpStream) -> (bool, String) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    (read.is_ok(), String::from_utf8_lossy(&bytes).into_owned())
}

/// Guards against a planned stop that closes connections whose requests have arrived and were not read yet: a
/// connection that was just accepted, and one that is kept open.
#[test]
fn requests_that_arrived_before_a_stop_are_answered() {
    for _ in 0..10 {
        let Blocking {
            context,
            handle,
            entered,
            release,
        } = Blocking::start();
        let mut open: Vec<TcpStream> = (0..4).map(|_| keep_alive(handle.address)).collect();
        open.extend((0..4).map(|_| connect(handle.address)));
        // The listener accepts in order.
        drop(keep_alive(handle.address));
        let mut blocking = connect(handle.address);
        blocking
            .write_all(b"GET /block HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        entered.recv_timeout(LIMIT).unwrap();
        for stream in &mut open {
            stream.write_all(REQUEST).unwrap();
        }
        context.begin_shutdown();
        let stopping = thread::spawn(move || handle.join());
        thread::sleep(Duration::from_millis(20));
        release.send(()).unwrap();
        for stream in open.into_iter().chain([blocking]) {
            let (in_order, text) = rest(stream);
            assert!(in_order && text.ends_with("served"), "{text:?}");
        }
        stopping.join().unwrap();
    }
}

/// Guards against a planned stop that closes a connection in the middle of a request's head.
#[test]
fn a_request_that_is_half_read_at_a_stop_is_answered() {
    for is_kept in [false, true] {
        let Blocking {
            context, handle, ..
        } = Blocking::start();
        let mut stream = if is_kept {
            keep_alive(handle.address)
        } else {
            connect(handle.address)
        };
        stream.write_all(&REQUEST[..20]).unwrap();
        thread::sleep(Duration::from_millis(50));
        context.begin_shutdown();
        let stopping = thread::spawn(move || handle.join());
        thread::sleep(Duration::from_millis(200));
        // The listener may have closed the connection.
        let _ = stream.write_all(&REQUEST[20..]);
        let (in_order, text) = rest(stream);
        assert!(in_order && text.ends_with("served"), "{is_kept} {text:?}");
        stopping.join().unwrap();
    }
}

/// Guards against a stop that waits for callers which send nothing, or no end of a head.
#[test]
fn a_stop_does_not_wait_for_heads_without_end() {
    let Blocking {
        context, handle, ..
    } = Blocking::start();
    let mut half = keep_alive(handle.address);
    half.write_all(&REQUEST[..20]).unwrap();
    let idle = [keep_alive(handle.address), connect(handle.address)];
    thread::sleep(Duration::from_millis(50));
    context.begin_shutdown();
    let (ended, is_ended) = mpsc::channel();
    thread::spawn(move || {
        handle.join();
        // The test may have failed.
        let _ = ended.send(());
    });
    assert!(is_ended.recv_timeout(Duration::from_secs(4)).is_ok());
    drop((half, idle));
}

/// Guards against a planned stop that cuts off a request whose body is on its way, or a response that its caller
/// reads slowly.
#[test]
fn bodies_on_their_way_at_a_stop_are_complete() {
    const BYTES: usize = 6 << 20;
    let make_handler = || -> Handler {
        Rc::new(|incoming| {
            let length = if incoming.body.is_empty() {
                BYTES
            } else {
                incoming.body.len()
            };
            Box::pin(async move { Outgoing::new(200, "text/plain", vec![b'x'; length]) })
        })
    };
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    let handle = listen(&context, make_handler);
    let mut reads_slowly = connect(handle.address);
    reads_slowly.write_all(REQUEST).unwrap();
    let mut sends_slowly = connect(handle.address);
    sends_slowly
        .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(50));
    context.begin_shutdown();
    let stopping = thread::spawn(move || handle.join());
    let mut bytes = Vec::new();
    for _ in 0..10 {
        thread::sleep(Duration::from_millis(150));
        sends_slowly.write_all(b"y").unwrap();
        let mut part = vec![0; 256 << 10];
        let length = reads_slowly.read(&mut part).unwrap();
        bytes.extend_from_slice(&part[..length]);
    }
    let (in_order, text) = rest(sends_slowly);
    assert!(in_order && text.ends_with("\r\n\r\nxxxxxxxxxx"), "{text}");
    let read = reads_slowly.read_to_end(&mut bytes);
    assert!(
        read.is_ok() && bytes.len() > BYTES,
        "{read:?} {}",
        bytes.len()
    );
    stopping.join().unwrap();
}

/// Guards against a response that is lost as its caller has sent the next request behind the one that it belongs
/// to, and against that next request being run and not answered.
#[test]
fn of_pipelined_requests_each_that_runs_at_a_stop_is_answered() {
    let (entered, is_entered) = mpsc::channel();
    let make_handler = move || -> Handler {
        Rc::new(move |_| {
            entered.send(()).unwrap();
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(300)).await;
                Outgoing::new(200, "text/plain", "served")
            })
        })
    };
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    let handle = listen(&context, make_handler);
    let mut stream = connect(handle.address);
    stream.write_all(&REQUEST.repeat(3)).unwrap();
    is_entered.recv_timeout(LIMIT).unwrap();
    context.begin_shutdown();
    let stopping = thread::spawn(move || handle.join());
    let (in_order, text) = rest(stream);
    stopping.join().unwrap();
    let run = 1 + is_entered.try_iter().count();
    assert!(in_order, "{text}");
    assert_eq!(text.matches("served").count(), run, "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

/// Guards against requests that are run for a caller which has left: it sent several at once, and closed the
/// connection before the first was answered.
#[test]
fn pipelined_requests_of_a_caller_that_has_left_are_not_run() {
    let (entered, is_entered) = mpsc::channel();
    let make_handler = move || -> Handler {
        Rc::new(move |_| {
            entered.send(()).unwrap();
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(300)).await;
                Outgoing::new(200, "text/plain", "served")
            })
        })
    };
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    let handle = listen(&context, make_handler);
    let mut stays = connect(handle.address);
    stays.write_all(&REQUEST.repeat(2)).unwrap();
    let mut leaves = connect(handle.address);
    leaves.write_all(&REQUEST.repeat(3)).unwrap();
    for _ in 0..2 {
        is_entered.recv_timeout(LIMIT).unwrap();
    }
    drop(leaves);
    // The second request of the caller that stays.
    is_entered.recv_timeout(LIMIT).unwrap();
    thread::sleep(Duration::from_millis(700));
    assert_eq!(is_entered.try_iter().count(), 0);
    handle.join();
    let (_, text) = rest(stays);
    assert_eq!(text.matches("served").count(), 2, "{text}");
}
