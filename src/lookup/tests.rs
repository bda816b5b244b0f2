//! Tests of the ranking.

use {
    super::{decide::rank, messages::Vm, state::State},
    crate::{
        context::Context,
        keys::ZoneKey,
        policy::{Drain, Policy},
        settings::topology::Topology,
    },
    std::sync::Arc,
};

fn context() -> Context {
    let mut topology = Topology::default();
    topology.add_region(
        "tamar".to_owned(),
        vec!["tamar-a".to_owned(), "tamar-b".to_owned()],
    );
    topology.add_region("derwent".to_owned(), vec!["derwent-a".to_owned()]);
    Context::new("t1", ZoneKey(0), Arc::new(topology))
}

fn vm(name: &str, zone: u16) -> Vm {
    Vm {
        name: name.to_owned(),
        zone: ZoneKey(zone),
        callers: "127.0.0.1:1".parse().unwrap(),
        free: 5,
    }
}

fn state(drains: Vec<Drain>) -> State {
    State {
        vms: vec![vm("d1", 2), vm("t2", 1), vm("t1", 0)],
        policy: Arc::new(Policy {
            drains,
            ..Policy::default()
        }),
        stopping: false,
    }
}

fn names(state: &State) -> Vec<String> {
    rank(state, &context(), 9)
        .rows
        .into_iter()
        .map(|row| row.vm)
        .collect()
}

#[test]
fn the_nearest_comes_first() {
    assert_eq!(names(&state(vec![])), ["t1", "t2", "d1"]);
}

#[test]
fn drained_vms_and_zones_are_not_named() {
    assert_eq!(
        names(&state(vec![Drain::Vm("t1".to_owned())])),
        ["t2", "d1"]
    );
    let zone = Drain::AvailabilityZone("tamar-b".to_owned());
    assert_eq!(names(&state(vec![zone])), ["t1", "d1"]);
}

#[test]
fn a_stopping_vm_does_not_name_itself() {
    let mut state = state(vec![]);
    state.stopping = true;
    assert_eq!(names(&state), ["t2", "d1"]);
}
