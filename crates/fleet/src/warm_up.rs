//! Limit on the requests that are sent to a cold worker.
//!
//! A worker may become cold at any moment after it was known to be warm. Requests are therefore
//! counted by a token bucket that is full at the last such moment, which a health check shows: the
//! worker was warm at some time after the check was sent. While a check is under way, a second
//! bucket that is full when the check is sent counts the same requests; it replaces the first one
//! if the answer says that the worker is warm.

use cornelridge_model::time;

/// Units of a bucket per request; whole units keep the limit exact.
const TOKEN: i64 = 1_000_000_000;
/// Requests that a bucket holds at least, if the bounds allow them: with fewer, a check would use
/// up what it is to renew.
const MIN_BURST: f64 = 4.0;
/// Time after which a check without an answer counts as lost.
pub const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time from a lost check to the next one; doubles with each further one, as each takes a request
/// from what the worker accepts. Short, as a single loss leaves a warm worker at the cold rate.
const MIN_CHECK_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest time from a lost check to the next one.
const MAX_CHECK_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Time that the check of a warm worker is expected to take; the worker answers checks at once.
const EXPECTED_CHECK_TIME: time::Duration = time::Duration::from_millis(10);
/// Shortest time after which a worker that says it is cold is checked again.
const MIN_COLD_TIME: time::Duration = time::Duration::from_millis(20);
/// Longest time for which the stated remaining time of a worker is trusted without another check,
/// if the warm-up of the service is shorter.
const MAX_TRUSTED_TIME: time::Duration = time::Duration::from_secs(2);

/// Rate that a cold worker of a service tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    /// Time for which a worker is cold after its start.
    pub duration: time::Duration,
    /// Requests per second that a cold worker tolerates.
    pub requests_per_second: f64,
}

/// By how much a cold worker may get more requests than it tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Factor of the tolerated rate.
    pub overshoot: f64,
    /// Requests beyond that rate in any second.
    pub slack: f64,
}

/// What is known of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WorkerWarmth {
    /// Nothing that a check has shown; the worker counts as cold.
    #[display("unknown")]
    Unknown,
    /// The worker said that it is cold, or a check that would show otherwise was lost.
    #[display("cold")]
    Cold,
    /// The last check showed that the worker was warm.
    #[display("warm")]
    Warm,
}

/// Tokens at one instant.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    units: i64,
    updated_at: time::Instant,
}

/// Rate and size of the buckets.
#[derive(Clone, Copy, Debug)]
struct BucketShape {
    units_per_micro: i64,
    max_units: i64,
}

impl BucketShape {
    /// Returns the shape with which no second has more requests than the bounds allow: size plus
    /// rate is that number.
    fn new(rule: WarmUpRule, bounds: WarmUpBounds) -> BucketShape {
        let rate = rule.requests_per_second * bounds.overshoot;
        let total = rate + bounds.slack;
        let mut burst = bounds.slack.max(MIN_BURST.min(total / 2.0));
        let mut rate = total - burst;
        if burst < 1.0 {
            // At most one request in a second, and none sooner than the rate allows.
            burst = 1.0;
            rate = total.min(1.0);
        }
        let units = TOKEN as f64;
        BucketShape {
            units_per_micro: (rate * units / 1e6) as i64,
            max_units: (burst * units) as i64,
        }
    }

    fn full(&self, now: time::Instant) -> TokenBucket {
        TokenBucket { units: self.max_units, updated_at: now }
    }

    fn units(&self, bucket: &TokenBucket, now: time::Instant) -> i64 {
        let elapsed = i64::try_from(now.since(bucket.updated_at).0).unwrap_or(i64::MAX);
        let gained = self.units_per_micro.saturating_mul(elapsed);
        bucket.units.saturating_add(gained).min(self.max_units)
    }

    /// Adds units, or takes them with a negative number.
    fn add(&self, bucket: &mut TokenBucket, now: time::Instant, units: i64) {
        bucket.units = (self.units(bucket, now) + units).min(self.max_units);
        bucket.updated_at = bucket.updated_at.max(now);
    }
}

/// A check without an answer so far.
#[derive(Clone, Copy, Debug)]
struct PendingCheck {
    sent: time::Instant,
    /// Bucket that was full when the check was sent.
    bucket: TokenBucket,
}

/// Limits the requests to one worker while it may be cold.
#[derive(Clone, Debug)]
pub struct WarmUpLimiter {
    rule: WarmUpRule,
    bounds: WarmUpBounds,
    shape: BucketShape,
    bucket: TokenBucket,
    /// Requests that were started and not sent yet, each of which takes a token.
    reserved: u32,
    warmth: WorkerWarmth,
    /// Until when the worker stays cold, by its answer to a check.
    cold_until: time::Instant,
    check: Option<PendingCheck>,
    /// Whether the worker has a health check.
    has_checks: bool,
    next_check_at: time::Instant,
    /// Checks lost since the last answer.
    lost_checks: u32,
    /// Whether there was traffic since the last check was sent.
    is_used: bool,
}

impl WarmUpLimiter {
    /// Creates the limiter of a worker of which nothing is known.
    pub fn new(now: time::Instant, rule: WarmUpRule, bounds: WarmUpBounds) -> WarmUpLimiter {
        let shape = BucketShape::new(rule, bounds);
        WarmUpLimiter {
            rule,
            bounds,
            shape,
            bucket: shape.full(now),
            reserved: 0,
            warmth: WorkerWarmth::Unknown,
            cold_until: now,
            check: None,
            has_checks: true,
            next_check_at: now,
            lost_checks: 0,
            is_used: false,
        }
    }

    /// Sets whether the worker has a health check; one without a check always counts as cold.
    pub fn set_has_checks(&mut self, has_checks: bool) {
        self.has_checks = has_checks;
    }

    /// Returns the rule of the worker's service.
    pub fn rule(&self) -> WarmUpRule {
        self.rule
    }

    /// Returns the highest number of requests in any second while the worker is cold.
    pub fn max_per_second(&self) -> u32 {
        (self.rule.requests_per_second * self.bounds.overshoot + self.bounds.slack) as u32
    }

    /// Returns what is known of the worker.
    pub fn warmth(&self) -> WorkerWarmth {
        self.warmth
    }

    /// Counts the last second as used up, because a previous run of the node may have sent as many
    /// requests as are allowed, and forgets what is known of the worker.
    pub fn restart(&mut self, now: time::Instant) {
        self.forget_worker(now);
        self.bucket = TokenBucket { units: 0, updated_at: now };
    }

    /// Forgets what is known of the worker, because another incarnation runs. Requests to the
    /// previous one still count.
    pub fn forget_worker(&mut self, now: time::Instant) {
        self.warmth = WorkerWarmth::Unknown;
        self.cold_until = now;
        self.check = None;
        self.next_check_at = now;
        self.lost_checks = 0;
        self.reserved = 0;
    }

    /// Returns whether a request may be sent, with the requests that were started but not sent
    /// taken into account. One token is left for a check that is to be sent.
    pub fn may_send(&self, now: time::Instant) -> bool {
        self.available(now) >= self.needed(now, 0)
    }

    /// Returns whether a request that was started may still be sent.
    pub fn has_token(&self, now: time::Instant) -> bool {
        self.shape.units(&self.bucket, now) >= TOKEN
    }

    /// Returns when the next request may be sent, as far as is known.
    pub fn next_send_at(&self, now: time::Instant) -> time::Instant {
        self.send_at(now, 0)
    }

    /// Returns when a request with `ahead` others before it may be sent, as far as is known.
    pub fn send_at(&self, now: time::Instant, ahead: usize) -> time::Instant {
        let missing = self.needed(now, ahead) - self.available(now);
        if missing <= 0 {
            return now;
        }
        if self.warmth == WorkerWarmth::Warm {
            return now + EXPECTED_CHECK_TIME;
        }
        let micros =
            missing.unsigned_abs().div_ceil(self.shape.units_per_micro.max(1).unsigned_abs());
        let by_tokens = now + time::Duration(micros);
        match self.cold_until > now {
            true => by_tokens.min(self.cold_until + EXPECTED_CHECK_TIME),
            false => by_tokens,
        }
    }

    /// Takes a token for a request that is started and will be sent.
    pub fn reserve(&mut self) {
        self.reserved += 1;
        self.is_used = true;
    }

    /// Releases the token of a started request, which is being sent or won't be sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records that a request waits to be sent.
    pub fn record_waiting(&mut self) {
        self.is_used = true;
    }

    /// Records that a request is being sent.
    pub fn record_sent(&mut self, now: time::Instant) {
        self.is_used = true;
        self.take(now);
    }

    /// Records that the worker answered a request with 421, or that it was not written after all.
    ///
    /// The bucket of a pending check isn't refilled: the request may have been sent before it.
    pub fn record_refused(&mut self, now: time::Instant) {
        self.shape.add(&mut self.bucket, now, TOKEN);
    }

    /// Returns whether a check is to be sent: there was traffic, and the worker isn't known to be
    /// warm or half of its requests since the last check are used up.
    pub fn check_due(&self, now: time::Instant) -> bool {
        let available = self.available(now);
        let is_low = available <= self.shape.max_units / 2;
        self.is_used
            && self.may_check(now)
            && available >= TOKEN
            && (is_low || self.warmth != WorkerWarmth::Warm)
    }

    /// Records that a check is being sent.
    pub fn record_check_sent(&mut self, now: time::Instant) {
        if self.check.is_some() {
            self.count_lost_check(now);
        }
        self.is_used = false;
        self.check = Some(PendingCheck { sent: now, bucket: self.shape.full(now) });
        self.take(now);
    }

    /// Records the answer to the check that was sent at `sent`; `warm_up_left` is zero or absent
    /// if the worker is warm.
    pub fn record_check(
        &mut self,
        sent: time::Instant,
        now: time::Instant,
        warm_up_left: Option<time::Duration>,
    ) {
        let Some(check) = self.check.filter(|check| check.sent == sent) else { return };
        self.check = None;
        self.lost_checks = 0;
        match warm_up_left.filter(|left| *left > time::Duration::ZERO) {
            None => {
                self.bucket = check.bucket;
                self.warmth = WorkerWarmth::Warm;
                self.cold_until = now;
                self.next_check_at = now;
            }
            Some(left) => {
                let longest = self.rule.duration.max(MAX_TRUSTED_TIME);
                self.warmth = WorkerWarmth::Cold;
                self.cold_until = now + left.clamp(MIN_COLD_TIME, longest);
                self.next_check_at = self.cold_until;
            }
        }
    }

    /// Records that the check that was sent at `sent` has no usable answer.
    pub fn record_check_lost(&mut self, sent: time::Instant, now: time::Instant) {
        if self.check.is_some_and(|check| check.sent == sent) {
            self.check = None;
            self.count_lost_check(now);
        }
    }

    /// Records the remaining warm-up in a report. The report may be late, so zero shows nothing,
    /// and any other time only that the worker has to be checked.
    pub fn record_report(&mut self, now: time::Instant, warm_up_left: time::Duration) {
        if warm_up_left > time::Duration::ZERO && self.warmth != WorkerWarmth::Cold {
            self.warmth = WorkerWarmth::Cold;
            self.cold_until = now;
        }
    }

    fn count_lost_check(&mut self, now: time::Instant) {
        let pause = MIN_CHECK_PAUSE.saturating_mul(1 << self.lost_checks.min(8));
        self.next_check_at = now + pause.min(MAX_CHECK_PAUSE);
        self.lost_checks = self.lost_checks.saturating_add(1);
        if self.warmth == WorkerWarmth::Warm {
            self.warmth = WorkerWarmth::Cold;
        }
    }

    fn take(&mut self, now: time::Instant) {
        self.shape.add(&mut self.bucket, now, -TOKEN);
        if let Some(check) = &mut self.check {
            self.shape.add(&mut check.bucket, now, -TOKEN);
        }
    }

    /// Returns whether a check may be sent as soon as there is traffic.
    fn may_check(&self, now: time::Instant) -> bool {
        let is_pending = self.check.is_some_and(|check| now.since(check.sent) < CHECK_TIMEOUT);
        self.has_checks && !is_pending && now >= self.next_check_at
    }

    /// Returns the units that are neither used nor reserved.
    fn available(&self, now: time::Instant) -> i64 {
        self.shape.units(&self.bucket, now) - i64::from(self.reserved) * TOKEN
    }

    /// Returns the units that must be available for a request with `ahead` others before it.
    fn needed(&self, now: time::Instant, ahead: usize) -> i64 {
        let for_check = self.may_check(now) && self.shape.max_units >= 2 * TOKEN;
        let ahead = i64::try_from(ahead).unwrap_or(i64::MAX / TOKEN).min(i64::MAX / TOKEN - 2);
        (ahead + 1 + i64::from(for_check)) * TOKEN
    }
}
