//! Tests of the courier duty against a raw TCP upstream.

mod connections;
mod copies;
mod fence;
mod status;

use {
    super::{Caller, Dispatch, Ended, Head, Meaning, Report, Settings, Target, WireFormat, spawn},
    crate::{
        call::{Header, Payload, Ran, Reason},
        cancel::{self, Guard},
        context::Context,
        keys::{InFlightKey, UpstreamKey, ZoneKey},
        poison::{self, Monitor, Verdicts},
        ring::{self, Ring},
    },
    http_body_util::Full,
    hyper::{Request, header::HeaderValue, http::response::Parts},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            mpsc::{self, Receiver},
        },
        thread,
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// A valid response to the request `7`.
const VALID_RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: 7\r\ncontent-length: 2\r\n\r\nok";
/// Time budget of an attempt in milliseconds: long, so that no result depends on the machine's
/// speed.
const BUDGET_MS: u64 = 20_000;

const WIRE_FORMAT: WireFormat = WireFormat {
    name: |payload| {
        let mut headers = payload.headers.iter();
        let header = headers.find(|header| header.name == "id")?;
        Some(&header.value)
    },
    encode: |payload, target, _caller, remaining_ms| {
        let mut request = Request::builder().method(&payload.method[..]).uri("/x");
        for header in &payload.headers {
            request = request.header(&header.name[..], &header.value[..]);
        }
        let request = request.header("meant", &*target.id);
        let request = request.header("left", remaining_ms);
        request.body(Full::new(payload.body.clone())).ok()
    },
    decode: |parts, payload| {
        let sent = payload.headers.iter().find(|header| header.name == "id");
        let sent = sent.map(|header| &header.value[..]);
        let meaning = match parts.headers.get("id").map(HeaderValue::as_bytes) {
            Some(b"none") => Meaning::NotRun,
            Some(b"other") => Meaning::Misdirected,
            name @ Some(_) if name == sent && parts.status == 421 => Meaning::Misdirected,
            name @ Some(_) if name == sent && parts.headers.contains_key("refused") => {
                Meaning::NotRun
            }
            name @ Some(_) if name == sent => Meaning::Answer,
            None if parts.headers.contains_key("any") => Meaning::Answer,
            _ => Meaning::Mismatch,
        };
        Head {
            meaning,
            has_proof: parts.headers.get("unproven").is_none(),
            names_request: parts.headers.contains_key("id"),
            load: None,
            is_leaving: parts.headers.contains_key("leaving"),
            rest: rest_of(parts),
            idle_ms: None,
        }
    },
};

/// Time in the header `rest`, in milliseconds.
fn rest_of(parts: &Parts) -> Option<Duration> {
    let text = parts.headers.get("rest")?.to_str().ok()?;
    Some(Duration::from_millis(text.parse().ok()?))
}

/// Starts an upstream that responds to each request with the same bytes, and then closes the
/// connection if `closes`. Returns its address and the requests that it receives.
fn upstream(bytes: &'static str, closes: bool) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let sender = sender.clone();
            thread::spawn(move || {
                let mut buffer = [0; 2_048];
                while let Ok(length @ 1..) = stream.read(&mut buffer) {
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    // The test may have dropped the receiver.
                    let _ = sender.send(text);
                    if stream.write_all(bytes.as_bytes()).is_err() || closes {
                        return;
                    }
                }
            });
        }
    });
    (address, received)
}

/// A courier duty and the reports that it sends.
struct World {
    dispatches: ring::AsyncSender<Dispatch>,
    reports: Receiver<Report>,
    poison: Ring<poison::Message>,
    context: Context,
    /// Key of the upstream of the next requests.
    upstream: UpstreamKey,
    _stop: oneshot::Sender<()>,
}

impl World {
    fn new() -> Self {
        let context = Context::new("entry-1", ZoneKey(0), Arc::default());
        let (dispatches, receiver) = ring::bounded_async(8);
        let (sender, reports) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let report = move |report| drop(sender.send(report));
        let (ring, poison) = ring::bounded(8);
        let (_, verdicts) = watch::channel(Arc::<Verdicts>::default());
        spawn(
            &context,
            Settings::default(),
            WIRE_FORMAT,
            Monitor { verdicts, ring },
            receiver,
            report,
            stopped,
        )
        .unwrap();
        Self {
            dispatches,
            reports,
            poison,
            context,
            upstream: UpstreamKey::default(),
            _stop: stop,
        }
    }

    fn send(&self, address: SocketAddr) -> Guard {
        self.send_for(address, BUDGET_MS)
    }

    fn send_for(&self, address: SocketAddr, remaining_ms: u64) -> Guard {
        self.send_named(address, Some("7"), remaining_ms)
    }

    fn send_named(
        &self,
        address: SocketAddr,
        name: Option<&'static str>,
        remaining_ms: u64,
    ) -> Guard {
        self.send_method(address, "GET", name, remaining_ms)
    }

    fn send_method(
        &self,
        address: SocketAddr,
        method: &'static str,
        name: Option<&'static str>,
        remaining_ms: u64,
    ) -> Guard {
        let header = |name: &'static str| Header {
            name: "id".into(),
            value: name.into(),
        };
        let payload = Payload {
            method: method.into(),
            target: "/x".into(),
            headers: name.map(header).into_iter().collect(),
            body: "".into(),
        };
        self.send_payload(address, payload, remaining_ms)
    }

    fn send_payload(&self, address: SocketAddr, payload: Payload, remaining_ms: u64) -> Guard {
        self.send_from(address, payload, remaining_ms, Caller::default())
    }

    fn send_from(
        &self,
        address: SocketAddr,
        payload: Payload,
        remaining_ms: u64,
        caller: Caller,
    ) -> Guard {
        let (guard, cancel) = cancel::channel();
        let dispatch = Dispatch {
            in_flight: InFlightKey::default(),
            target: Target {
                address,
                id: "u-1".into(),
                born: 5,
                key: self.upstream,
            },
            until: self.context.clock.now().plus_millis(remaining_ms),
            payload: payload.into(),
            caller,
            cancel,
        };
        self.dispatches.offer(dispatch).unwrap();
        guard
    }

    fn next_report(&self) -> Report {
        self.reports.recv_timeout(Duration::from_mins(1)).unwrap()
    }

    fn attempt(&self, address: SocketAddr) -> Ended {
        let _guard = self.send(address);
        self.next_report().ended
    }
}

fn failed(reason: Reason, ran: Ran) -> Ended {
    Ended::Failed {
        reason,
        ran,
        load: None,
    }
}

#[test]
fn a_complete_response_is_returned_and_its_connection_is_reused() {
    let (address, received) = upstream(VALID_RESPONSE, false);
    let world = World::new();
    for _ in 0..2 {
        let _guard = world.send(address);
        let report = world.next_report();
        assert!(matches!(report.ended, Ended::Answered { status: 200, .. }));
        assert_eq!(report.answer.unwrap().body, "ok");
    }
    let text = received.recv().unwrap();
    assert!(
        text.contains("meant: u-1") && text.contains("left: "),
        "{text}"
    );
    let samples = world.context.metrics.read();
    let opened = samples
        .iter()
        .find(|row| row.name.contains("connections_opened"));
    assert_eq!(opened.map(|row| row.value), Some(1));
}

#[test]
fn a_response_delimited_by_connection_close_is_complete() {
    let (address, _received) = upstream("HTTP/1.1 200 OK\r\nid: 7\r\n\r\nall of it", true);
    let world = World::new();
    let _guard = world.send(address);
    assert_eq!(world.next_report().answer.unwrap().body, "all of it");
}

#[test]
fn invalid_or_mismatched_responses_are_not_delivered() {
    let cases: [(&str, bool, Ended); 6] = [
        (
            "HTTP/1.1 200 OK\r\nid: 7\r\ncontent-length: 9\r\n\r\nok",
            true,
            failed(Reason::AnswerCut, Ran::Unknown),
        ),
        (
            "not an answer at all\r\n\r\n",
            true,
            failed(Reason::AnswerCut, Ran::Unknown),
        ),
        (
            "HTTP/1.1 200 OK\r\nid: 8\r\ncontent-length: 2\r\n\r\nok",
            false,
            failed(Reason::AnswerMismatch, Ran::Unknown),
        ),
        (
            "HTTP/1.1 200 OK\r\nid: 7\r\nunproven: 1\r\ncontent-length: 2\r\n\r\nok",
            false,
            failed(Reason::AnswerMismatch, Ran::Unknown),
        ),
        (
            "HTTP/1.1 503 Full\r\nid: none\r\ncontent-length: 0\r\n\r\n",
            false,
            failed(Reason::UpstreamRefused, Ran::No),
        ),
        (
            "HTTP/1.1 421 Other\r\nid: other\r\ncontent-length: 0\r\n\r\n",
            false,
            Ended::Misdirected,
        ),
    ];
    for (bytes, closes, expected) in cases {
        let (address, _received) = upstream(bytes, closes);
        let world = World::new();
        assert_eq!(world.attempt(address), expected, "{bytes}");
    }
}

#[test]
fn extra_bytes_after_a_response_are_not_delivered() {
    let twice = "HTTP/1.1 200 OK\r\nid: 7\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nid: 7\r\ncontent-length: 3\r\n\r\nbad";
    let (address, _received) = upstream(twice, false);
    let world = World::new();
    for _ in 0..5 {
        let _guard = world.send(address);
        let report = world.next_report();
        if let Some(answer) = report.answer {
            assert_eq!(answer.body, "ok");
        }
    }
}

#[test]
fn refused_connections_and_response_timeouts_are_distinguished() {
    let world = World::new();
    let unused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(
        world.attempt(unused),
        failed(Reason::ConnectFailed, Ran::No)
    );
    let (unresponsive, _received) = upstream("", false);
    let _guard = world.send_for(unresponsive, 300);
    assert_eq!(
        world.next_report().ended,
        failed(Reason::AnswerTimeout, Ran::Unknown)
    );
}

#[test]
fn a_caller_that_disconnects_cancels_the_attempt() {
    let (unresponsive, received) = upstream("", false);
    let world = World::new();
    let guard = world.send(unresponsive);
    received.recv().unwrap();
    drop(guard);
    assert_eq!(
        world.next_report().ended,
        failed(Reason::Cancelled, Ran::Unknown)
    );
}

/// Guards against a late second copy of a response that does not name its request and is delivered to the
/// next request on the connection.
#[test]
fn a_response_without_a_name_is_delivered_on_a_new_connection_only() {
    let unnamed = "HTTP/1.1 200 OK\r\nany: 1\r\ncontent-length: 2\r\n\r\nok";
    let (address, _received) = upstream(unnamed, false);
    let world = World::new();
    let answered = |ended| matches!(ended, Ended::Answered { status: 200, .. });
    assert!(answered(world.attempt(address)));
    assert_eq!(
        world.attempt(address),
        failed(Reason::AnswerMismatch, Ran::Unknown)
    );
    assert!(answered(world.attempt(address)));
}

/// Guards against an upstream in trouble that sends bytes without end until the connection is closed.
#[test]
fn bytes_without_end_become_a_failure() {
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1_024));
    let cases: [(&str, &str, Reason); 3] = [
        ("", "no answer at all ", Reason::AnswerCut),
        (
            "HTTP/1.1 200 OK\r\nid: 7\r\n",
            "more: and more\r\n",
            Reason::AnswerCut,
        ),
        (
            "HTTP/1.1 200 OK\r\nid: 7\r\ntransfer-encoding: chunked\r\n\r\n",
            &chunk,
            Reason::AnswerTooLarge,
        ),
    ];
    for (start, repeated, reason) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (start, repeated) = (start.to_owned(), repeated.to_owned());
        let (ended, closed) = mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 2_048]).unwrap();
            let _ = stream.write_all(start.as_bytes());
            while stream.write_all(repeated.as_bytes()).is_ok() {}
            // The test may be over.
            let _ = ended.send(());
        });
        let world = World::new();
        assert_eq!(world.attempt(address), failed(reason, Ran::Unknown));
        closed.recv_timeout(Duration::from_mins(1)).unwrap();
    }
}

/// Guards against an attempt that waits for its connection while the caller's key is removed, and is sent all the same.
#[test]
fn an_attempt_of_a_caller_that_is_no_longer_identified_is_not_sent() {
    let (address, received) = upstream(VALID_RESPONSE, false);
    let world = World::new();
    let payload = || Payload {
        method: "GET".into(),
        target: "/x".into(),
        headers: vec![Header {
            name: "id".into(),
            value: "7".into(),
        }],
        body: "".into(),
    };
    let (identified, revoked) = cancel::channel();
    let caller = Caller {
        is_checked: true,
        workspace: None,
        revoked: Some(revoked),
    };
    let _guard = world.send_from(address, payload(), BUDGET_MS, caller.clone());
    assert!(matches!(
        world.next_report().ended,
        Ended::Answered { status: 200, .. }
    ));
    received.recv().unwrap();
    drop(identified);
    let _guard = world.send_from(address, payload(), BUDGET_MS, caller);
    let expected = failed(Reason::IdentityUnknown, Ran::No);
    assert_eq!(world.next_report().ended, expected);
    assert!(received.try_recv().is_err());
}
