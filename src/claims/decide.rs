//! When a request may run. Without I/O, clock or randomness.
//!
//! A try runs only while it holds a majority of its group's ledgers. `ran: no` is said only by a
//! try that holds the majority, or of a key whose one run was another request's: no other run of
//! the key can then have happened.

use {
    super::state::{Obstacle, Phase, State, Try},
    crate::{
        call::{Reason, Refusal},
        clock::Micros,
        keys::TryKey,
        ledger::{Attempt, Fingerprint, Order, Reply, Verdict, join},
    },
    bytes::Bytes,
};

/// What to do for a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It holds the majority: run the request.
    Dispatch,
    /// Answer with the stored outcome, and give back votes.
    Stored(Bytes),
    /// Refuse, and give back votes.
    Refuse(Refusal),
    /// The end is stored, or has waited long enough: answer with it.
    Finish,
}

/// A try to be opened.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Group of ledgers.
    pub group: usize,
    /// Ledgers of the group.
    pub members: u8,
    /// Idempotency key.
    pub key: Bytes,
    /// Hash of the request.
    pub print: Fingerprint,
    /// Identity of this try.
    pub attempt: Attempt,
    /// When to give up gathering votes.
    pub limit: Micros,
}

/// Opens a try; its [`claim`] is to be sent to every ledger.
pub fn open(state: &mut State, opening: Opening) -> TryKey {
    state.tries.insert(Try {
        group: opening.group,
        members: opening.members,
        key: opening.key,
        print: opening.print,
        attempt: opening.attempt,
        phase: Phase::Claiming,
        limit: opening.limit,
        heard: 0,
        granted: 0,
        obstacle: Obstacle::Unavailable,
    })
}

/// The order that asks for a vote.
#[must_use]
pub fn claim(row: &Try, run_ms: u64) -> Order {
    Order::Claim {
        key: row.key.clone(),
        print: row.print,
        attempt: row.attempt,
        run_ms,
    }
}

/// The order that gives a vote back.
#[must_use]
pub fn release(row: &Try) -> Order {
    Order::Release {
        key: row.key.clone(),
        attempt: row.attempt,
    }
}

/// A ledger's answer to an order of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Place of the ledger in its group.
    pub ledger: u8,
    /// Phase in which the order was sent.
    pub phase: Phase,
    /// What the ledger said; `None` is a failure to get an answer.
    pub reply: Option<Reply>,
}

/// Takes in a ledger's answer.
pub fn heard(state: &mut State, at: TryKey, heard: &Heard, now: Micros) -> Option<Step> {
    let row = state.tries.get_mut(at)?;
    let bit = 1 << heard.ledger;
    // Answers may come twice, or after the phase that asked for them.
    if row.heard & bit != 0 || row.phase != heard.phase {
        return None;
    }
    row.heard |= bit;
    match row.phase {
        Phase::Claiming => voted(row, bit, heard.reply.as_ref(), now),
        Phase::Running => None,
        Phase::Closing => noted(row, bit, heard.reply.as_ref()),
    }
}

fn voted(row: &mut Try, bit: u8, reply: Option<&Reply>, now: Micros) -> Option<Step> {
    match reply {
        Some(Reply::Granted) => row.granted |= bit,
        Some(Reply::Settled { print, verdict }) => return Some(settled(row, *print, verdict)),
        Some(Reply::Held { print, running }) => {
            let seen = match (*print == row.print, running) {
                (false, _) => Obstacle::Reused,
                (true, true) => Obstacle::Running,
                (true, false) => Obstacle::MayHaveRun,
            };
            row.obstacle = row.obstacle.min(seen);
        }
        Some(Reply::Unsure | Reply::Full | Reply::Noted) | None => {}
    }
    if now >= row.limit {
        return Some(give_up(row));
    }
    if has_majority(row) {
        row.phase = Phase::Running;
        return Some(Step::Dispatch);
    }
    // A run's outcome on one ledger goes before another's stale vote, so all are awaited.
    (row.heard.count_ones() == u32::from(row.members)).then(|| give_up(row))
}

fn settled(row: &Try, print: Fingerprint, verdict: &Verdict) -> Step {
    let same = print == row.print;
    match verdict {
        Verdict::Answer(answer) if same => Step::Stored(answer.clone()),
        Verdict::Answer(_) => Step::Refuse(Refusal::not_run(Reason::KeyReused)),
        Verdict::Lost if same => Step::Refuse(Refusal::unknown(Reason::MayHaveRun)),
        // Votes that were copied in conflict keep only one of the requests.
        Verdict::Lost => Step::Refuse(Refusal::unknown(Reason::KeyReused)),
    }
}

fn has_majority(row: &Try) -> bool {
    row.granted.count_ones() as usize >= join::quorum(usize::from(row.members))
}

fn give_up(row: &Try) -> Step {
    if has_majority(row) {
        return Step::Refuse(Refusal::not_run(Reason::DeadlineExceeded));
    }
    let reason = match row.obstacle {
        Obstacle::Reused => Reason::KeyReused,
        Obstacle::Running => Reason::InProgress,
        Obstacle::MayHaveRun => Reason::MayHaveRun,
        Obstacle::Unavailable => Reason::ClaimUnavailable,
    };
    Step::Refuse(Refusal::unknown(reason))
}

/// How a try's run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With an answer, which a resend shall get.
    Answer(Bytes),
    /// With nothing that a resend could get.
    Lost,
    /// It provably did not run.
    NotRun,
}

/// The run of a try ended: the order that every ledger is to be sent.
///
/// Only an answer waits until it is stored, at most until `limit`; the try is closed otherwise.
/// A refusal goes to the caller before the release, while no other try can run.
pub fn ended(state: &mut State, at: TryKey, ending: Ending, limit: Micros) -> Option<Order> {
    let row = state.tries.get_mut(at)?;
    let verdict = match ending {
        Ending::Answer(answer) => Verdict::Answer(answer),
        Ending::Lost => Verdict::Lost,
        Ending::NotRun => {
            let order = release(row);
            close(state, at);
            return Some(order);
        }
    };
    row.phase = Phase::Closing;
    row.limit = limit;
    row.heard = 0;
    row.granted = 0;
    let lost = verdict == Verdict::Lost;
    let order = Order::Settle {
        key: row.key.clone(),
        print: row.print,
        attempt: row.attempt,
        verdict,
    };
    if lost {
        close(state, at);
    }
    Some(order)
}

fn noted(row: &mut Try, bit: u8, reply: Option<&Reply>) -> Option<Step> {
    if reply.is_some() {
        row.granted |= bit;
    }
    let all = row.heard.count_ones() == u32::from(row.members);
    (all || has_majority(row)).then_some(Step::Finish)
}

/// Tries whose phase has lasted too long.
pub fn due(state: &mut State, now: Micros) -> Vec<(TryKey, Step)> {
    let late = state
        .tries
        .iter()
        .filter(|(_, row)| row.phase != Phase::Running && row.limit <= now);
    late.map(|(at, row)| {
        let step = match row.phase {
            Phase::Claiming => give_up(row),
            Phase::Running | Phase::Closing => Step::Finish,
        };
        (at, step)
    })
    .collect()
}

/// Removes a try that has been answered.
pub fn close(state: &mut State, at: TryKey) -> Option<Try> {
    state.tries.remove(at)
}
