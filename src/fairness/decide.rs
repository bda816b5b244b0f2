//! Decisions on the order of waiting requests.

use {
    super::state::{Flow, Queue, Row},
    crate::{clock::Micros, keys::InFlightKey},
};

/// What became of a waiting request in a scan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was sent.
    Sent,
    /// It ended without being sent.
    Ended,
    /// It still waits.
    Waits,
}

/// Tag of the next request of a flow.
fn next_tag(queue: &Queue, rank: u32, flow: &Flow) -> u64 {
    let Some(clock) = queue.clocks.get(&rank) else {
        return 0;
    };
    let mut rows = queue.rows.iter().rev();
    let last = rows.find(|row| row.rank == rank && row.flow == *flow);
    let is_served = clock.served.binary_search(flow).is_ok();
    let next = last.map_or(0, |row| row.tag.saturating_add(1));
    next.max(clock.time.saturating_add(u64::from(is_served)))
}

/// Adds a request that arrived at `arrived`.
///
/// ```
/// # use siskinstep::{clock::Micros, fairness::{Flow, Queue, push}, keys::InFlightKey};
/// # let mut arena: slotmap::SlotMap<InFlightKey, ()> = slotmap::SlotMap::default();
/// # let keys = [arena.insert(()), arena.insert(()), arena.insert(())];
/// let mut queue = Queue::default();
/// push(&mut queue, keys[0], 0, Flow::Route("one".into()), Micros(1));
/// push(&mut queue, keys[1], 0, Flow::Route("one".into()), Micros(2));
/// push(&mut queue, keys[2], 0, Flow::Route("other".into()), Micros(3));
/// assert!(queue.keys().eq([keys[0], keys[2], keys[1]]));
/// ```
pub fn push(queue: &mut Queue, key: InFlightKey, rank: u32, flow: Flow, arrived: Micros) {
    let tag = next_tag(queue, rank, &flow);
    let mut added = Row {
        key,
        rank,
        flow,
        tag,
        arrived,
    };
    // A request that is added late takes its place by arrival within its flow, and the later ones move on by one.
    let mut is_late = false;
    for row in &mut queue.rows {
        if row.rank != rank || row.flow != added.flow {
            continue;
        }
        is_late |= arrived < row.arrived;
        if is_late {
            std::mem::swap(&mut added.key, &mut row.key);
            std::mem::swap(&mut added.arrived, &mut row.arrived);
        }
    }
    queue.rows.push(added);
    sort(queue);
    if queue.clocks.get(&rank).is_none() {
        queue.clocks.insert(rank, super::state::Clock::default());
    }
}

/// Sorts the requests; those that are equal keep their order.
fn sort(queue: &mut Queue) {
    queue
        .rows
        .sort_by_key(|row| (row.rank, row.tag, row.arrived));
}

/// Number of requests that are sent before a new one, unless others arrive.
///
/// ```
/// # use siskinstep::fairness::{Flow, Queue, count_ahead};
/// assert_eq!(count_ahead(&Queue::default(), 0, &Flow::All), 0);
/// ```
#[must_use]
pub fn count_ahead(queue: &Queue, rank: u32, flow: &Flow) -> usize {
    let order = (rank, next_tag(queue, rank, flow));
    queue
        .rows
        .partition_point(|row| (row.rank, row.tag) <= order)
}

/// The last request of a rank, if a new one of `flow` would be sent before it.
///
/// ```
/// # use siskinstep::fairness::{Flow, Queue, last_behind};
/// assert_eq!(last_behind(&Queue::default(), 0, &Flow::All), None);
/// ```
#[must_use]
pub fn last_behind(queue: &Queue, rank: u32, flow: &Flow) -> Option<InFlightKey> {
    let tag = next_tag(queue, rank, flow);
    let last = queue.rows.iter().rev().find(|row| row.rank == rank)?;
    (last.tag > tag).then_some(last.key)
}

/// Records that a request was sent that never waited. It counts for its flow only while others of its rank wait.
///
/// ```
/// # use siskinstep::fairness::{Flow, Queue, record_sent};
/// let mut queue = Queue::default();
/// record_sent(&mut queue, 0, &Flow::All);
/// assert!(queue.is_empty());
/// ```
pub fn record_sent(queue: &mut Queue, rank: u32, flow: &Flow) {
    let tag = next_tag(queue, rank, flow);
    advance(queue, rank, flow, tag);
    forget(queue);
}

/// Tries the waiting requests in their order.
///
/// ```
/// # use siskinstep::{clock::Micros, fairness::{Flow, Outcome, Queue, push, scan}, keys::InFlightKey};
/// # let mut arena: slotmap::SlotMap<InFlightKey, ()> = slotmap::SlotMap::default();
/// let (sent, waits) = (arena.insert(()), arena.insert(()));
/// let mut queue = Queue::default();
/// push(&mut queue, sent, 0, Flow::All, Micros(1));
/// push(&mut queue, waits, 0, Flow::All, Micros(2));
/// scan(&mut queue, |key| if key == sent { Outcome::Sent } else { Outcome::Waits });
/// assert!(queue.keys().eq([waits]));
/// ```
pub fn scan(queue: &mut Queue, mut attempt: impl FnMut(InFlightKey) -> Outcome) {
    let mut ended = Vec::new();
    for row in std::mem::take(&mut queue.rows) {
        match attempt(row.key) {
            Outcome::Sent => advance(queue, row.rank, &row.flow, row.tag),
            Outcome::Ended => ended.push(row),
            Outcome::Waits => queue.rows.push(row),
        }
    }
    if !ended.is_empty() {
        for row in ended.iter().rev() {
            return_tag(queue, row);
        }
        sort(queue);
    }
    forget(queue);
}

/// Removes a request that ended without being sent.
///
/// ```
/// # use siskinstep::{clock::Micros, fairness::{Flow, Queue, push, withdraw}, keys::InFlightKey};
/// # let mut arena: slotmap::SlotMap<InFlightKey, ()> = slotmap::SlotMap::default();
/// let key = arena.insert(());
/// let mut queue = Queue::default();
/// push(&mut queue, key, 0, Flow::All, Micros(1));
/// withdraw(&mut queue, key);
/// assert!(queue.is_empty());
/// ```
pub fn withdraw(queue: &mut Queue, key: InFlightKey) {
    if let Some(index) = queue.rows.iter().position(|row| row.key == key) {
        let row = queue.rows.remove(index);
        return_tag(queue, &row);
        sort(queue);
        forget(queue);
    }
}

/// Gives the tag of a request that was not sent to the next one of its flow, and so on, so that a flow only pays for
/// what it was sent.
fn return_tag(queue: &mut Queue, ended: &Row) {
    let mut free = ended.tag;
    for row in &mut queue.rows {
        if row.rank == ended.rank && row.flow == ended.flow && row.tag > ended.tag {
            std::mem::swap(&mut free, &mut row.tag);
        }
    }
}

/// Records that a request with this tag was sent.
fn advance(queue: &mut Queue, rank: u32, flow: &Flow, tag: u64) {
    let Some(clock) = queue.clocks.get_mut(&rank) else {
        return;
    };
    if tag > clock.time {
        clock.time = tag;
        clock.served.clear();
    }
    if tag == clock.time
        && let Err(index) = clock.served.binary_search(flow)
    {
        clock.served.insert(index, flow.clone());
    }
}

/// Forgets ranks without waiting requests. If more flows than waiting requests were sent one at the present time,
/// advances the time, so that they need not be remembered and those that wait for the next tag are sent.
fn forget(queue: &mut Queue) {
    let rows = &queue.rows;
    queue.clocks.retain(|rank, clock| {
        let start = rows.partition_point(|row| row.rank < *rank);
        let waiting = rows.partition_point(|row| row.rank <= *rank) - start;
        if clock.served.len() > waiting {
            clock.time = clock.time.saturating_add(1);
            clock.served.clear();
        }
        waiting > 0
    });
}
