//! Tests of responses with an invalid status line.

use {
    super::{BUDGET_MS, VALID_RESPONSE, World, upstream},
    crate::{
        call::Ran,
        courier::{Ended, Report},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// Milliseconds after which an attempt without a response times out.
const SHORT_MS: u64 = 300;

/// Rest of a response to the request `7` after its status line.
const REST: &str = "id: 7\r\ncontent-length: 3\r\n\r\nbad";

/// Status lines that are not valid.
const INVALID: [&str; 25] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 000",
    "HTTP/1.1 001 Zero",
    "HTTP/1.1 099 Zero",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 600 Unknown",
    "HTTP/1.1 700 Unknown",
    "HTTP/1.1 999 Unknown",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    " HTTP/1.1 200 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.1 OK",
    "",
    "\r\nHTTP/1.1 200 OK",
];

/// Starts an upstream whose first connection gives `responses` in turn, and whose later ones give valid responses.
/// Connections stay open.
fn upstream_with_first(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (mut stream, responses) = (stream.unwrap(), responses.clone());
            thread::spawn(move || {
                let mut buffer = [0; 2_048];
                let mut responses = responses.into_iter();
                while let Ok(1..) = stream.read(&mut buffer) {
                    let first = responses.next().filter(|_| number == 0);
                    let text = first.unwrap_or_else(|| VALID_RESPONSE.to_owned());
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn request(world: &World, address: SocketAddr, budget_ms: u64) -> Report {
    let _guard = world.send_for(address, budget_ms);
    world.next_report()
}

fn is_valid(report: &Report, status: u16) -> bool {
    let answer = report.answer.as_ref();
    matches!(report.ended, Ended::Answered { status: given, .. } if given == status)
        && answer.is_some_and(|answer| answer.status == status)
}

/// Problems with the responses to an invalid status line, on a new connection or on a used one.
fn judge(line: &str, is_used: bool) -> Vec<String> {
    let world = World::new();
    let invalid = format!("{line}\r\n{REST}");
    let mut responses = vec![invalid];
    if is_used {
        responses.insert(0, VALID_RESPONSE.to_owned());
    }
    let address = upstream_with_first(responses);
    let mut findings = Vec::new();
    if is_used {
        assert!(is_valid(&request(&world, address, BUDGET_MS), 200));
    }
    let report = request(&world, address, SHORT_MS);
    let is_unknown = matches!(
        report.ended,
        Ended::Failed {
            ran: Ran::Unknown,
            ..
        }
    );
    if !is_unknown || report.answer.is_some() {
        findings.push(format!("{line:?}, used {is_used}: {:?}", report.ended));
    }
    let next = request(&world, address, BUDGET_MS);
    if !is_valid(&next, 200) {
        findings.push(format!("{line:?}, used {is_used}: then {:?}", next.ended));
    }
    if next.connect_us.is_none() {
        findings.push(format!("{line:?}, used {is_used}: connection reused"));
    }
    findings
}

/// Guards against an upstream in trouble whose invalid status reaches a caller, who may not be able to read it, or
/// whose connection carries another request.
#[test]
fn a_response_with_an_invalid_status_is_a_possible_run_and_ends_its_connection() {
    let findings: Vec<String> = INVALID
        .iter()
        .flat_map(|line| [judge(line, false), judge(line, true)].concat())
        .collect();
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Guards against an invalid status that vouches for itself by the headers of a refusal: the request may have run.
#[test]
fn a_refusal_with_an_invalid_status_is_a_possible_run() {
    for status in [600, 999] {
        for header in ["refused: 1", "unproven: 1"] {
            let line = format!("HTTP/1.1 {status} Unknown\r\n{header}");
            assert_eq!(judge(&line, false), Vec::<String>::new());
        }
    }
}

/// Guards against interim responses that hide the response behind them, and against their connection carrying
/// another request: an upstream that sends one without being asked may send its response once more.
#[test]
fn the_connection_of_an_interim_response_is_not_reused() {
    let interim = format!("HTTP/1.1 103 Early Hints\r\nid: 7\r\n\r\n{VALID_RESPONSE}");
    let world = World::new();
    let address = upstream_with_first(vec![VALID_RESPONSE.to_owned(), interim]);
    for _ in 0..2 {
        assert!(is_valid(&request(&world, address, BUDGET_MS), 200));
    }
    let next = request(&world, address, BUDGET_MS);
    assert!(is_valid(&next, 200) && next.connect_us.is_some());
}

/// Guards against a check that is too strict.
#[test]
fn responses_with_every_status_from_200_to_599_are_delivered() {
    let world = World::new();
    for status in 200..600 {
        let has_body = !matches!(status, 204 | 304);
        let rest = if has_body { REST } else { "id: 7\r\n\r\n" };
        let line = match status % 3 {
            0 => format!("HTTP/1.1 {status}"),
            1 => format!("HTTP/1.1 {status} "),
            _ => format!("HTTP/1.1 {status} Some Reason"),
        };
        // By this wire format, 421 means another upstream.
        if status == 421 {
            continue;
        }
        let bytes = format!("{line}\r\n{rest}").leak();
        let (address, _received) = upstream(bytes, false);
        let report = request(&world, address, BUDGET_MS);
        assert!(is_valid(&report, status), "{status}: {:?}", report.ended);
    }
}
