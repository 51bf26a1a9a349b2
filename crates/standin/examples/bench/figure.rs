//! Printing of figures.

use std::time;

/// Prints one figure with two decimals.
pub(crate) fn print_number(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.2} {unit}");
}

/// Prints a duration in seconds with three decimals.
pub(crate) fn print_duration(name: &str, value: time::Duration) {
    println!("{name} {:.3} s", value.as_secs_f64());
}

/// Prints a count.
pub(crate) fn print_count(name: &str, value: u64) {
    println!("{name} {value} count");
}

/// Returns the median of durations, the upper one if their number is even; zero for none.
pub(crate) fn median(durations: &[time::Duration]) -> time::Duration {
    let mut sorted = durations.to_vec();
    sorted.sort();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// Returns the longest duration; zero for none.
pub(crate) fn longest(durations: &[time::Duration]) -> time::Duration {
    durations.iter().max().copied().unwrap_or_default()
}
