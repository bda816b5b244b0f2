//! Application of a command to the configuration: deterministic, without I/O or clock.

use {
    super::{
        messages::{Accepted, Amount, Cap, Change, Command, Drain, Rejection, Shift},
        state::Policy,
    },
    crate::settings::section::is_name,
};

const TOTAL_PERMILLE: u16 = 1_000;

/// Applies `command`, or refuses it and changes nothing but the receipts.
///
/// # Errors
/// The command conflicts, is invalid, or would exceed a limit.
///
/// ```
/// use siskinstep::policy::{self, Change, Command, Drain, Policy};
/// let mut state = Policy::default();
/// let change = Change::PutDrain(Drain::Vm("entry-1".into()));
/// let command = Command { id: "c-1".into(), operator: "ann".into(), expected: 0, change };
/// assert_eq!(policy::apply(&mut state, command.clone()).unwrap().version, 1);
/// // A retry gets the same result and has no second effect.
/// assert_eq!(policy::apply(&mut state, command).unwrap().version, 1);
/// assert_eq!(state.version, 1);
/// ```
pub fn apply(state: &mut Policy, command: Command) -> Result<Accepted, Rejection> {
    if let Some(receipt) = state.receipt(&command.id) {
        if receipt.command == command {
            return receipt.answer.clone();
        }
        return Err(Rejection::IdReused { id: command.id });
    }
    let result = apply_change(state, &command);
    state.record_receipt(command, result.clone());
    result
}

fn apply_change(state: &mut Policy, command: &Command) -> Result<Accepted, Rejection> {
    check_names(command)?;
    check_version(state, command)?;
    match &command.change {
        Change::PutShift(shift) => put_shift(state, shift)?,
        Change::EndShift(name) => end_shift(state, name)?,
        Change::PutDrain(drain) => put_drain(state, drain),
        Change::EndDrain(drain) => end_drain(state, drain)?,
        Change::PutCap(cap) => put_cap(state, cap)?,
        Change::EndCap { service, to } => {
            let at = state
                .caps
                .iter()
                .position(|cap| cap.service == *service && cap.to == *to);
            let at = at.ok_or_else(|| not_found(format!("cap of {service} into {to}")))?;
            state.caps.remove(at);
        }
    }
    state.version += 1;
    Ok(Accepted {
        version: state.version,
    })
}

fn check_version(state: &Policy, command: &Command) -> Result<(), Rejection> {
    if command.expected == state.version {
        return Ok(());
    }
    let last = state.last_accepted();
    Err(Rejection::Conflict {
        version: state.version,
        winner: last.map_or_else(String::new, |command| command.operator.clone()),
        command: last.map_or_else(String::new, |command| command.id.clone()),
    })
}

fn check_names(command: &Command) -> Result<(), Rejection> {
    let mut findings = Vec::new();
    let mut check = |field: &str, name: &str| {
        if !is_name(name) {
            findings.push(format!(
                "{field}: expected 1 to 64 letters, digits, '-' or '_'"
            ));
        }
    };
    check("id", &command.id);
    check("operator", &command.operator);
    if let Change::PutShift(shift) = &command.change {
        check("name", &shift.name);
    }
    if let Change::PutShift(shift) = &command.change {
        findings.extend(shift_findings(shift));
    }
    if findings.is_empty() {
        return Ok(());
    }
    Err(Rejection::Invalid { findings })
}

fn shift_findings(shift: &Shift) -> Vec<String> {
    let mut findings = Vec::new();
    if shift.from == shift.to {
        findings.push("to: expected a place other than `from`".to_owned());
    }
    for (field, amount) in [("amount", shift.amount), ("cap", shift.cap)] {
        if matches!(amount, Amount::Permille(share) if share > TOTAL_PERMILLE) {
            findings.push(format!(
                "{field}: expected at most {TOTAL_PERMILLE} permille"
            ));
        }
    }
    match (shift.amount, shift.cap) {
        (Amount::Permille(amount), Amount::Permille(cap)) if amount > cap => {
            findings.push("amount: expected no more than `cap`".to_owned());
        }
        (Amount::PerSecond(amount), Amount::PerSecond(cap)) if amount > cap => {
            findings.push("amount: expected no more than `cap`".to_owned());
        }
        _ => {}
    }
    findings
}

fn put_shift(state: &mut Policy, shift: &Shift) -> Result<(), Rejection> {
    let others = || state.shifts.iter().filter(|other| other.name != shift.name);
    let outgoing =
        others().filter(|other| other.service == shift.service && other.from == shift.from);
    let share = sum_by_unit(outgoing.map(|other| other.cap)).0 + permille(shift.cap);
    if share > u64::from(TOTAL_PERMILLE) {
        let detail = format!(
            "shifts of {} from {} would sum to {share} permille",
            shift.service, shift.from
        );
        return Err(Rejection::OverLimit { detail });
    }
    if let Some(cap) = state
        .caps
        .iter()
        .find(|cap| cap.service == shift.service && cap.to == shift.to)
    {
        let incoming = others().filter(|other| other.service == cap.service && other.to == cap.to);
        let caps = incoming.map(|other| other.cap).chain([shift.cap]);
        check_cap(cap, caps)?;
    }
    match state
        .shifts
        .binary_search_by(|other| other.name.cmp(&shift.name))
    {
        Ok(at) => state.shifts[at] = shift.clone(),
        Err(at) => state.shifts.insert(at, shift.clone()),
    }
    Ok(())
}

fn end_shift(state: &mut Policy, name: &str) -> Result<(), Rejection> {
    let at = state
        .shifts
        .binary_search_by(|shift| shift.name.as_str().cmp(name));
    let at = at.map_err(|_| not_found(format!("shift {name}")))?;
    state.shifts.remove(at);
    Ok(())
}

fn put_drain(state: &mut Policy, drain: &Drain) {
    if let Err(at) = state.drains.binary_search(drain) {
        state.drains.insert(at, drain.clone());
    }
}

fn end_drain(state: &mut Policy, drain: &Drain) -> Result<(), Rejection> {
    let at = state.drains.binary_search(drain);
    let at = at.map_err(|_| not_found(format!("drain of {drain}")))?;
    state.drains.remove(at);
    Ok(())
}

fn put_cap(state: &mut Policy, cap: &Cap) -> Result<(), Rejection> {
    let incoming = state
        .shifts
        .iter()
        .filter(|shift| shift.service == cap.service && shift.to == cap.to);
    check_cap(cap, incoming.map(|shift| shift.cap))?;
    let is_same = |other: &&mut Cap| other.service == cap.service && other.to == cap.to;
    match state.caps.iter_mut().find(is_same) {
        Some(row) => *row = cap.clone(),
        None => state.caps.push(cap.clone()),
    }
    Ok(())
}

/// Checks the sum of `amounts` against the cap, in the unit of the cap.
fn check_cap(cap: &Cap, amounts: impl Iterator<Item = Amount>) -> Result<(), Rejection> {
    let (share, rate) = sum_by_unit(amounts);
    let (total, limit) = match cap.amount {
        Amount::Permille(limit) => (share, u64::from(limit)),
        Amount::PerSecond(limit) => (rate, u64::from(limit)),
    };
    if total <= limit {
        return Ok(());
    }
    let detail = format!(
        "shifts of {} into {} would sum to {total}, the cap is {}",
        cap.service, cap.to, cap.amount
    );
    Err(Rejection::OverLimit { detail })
}

/// Sums permille and requests per second separately.
fn sum_by_unit(amounts: impl Iterator<Item = Amount>) -> (u64, u64) {
    amounts.fold((0, 0), |(share, rate), amount| match amount {
        Amount::Permille(more) => (share + u64::from(more), rate),
        Amount::PerSecond(more) => (share, rate + u64::from(more)),
    })
}

fn permille(amount: Amount) -> u64 {
    match amount {
        Amount::Permille(share) => u64::from(share),
        Amount::PerSecond(_) => 0,
    }
}

fn not_found(what: String) -> Rejection {
    Rejection::NotFound { what }
}
