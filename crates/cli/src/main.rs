//! Command for operators of cornelridge.

fn main() {}
