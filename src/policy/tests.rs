//! Tests of the configuration's state machine.

use super::{Amount, Cap, Change, Command, Drain, Place, Policy, Rejection, Shift, apply};

fn command(id: &str, expected: u64, change: Change) -> Command {
    Command {
        id: id.to_owned(),
        operator: format!("op-{id}"),
        expected,
        change,
    }
}

fn drain(id: &str, expected: u64) -> Command {
    command(
        id,
        expected,
        Change::PutDrain(Drain::Vm(format!("vm-{id}"))),
    )
}

fn shift(name: &str, cap: u16) -> Shift {
    Shift {
        name: name.to_owned(),
        service: "cellwatch".to_owned(),
        from: Place::Region("derwent".to_owned()),
        to: Place::Region("tamar".to_owned()),
        amount: Amount::Permille(cap),
        cap: Amount::Permille(cap),
    }
}

#[test]
fn racing_commands_have_one_winner() {
    let mut state = Policy::default();
    assert!(apply(&mut state, drain("a", 0)).is_ok());
    let lost = apply(&mut state, drain("b", 0)).unwrap_err();
    let expected = Rejection::Conflict {
        version: 1,
        winner: "op-a".to_owned(),
        command: "a".to_owned(),
    };
    assert_eq!(lost, expected);
    assert_eq!(apply(&mut state, drain("b", 0)).unwrap_err(), expected);
}

#[test]
fn an_id_used_for_another_command_is_refused() {
    let mut state = Policy::default();
    assert!(apply(&mut state, drain("a", 0)).is_ok());
    let other = command("a", 1, Change::EndDrain(Drain::Vm("vm-a".to_owned())));
    assert!(matches!(
        apply(&mut state, other),
        Err(Rejection::IdReused { .. })
    ));
    assert_eq!(state.version, 1);
}

#[test]
fn shifts_from_a_place_never_sum_to_more_than_the_whole() {
    let mut state = Policy::default();
    assert!(
        apply(
            &mut state,
            command("a", 0, Change::PutShift(shift("one", 600)))
        )
        .is_ok()
    );
    let over = apply(
        &mut state,
        command("b", 1, Change::PutShift(shift("two", 401))),
    );
    assert!(matches!(over, Err(Rejection::OverLimit { .. })));
    assert!(
        apply(
            &mut state,
            command("c", 1, Change::PutShift(shift("two", 400)))
        )
        .is_ok()
    );
    assert!(
        apply(
            &mut state,
            command("d", 2, Change::PutShift(shift("one", 500)))
        )
        .is_ok()
    );
}

#[test]
fn a_cap_refuses_shifts_above_it_in_either_order() {
    let cap = Cap {
        service: "cellwatch".to_owned(),
        to: Place::Region("tamar".to_owned()),
        amount: Amount::Permille(300),
    };
    let mut state = Policy::default();
    assert!(apply(&mut state, command("a", 0, Change::PutCap(cap.clone()))).is_ok());
    let over = apply(
        &mut state,
        command("b", 1, Change::PutShift(shift("one", 301))),
    );
    assert!(matches!(over, Err(Rejection::OverLimit { .. })));

    let mut state = Policy::default();
    assert!(
        apply(
            &mut state,
            command("a", 0, Change::PutShift(shift("one", 301)))
        )
        .is_ok()
    );
    let over = apply(&mut state, command("b", 1, Change::PutCap(cap)));
    assert!(matches!(over, Err(Rejection::OverLimit { .. })));
}

#[test]
fn invalid_values_are_reported_together() {
    let mut wrong = shift("no spaces", 0);
    wrong.amount = Amount::Permille(1_001);
    wrong.to = wrong.from.clone();
    let answer = apply(
        &mut Policy::default(),
        command("a", 0, Change::PutShift(wrong)),
    );
    let Err(Rejection::Invalid { findings }) = answer else {
        panic!("expected findings, got {answer:?}");
    };
    assert_eq!(findings.len(), 4, "{findings:?}");
}
