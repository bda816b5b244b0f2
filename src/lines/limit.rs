//! How many lines of each kind are written.

use {
    super::messages::Line,
    crate::{clock::Micros, sorted::Sorted},
    log::Level,
};

/// Lines of one kind that may be written at once: what one trouble brings in its first second on a VM
/// with some hundred requests a second.
const BURST: f64 = 200.0;
/// Lines a second of one kind after that. At 300 bytes a line this is 15 kB/s.
const PER_S: f64 = 50.0;
/// The same for lines that say nothing is wrong.
const CALM_PER_S: f64 = 20.0;

/// Lines of one kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    credit: f64,
    at: Micros,
    omitted: u64,
}

/// Lines of all kinds.
#[derive(Debug, Default)]
pub(super) struct Limit {
    kinds: Sorted<String, Kind>,
}

impl Limit {
    /// Whether a line is written; then with the count of those left out before it.
    pub(super) fn take(&mut self, line: &mut Line, now: Micros) -> bool {
        let per_s = if line.level <= Level::Warn {
            PER_S
        } else {
            CALM_PER_S
        };
        let known = self.kinds.get(line.kind()).copied();
        let mut kind = known.unwrap_or(Kind {
            credit: BURST,
            at: now,
            omitted: 0,
        });
        kind.credit = (kind.credit + now.since(kind.at).as_secs_f64() * per_s).min(BURST);
        kind.at = now;
        let is_written = kind.credit >= 1.0;
        if is_written {
            kind.credit -= 1.0;
            line.omitted = std::mem::take(&mut kind.omitted);
        } else {
            kind.omitted += 1;
        }
        self.kinds.insert(line.kind().to_owned(), kind);
        is_written
    }
}
