//! How many further attempts the requests of a service may cost.
//!
//! The load that it answers: upstreams that refuse or fail a large part of what they are sent. Further
//! attempts then help, but on top of a full load they would add to what makes the upstreams fail. The
//! bound holds in any window of the users' length, over all entry VMs: each adds its own part, in the same
//! window, so that the sum keeps it without a word between them.

use crate::clock::Micros;

/// Parts of a window that are counted apart. What is older than a window leaves a part at a time.
const CELLS: usize = 10;
/// The same, as numbers of cells are counted, with the oldest.
const ALL: u64 = 11;

/// Requests and further attempts of a part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    first: u32,
    further: u32,
}

/// First and further attempts of one service within the last window.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// Length of a cell in microseconds.
    length: u64,
    /// One more than a window has: the oldest may still lie partly in it.
    cells: [Cell; CELLS + 1],
    /// Number of the newest cell since the clock began.
    newest: u64,
}

impl Budget {
    /// Counts within windows of `window_ms`.
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            length: (window_ms * 1_000 / (ALL - 1)).max(1),
            cells: [Cell::default(); CELLS + 1],
            newest: 0,
        }
    }

    /// The cell of now, with all that are too old cleared.
    fn cell(&mut self, now: Micros) -> &mut Cell {
        let at = now.0 / self.length;
        let passed = at.saturating_sub(self.newest).min(ALL);
        self.newest = self.newest.max(at);
        for back in 0..passed {
            self.cells[place(self.newest - back)] = Cell::default();
        }
        &mut self.cells[place(self.newest)]
    }

    /// Counts a request.
    pub(super) fn note(&mut self, now: Micros) {
        self.cell(now).first += 1;
    }

    /// Takes one further attempt, if `permille` of the window's requests and `besides` allow it.
    #[allow(clippy::cast_precision_loss, reason = "settings of a few hundred")]
    pub(super) fn take(&mut self, permille: u64, besides: f64, now: Micros) -> bool {
        self.cell(now);
        let oldest = self.cells[place(self.newest + 1)];
        let first: u32 = self.cells.iter().map(|cell| cell.first).sum();
        let further: u32 = self.cells.iter().map(|cell| cell.further).sum();
        let earned = f64::from(first - oldest.first) * permille as f64 / 1_000.0;
        let is_free = f64::from(further + 1) <= earned + besides;
        if is_free {
            self.cell(now).further += 1;
        }
        is_free
    }
}

fn place(number: u64) -> usize {
    usize::try_from(number % ALL).unwrap_or_default()
}
