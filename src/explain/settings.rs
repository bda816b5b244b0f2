//! Settings of the explain duty.

use crate::settings::section::Section;

/// Settings of the explain duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of recorded decisions; the oldest are evicted beyond it.
    pub notes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { notes: 65_536 }
    }
}

impl Settings {
    /// Reads the section `explain`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            notes: section.size("notes", base.notes, 1..=1 << 24),
        }
    }
}
