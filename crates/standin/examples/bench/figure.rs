//! Printing of figures.

/// Prints one figure with two decimals.
pub(crate) fn print_number(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.2} {unit}");
}
