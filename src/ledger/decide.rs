//! Voting rules of a ledger, without I/O, clock or randomness.

use {
    super::{
        messages::{Order, Reply, Row, StoredOutcome, VoteState},
        settings::Settings,
        state::VoteTable,
    },
    bytes::Bytes,
};

/// Retention of a released vote in milliseconds, so that a late claim of the attempt is refused.
const RELEASED_TTL_MS: u64 = 60_000;

/// Applies an order at wall-clock time `now` in milliseconds. The row, if any, must be synced
/// before the reply is sent.
#[must_use]
pub fn apply(
    table: &mut VoteTable,
    settings: Settings,
    order: &Order,
    now: u64,
) -> (Reply, Option<Row>) {
    table.expire(now);
    let row = match order {
        Order::Claim { .. } => return claim(table, settings, order),
        Order::Settle { .. } => settle(table, settings, order),
        Order::Release { key, attempt } => release(table, key, *attempt),
    };
    if let Some(row) = &row {
        table.put(row.clone());
    }
    (Reply::Noted, row)
}

fn claim(table: &mut VoteTable, settings: Settings, order: &Order) -> (Reply, Option<Row>) {
    let Order::Claim {
        key,
        fingerprint,
        attempt,
        run_ms,
    } = order
    else {
        return (Reply::Noted, None);
    };
    if let Some(row) = table.get(key) {
        match &row.state {
            VoteState::Settled(outcome) => {
                let (fingerprint, outcome) = (row.fingerprint, outcome.clone());
                return (
                    Reply::Settled {
                        fingerprint,
                        outcome,
                    },
                    None,
                );
            }
            // A ledger that may have lost votes does not confirm one that it copied.
            VoteState::Held if row.attempt == *attempt && table.status.is_voting => {
                return (Reply::Granted, None);
            }
            VoteState::Free if row.attempt != *attempt => {}
            VoteState::Held | VoteState::Free => {
                let running = row.state == VoteState::Held && table.clock < row.until;
                let fingerprint = row.fingerprint;
                return (
                    Reply::Held {
                        fingerprint,
                        running,
                    },
                    None,
                );
            }
        }
    }
    if !table.status.is_voting {
        return (Reply::Unsure, None);
    }
    if table.len() >= settings.keys || table.bytes >= settings.bytes {
        return (Reply::Full, None);
    }
    let row = Row {
        key: key.clone(),
        fingerprint: *fingerprint,
        attempt: *attempt,
        until: table.clock.saturating_add(*run_ms),
        expires: table.clock.saturating_add(settings.expiry_ms),
        state: VoteState::Held,
    };
    table.put(row.clone());
    (Reply::Granted, Some(row))
}

/// Records an outcome. Only the attempt that had a majority settles, so this overrides a vote of
/// any other attempt.
fn settle(table: &VoteTable, settings: Settings, order: &Order) -> Option<Row> {
    let Order::Settle {
        key,
        fingerprint,
        attempt,
        outcome,
    } = order
    else {
        return None;
    };
    let known = table.get(key);
    match known.map(|row| &row.state) {
        Some(VoteState::Settled(StoredOutcome::Answer(_))) => return None,
        Some(VoteState::Settled(StoredOutcome::Lost)) if *outcome == StoredOutcome::Lost => {
            return None;
        }
        _ => {}
    }
    let held = known.filter(|row| row.state != VoteState::Free);
    let expires = held.map_or(table.clock.saturating_add(settings.expiry_ms), |row| {
        row.expires
    });
    Some(Row {
        key: key.clone(),
        fingerprint: *fingerprint,
        attempt: *attempt,
        until: 0,
        expires,
        state: VoteState::Settled(outcome.clone()),
    })
}

fn release(table: &VoteTable, key: &Bytes, attempt: super::AttemptId) -> Option<Row> {
    let known = table.get(key);
    if known.is_some_and(|row| row.state != VoteState::Held || row.attempt != attempt) {
        return None;
    }
    // Also applies to an unknown key: the claim may arrive after the release.
    Some(Row {
        key: key.clone(),
        fingerprint: known.map(|row| row.fingerprint).unwrap_or_default(),
        attempt,
        until: 0,
        expires: table.clock.saturating_add(RELEASED_TTL_MS),
        state: VoteState::Free,
    })
}

/// Merges a row copied from another ledger of the group into a ledger that lost its disk, and
/// returns the row to store if it changes the table.
///
/// Two ledgers may have votes for different attempts, and the lost vote of this ledger may have
/// completed the majority of either. The request may have run, so no release frees the key.
#[must_use]
pub fn merge(table: &mut VoteTable, row: Row) -> Option<Row> {
    let merged = match table.get(&row.key) {
        None => row,
        Some(known) => match (&known.state, &row.state) {
            (VoteState::Settled(StoredOutcome::Answer(_)), _) | (_, VoteState::Free) => {
                return None;
            }
            (_, VoteState::Settled(StoredOutcome::Answer(_))) => row,
            (VoteState::Settled(StoredOutcome::Lost), _) => return None,
            (VoteState::Free | VoteState::Held, VoteState::Held)
                if known.attempt == row.attempt =>
            {
                return None;
            }
            (_, VoteState::Settled(StoredOutcome::Lost)) | (VoteState::Free, VoteState::Held) => {
                row
            }
            (VoteState::Held, VoteState::Held) => Row {
                expires: known.expires.max(row.expires),
                state: VoteState::Settled(StoredOutcome::Lost),
                ..row
            },
        },
    };
    table.put(merged.clone());
    Some(merged)
}
