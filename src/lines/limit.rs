//! Rate limit of log lines, with a token bucket for each rate key.

use {
    super::messages::Line,
    crate::{clock::Micros, sorted::Sorted},
    log::Level,
};

/// Token bucket size of each rate key: the lines that one problem causes in its first second on a VM
/// with a few hundred requests per second.
const BURST_LINES: f64 = 200.0;
/// Refill rate of each rate key for levels `warn` and `error`. At 300 bytes per line, this is 15 kB/s.
const WARN_LINES_PER_S: f64 = 50.0;
/// Refill rate of each rate key for levels below `warn`.
const INFO_LINES_PER_S: f64 = 20.0;

/// Token bucket of one rate key.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled: Micros,
    omitted: u64,
}

/// Rate limiter for log lines.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    buckets: Sorted<String, Bucket>,
}

impl RateLimiter {
    /// Whether `line` may be written. If so, sets its count of lines omitted since the last one written.
    pub(super) fn admit(&mut self, line: &mut Line, now: Micros) -> bool {
        let per_s = if line.level <= Level::Warn {
            WARN_LINES_PER_S
        } else {
            INFO_LINES_PER_S
        };
        let known = self.buckets.get(line.rate_key()).copied();
        let mut bucket = known.unwrap_or(Bucket {
            tokens: BURST_LINES,
            refilled: now,
            omitted: 0,
        });
        bucket.tokens =
            (bucket.tokens + now.since(bucket.refilled).as_secs_f64() * per_s).min(BURST_LINES);
        bucket.refilled = now;
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
            line.omitted = std::mem::take(&mut bucket.omitted);
        } else {
            bucket.omitted += 1;
        }
        self.buckets.insert(line.rate_key().to_owned(), bucket);
        is_admitted
    }
}
