//! Intervals and bounds of the lease protocol.

use cornelridge_model::time;

/// Span for which a majority of acknowledged renewals keeps a lease, counted from their sending.
pub const LEASE_TTL: time::Duration = time::Duration::from_millis(600);
/// Interval between renewals.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which a renewal is repeated to a guard that normally answers. At `RENEW_INTERVAL` two
/// datagrams lost in a row let a lease lapse that has only two guards left.
pub const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval between renewals of a lease that has lapsed. It leaves guards time to vouch, or else a
/// holder that sends but receives nothing would keep a lease that it can't use.
pub const SLOW_RENEW_INTERVAL: time::Duration = time::Duration::from_millis(800);
/// Span without a renewal after which a guard may vouch: `LEASE_TTL` + 1% + 20 ms.
pub const GUARD_TIMEOUT: time::Duration = time::Duration::from_millis(626);
/// Silence of an earlier member after which a successor asks the guards.
pub const PEER_SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Interval between questions to guards and to members that haven't confirmed.
pub const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Silence after which a member that guards don't vouch for is asked about less often.
pub const SLOW_QUERY_AFTER: time::Duration = time::Duration::from_millis(5_000);
/// Longest time that work for a lost slice may continue before it is cancelled.
pub const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Extra wait before succeeding a member whose upstream doesn't check fences.
pub const UNFENCED_TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(200);
/// Most time that one observation adds to the active clock; a longer gap is a pause.
pub const MAX_CLOCK_STEP: time::Duration = time::Duration::from_millis(100);
/// Silence of the other zones after which this process counts itself as isolated. With one renewal
/// interval it must stay below `GUARD_TIMEOUT`: a guard that is cut off must not vouch.
pub const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Span for which a holder fails to renew, while its successors answer, before it gives up.
pub const LAPSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);
/// Time in which a lease that was never held is renewed at the normal interval.
pub const INITIAL_RENEW_PERIOD: time::Duration = time::Duration::from_millis(5_000);
/// Interval between announcements of a release after the first second.
pub const SLOW_ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
