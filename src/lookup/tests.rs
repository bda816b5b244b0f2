//! Tests of the ranking.

use {
    super::{decide::rank, messages::Vm, settings::Settings, state::State},
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
        suspect: false,
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
    rank(state, &context(), Settings::default())
        .rows
        .into_iter()
        .map(|row| row.vm)
        .collect()
}

#[test]
fn vms_are_ranked_by_distance() {
    assert_eq!(names(&state(vec![])), ["t1", "t2", "d1"]);
}

#[test]
fn drained_vms_and_zones_are_not_listed() {
    assert_eq!(
        names(&state(vec![Drain::Vm("t1".to_owned())])),
        ["t2", "d1"]
    );
    let zone = Drain::AvailabilityZone("tamar-b".to_owned());
    assert_eq!(names(&state(vec![zone])), ["t1", "d1"]);
}

#[test]
fn a_stopping_vm_does_not_list_itself() {
    let mut state = state(vec![]);
    state.stopping = true;
    assert_eq!(names(&state), ["t2", "d1"]);
}

#[test]
fn rankings_are_truncated_and_reserve_rows_for_other_zones() {
    let mut state = state(vec![]);
    for number in 0..9 {
        state.vms.push(vm(&format!("more-{number}"), 0));
    }
    state.vms[3].suspect = true;
    let settings = Settings {
        rows: 5,
        far: 2,
        ..Settings::default()
    };
    let rows = rank(&state, &context(), settings).rows;
    let zones: Vec<u16> = rows.iter().map(|row| row.zone.0).collect();
    assert_eq!(zones, [0, 0, 0, 1, 2]);
    let all = rank(&state, &context(), Settings::default()).rows;
    assert_eq!((all[9].vm.as_str(), all[9].weight), ("more-0", 1));
}
