//! Decides when a claimed request may run, without I/O, clock or randomness.
//!
//! An attempt runs only while it has votes of a majority of its group's ledgers. A refusal
//! carries `ran: no` only if the attempt has that majority, or if the only run of the key
//! belongs to a different request: in both cases this request cannot have run.

use {
    super::state::{Attempt, Denial, Phase, State},
    crate::{
        call::{Reason, Refusal},
        clock::Micros,
        keys::ClaimAttemptKey,
        ledger::{AttemptId, Fingerprint, Order, Reply, StoredOutcome, join},
    },
    bytes::Bytes,
};

/// Next action for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Run the request, as the attempt has a majority of the votes.
    Dispatch,
    /// Reply with the stored response and release the votes.
    Replay(Bytes),
    /// Refuse the request and release the votes.
    Refuse(Refusal),
    /// Respond with the outcome of the run: it is stored on a majority, every ledger has replied,
    /// or the wait timed out.
    Finish,
}

/// Parameters of a new attempt.
#[derive(Clone, Debug)]
pub struct NewAttempt {
    /// Index of the ledger group in the settings.
    pub group: usize,
    /// Number of ledgers in the group.
    pub members: u8,
    /// Idempotency key.
    pub key: Bytes,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Time at which vote collection times out.
    pub deadline: Micros,
}

/// Registers an attempt; the caller sends its [`claim`] to every ledger of the group.
pub fn open(state: &mut State, new: NewAttempt) -> ClaimAttemptKey {
    state.attempts.insert(Attempt {
        group: new.group,
        members: new.members,
        key: new.key,
        fingerprint: new.fingerprint,
        id: new.id,
        phase: Phase::Claiming,
        deadline: new.deadline,
        replied: 0,
        granted: 0,
        denial: Denial::Unavailable,
    })
}

/// Order that requests a vote; `run_ms` is the longest time that the run may take.
#[must_use]
pub fn claim(row: &Attempt, run_ms: u64) -> Order {
    Order::Claim {
        key: row.key.clone(),
        fingerprint: row.fingerprint,
        attempt: row.id,
        run_ms,
    }
}

/// Order that releases a vote.
#[must_use]
pub fn release(row: &Attempt) -> Order {
    Order::Release {
        key: row.key.clone(),
        attempt: row.id,
    }
}

/// Reply of one ledger to an order of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerReply {
    /// Index of the ledger in its group.
    pub ledger: u8,
    /// Phase in which the order was sent.
    pub phase: Phase,
    /// The reply; `None` if the call failed.
    pub reply: Option<Reply>,
}

/// Processes a ledger's reply and returns the next step, if it decides the phase.
pub fn on_reply(
    state: &mut State,
    at: ClaimAttemptKey,
    received: &LedgerReply,
    now: Micros,
) -> Option<Step> {
    let row = state.attempts.get_mut(at)?;
    let bit = 1 << received.ledger;
    // A reply may be duplicated, or arrive after its phase has ended.
    if row.replied & bit != 0 || row.phase != received.phase {
        return None;
    }
    row.replied |= bit;
    match row.phase {
        Phase::Claiming => on_vote(row, bit, received.reply.as_ref(), now),
        Phase::Running => None,
        Phase::Closing => on_ack(row, bit, received.reply.as_ref()),
    }
}

fn on_vote(row: &mut Attempt, bit: u8, reply: Option<&Reply>, now: Micros) -> Option<Step> {
    match reply {
        Some(Reply::Granted) => row.granted |= bit,
        Some(Reply::Settled {
            fingerprint,
            outcome,
        }) => return Some(on_settled(row, *fingerprint, outcome)),
        Some(Reply::Held {
            fingerprint,
            running,
        }) => {
            let denial = match (*fingerprint == row.fingerprint, running) {
                (false, _) => Denial::Reused,
                (true, true) => Denial::Running,
                (true, false) => Denial::MayHaveRun,
            };
            row.denial = row.denial.min(denial);
        }
        Some(Reply::Unsure | Reply::Full | Reply::Noted) | None => {}
    }
    if now >= row.deadline {
        return Some(refusal_step(row));
    }
    if has_majority(row) {
        row.phase = Phase::Running;
        return Some(Step::Dispatch);
    }
    // A stored outcome takes precedence over stale votes, so all ledgers are awaited.
    (row.replied.count_ones() == u32::from(row.members)).then(|| refusal_step(row))
}

fn on_settled(row: &Attempt, fingerprint: Fingerprint, outcome: &StoredOutcome) -> Step {
    let same = fingerprint == row.fingerprint;
    match outcome {
        StoredOutcome::Answer(answer) if same => Step::Replay(answer.clone()),
        StoredOutcome::Answer(_) => Step::Refuse(Refusal::not_run(Reason::KeyReused)),
        StoredOutcome::Lost if same => Step::Refuse(Refusal::unknown(Reason::MayHaveRun)),
        // If copied votes conflict, the fingerprint of only one request is stored.
        StoredOutcome::Lost => Step::Refuse(Refusal::unknown(Reason::KeyReused)),
    }
}

fn has_majority(row: &Attempt) -> bool {
    row.granted.count_ones() as usize >= join::quorum(usize::from(row.members))
}

fn refusal_step(row: &Attempt) -> Step {
    if has_majority(row) {
        return Step::Refuse(Refusal::not_run(Reason::DeadlineExceeded));
    }
    let reason = match row.denial {
        Denial::Reused => Reason::KeyReused,
        Denial::Running => Reason::InProgress,
        Denial::MayHaveRun => Reason::MayHaveRun,
        Denial::Unavailable => Reason::ClaimUnavailable,
    };
    Step::Refuse(Refusal::unknown(reason))
}

/// Outcome of an attempt's run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The encoded response, to be replayed to a resend.
    Answer(Bytes),
    /// The request may have run, but there is no response to replay.
    Lost,
    /// The request provably did not run.
    NotRun,
}

/// Records the outcome of a run and returns the order to send to every ledger of the group.
///
/// Only a response waits, at most until `deadline`, to be stored; any other outcome closes the
/// attempt immediately. The caller gets a refusal before the release, while no other attempt can
/// run.
pub fn ended(
    state: &mut State,
    at: ClaimAttemptKey,
    run: RunOutcome,
    deadline: Micros,
) -> Option<Order> {
    let row = state.attempts.get_mut(at)?;
    let outcome = match run {
        RunOutcome::Answer(answer) => StoredOutcome::Answer(answer),
        RunOutcome::Lost => StoredOutcome::Lost,
        RunOutcome::NotRun => {
            let order = release(row);
            close(state, at);
            return Some(order);
        }
    };
    row.phase = Phase::Closing;
    row.deadline = deadline;
    row.replied = 0;
    row.granted = 0;
    let lost = outcome == StoredOutcome::Lost;
    let order = Order::Settle {
        key: row.key.clone(),
        fingerprint: row.fingerprint,
        attempt: row.id,
        outcome,
    };
    if lost {
        close(state, at);
    }
    Some(order)
}

fn on_ack(row: &mut Attempt, bit: u8, reply: Option<&Reply>) -> Option<Step> {
    if reply.is_some() {
        row.granted |= bit;
    }
    let all = row.replied.count_ones() == u32::from(row.members);
    (all || has_majority(row)).then_some(Step::Finish)
}

/// Attempts whose phase has reached its deadline, with the next step of each.
pub fn expired(state: &mut State, now: Micros) -> Vec<(ClaimAttemptKey, Step)> {
    let expired = state
        .attempts
        .iter()
        .filter(|(_, row)| row.phase != Phase::Running && row.deadline <= now);
    expired
        .map(|(at, row)| {
            let step = match row.phase {
                Phase::Claiming => refusal_step(row),
                Phase::Running | Phase::Closing => Step::Finish,
            };
            (at, step)
        })
        .collect()
}

/// Removes an attempt whose caller has received the response.
pub fn close(state: &mut State, at: ClaimAttemptKey) -> Option<Attempt> {
    state.attempts.remove(at)
}
