//! Tests of the relay against an upstream of raw TCP that answers in every wrong way.

use {
    super::{Dispatch, Failure, Settings, spawn},
    crate::{
        call::{Answer, Call, Meta, Payload, Ran, Reason},
        cancel,
        clock::Micros,
        context::Context,
        keys::{FlightKey, KindKey, RequestId, ServiceKey, ZoneKey},
        poison,
        ring::{self, Outbox, Ring, Wait},
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

const PATIENCE: Duration = Duration::from_secs(30);
const LONG_MS: u64 = 20_000;
const SHORT_MS: u64 = 150;

type Ended = Result<Answer, Failure>;

/// The relay between a test and a fake upstream.
struct Bench {
    context: Context,
    relay: Outbox<Dispatch>,
    done: Ring<slots::Message>,
    upstream: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl Bench {
    fn start(upstream: SocketAddr) -> Self {
        let context = Context::new("entry-1", ZoneKey(0), Arc::default());
        let settings = Settings {
            answer_bytes: 1_000,
            ..Settings::default()
        };
        let (relay, inbox) = ring::awaited(64);
        let (slots, done) = ring::bounded(64);
        let (stop, stopped) = oneshot::channel();
        let guard = poison::Guard {
            topology: Arc::default(),
            verdicts: watch::channel(Arc::default()).1,
            ring: ring::bounded(64).0,
        };
        spawn(&context, settings, inbox, slots, guard, stopped).unwrap();
        Self {
            context,
            relay,
            done,
            upstream,
            _stop: stop,
        }
    }

    /// Sends a request whose body is its number; the guard cancels it when dropped.
    fn send(&self, id: u64, limit_ms: u64) -> cancel::Guard {
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
        let (guard, cancel) = cancel::pair();
        let call = Call::new(meta, "".into(), payload, Box::new(|_| ())).with_cancel(cancel);
        let dispatch = Dispatch {
            flight: FlightKey::default(),
            address: self.upstream,
            holder: "h".into(),
            until,
            call,
        };
        self.relay.offer(dispatch).unwrap();
        guard
    }

    /// The next attempt to end: its number and its end.
    fn next(&self) -> (u64, Ended) {
        match self.done.recv_within(PATIENCE) {
            Wait::Message(slots::Message::Done { call, result, .. }) => (call.meta.id.0, result),
            _ => panic!("no attempt has ended"),
        }
    }

    fn ask(&self, id: u64, limit_ms: u64) -> Ended {
        let _guard = self.send(id, limit_ms);
        self.next().1
    }

    fn assert_own(&self, id: u64) {
        let answer = self.ask(id, LONG_MS).unwrap();
        assert_eq!(answer.body, format!("own {id}"));
    }
}

/// A connection of the fake upstream.
struct Peer {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Peer {
    /// Reads one request: its head and its body.
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
        // The relay may have hung up.
        let _ = self.stream.write_all(text.as_bytes());
    }

    fn answer(&mut self, id: &str) {
        self.write(&own(id));
    }

    /// Whether the relay closes the connection.
    fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        !matches!(self.reader.read(&mut [0]), Ok(1..))
    }
}

fn own(id: &str) -> String {
    let body = format!("own {id}");
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves each connection on a thread of its own; `serve` is told its number, from zero.
fn fake(serve: impl Fn(usize, &mut Peer) + Send + Sync + 'static) -> SocketAddr {
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

/// Answers the first request with `text` and closes; later connections answer as they should.
fn first_answer(text: &'static str) -> Bench {
    Bench::start(fake(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                peer.write(text);
                return;
            }
            peer.answer(&id);
        }
    }))
}

fn unknown(reason: Reason) -> Ended {
    let ran = Ran::Unknown;
    Err(Failure { reason, ran })
}

fn not_run(reason: Reason) -> Ended {
    let ran = Ran::No;
    Err(Failure { reason, ran })
}

#[test]
fn what_is_no_complete_answer_is_refused_and_its_connection_dropped() {
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
        let bench = first_answer(Box::leak(format!("{head}{rest}").into_boxed_str()));
        assert_eq!(bench.ask(1, LONG_MS), unknown(reason), "{rest:?}");
        bench.assert_own(2);
    }
    for text in [
        "",
        "garbage\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let bench = first_answer(text);
        assert_eq!(
            bench.ask(1, LONG_MS),
            unknown(Reason::AnswerCut),
            "{text:?}"
        );
        bench.assert_own(2);
    }
}

#[test]
fn an_oversized_answer_is_refused() {
    let large = "x".repeat(1_001);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n{large}");
    let bench = first_answer(Box::leak(text.into_boxed_str()));
    assert_eq!(bench.ask(1, LONG_MS), unknown(Reason::AnswerTooLarge));
    bench.assert_own(2);
}

#[test]
fn interim_answers_are_passed_over() {
    let bench = Bench::start(fake(|_, peer| {
        while let Ok((_, id)) = peer.read() {
            peer.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n");
            peer.answer(&id);
        }
    }));
    bench.assert_own(1);
    bench.assert_own(2);
}

#[test]
fn only_a_plain_word_of_the_upstream_means_not_run() {
    let says = |status: &str, ran: &str| {
        let text =
            format!("HTTP/1.1 {status}\r\nsiskinstep-ran: {ran}\r\ncontent-length: 0\r\n\r\n");
        first_answer(Box::leak(text.into_boxed_str())).ask(1, LONG_MS)
    };
    assert_eq!(says("503 Busy", "no"), not_run(Reason::UpstreamRefused));
    assert_eq!(says("503 Busy", "yes").unwrap().status, 503);
    assert_eq!(says("500 Oops", "no").unwrap().status, 500);
}

#[test]
fn a_refused_connection_means_not_run() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let bench = Bench::start(gone.unwrap());
    assert_eq!(bench.ask(1, LONG_MS), not_run(Reason::ConnectFailed));
}

#[test]
fn what_follows_an_answer_is_nobodys() {
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nWRONG";
    for seed in 0..20 {
        let bench = Bench::start(fake(move |_, peer| {
            while let Ok((head, id)) = peer.read() {
                let named = own(&id).replacen("\r\n", &format!("\r\n{}", name_of(&head)), 1);
                if seed % 2 == 0 {
                    peer.write(&(named + extra));
                } else {
                    peer.write(&named);
                    peer.write(extra);
                }
            }
        }));
        for id in 1..10 {
            // Refusals are right here: an extra answer may come before or after the next request.
            if let Ok(answer) = bench.ask(id, LONG_MS) {
                assert_eq!(answer.body, format!("own {id}"));
            }
        }
    }
}

/// The header line that names the request.
fn name_of(head: &str) -> String {
    let line = head
        .lines()
        .find(|line| line.starts_with("siskinstep-request"));
    format!("{}\r\n", line.unwrap())
}

#[test]
fn an_upstream_that_names_requests_names_them_all() {
    let bench = Bench::start(fake(|_, peer| {
        let (head, id) = peer.read().unwrap();
        let named = own(&id).replacen("\r\n", &format!("\r\n{}", name_of(&head)), 1);
        peer.write(&named);
        let (_, id) = peer.read().unwrap();
        peer.answer(&id);
    }));
    bench.assert_own(1);
    assert_eq!(bench.ask(2, LONG_MS), unknown(Reason::AnswerMismatch));
}

#[test]
fn answers_out_of_order_reach_their_own_callers() {
    let held = Arc::new(Mutex::new(Vec::new()));
    let bench = Bench::start(fake(move |_, peer| {
        let (_, id) = peer.read().unwrap();
        let (tx, rx) = mpsc::channel::<()>();
        let mut waiting = held.lock().unwrap();
        waiting.push(tx);
        // The last of four answers first, then the one before it, and so on.
        let last = waiting.len() == 4;
        drop(waiting);
        if !last {
            let _ = rx.recv();
        }
        peer.answer(&id);
        held.lock().unwrap().pop();
        thread::sleep(Duration::from_millis(5));
        held.lock().unwrap().pop();
    }));
    let _guards: Vec<cancel::Guard> = (1..=4).map(|id| bench.send(id, LONG_MS)).collect();
    for _ in 0..4 {
        let (id, ended) = bench.next();
        assert_eq!(ended.unwrap().body, format!("own {id}"));
    }
}

#[test]
fn a_late_answer_reaches_nobody() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(fake(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                thread::sleep(Duration::from_millis(SHORT_MS * 2));
                peer.answer(&id);
                tx.send(peer.is_closed()).unwrap();
                return;
            }
            peer.answer(&id);
        }
    }));
    assert_eq!(bench.ask(1, SHORT_MS), unknown(Reason::AnswerTimeout));
    bench.assert_own(2);
    assert!(rx.recv_timeout(PATIENCE).unwrap());
    bench.assert_own(3);
}

#[test]
fn a_cancelled_attempt_closes_its_connection() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(fake(move |at, peer| {
        while let Ok((_, id)) = peer.read() {
            if at == 0 {
                tx.send(false).unwrap();
                tx.send(peer.is_closed()).unwrap();
                return;
            }
            peer.answer(&id);
        }
    }));
    let guard = bench.send(1, LONG_MS);
    assert!(!rx.recv_timeout(PATIENCE).unwrap());
    drop(guard);
    assert_eq!(bench.next().1, unknown(Reason::Cancelled));
    assert!(rx.recv_timeout(PATIENCE).unwrap());
    bench.assert_own(2);
}

#[test]
fn a_silent_connection_retires_the_idle_ones_of_its_address() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&opened);
    let bench = Bench::start(fake(move |_, peer| {
        let old = count.fetch_add(1, Ordering::SeqCst) < 4;
        let mut served = 0;
        while let Ok((_, id)) = peer.read() {
            // Old connections answer once and are silent from then on.
            if old && served == 1 {
                peer.is_closed();
                return;
            }
            // Together, so that each request has a connection of its own.
            thread::sleep(Duration::from_millis(50));
            served += 1;
            peer.answer(&id);
        }
    }));
    let guards: Vec<cancel::Guard> = (1..=4).map(|id| bench.send(id, LONG_MS)).collect();
    for _ in &guards {
        assert!(bench.next().1.is_ok());
    }
    assert_eq!(opened.load(Ordering::SeqCst), 4);
    assert_eq!(bench.ask(5, SHORT_MS), unknown(Reason::AnswerTimeout));
    bench.assert_own(6);
    assert_eq!(opened.load(Ordering::SeqCst), 5);
}

#[test]
fn requests_carry_the_holder_their_name_and_the_time_left() {
    let (tx, rx) = mpsc::channel();
    let bench = Bench::start(fake(move |_, peer| {
        let (head, id) = peer.read().unwrap();
        tx.send(head).unwrap();
        peer.answer(&id);
    }));
    bench.assert_own(1);
    let head = rx.recv_timeout(PATIENCE).unwrap();
    assert!(head.contains("siskinstep-holder: h\r\n"), "{head}");
    assert!(head.contains("siskinstep-request: entry-1-"), "{head}");
    let left = head.split("deadline-ms: ").nth(1).unwrap();
    let left: u64 = left.split('\r').next().unwrap().parse().unwrap();
    assert!(left <= LONG_MS, "{head}");
}
