//! Retry budgets: a retry spends what first attempts have earned.

use super::settings::Settings;

const ONE: u64 = 1_000;

/// A token bucket in thousandths of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    milli: u64,
}

impl Budget {
    /// A full bucket.
    #[must_use]
    pub fn full(settings: Settings) -> Self {
        Self {
            milli: settings.retry_burst * ONE,
        }
    }

    /// Whether a retry can be paid.
    #[must_use]
    pub fn is_enough(self) -> bool {
        self.milli >= ONE
    }

    /// Adds what a first attempt earns.
    pub(super) fn earn(&mut self, settings: Settings) {
        let most = settings.retry_burst * ONE;
        self.milli = (self.milli + settings.retry_permille).min(most);
    }

    /// Pays for a retry, or says that it cannot.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.is_enough();
        self.milli -= if enough { ONE } else { 0 };
        enough
    }
}
