//! The node process of cornelridge.

fn main() {}
