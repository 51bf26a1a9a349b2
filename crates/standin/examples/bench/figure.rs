//! Printing of figures.

use std::fmt;

/// Prints one figure.
pub fn print(name: &str, value: impl fmt::Display, unit: &str) {
    println!("{name} {value} {unit}");
}

/// Prints one figure with two decimals.
pub fn print_number(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.2} {unit}");
}
