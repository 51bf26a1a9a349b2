//! Concurrency limit: bounds, warm-up, load shedding, and latency that does or doesn't follow
//! concurrency.

use cornelridge_model::time;
use cornelridge_policy::limit;

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];
const SLOTS: u32 = 12;

/// Records the responses of a saturated upstream with mean latency `latency_us(limit)` for `secs`.
fn saturate(
    limit: &mut limit::ConcurrencyLimit,
    rng: &mut fastrand::Rng,
    from: time::Instant,
    secs: u64,
    latency_us: impl Fn(u32) -> f64,
) -> time::Instant {
    let mut now = from;
    while now.since(from) < time::Duration::from_secs(secs) {
        let in_flight = limit.current(now);
        let latency = time::Duration((latency_us(in_flight) * (0.5 + rng.f64())) as u64);
        now = now + time::Duration(latency.0 / u64::from(in_flight) + 1);
        let dispatched = time::Instant(now.0.saturating_sub(latency.0));
        let target = time::Duration::from_millis(50);
        let sample = limit::LimitSample {
            latency,
            target,
            dispatched,
            in_flight,
            shed: false,
            ignore_latency: false,
        };
        limit.record(now, sample);
    }
    now
}

fn record_shed(limit: &mut limit::ConcurrencyLimit, now: time::Instant, in_flight: u32) {
    let sample = limit::LimitSample {
        latency: time::Duration::from_millis(1),
        target: time::Duration::from_millis(50),
        dispatched: now,
        in_flight,
        shed: true,
        ignore_latency: false,
    };
    limit.record(now, sample);
}

/// Guards against a limit outside the range from 1 to the announced slots, whatever is recorded.
#[test]
fn limit_stays_within_the_slots() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
            let mut limit = limit::ConcurrencyLimit::new(time::Instant(0), rng.u32(0..20));
            let mut now = time::Instant(0);
            for _ in 0..20_000 {
                now = now + time::Duration(rng.u64(0..20_000));
                limit.record(
                    now,
                    limit::LimitSample {
                        latency: time::Duration(rng.u64(0..400_000)),
                        target: time::Duration(rng.u64(0..100_000)),
                        dispatched: time::Instant(now.0.saturating_sub(rng.u64(0..400_000))),
                        in_flight: rng.u32(0..30),
                        shed: rng.u8(0..50) == 0,
                        ignore_latency: rng.bool(),
                    },
                );
                if rng.u8(..) == 0 {
                    limit.set_slots(now, rng.u32(0..20));
                }
                let current = limit.current(now);
                assert!(current >= 1 && current <= limit.slots());
            }
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

/// Guards against giving a cold upstream all of its slots at once, or never.
#[test]
fn cold_upstream_ramps_up_over_five_seconds() {
    let limit = limit::ConcurrencyLimit::new(time::Instant(0), SLOTS);
    let at = |ms: u64| limit.current(time::Instant(ms * 1_000));
    assert_eq!([at(0), at(2_500), at(5_000)], [3, 7, 12]);
    assert!((0..50).all(|step| at(step * 100) <= at(step * 100 + 100)));
}

/// Guards against a collapse of the limit when an upstream is slow for a reason other than
/// concurrency.
#[test]
fn slow_upstream_keeps_its_slots() {
    for seed in SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limit = limit::ConcurrencyLimit::warm(time::Instant(0), SLOTS);
        let mut now = time::Instant(0);
        let mut kept_secs = 0;
        for _ in 0..120 {
            now = saturate(&mut limit, &mut rng, now, 1, |_| 200_000.0);
            kept_secs += u32::from(limit.current(now) * 4 >= SLOTS * 3);
        }
        assert!(kept_secs >= 108, "seed {seed}: nearly all slots in {kept_secs} of 120 seconds");
    }
}

/// Guards against leaving an upstream at a concurrency at which it misses its target.
#[test]
fn limit_falls_where_latency_follows_concurrency() {
    for seed in SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limit = limit::ConcurrencyLimit::warm(time::Instant(0), SLOTS);
        let now = saturate(&mut limit, &mut rng, time::Instant(0), 30, |in_flight| {
            6_000.0 * f64::from(in_flight)
        });
        assert!(limit.current(now) <= 8, "seed {seed}: limit {}", limit.current(now));
        let now = saturate(&mut limit, &mut rng, now, 180, |_| 10_000.0);
        assert_eq!(limit.current(now), SLOTS, "seed {seed}: recovers when the cause ends");
    }
}

/// Guards against refusing requests long after an upstream has stopped shedding load.
#[test]
fn limit_recovers_after_sheds() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut limit = limit::ConcurrencyLimit::warm(time::Instant(0), SLOTS);
    let mut now = time::Instant(0);
    for _ in 0..200 {
        now = now + time::Duration::from_millis(5);
        let current = limit.current(now);
        record_shed(&mut limit, now, current);
    }
    assert_eq!(limit.current(now), 1);
    let now = saturate(&mut limit, &mut rng, now, 10, |_| 10_000.0);
    assert_eq!(limit.current(now), SLOTS);
}

/// Guards against lowering the limit several times for one burst of refusals.
#[test]
fn sheds_of_requests_sent_together_lower_the_limit_once() {
    let mut limit = limit::ConcurrencyLimit::warm(time::Instant(0), SLOTS);
    let dispatched = time::Instant(1_000);
    for step in 0..6 {
        let sample = limit::LimitSample {
            latency: time::Duration(500),
            target: time::Duration::from_millis(50),
            dispatched,
            in_flight: SLOTS - step,
            shed: true,
            ignore_latency: false,
        };
        limit.record(time::Instant(1_500 + u64::from(step)), sample);
    }
    assert_eq!(limit.current(time::Instant(2_000)), SLOTS - 1);
}

/// Guards against an upstream lowering its limit by a load report alone.
#[test]
fn report_alone_never_lowers_the_limit() {
    let mut limit = limit::ConcurrencyLimit::warm(time::Instant(0), SLOTS);
    limit.record_load(time::Instant(0), limit::ReportedLoad { overloaded: true });
    assert_eq!(limit.current(time::Instant(1)), SLOTS);
}
