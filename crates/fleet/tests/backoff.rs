//! Calls to a store that refuses them.

use cornelridge_fleet::backoff::RetryDelay;
use cornelridge_model::time::Duration;

/// Guards against a node that calls a store which turns it away all the time, and against one that
/// stays away for longer than two seconds after the store's return.
#[test]
fn a_store_that_turns_a_node_away_is_called_less_and_less_often() {
    let mut delay = RetryDelay::default();
    let delays: Vec<u64> = (0..6).map(|_| delay.next_delay(0.0).as_millis()).collect();
    assert_eq!(delays, [200, 400, 800, 1_500, 1_500, 1_500]);
    assert_eq!(delay.next_delay(1.0), Duration::from_millis(1_125), "a quarter is random");
    delay.reset();
    assert_eq!(delay.next_delay(0.0), Duration::from_millis(200));
}
