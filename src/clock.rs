//! Time as a value: decision code receives timestamps as arguments and never reads a clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timestamp in microseconds on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Timestamp `ms` milliseconds after the clock's zero; saturates.
    ///
    /// ```
    /// use siskinstep::clock::Micros;
    /// assert_eq!(Micros::from_millis(2), Micros(2_000));
    /// ```
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// This timestamp plus `ms` milliseconds; saturates.
    ///
    /// ```
    /// use siskinstep::clock::Micros;
    /// assert_eq!(Micros(5).plus_millis(1), Micros(1_005));
    /// ```
    #[must_use]
    pub const fn plus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Duration from `earlier` to this timestamp; zero if `earlier` is later.
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

/// Monotonic clock of a process; every thread has a copy.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at one minute, or at zero if the system clock cannot represent that.
    ///
    /// ```
    /// let clock = siskinstep::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        // Starting at one minute makes `Micros(0)` usable as a timestamp in the distant past.
        let start = Instant::now();
        let start = start.checked_sub(Duration::from_mins(1)).unwrap_or(start);
        Self { start }
    }

    /// Current timestamp.
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

/// Wall-clock time in milliseconds since the Unix epoch, for incarnations and logs only.
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
