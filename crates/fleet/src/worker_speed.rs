//! Current speed of the worker beside the node, and requests that it runs unknown to the node.
//!
//! Answers the load of machines that other programs slow down for a fraction of a second at a time,
//! and of requests that a worker still runs after its node has given them up.

use cornelridge_model::time;

/// Time for which a slowdown is expected to last after it was stated. Other programs slow a machine
/// down for some hundred milliseconds, and a statement falls into the middle of that on average.
pub const SLOWDOWN_DURATION: time::Duration = time::Duration::from_millis(250);
/// Highest slowdown that is believed, so that one malformed statement can't close a worker.
const MAX_SLOWDOWN: f64 = 8.0;
/// Number of consecutive statements that must agree on unknown requests: a statement may be older
/// than requests that the node has sent or completed since.
const MIN_STATEMENTS: usize = 4;
/// Time after which a statement says nothing about the requests that run.
const MAX_STATEMENT_AGE: time::Duration = time::Duration::from_millis(500);

/// Load that a worker states in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLoad {
    /// Requests that the worker runs.
    pub running: u32,
    /// Requests that wait at the worker.
    pub waiting: u32,
    /// Time that work takes now relative to the usual time; 1 if the worker doesn't state it.
    pub slowdown: f64,
}

/// What is known of the worker's speed and its unknown requests.
#[derive(Clone, Debug, Default)]
pub struct WorkerSpeed {
    /// Slowdown beyond the usual time, as a share of it, when it was last stated.
    excess: f64,
    stated_at: time::Instant,
    /// Requests beyond those that the node knew of, from the latest statements.
    unknown: [u32; MIN_STATEMENTS],
    /// Number of statements, each of which was recent when the next one came.
    statements: usize,
}

impl WorkerSpeed {
    /// Records a statement; `known` is the number of requests that the node has at the worker.
    pub fn record(&mut self, now: time::Instant, load: StatedLoad, known: usize) {
        if now.since(self.stated_at) > MAX_STATEMENT_AGE {
            self.statements = 0;
        }
        self.stated_at = now;
        let slowdown = if load.slowdown.is_finite() { load.slowdown } else { 1.0 };
        self.excess = slowdown.clamp(1.0, MAX_SLOWDOWN) - 1.0;
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        let unknown = load.running.saturating_add(load.waiting).saturating_sub(known);
        self.unknown[self.statements % MIN_STATEMENTS] = unknown;
        self.statements += 1;
    }

    /// Returns by how much longer than usual work of this length takes if it starts now: the
    /// slowdown ends by itself, and what is left then is done at the usual speed.
    pub fn delay(&self, now: time::Instant, work: time::Duration) -> time::Duration {
        let left = SLOWDOWN_DURATION.saturating_sub(now.since(self.stated_at)).0 as f64;
        let longest = left * self.excess / (1.0 + self.excess);
        time::Duration((work.0 as f64 * self.excess).min(longest) as u64)
    }

    /// Returns the number of requests that the worker runs although the node has none of them there
    /// any more.
    pub fn unknown_requests(&self, now: time::Instant) -> u32 {
        if self.statements < MIN_STATEMENTS || now.since(self.stated_at) > MAX_STATEMENT_AGE {
            return 0;
        }
        self.unknown.iter().copied().min().unwrap_or_default()
    }
}
