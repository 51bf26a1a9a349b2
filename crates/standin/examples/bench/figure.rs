//! Printing of figures.

use std::time;

/// Prints one figure with two decimals.
pub(crate) fn print_number(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.2} {unit}");
}

/// Prints a span in seconds with milliseconds.
pub(crate) fn print_duration(name: &str, value: time::Duration) {
    println!("{name} {:.3} s", value.as_secs_f64());
}

/// Prints a count.
pub(crate) fn print_count(name: &str, value: u64) {
    println!("{name} {value} count");
}

/// The middle one of some spans.
pub(crate) fn median(durations: &[time::Duration]) -> time::Duration {
    let mut sorted = durations.to_vec();
    sorted.sort();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// The longest one of some spans.
pub(crate) fn longest(durations: &[time::Duration]) -> time::Duration {
    durations.iter().max().copied().unwrap_or_default()
}
