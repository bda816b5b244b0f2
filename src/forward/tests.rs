//! Tests of the selection of a peer and of the encoding.

use {
    super::{
        decide::{Criteria, choose, record_done, record_sent},
        encode,
        messages::{Forwarded, Peer},
        receive::receive,
        state::State,
    },
    crate::{
        call::{Answer, Payload, Reason, Refusal},
        clock::Micros,
        context::Context,
        fuzz,
        keys::{ServiceKey, ZoneKey},
        membership::{Lease, messages::FreeSlots},
        ring,
        settings::topology::{Kind, Topology},
        slots,
    },
    std::sync::Arc,
};

fn peer(name: &str, zone: u16, free: u32) -> Peer {
    Peer {
        name: name.to_owned(),
        zone: ZoneKey(zone),
        address: "127.0.0.1:1".parse().unwrap(),
        free: vec![FreeSlots {
            service: ServiceKey(0),
            slots: free,
        }],
    }
}

/// Selects the peer for a request for zone `target` from a VM in zone `local`; zones 0 and 1 share
/// a region.
fn select(state: &State, target: u16, service: u16, local: u16) -> Option<String> {
    select_untried(state, target, service, local, &[])
}

fn select_untried(
    state: &State,
    target: u16,
    service: u16,
    local: u16,
    tried: &[String],
) -> Option<String> {
    let mut topology = Topology::default();
    topology.add_region("r0".to_owned(), vec!["z0".to_owned(), "z1".to_owned()]);
    topology.add_region("r1".to_owned(), vec!["z2".to_owned()]);
    let criteria = Criteria {
        target: ZoneKey(target),
        service: ServiceKey(service),
        local: ZoneKey(local),
        topology: &topology,
        tried,
    };
    choose(state, criteria).map(|peer| peer.name)
}

fn selected(state: &State) -> String {
    select(state, 1, 0, 0).unwrap()
}

#[test]
fn requests_sent_since_a_report_reduce_its_free_slots() {
    let mut state = State::default();
    state.replace(vec![peer("a", 1, 3), peer("b", 1, 2), peer("c", 2, 9)]);
    assert_eq!(selected(&state), "a");
    let report = record_sent(&mut state, "a");
    record_sent(&mut state, "a");
    assert_eq!(selected(&state), "b");
    // An unchanged report does not reset the count.
    state.replace(vec![peer("a", 1, 3), peer("b", 1, 2)]);
    assert_eq!(selected(&state), "b");
    record_done(&mut state, "a", report);
    record_done(&mut state, "a", report);
    assert_eq!(selected(&state), "a");
    // A new report includes the requests in flight, so their completion is not counted again.
    let report = record_sent(&mut state, "a");
    state.replace(vec![peer("a", 1, 2), peer("b", 1, 1)]);
    record_sent(&mut state, "a");
    record_sent(&mut state, "a");
    record_done(&mut state, "a", report);
    assert_eq!(selected(&state), "b");
}

#[test]
fn a_full_vm_selects_the_nearest_vm_with_a_free_slot_of_the_service() {
    let mut state = State::default();
    state.replace(vec![peer("a", 0, 1), peer("b", 1, 1), peer("c", 2, 9)]);
    let local = |state: &State, service| select(state, 0, service, 0);
    assert_eq!(local(&state, 1), None);
    for name in ["a", "b", "c"] {
        assert_eq!(local(&state, 0).as_deref(), Some(name));
        record_sent(&mut state, name);
    }
    assert_eq!(local(&state, 0).as_deref(), Some("c"));
    let tried = ["c".to_owned()];
    assert_eq!(select_untried(&state, 0, 0, 0, &tried), None);
    state.replace(vec![peer("a", 0, 0)]);
    assert_eq!(local(&state, 0), None);
    assert_eq!(select(&state, 0, 0, 2).as_deref(), Some("a"));
}

#[test]
fn no_peer_is_selected_for_a_zone_without_peers() {
    assert_eq!(select(&State::default(), 1, 0, 0), None);
}

#[test]
fn outcomes_round_trip_through_the_encoding() {
    let response = Answer {
        status: 201,
        headers: vec![],
        body: "done".into(),
    };
    for outcome in [Ok(response), Err(Refusal::unknown(Reason::AnswerCut))] {
        let bytes = encode::outcome(&outcome).unwrap();
        assert_eq!(encode::read_outcome(&bytes), Some(outcome));
    }
    assert_eq!(encode::read_outcome(b"\xff\xff"), None);
}

#[test]
fn arbitrary_bytes_are_decoded_or_rejected_without_panic() {
    fuzz::check(500, |bytes: &Vec<u8>| {
        // Neither decoder may panic.
        let _ = encode::read_outcome(bytes);
        let _ = postcard::from_bytes::<Forwarded>(bytes);
    });
}

#[test]
fn a_peer_disconnect_cancels_the_call_unless_it_must_run_once() {
    let mut topology = Topology::default();
    topology.add_region("derwent".to_owned(), vec!["derwent-a".to_owned()]);
    let kind = |name: &str, at_most_once| Kind {
        name: name.to_owned(),
        service: ServiceKey(0),
        worth: 1,
        deadline_ms: 1,
        at_most_once,
        repeatable: false,
    };
    let kinds = vec![kind("list", false), kind("book", true)];
    topology.add_service("swapdesk".to_owned(), kinds);
    let context = Context::new("entry-1", ZoneKey(0), Arc::new(topology));
    let lease = Lease::default();
    lease.extend(Micros(u64::MAX));
    let (slots, placed) = ring::bounded(2);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    for (kind, cancelled) in [("list", true), ("book", false)] {
        let forwarded = Forwarded {
            service: "swapdesk".to_owned(),
            kind: kind.to_owned(),
            origin: "derwent-a".to_owned(),
            left_ms: 1_000,
            hops: 1,
            key: "k".into(),
            payload: Payload {
                method: "POST".into(),
                target: "/".into(),
                headers: vec![],
                body: "".into(),
            },
        };
        let bytes = postcard::to_stdvec(&forwarded).unwrap();
        let (shift, _arrivals) = ring::bounded(1);
        runtime.block_on(async {
            tokio::select! {
                biased;
                _ = receive(&context, &lease, &slots, &shift, &bytes) => panic!("response without a slots duty"),
                () = std::future::ready(()) => {}
            }
        });
        let Some(slots::Message::Place(call)) = placed.recv() else {
            panic!("no call");
        };
        assert_eq!(call.is_cancelled(), cancelled, "{kind}");
    }
}
