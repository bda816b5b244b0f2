//! Time as a value: decision cores are handed an instant and never read a clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds on this process's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The instant `ms` milliseconds after the start of the clock.
    ///
    /// ```
    /// use siskinstep::clock::Micros;
    /// assert_eq!(Micros::from_millis(2), Micros(2_000));
    /// ```
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// This instant moved `ms` milliseconds later.
    ///
    /// ```
    /// use siskinstep::clock::Micros;
    /// assert_eq!(Micros(5).plus_millis(1), Micros(1_005));
    /// ```
    #[must_use]
    pub const fn plus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Time from `earlier` to this instant, zero when `earlier` is later.
    ///
    /// ```
    /// use siskinstep::clock::Micros;
    /// use std::time::Duration;
    /// assert_eq!(Micros(30).since(Micros(10)), Duration::from_micros(20));
    /// assert_eq!(Micros(10).since(Micros(30)), Duration::ZERO);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// The monotonic clock of one process, copied into every thread.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    ///
    /// ```
    /// let clock = siskinstep::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        // One minute of head start, so that "long ago" can be written as zero.
        let start = Instant::now();
        let start = start.checked_sub(Duration::from_mins(1)).unwrap_or(start);
        Self { start }
    }

    /// Microseconds since the clock's start.
    ///
    /// ```
    /// let now = siskinstep::clock::Clock::start().now();
    /// assert!(now.0 >= 60_000_000);
    /// ```
    #[must_use]
    pub fn now(self) -> Micros {
        let micros = self.start.elapsed().as_micros();
        Micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Milliseconds of wall-clock time since the Unix epoch, for incarnations and logs only.
///
/// ```
/// assert!(siskinstep::clock::wall_millis() > 1_600_000_000_000);
/// ```
#[must_use]
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
