//! Tests of the decoding of callers' requests.

use {
    super::decode::decode,
    crate::{
        call::{Header, Reason},
        context::Context,
        edge::Incoming,
        keys::{RequestId, ServiceKey, ZoneKey},
        settings::topology::{Kind, Topology},
    },
    std::sync::Arc,
};

fn context() -> Context {
    let mut topology = Topology::default();
    let kind = |name: &str, at_most_once| Kind {
        name: name.to_owned(),
        service: ServiceKey(0),
        worth: 1,
        deadline_ms: 500,
        at_most_once,
        repeatable: false,
    };
    topology.add_service(
        "swapdesk".to_owned(),
        vec![kind("book", true), kind("list", false)],
    );
    Context::new("vm-1", ZoneKey(0), Arc::new(topology))
}

fn request(target: &'static str, headers: &[(&'static str, &'static str)]) -> Incoming {
    let header = |(name, value): &(&'static str, &'static str)| Header {
        name: (*name).into(),
        value: (*value).into(),
    };
    Incoming {
        method: "POST".into(),
        target: target.into(),
        headers: headers.iter().map(header).collect(),
        body: "x".into(),
    }
}

fn refusal(incoming: Incoming) -> Reason {
    decode(&context(), RequestId(1), incoming)
        .unwrap_err()
        .reason
}

#[test]
fn unknown_names_are_refused() {
    assert_eq!(refusal(request("/", &[])), Reason::UnknownKind);
    assert_eq!(refusal(request("/swapdesk/burn", &[])), Reason::UnknownKind);
    assert_eq!(refusal(request("/nobody/book", &[])), Reason::UnknownKind);
}

#[test]
fn kinds_that_must_run_at_most_once_require_an_idempotency_key() {
    assert_eq!(refusal(request("/swapdesk/book", &[])), Reason::KeyMissing);
    let keyed = request("/swapdesk/book/7?x=1", &[("idempotency-key", "k")]);
    assert_eq!(decode(&context(), RequestId(1), keyed).unwrap().key, "k");
}

#[test]
fn malformed_deadlines_are_refused() {
    for malformed in ["soon", "-1", ""] {
        let request = request("/swapdesk/list", &[("deadline-ms", malformed)]);
        assert_eq!(refusal(request), Reason::Malformed);
    }
}

#[test]
fn a_requested_deadline_overrides_the_default_of_the_kind() {
    let context = context();
    let requested = request("/swapdesk/list", &[("deadline-ms", "7")]);
    let before = context.clock.now();
    let deadline = decode(&context, RequestId(1), requested)
        .unwrap()
        .meta
        .deadline;
    assert!(deadline.since(before).as_millis() < 500);
}
