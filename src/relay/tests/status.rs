//! Tests of responses with an invalid status line.

use {
    super::{Bench, LONG_MS, SHORT_MS, response, start_upstream},
    crate::call::Ran,
    std::sync::mpsc,
};

/// Status lines that are not valid.
const INVALID: [&str; 20] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 001 Zero",
    "HTTP/1.1 099 Zero",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 600 Unknown",
    "HTTP/1.1 700 Unknown",
    "HTTP/1.1 999 Unknown",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    " HTTP/1.1 200 OK",
    "HTTP/1.1 OK",
    "",
    "\r\nHTTP/1.1 200 OK",
];

/// Guards against an upstream in trouble whose invalid status reaches a caller, or whose connection carries another
/// request.
#[test]
fn a_response_with_an_invalid_status_is_a_possible_run_and_ends_its_connection() {
    let mut findings = Vec::new();
    for line in INVALID {
        let (closed, is_closed) = mpsc::channel();
        let bench = Bench::start(start_upstream(move |at, peer| {
            while let Ok((_, id)) = peer.read() {
                if at == 0 {
                    peer.write(&format!("{line}\r\ncontent-length: 3\r\n\r\nbad"));
                    closed.send(peer.is_closed()).unwrap();
                    return;
                }
                peer.respond(&id);
            }
        }));
        let outcome = bench.request(1, SHORT_MS);
        if !matches!(&outcome, Err(failure) if failure.ran == Ran::Unknown) {
            findings.push(format!("{line:?}: {outcome:?}"));
        }
        bench.assert_response(2);
        if !is_closed.recv().unwrap() {
            findings.push(format!("{line:?}: connection reused"));
        }
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Guards against a connection that carries another request after a response that was not asked for.
#[test]
fn the_connection_of_an_interim_response_is_not_reused() {
    let bench = Bench::start(start_upstream(|at, peer| {
        while let Ok((_, id)) = peer.read() {
            let interim = if at == 0 {
                "HTTP/1.1 103 Early\r\n\r\n"
            } else {
                ""
            };
            peer.write(&format!("{interim}{}", response(&id)));
        }
    }));
    bench.assert_response(1);
    bench.assert_response(2);
    let samples = bench.context.metrics.read();
    let opened = samples
        .iter()
        .find(|row| row.name.contains("connections_opened"));
    assert_eq!(opened.map(|row| row.value), Some(2));
}

/// Guards against a check that is too strict.
#[test]
fn responses_with_statuses_from_200_to_599_are_delivered() {
    for status in [200, 201, 299, 300, 404, 418, 451, 499, 500, 503, 599] {
        let bench = Bench::start(start_upstream(move |_, peer| {
            while peer.read().is_ok() {
                let line = format!("HTTP/1.1 {status} Some  Reason");
                peer.write(&format!("{line}\r\ncontent-length: 2\r\n\r\nok"));
            }
        }));
        assert_eq!(bench.request(1, LONG_MS).unwrap().status, status);
    }
}
