//! Tests of the edge against malformed, oversized, half-sent and never-ending input.

use {
    super::{Handler, Limits, Listener, ListenerHandle, Outgoing, Secret, spawn},
    crate::{context::Context, fuzz, keys::ZoneKey},
    std::{
        io::{Read, Write},
        net::TcpStream,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

fn echo() -> Handler {
    Rc::new(|incoming| Box::pin(async move { Outgoing::new(200, "text/plain", incoming.body) }))
}

fn start(limits: Limits, secret: Option<Secret>) -> ListenerHandle {
    let listener = Listener {
        name: "test",
        address: "127.0.0.1:0".parse().unwrap(),
        limits,
        secret,
    };
    let context = Context::new("vm-1", ZoneKey(0), Arc::default());
    spawn(listener, context, echo).unwrap()
}

fn tight() -> Limits {
    Limits {
        connections: 2,
        header_ms: 100,
        body_ms: 100,
        body_bytes: 8,
        write_ms: 100,
    }
}

/// Sends `bytes`, and returns all that comes back until the peer closes.
fn talk(running: &ListenerHandle, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(running.address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    // The peer may close before it has read all.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    // A reset by the peer also ends what came back.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn malformed_input_is_refused() {
    let running = start(tight(), None);
    assert!(talk(&running, b"\x00\x01 garbage\r\n\r\n").starts_with("HTTP/1.1 400"));
}

#[test]
fn oversized_bodies_are_refused_with_a_reason() {
    let running = start(tight(), None);
    let answer = talk(
        &running,
        b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\n123456789",
    );
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
}

#[test]
fn half_sent_heads_and_bodies_end() {
    let running = start(tight(), None);
    let head = talk(&running, b"GET / HTTP/1.1\r\nhost");
    assert!(!head.contains("200 OK"), "{head}");
    let body = talk(&running, b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\n12");
    assert!(body.starts_with("HTTP/1.1 408"), "{body}");
}

#[test]
fn endless_heads_are_refused() {
    let running = start(tight(), None);
    let mut head = b"GET / HTTP/1.1\r\n".to_vec();
    for row in 0..4_000 {
        head.extend_from_slice(format!("h{row}: 1\r\n").as_bytes());
    }
    let answer = talk(&running, &head);
    assert!(!answer.contains("200 OK"), "{answer}");
}

#[test]
fn calls_without_the_secret_are_refused() {
    let running = start(Limits::default(), Some(Secret::new("0123456789abcdef")));
    let without = talk(&running, b"POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
    assert!(without.starts_with("HTTP/1.1 401"), "{without}");
    let with = b"POST / HTTP/1.1\r\nsiskinstep-secret: 0123456789abcdef\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    assert!(talk(&running, with).ends_with("ok"));
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    let limits = Limits {
        header_ms: 60_000,
        ..tight()
    };
    let running = start(limits, None);
    let held: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(running.address).unwrap())
        .collect();
    // The listener accepts in order, so both held ones are counted by now.
    assert_eq!(talk(&running, b"GET / HTTP/1.1\r\n\r\n"), "");
    drop(held);
}

#[test]
fn any_bytes_get_an_answer_or_a_close_and_the_listener_goes_on() {
    let limits = Limits {
        connections: 64,
        ..tight()
    };
    let running = start(limits, None);
    fuzz::check(40, |bytes: &Vec<u8>| {
        talk(&running, bytes);
        let head = b"POST / HTTP/1.1\r\ncontent-length: ";
        talk(&running, &[&head[..], bytes].concat());
        let after = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
        assert!(talk(&running, after).starts_with("HTTP/1.1 200"));
    });
}
