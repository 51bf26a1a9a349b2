//! Instants and durations of a process's monotonic clock, in microseconds.

use std::ops;

/// An instant of the local monotonic clock, in microseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(pub u64);

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);

    /// Creates a duration of whole milliseconds; saturates on overflow.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis.saturating_mul(1_000))
    }

    /// Creates a duration of whole seconds; saturates on overflow.
    pub const fn from_secs(secs: u64) -> Duration {
        Duration(secs.saturating_mul(1_000_000))
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts the duration to the type of the standard library.
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Subtracts `other`; the result is at least zero.
    pub const fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }

    /// Multiplies by `factor`; saturates on overflow.
    pub const fn saturating_mul(self, factor: u64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

impl Instant {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Instant) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.0))
    }
}

impl ops::Add for Duration {
    type Output = Duration;

    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}
