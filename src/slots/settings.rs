//! Settings of the slots duty.

use crate::settings::section::Section;

/// Settings of the slots duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of attempts for one request.
    pub attempts: u64,
    /// Maximum duration of one attempt in milliseconds, also if the caller's deadline is later.
    pub attempt_ms: u64,
    /// Milliseconds after the deadline of an attempt by which the upstream must have stopped it.
    pub grace_ms: u64,
    /// Milliseconds for which every slot counts as taken if an upstream does not report the
    /// attempts that its previous home VMs left running.
    pub settle_ms: u64,
    /// Maximum number of queued requests for one service; zero disables the queue.
    pub queue: usize,
    /// Permille of a retry token that each first attempt adds to the budgets.
    pub retry_permille: u64,
    /// Maximum number of tokens in the retry budget of each kind and each upstream.
    pub retry_burst: u64,
    /// Milliseconds of slow start, over which the slots of a new upstream are opened.
    pub ramp_ms: u64,
    /// Consecutive failed attempts after which an upstream is put in back-off.
    pub eject_after: u32,
    /// Milliseconds of the first back-off; it doubles with each further failure, up to 32 times this
    /// value.
    pub backoff_ms: u64,
    /// Permille of a service's slots that are reserved for requests that entered in this zone.
    pub reserve_permille: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts: 3,
            attempt_ms: 30_000,
            grace_ms: 100,
            settle_ms: 40_000,
            queue: 64,
            retry_permille: 100,
            retry_burst: 10,
            ramp_ms: 1_000,
            eject_after: 3,
            backoff_ms: 200,
            reserve_permille: 200,
        }
    }
}

impl Settings {
    /// Reads the section `slots` of the settings.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let eject_after = u64::from(base.eject_after);
        let eject_after = section.number("eject_after", eject_after, 1..=1_000);
        let settings = Self {
            attempts: section.number("attempts", base.attempts, 1..=10),
            attempt_ms: section.number("attempt_ms", base.attempt_ms, 1..=600_000),
            grace_ms: section.number("grace_ms", base.grace_ms, 0..=60_000),
            settle_ms: section.number("settle_ms", base.settle_ms, 1..=3_600_000),
            queue: section.size("queue", base.queue, 0..=1 << 16),
            retry_permille: section.number("retry_permille", base.retry_permille, 0..=1_000),
            retry_burst: section.number("retry_burst", base.retry_burst, 0..=10_000),
            ramp_ms: section.number("ramp_ms", base.ramp_ms, 0..=600_000),
            eject_after: u32::try_from(eject_after).unwrap_or(u32::MAX),
            backoff_ms: section.number("backoff_ms", base.backoff_ms, 1..=60_000),
            reserve_permille: section.number("reserve_permille", base.reserve_permille, 0..=1_000),
        };
        if settings.settle_ms < settings.attempt_ms + settings.grace_ms {
            section.reject("settle_ms", "expected at least attempt_ms + grace_ms");
        }
        settings
    }
}
