//! Settings of the slots duty.

use crate::settings::section::Section;

/// Settings of the slots duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Attempts at most for one request.
    pub attempts: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { attempts: 3 }
    }
}

impl Settings {
    /// Reads the section `slots`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            attempts: section.number("attempts", base.attempts, 1..=10),
        }
    }
}
