//! Concurrency limit of one upstream.

use cornelridge_model::time;

/// How one request that used the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSample {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Latency target of its class.
    pub target: time::Duration,
    /// When it was dispatched.
    pub dispatched: time::Instant,
    /// Running requests when it ended, itself included.
    pub in_flight: u32,
    /// Whether the upstream refused it for load.
    pub shed: bool,
    /// Whether its latency says nothing about load, as with bulk work and failures.
    pub untimed: bool,
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Whether the upstream calls itself overloaded.
    pub overloaded: bool,
}

/// How many requests an upstream may run at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit of a cold upstream that was announced now with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        let _ = now;
        ConcurrencyLimit { slots }
    }

    /// Creates the limit of an upstream that has been running for long.
    pub fn warm(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        ConcurrencyLimit::new(now, slots)
    }

    /// The limit in force, from 1 to the announced slots.
    pub fn current(&self, now: time::Instant) -> u32 {
        let _ = now;
        self.slots
    }

    /// Takes over the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) {
        let _ = now;
        self.slots = slots;
    }

    /// Learns from the end of a request.
    pub fn record(&mut self, now: time::Instant, sample: LimitSample) {
        let _ = (now, sample);
    }

    /// Learns what the upstream reports; a report alone never lowers the limit.
    pub fn report(&mut self, now: time::Instant, load: ReportedLoad) {
        let _ = (now, load);
    }
}
