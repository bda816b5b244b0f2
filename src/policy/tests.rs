//! Tests of the configuration's state machine.

use {
    super::{
        Accepted, Amount, Cap, Change, Command, Drain, Place, Policy, Rejection, Shift, apply,
    },
    crate::fuzz,
    bolero::TypeGenerator,
};

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
fn concurrent_commands_have_one_winner() {
    let mut state = Policy::default();
    assert!(apply(&mut state, drain("a", 0)).is_ok());
    let conflict = apply(&mut state, drain("b", 0)).unwrap_err();
    let expected = Rejection::Conflict {
        version: 1,
        winner: "op-a".to_owned(),
        command: "a".to_owned(),
    };
    assert_eq!(conflict, expected);
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
fn shifts_from_a_place_never_sum_to_more_than_its_traffic() {
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
    let mut invalid = shift("no spaces", 0);
    invalid.amount = Amount::Permille(1_001);
    invalid.to = invalid.from.clone();
    let result = apply(
        &mut Policy::default(),
        command("a", 0, Change::PutShift(invalid)),
    );
    let Err(Rejection::Invalid { findings }) = result else {
        panic!("expected findings, got {result:?}");
    };
    assert_eq!(findings.len(), 4, "{findings:?}");
}

/// One command of a random history; small domains make commands collide.
#[derive(Clone, Debug, TypeGenerator)]
struct Action {
    id: u8,
    stale: bool,
    kind: u8,
    name: u8,
    share: u8,
    resend: bool,
}

impl Action {
    fn command(&self, version: u64) -> Command {
        let name = format!("n{}", self.name % 4);
        let share = u16::from(self.share) * 5;
        let change = match self.kind % 6 {
            0 | 1 => Change::PutShift(shift(&name, share)),
            2 => Change::EndShift(name),
            3 => Change::PutDrain(Drain::Vm(name)),
            4 => Change::EndDrain(Drain::Vm(name)),
            _ => Change::PutCap(Cap {
                service: "cellwatch".to_owned(),
                to: Place::Region("tamar".to_owned()),
                amount: Amount::Permille(share),
            }),
        };
        command(
            &format!("c{}", self.id),
            version.saturating_sub(u64::from(self.stale)),
            change,
        )
    }
}

/// Oracle: the commands submitted, each with its first result.
type History = Vec<(Command, Result<Accepted, Rejection>)>;

fn check_command(state: &mut Policy, history: &mut History, command: Command) {
    let (before, first) = (
        state.clone(),
        history.iter().find(|(other, _)| other.id == command.id),
    );
    let result = apply(state, command.clone());
    match first {
        Some((same, first)) if *same == command => {
            assert_eq!(result, *first, "a retried command got another result");
            assert_eq!(*state, before, "a retried command had a second effect");
        }
        Some(_) => assert!(matches!(result, Err(Rejection::IdReused { .. }))),
        None => {
            let is_accepted = result.is_ok();
            assert_eq!(state.version, before.version + u64::from(is_accepted));
            assert!(
                !is_accepted || command.expected == before.version,
                "accepted on an outdated version"
            );
            assert!(is_accepted || before.shifts == state.shifts && before.drains == state.drains);
            history.push((command, result));
        }
    }
}

fn check_limits(state: &Policy) {
    let caps = state.shifts.iter().map(|shift| match shift.cap {
        Amount::Permille(share) => u64::from(share),
        Amount::PerSecond(_) => 0,
    });
    let sum: u64 = caps.sum();
    assert!(sum <= 1_000, "shifts out of one place exceed its traffic");
    for cap in &state.caps {
        let Amount::Permille(limit) = cap.amount else {
            continue;
        };
        assert!(
            sum <= u64::from(limit),
            "shifts into one place exceed its cap"
        );
    }
}

#[test]
fn retries_get_the_first_result_and_limits_hold() {
    fuzz::check(300, |actions: &Vec<Action>| {
        let (mut state, mut history) = (Policy::default(), History::new());
        for action in actions {
            let command = action.command(state.version);
            check_command(&mut state, &mut history, command.clone());
            if action.resend {
                check_command(&mut state, &mut history, command);
            }
            check_limits(&state);
        }
    });
}
