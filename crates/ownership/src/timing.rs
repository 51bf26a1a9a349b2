//! Intervals and bounds of the lease protocol.

use cornelridge_model::time;

/// Time for which renewals acknowledged by a majority keep a lease, counted from their sending.
pub const LEASE_TTL: time::Duration = time::Duration::from_millis(600);
/// Interval between renewals.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which a renewal is repeated to a guard that normally acknowledges. At
/// `RENEW_INTERVAL`, two datagrams lost in a row would let a lease lapse that has only two guards
/// left.
pub const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval between renewals of a lease that has lapsed. It leaves guards time to vouch; otherwise
/// a holder that sends but receives nothing would keep a lease that it can't use.
pub const SLOW_RENEW_INTERVAL: time::Duration = time::Duration::from_millis(800);
/// Time without a renewal after which a guard may vouch: `LEASE_TTL` + 1% (drift) + 20 ms.
pub const GUARD_TIMEOUT: time::Duration = time::Duration::from_millis(626);
/// Silence of an earlier member after which a successor queries the guards.
pub const PEER_SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Interval between queries to guards and to members that haven't confirmed.
pub const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Silence after which guards that haven't vouched for a member's expiry are queried less often.
pub const SLOW_QUERY_AFTER: time::Duration = time::Duration::from_millis(5_000);
/// Time for which work for a lost slice may continue before it is cancelled.
pub const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Delay before succeeding a member whose upstream doesn't check fences. It covers the time between
/// the member's last check of its lease and the sending of the request.
pub const UNFENCED_TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(200);
/// Maximum time that one observation adds to the active clock; a longer gap is a pause.
pub const MAX_CLOCK_STEP: time::Duration = time::Duration::from_millis(100);
/// Silence of the other zones after which this process counts as isolated. Together with
/// `RENEW_INTERVAL` it must stay below `GUARD_TIMEOUT`, as an isolated guard must not vouch.
pub const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time for which a holder fails to renew, while its successors respond, before it gives up.
pub const LAPSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);
/// Time for which a lease that was never held is renewed at the normal interval.
pub const INITIAL_RENEW_PERIOD: time::Duration = time::Duration::from_millis(5_000);
/// Interval between announcements of a release after the first second.
pub const SLOW_ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
