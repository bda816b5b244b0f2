//! Votes. Without I/O, clock or randomness.

use {
    super::{
        messages::{Order, Reply, Row, Verdict, What},
        settings::Settings,
        state::Book,
    },
    bytes::Bytes,
};

/// Milliseconds for which a given-back vote is remembered, so that a late claim is not granted.
const FREE_MS: u64 = 60_000;

/// Carries out an order; the row, if any, must be synced before the reply is sent.
#[must_use]
pub fn apply(book: &mut Book, settings: Settings, order: &Order, now: u64) -> (Reply, Option<Row>) {
    book.expire(now);
    let row = match order {
        Order::Claim { .. } => return claim(book, settings, order),
        Order::Settle { .. } => settle(book, settings, order),
        Order::Release { key, attempt } => release(book, key, *attempt),
    };
    if let Some(row) = &row {
        book.put(row.clone());
    }
    (Reply::Noted, row)
}

fn claim(book: &mut Book, settings: Settings, order: &Order) -> (Reply, Option<Row>) {
    let Order::Claim {
        key,
        print,
        attempt,
        run_ms,
    } = order
    else {
        return (Reply::Noted, None);
    };
    if let Some(row) = book.get(key) {
        match &row.what {
            What::Settled(verdict) => {
                let (print, verdict) = (row.print, verdict.clone());
                return (Reply::Settled { print, verdict }, None);
            }
            // A ledger that may have forgotten votes does not repeat one that it copied.
            What::Held if row.attempt == *attempt && book.status.sure => {
                return (Reply::Granted, None);
            }
            What::Free if row.attempt != *attempt => {}
            What::Held | What::Free => {
                let running = row.what == What::Held && book.clock < row.until;
                let print = row.print;
                return (Reply::Held { print, running }, None);
            }
        }
    }
    if !book.status.sure {
        return (Reply::Unsure, None);
    }
    if book.len() >= settings.keys || book.bytes >= settings.bytes {
        return (Reply::Full, None);
    }
    let row = Row {
        key: key.clone(),
        print: *print,
        attempt: *attempt,
        until: book.clock.saturating_add(*run_ms),
        expires: book.clock.saturating_add(settings.expiry_ms),
        what: What::Held,
    };
    book.put(row.clone());
    (Reply::Granted, Some(row))
}

/// Only the attempt that held a majority settles, so what another attempt has here is void.
fn settle(book: &Book, settings: Settings, order: &Order) -> Option<Row> {
    let Order::Settle {
        key,
        print,
        attempt,
        verdict,
    } = order
    else {
        return None;
    };
    let known = book.get(key);
    match known.map(|row| &row.what) {
        Some(What::Settled(Verdict::Answer(_))) => return None,
        Some(What::Settled(Verdict::Lost)) if *verdict == Verdict::Lost => return None,
        _ => {}
    }
    let held = known.filter(|row| row.what != What::Free);
    let expires = held.map_or(book.clock.saturating_add(settings.expiry_ms), |row| {
        row.expires
    });
    Some(Row {
        key: key.clone(),
        print: *print,
        attempt: *attempt,
        until: 0,
        expires,
        what: What::Settled(verdict.clone()),
    })
}

fn release(book: &Book, key: &Bytes, attempt: super::Attempt) -> Option<Row> {
    let known = book.get(key);
    if known.is_some_and(|row| row.what != What::Held || row.attempt != attempt) {
        return None;
    }
    // Also for an unknown key: the claim may be on its way behind the release.
    Some(Row {
        key: key.clone(),
        print: known.map(|row| row.print).unwrap_or_default(),
        attempt,
        until: 0,
        expires: book.clock.saturating_add(FREE_MS),
        what: What::Free,
    })
}

/// Takes in a row copied from another ledger of the group, into one that lost its disk.
///
/// Two ledgers may hold votes of different attempts, and this ledger's lost vote may have made
/// either a majority: such a key may have run, and no release can free it.
#[must_use]
pub fn merge(book: &mut Book, row: Row) -> Option<Row> {
    let merged = match book.get(&row.key) {
        None => row,
        Some(known) => match (&known.what, &row.what) {
            (What::Settled(Verdict::Answer(_)), _) | (_, What::Free) => return None,
            (_, What::Settled(Verdict::Answer(_))) => row,
            (What::Settled(Verdict::Lost), _) => return None,
            (What::Free | What::Held, What::Held) if known.attempt == row.attempt => return None,
            (_, What::Settled(Verdict::Lost)) | (What::Free, What::Held) => row,
            (What::Held, What::Held) => Row {
                expires: known.expires.max(row.expires),
                what: What::Settled(Verdict::Lost),
                ..row
            },
        },
    };
    book.put(merged.clone());
    Some(merged)
}
