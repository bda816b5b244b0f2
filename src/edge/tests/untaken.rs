//! Tests of the bound on responses that callers read slowly.

use {
    super::{
        super::{Handler, Limits, Outgoing, held::Held},
        stop::{LIMIT, REQUEST, connect, listen_within, rest},
    },
    crate::{context::Context, keys::ZoneKey},
    bytes::Bytes,
    http_body_util::Full,
    std::{
        io::{Read, Write},
        net::TcpStream,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// More than the kernel takes of a response that nobody reads.
const BODY_BYTES: usize = 6 << 20;
const UNTAKEN_BYTES: usize = 16 << 20;
/// Bound of the upstreams' responses.
const HELD_BYTES: usize = 32 << 20;
const SLOW_CALLERS: usize = 8;

/// Highest number of bytes that responses took when one was complete.
type Peak = Arc<AtomicUsize>;

/// Answers with a response that counts as read from an upstream.
fn make_handler(peak: Peak) -> Handler {
    let held = Held::strict(HELD_BYTES);
    Rc::new(move |_| {
        let (held, peak) = (held.clone(), Arc::clone(&peak));
        Box::pin(async move {
            let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
            let body = held.collect(body, BODY_BYTES).await.unwrap();
            peak.fetch_max(held.bytes(), Ordering::Relaxed);
            Outgoing::new(200, "text/plain", body)
        })
    })
}

/// Guards against a process that outgrows its memory, and callers that wait, because others take their responses
/// slowly or not at all: one that takes a little now and then never counts as stalled.
#[test]
fn slow_callers_hold_a_bounded_sum_and_nobody_else_waits() {
    let limits = Limits {
        untaken_bytes: UNTAKEN_BYTES,
        ..Limits::default()
    };
    let peak = Peak::default();
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    let observed = Arc::clone(&peak);
    let handle = listen_within(limits, &context, move || make_handler(observed));
    let mut slow: Vec<TcpStream> = Vec::new();
    for _ in 0..SLOW_CALLERS {
        let mut stream = connect(handle.address);
        stream.write_all(REQUEST).unwrap();
        slow.push(stream);
        thread::sleep(Duration::from_millis(50));
        for stream in &mut slow {
            // The listener may have closed the connection.
            let _ = stream.read(&mut [0; 512]);
        }
    }
    let started = Instant::now();
    let mut stream = connect(handle.address);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .unwrap();
    let (in_order, text) = rest(stream);
    assert!(in_order && text.len() > BODY_BYTES);
    assert!(started.elapsed() < LIMIT / 4, "{:?}", started.elapsed());
    let bytes = peak.load(Ordering::Relaxed);
    assert!(bytes <= HELD_BYTES + BODY_BYTES, "{bytes}");
    // Those who came last keep their connections, and get all once they read.
    let mut last = slow.pop().unwrap();
    last.set_read_timeout(Some(LIMIT)).unwrap();
    let mut bytes = vec![0; BODY_BYTES - 512 * SLOW_CALLERS];
    assert!(last.read_exact(&mut bytes).is_ok());
}

/// Guards against a caller that is cut off although what all of them have not taken is within the bound.
#[test]
fn slow_callers_within_the_bound_get_all() {
    let limits = Limits {
        untaken_bytes: 3 * BODY_BYTES,
        ..Limits::default()
    };
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    let handle = listen_within(limits, &context, || make_handler(Peak::default()));
    let mut slow = Vec::new();
    for _ in 0..3 {
        let mut stream = connect(handle.address);
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .unwrap();
        slow.push(stream);
    }
    thread::sleep(Duration::from_millis(1_200));
    for stream in slow {
        let (in_order, text) = rest(stream);
        assert!(in_order && text.len() > BODY_BYTES, "{}", text.len());
    }
}
