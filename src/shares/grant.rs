//! Decisions of the leader: how many tokens of each workspace an entry VM gets.
//!
//! Tokens that are in a bucket or may still be spent by an entry VM never exceed the bucket's capacity, and only the
//! workspace's rate adds to them. So no window has more requests than the capacity and what the rate adds in it.

use {
    super::{
        messages::{LeaseRequest, LeaseResponse, RequestRow, ResponseRow},
        settings::Settings,
    },
    crate::{clock::Micros, sorted::Sorted},
    slotmap::{SlotMap, new_key_type},
};

/// Time after the last call of an entry VM at which its tokens are written off, in milliseconds. Longer than
/// [`super::hold::VALID_MS`], as the entry VM counts from an earlier moment.
pub const WRITE_OFF_MS: u64 = 2_500;
/// Level of a bucket for one token: a rate in thousandths per second adds to the level once per microsecond.
const TOKEN: u64 = 1_000_000_000;
/// Level for a thousandth of a token.
const THOUSANDTH: u64 = TOKEN / 1_000;
/// Retry time if tokens exist but too many are leased: the entry VMs call again within this time.
const LEASED_RETRY_MS: u64 = 400;
/// Retry time for a workspace that this control VM does not know yet.
const UNKNOWN_RETRY_MS: u32 = 100;
const MAX_RETRY_MS: u64 = 60_000;

new_key_type! {
    /// Key of a workspace's bucket.
    struct BucketKey;
}

/// Limit of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second, in thousandths; 0 for no limit.
    pub rate: u64,
    /// Requests beyond the rate, in thousandths.
    pub burst: u64,
}

/// How far the buckets of a new leader fill while tokens of former leaders may be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The former leader led for longer than [`WRITE_OFF_MS`], so only its own tokens are in use.
    Settled,
    /// There were several leaders within that time, each of which may have leased tokens.
    Unsettled,
}

#[derive(Debug)]
struct Bucket {
    limit: Limit,
    /// Rate at which the level rises, in thousandths of a token per second.
    fill_rate: u64,
    /// Maximum of level and leased tokens.
    capacity: u64,
    level: u64,
    /// Leased tokens, as a level.
    leased: u64,
    filled_at: Micros,
    /// Number of entry VMs that got less than they wanted in their last call.
    unmet: u64,
}

impl Bucket {
    /// Maximum of leased tokens: half of the capacity, at least one token.
    fn lease_limit(&self) -> u64 {
        (self.capacity / 2).max(TOKEN)
    }

    fn fill_to(&mut self, until: Micros, limit: u64) {
        let elapsed = until.0.saturating_sub(self.filled_at.0);
        let gain = self.fill_rate.saturating_mul(elapsed);
        let room = limit.saturating_sub(self.level.saturating_add(self.leased));
        self.level += gain.min(room);
        self.filled_at = self.filled_at.max(until);
    }

    /// Whole tokens that may be leased.
    fn available(&self) -> u64 {
        let room = self.lease_limit().saturating_sub(self.leased);
        self.level.min(room) / TOKEN
    }

    /// Milliseconds until the level allows a token for each of the entry VMs that want some.
    fn retry_ms(&self) -> u32 {
        let wanted = TOKEN.saturating_mul(self.unmet.max(1));
        let missing = wanted.saturating_sub(self.level);
        let fill_ms = (missing / self.fill_rate.max(1)).div_ceil(1_000);
        let retry_ms = if self.level >= TOKEN {
            LEASED_RETRY_MS
        } else {
            fill_ms.clamp(1, MAX_RETRY_MS)
        };
        u32::try_from(retry_ms).unwrap_or(u32::MAX)
    }
}

/// What the leader knows of one workspace on one entry VM.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// Tokens that the entry VM may still spend.
    tokens: u64,
    /// Those of them at most that a former leader granted. If returned, they do not add to the level.
    adopted: u64,
    spent: u64,
    is_unmet: bool,
}

#[derive(Debug, Default)]
struct Holder {
    incarnation: u64,
    sequence: u64,
    called_at: Micros,
    leases: Sorted<BucketKey, Lease>,
}

impl Holder {
    fn is_silent(&self, now: Micros) -> bool {
        now >= self.called_at.plus_millis(WRITE_OFF_MS)
    }
}

/// Reason for which a call is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded;

/// State of the leader.
#[derive(Debug)]
pub struct Grants {
    settings: Settings,
    start: Start,
    /// When no token of a former leader can be in use any more.
    settled_at: Micros,
    buckets: SlotMap<BucketKey, Bucket>,
    names: Sorted<String, BucketKey>,
    /// Entry VMs by name.
    holders: Sorted<String, Holder>,
}

impl Grants {
    /// State of a control VM that began to lead at `now`: empty buckets.
    #[must_use]
    pub fn new(settings: Settings, start: Start, now: Micros) -> Self {
        Self {
            settings,
            start,
            settled_at: now.plus_millis(WRITE_OFF_MS),
            buckets: SlotMap::with_key(),
            names: Sorted::default(),
            holders: Sorted::default(),
        }
    }

    /// Number of leased tokens of all workspaces.
    #[must_use]
    pub fn leased(&self) -> u64 {
        let leased = self.buckets.values().map(|bucket| bucket.leased / TOKEN);
        leased.fold(0, u64::saturating_add)
    }
}

/// Sets the limits of all workspaces. A new bucket is empty; one whose limit is lowered is cut to the new capacity.
///
/// ```
/// use siskinstep::{clock::Micros, shares::{Grants, Limit, grant::{self, Start}}};
/// let mut grants = Grants::new(Default::default(), Start::Settled, Micros(0));
/// let limit = Limit { rate: 2_000, burst: 0 };
/// grant::set_limits(&mut grants, [("a", limit)], Micros(0));
/// assert_eq!(grants.leased(), 0);
/// ```
pub fn set_limits<'a>(
    grants: &mut Grants,
    limits: impl IntoIterator<Item = (&'a str, Limit)>,
    now: Micros,
) {
    let mut kept = Sorted::default();
    for (name, limit) in limits {
        let capacity = grants.settings.capacity(limit).saturating_mul(THOUSANDTH);
        let fill_rate = grants.settings.fill_rate(limit);
        let key = if let Some(key) = grants.names.remove(name) {
            fill(grants, key, now);
            key
        } else {
            grants.buckets.insert(Bucket {
                limit,
                fill_rate,
                capacity,
                level: 0,
                leased: 0,
                filled_at: now,
                unmet: 0,
            })
        };
        let bucket = &mut grants.buckets[key];
        bucket.limit = limit;
        bucket.fill_rate = fill_rate;
        bucket.capacity = capacity;
        bucket.level = bucket.level.min(capacity.saturating_sub(bucket.leased));
        kept.insert(name.to_owned(), key);
    }
    for (_, key) in grants.names.rows() {
        grants.buckets.remove(*key);
    }
    grants.names = kept;
}

/// Writes off the tokens of entry VMs that have not called for [`WRITE_OFF_MS`].
pub fn expire(grants: &mut Grants, now: Micros) {
    let rows = grants.holders.rows().iter();
    let silent = rows.filter(|(_, holder)| holder.is_silent(now));
    let silent: Vec<String> = silent.map(|(vm, _)| vm.clone()).collect();
    for vm in silent {
        if let Some(holder) = grants.holders.remove(&vm) {
            write_off(grants, &holder, now);
        }
    }
}

/// Answers the call of an entry VM.
///
/// # Errors
/// A later call, or one of a later incarnation, was answered before.
pub fn lease(
    grants: &mut Grants,
    request: &LeaseRequest,
    now: Micros,
) -> Result<LeaseResponse, Superseded> {
    let number = (request.incarnation, request.sequence);
    let is_later = |last: &Holder| number <= (last.incarnation, last.sequence);
    let last = grants.holders.get(&request.vm);
    if last.is_some_and(|last| is_later(last) && !last.is_silent(now)) {
        return Err(Superseded);
    }
    let mut last = grants.holders.remove(&request.vm).unwrap_or_default();
    if last.incarnation != request.incarnation || last.is_silent(now) {
        write_off(grants, &last, now);
        last = Holder::default();
    }
    let mut leases = Sorted::default();
    let mut rows = Vec::with_capacity(request.rows.len());
    for row in &request.rows {
        let Some(key) = grants.names.get(&row.name).copied() else {
            rows.push(answer(row, 0, UNKNOWN_RETRY_MS));
            continue;
        };
        if grants.buckets[key].limit.rate == 0 {
            rows.push(answer(row, u64::from(row.wanted), 0));
            continue;
        }
        if leases.get(&key).is_some() {
            continue;
        }
        fill(grants, key, now);
        let bucket = &mut grants.buckets[key];
        let mut lease = settle(bucket, last.leases.remove(&key), row);
        let granted = divide(bucket, u64::from(row.wanted));
        lease.tokens += granted;
        lease.is_unmet = granted < u64::from(row.wanted);
        bucket.unmet += u64::from(lease.is_unmet);
        let is_denied = granted == 0 && lease.is_unmet;
        let retry_ms = if is_denied { bucket.retry_ms() } else { 0 };
        rows.push(answer(row, granted, retry_ms));
        if lease.tokens > 0 || lease.is_unmet {
            leases.insert(key, lease);
        }
    }
    // Rows that the call no longer names.
    write_off(grants, &last, now);
    let holder = Holder {
        incarnation: request.incarnation,
        sequence: request.sequence,
        called_at: now,
        leases,
    };
    grants.holders.insert(request.vm.clone(), holder);
    Ok(LeaseResponse {
        sequence: request.sequence,
        rows,
    })
}

fn answer(row: &RequestRow, granted: u64, retry_ms: u32) -> ResponseRow {
    ResponseRow {
        name: row.name.clone(),
        granted: u32::try_from(granted).unwrap_or(u32::MAX),
        retry_ms,
    }
}

/// Fills a bucket up to `now`. To be called before anything leaves the leased tokens: what is added at once for the
/// time since the last call must not use room that appeared only now.
fn fill(grants: &mut Grants, key: BucketKey, now: Micros) {
    let bucket = &mut grants.buckets[key];
    let unsettled = match grants.start {
        // The former leader has leased the rest at most.
        Start::Settled => bucket.capacity.saturating_sub(bucket.lease_limit()),
        Start::Unsettled => 0,
    };
    bucket.fill_to(now.min(grants.settled_at), unsettled);
    bucket.fill_to(now, bucket.capacity);
}

/// Takes over what an entry VM reports of a workspace: spent tokens are gone, those that it does not keep return to the
/// level.
fn settle(bucket: &mut Bucket, last: Option<Lease>, row: &RequestRow) -> Lease {
    let last = last.unwrap_or_default();
    let held = u64::from(row.held);
    let remaining = match row.spent.checked_sub(last.spent) {
        Some(spent) => last.tokens.saturating_sub(spent),
        // It has begun to count again, so it is not known how many were spent.
        None => held.min(last.tokens),
    };
    let unknown = held.saturating_sub(remaining);
    let returned = remaining.saturating_sub(held);
    let refunded = returned.saturating_sub(last.adopted);
    let adopted = (last.adopted + unknown).saturating_sub(returned).min(held);
    let level_of = |tokens: u64| tokens.saturating_mul(TOKEN);
    bucket.leased = bucket.leased.saturating_sub(level_of(last.tokens));
    bucket.leased = bucket.leased.saturating_add(level_of(held));
    let room = bucket
        .capacity
        .saturating_sub(bucket.level.saturating_add(bucket.leased));
    bucket.level += level_of(refunded).min(room);
    bucket.unmet -= u64::from(last.is_unmet);
    Lease {
        tokens: held,
        adopted,
        spent: row.spent,
        is_unmet: false,
    }
}

/// Leases up to `wanted` tokens, but no more than an equal part of those available if other entry VMs lack some,
/// and no more than half, so that one that calls next finds some. A part is at least one token.
fn divide(bucket: &mut Bucket, wanted: u64) -> u64 {
    let parts = (bucket.unmet + 1).max(2);
    let granted = bucket.available().div_ceil(parts).min(wanted);
    bucket.level -= granted * TOKEN;
    bucket.leased += granted * TOKEN;
    granted
}

/// Counts all tokens of these leases as spent.
fn write_off(grants: &mut Grants, holder: &Holder, now: Micros) {
    for (key, lease) in holder.leases.rows() {
        if grants.buckets.contains_key(*key) {
            fill(grants, *key, now);
            let bucket = &mut grants.buckets[*key];
            let level = lease.tokens.saturating_mul(TOKEN);
            bucket.leased = bucket.leased.saturating_sub(level);
            bucket.unmet -= u64::from(lease.is_unmet);
        }
    }
}
