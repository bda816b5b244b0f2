//! Retry budgets: token buckets that first attempts fill and retries empty.

use super::settings::Settings;

/// Cost of one retry.
const TOKEN_PERMILLE: u64 = 1_000;

/// A token bucket of retries, counted in permille of a token; a retry costs one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    permille: u64,
}

impl Budget {
    /// Creates a bucket with `retry_burst` tokens.
    #[must_use]
    pub fn full(settings: Settings) -> Self {
        Self {
            permille: settings.retry_burst * TOKEN_PERMILLE,
        }
    }

    /// Whether the bucket contains a token for a retry.
    #[must_use]
    pub fn has_token(self) -> bool {
        self.permille >= TOKEN_PERMILLE
    }

    /// Adds the `retry_permille` of a first attempt, up to `retry_burst` tokens.
    pub(super) fn deposit(&mut self, settings: Settings) {
        let max = settings.retry_burst * TOKEN_PERMILLE;
        self.permille = (self.permille + settings.retry_permille).min(max);
    }

    /// Takes the token of one retry; returns `false` and takes nothing if there is none.
    pub(super) fn withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        self.permille -= if has_token { TOKEN_PERMILLE } else { 0 };
        has_token
    }
}
