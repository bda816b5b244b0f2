//! Tests of the relay against a raw TCP upstream that sends malformed, partial and late responses.

mod copies;
mod end;
mod pool;
mod status;

use {
    super::{Dispatch, Failure, Settings, spawn},
    crate::{
        call::{Answer, Call, Meta, Payload, Ran, Reason, Reply},
        cancel,
        clock::Micros,
        context::Context,
        keys::{InFlightKey, KindKey, RequestId, ServiceKey, ZoneKey},
        poison,
        ring::{self, AsyncSender, Ring, Wait},
        slots,
    },
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const LONG_MS: u64 = 20_000;
const SHORT_MS: u64 = 150;

type Outcome = Result<Answer, Failure>;

/// A relay duty that sends requests to a fake upstream.
struct Bench {
    context: Context,
    relay: AsyncSender<Dispatch>,
    done: Ring<slots::Message>,
    upstream: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Bench {
    fn start(upstream: SocketAddr) -> Self {
        let context = Context::new("entry-1", ZoneKey(0), Arc::default());
        let settings = Settings {
            answer_bytes: 1_000,
            ..Settings::default()
        };
        let (relay, receiver) = ring::bounded_async(64);
        let (slots, done) = ring::bounded(64);
        let (stop, stopped) = oneshot::channel();
        let guard = poison::Guard {
            topology: Arc::default(),
            monitor: poison::Monitor {
                verdicts: watch::channel(Arc::default()).1,
                ring: ring::bounded(64).0,
            },
        };
        spawn(&context, settings, receiver, slots, guard, stopped).unwrap();
        Self {
            context,
            relay,
            done,
            upstream,
            stop,
        }
    }

    /// Dispatches a request whose body is its id; the guard cancels it when dropped.
    fn send(&self, id: u64, limit_ms: u64) -> cancel::Guard {
        self.send_with(id, limit_ms, Box::new(|_| ()))
    }

    /// The same, with a reply.
    fn send_with(&self, id: u64, limit_ms: u64, reply: Reply) -> cancel::Guard {
        let until = self.context.clock.now().plus_millis(limit_ms);
        let meta = Meta {
            id: RequestId(id),
            service: ServiceKey(0),
            kind: KindKey(0),
            origin: ZoneKey(0),
            target: ZoneKey(0),
            deadline: Micros(u64::MAX),
            hops: 0,
        };
        let payload = Payload {
            method: "POST".into(),
            target: "/".into(),
            headers: vec![],
            body: id.to_string().into(),
        };
        let (guard, cancel) = cancel::channel();
        let call = Call::new(meta, "".into(), payload, reply).with_cancel(cancel);
        let dispatch = Dispatch {
            in_flight: InFlightKey::default(),
            address: self.upstream,
            holder: "h".into(),
            until,
            call,
        };
        self.relay.offer(dispatch).unwrap();
        guard
    }

    /// The id and the result of the next attempt that ends.
    fn next(&self) -> (u64, Outcome) {
        match self.done.recv_within(WAIT_TIMEOUT) {
            Wait::Message(slots::Message::Done { call, result, .. }) => (call.meta.id.0, result),
            _ => panic!("no attempt ended within the timeout"),
        }
    }

    fn request(&self, id: u64, limit_ms: u64) -> Outcome {
        let _guard = self.send(id, limit_ms);
        self.next().1
    }

    fn assert_response(&self, id: u64) {
        let response = self.request(id, LONG_MS).unwrap();
        assert_eq!(response.body, format!("response to {id}"));
    }
}

/// A connection accepted by the fake upstream.
struct Peer {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Peer {
    /// Reads one request and returns its head and its body.
    fn read(&mut self) -> io::Result<(String, String)> {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.trim().parse().unwrap();
            }
            if line == "\r\n" {
                break;
            }
            head.push_str(&line);
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok((head, String::from_utf8(body).unwrap()))
    }

    fn write(&mut self, text: &str) {
        // The relay may have closed the connection.
        let _ = self.try_write(text);
    }

    fn try_write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    fn respond(&mut self, id: &str) {
        self.write(&response(id));
    }

    /// Whether the relay closes the connection.
    fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        !matches!(self.reader.read(&mut [0]), Ok(1..))
    }
}

fn response(id: &str) -> String {
    let body = format!("response to {id}");
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts an upstream that calls `serve` for each connection, on a separate thread and with the
/// index of the connection.
fn start_upstream(serve: impl Fn(usize, &mut Peer) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (at, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let reader = BufReader::new(stream.try_clone().unwrap());
                serve(at, &mut Peer { reader, stream });
            });
        }
    });
    address
}

/// Starts a bench whose upstream sends `text` on the first connection and closes it; later
/// connections return valid responses.
fn with_first_response(text: &'static str) -> Bench {
    Bench::start(start_upstream(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                peer.write(text);
                return;
            }
            peer.respond(&id);
        }
    }))
}

fn unknown(reason: Reason) -> Outcome {
    let ran = Ran::Unknown;
    Err(Failure { reason, ran })
}

fn not_run(reason: Reason) -> Outcome {
    let ran = Ran::No;
    Err(Failure { reason, ran })
}

#[test]
fn incomplete_or_mismatched_responses_are_refused_and_their_connections_closed() {
    let head = "HTTP/1.1 200 OK\r\n";
    let cases = [
        ("content-length: 9\r\n\r\nshort", Reason::AnswerCut),
        (
            "transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
            Reason::AnswerCut,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n5\r\nsho",
            Reason::AnswerCut,
        ),
        (
            "transfer-encoding: chunked\r\n\r\nzz\r\nshort\r\n0\r\n\r\n",
            Reason::AnswerCut,
        ),
        ("\r\nno length: where it ends is a guess", Reason::AnswerCut),
        (
            "content-length: 5\r\ncontent-length: 7\r\n\r\nshort",
            Reason::AnswerCut,
        ),
        ("content-le", Reason::AnswerCut),
        (
            "siskinstep-request: another\r\ncontent-length: 2\r\n\r\nok",
            Reason::AnswerMismatch,
        ),
    ];
    for (rest, reason) in cases {
        let bench = with_first_response(Box::leak(format!("{head}{rest}").into_boxed_str()));
        assert_eq!(bench.request(1, LONG_MS), unknown(reason), "{rest:?}");
        bench.assert_response(2);
    }
    for text in [
        "",
        "garbage\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let bench = with_first_response(text);
        assert_eq!(
            bench.request(1, LONG_MS),
            unknown(Reason::AnswerCut),
            "{text:?}"
        );
        bench.assert_response(2);
    }
}

#[test]
fn an_oversized_response_is_refused() {
    let large = "x".repeat(1_001);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n{large}");
    let bench = with_first_response(Box::leak(text.into_boxed_str()));
    assert_eq!(bench.request(1, LONG_MS), unknown(Reason::AnswerTooLarge));
    bench.assert_response(2);
}

#[test]
fn interim_responses_are_skipped() {
    let bench = Bench::start(start_upstream(|_, peer| {
        while let Ok((_, id)) = peer.read() {
            peer.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n");
            peer.respond(&id);
        }
    }));
    bench.assert_response(1);
    bench.assert_response(2);
}

#[test]
fn only_a_503_with_the_ran_header_no_means_not_run() {
    let response_to = |status: &str, ran: &str| {
        let text =
            format!("HTTP/1.1 {status}\r\nsiskinstep-ran: {ran}\r\ncontent-length: 0\r\n\r\n");
        with_first_response(Box::leak(text.into_boxed_str())).request(1, LONG_MS)
    };
    assert_eq!(
        response_to("503 Busy", "no"),
        not_run(Reason::UpstreamRefused)
    );
    assert_eq!(response_to("503 Busy", "yes").unwrap().status, 503);
    assert_eq!(response_to("500 Oops", "no").unwrap().status, 500);
}

#[test]
fn a_refused_connection_means_not_run() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let bench = Bench::start(unused.unwrap());
    assert_eq!(bench.request(1, LONG_MS), not_run(Reason::ConnectFailed));
}

#[test]
fn extra_bytes_after_a_response_reach_no_caller() {
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nWRONG";
    for seed in 0..20 {
        let bench = Bench::start(start_upstream(move |_, peer| {
            while let Ok((head, id)) = peer.read() {
                let named = response(&id).replacen("\r\n", &format!("\r\n{}", name_of(&head)), 1);
                if seed % 2 == 0 {
                    peer.write(&(named + extra));
                } else {
                    peer.write(&named);
                    peer.write(extra);
                }
            }
        }));
        for id in 1..10 {
            // Failures are permitted: extra bytes may arrive before or after the next request is
            // sent.
            if let Ok(response) = bench.request(id, LONG_MS) {
                assert_eq!(response.body, format!("response to {id}"));
            }
        }
    }
}

/// The header line of the request head that names the request.
fn name_of(head: &str) -> String {
    let line = head
        .lines()
        .find(|line| line.starts_with("siskinstep-request"));
    format!("{}\r\n", line.unwrap())
}

#[test]
fn a_connection_with_named_responses_requires_names_on_all() {
    let bench = Bench::start(start_upstream(|_, peer| {
        let (head, id) = peer.read().unwrap();
        let named = response(&id).replacen("\r\n", &format!("\r\n{}", name_of(&head)), 1);
        peer.write(&named);
        let (_, id) = peer.read().unwrap();
        peer.respond(&id);
    }));
    bench.assert_response(1);
    assert_eq!(bench.request(2, LONG_MS), unknown(Reason::AnswerMismatch));
}

#[test]
fn responses_out_of_order_reach_their_callers() {
    let held = Arc::new(Mutex::new(Vec::new()));
    let bench = Bench::start(start_upstream(move |_, peer| {
        let (_, id) = peer.read().unwrap();
        let (tx, rx) = mpsc::channel::<()>();
        let mut waiting = held.lock().unwrap();
        waiting.push(tx);
        // Sends the four responses in reverse order of the requests.
        let last = waiting.len() == 4;
        drop(waiting);
        if !last {
            let _ = rx.recv();
        }
        peer.respond(&id);
        held.lock().unwrap().pop();
        thread::sleep(Duration::from_millis(5));
        held.lock().unwrap().pop();
    }));
    let _guards: Vec<cancel::Guard> = (1..=4).map(|id| bench.send(id, LONG_MS)).collect();
    for _ in 0..4 {
        let (id, outcome) = bench.next();
        assert_eq!(outcome.unwrap().body, format!("response to {id}"));
    }
}

#[test]
fn a_late_response_reaches_no_caller() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(start_upstream(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                thread::sleep(Duration::from_millis(SHORT_MS * 2));
                peer.respond(&id);
                tx.send(peer.is_closed()).unwrap();
                return;
            }
            peer.respond(&id);
        }
    }));
    assert_eq!(bench.request(1, SHORT_MS), unknown(Reason::AnswerTimeout));
    bench.assert_response(2);
    assert!(rx.recv_timeout(WAIT_TIMEOUT).unwrap());
    bench.assert_response(3);
}

#[test]
fn a_cancelled_attempt_closes_its_connection() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(start_upstream(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                tx.send(false).unwrap();
                tx.send(peer.is_closed()).unwrap();
                return;
            }
            peer.respond(&id);
        }
    }));
    let guard = bench.send(1, LONG_MS);
    assert!(!rx.recv_timeout(WAIT_TIMEOUT).unwrap());
    drop(guard);
    assert_eq!(bench.next().1, unknown(Reason::Cancelled));
    assert!(rx.recv_timeout(WAIT_TIMEOUT).unwrap());
    bench.assert_response(2);
}

#[test]
fn a_stalled_reused_connection_closes_the_idle_ones_of_its_address() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&opened);
    let bench = Bench::start(start_upstream(move |_, peer| {
        let stalls = count.fetch_add(1, Ordering::SeqCst) < 4;
        let mut served = 0;
        while let Ok((_, id)) = peer.read() {
            // The first connections respond once and not to later requests.
            if stalls && served == 1 {
                peer.is_closed();
                return;
            }
            // Delays the responses, so that each concurrent request needs a separate connection.
            thread::sleep(Duration::from_millis(50));
            served += 1;
            peer.respond(&id);
        }
    }));
    let guards: Vec<cancel::Guard> = (1..=4).map(|id| bench.send(id, LONG_MS)).collect();
    for _ in &guards {
        assert!(bench.next().1.is_ok());
    }
    assert_eq!(opened.load(Ordering::SeqCst), 4);
    assert_eq!(bench.request(5, SHORT_MS), unknown(Reason::AnswerTimeout));
    bench.assert_response(6);
    assert_eq!(opened.load(Ordering::SeqCst), 5);
}

#[test]
fn requests_carry_the_holder_the_request_name_and_the_remaining_time() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(start_upstream(move |_, peer| {
        let (head, id) = peer.read().unwrap();
        tx.send(head).unwrap();
        peer.respond(&id);
    }));
    bench.assert_response(1);
    let head = rx.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(head.contains("siskinstep-holder: h\r\n"), "{head}");
    assert!(head.contains("siskinstep-request: entry-1-"), "{head}");
    let left = head.split("deadline-ms: ").nth(1).unwrap();
    let left: u64 = left.split('\r').next().unwrap().parse().unwrap();
    assert!(left <= LONG_MS, "{head}");
}

/// Guards against an upstream in trouble that sends bytes without end until the connection is closed: in
/// place of a head, in a head, in a body, and after a body of a stated length.
#[test]
fn bytes_without_end_become_a_failure_and_hold_nothing() {
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1_024));
    let cases: [(&str, &str, Option<Reason>); 4] = [
        ("", "no answer at all ", Some(Reason::AnswerCut)),
        (
            "HTTP/1.1 200 OK\r\n",
            "more: and more\r\n",
            Some(Reason::AnswerCut),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            &chunk,
            Some(Reason::AnswerTooLarge),
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            "more",
            None,
        ),
    ];
    for (start, repeated, expected) in cases {
        let (start, repeated) = (start.to_owned(), repeated.to_owned());
        let (ended, closed) = mpsc::channel();
        let bench = Bench::start(start_upstream(move |_, peer| {
            if peer.read().is_err() {
                return;
            }
            peer.write(&start);
            while peer.try_write(&repeated).is_ok() {}
            // The test may be over.
            let _ = ended.send(());
        }));
        let outcome = bench.request(1, LONG_MS);
        match expected {
            Some(reason) => assert_eq!(outcome, unknown(reason)),
            None => assert!(outcome.is_ok_and(|answer| answer.body == "ok")),
        }
        closed.recv_timeout(WAIT_TIMEOUT).unwrap();
    }
}
