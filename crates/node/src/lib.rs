//! The node process: router and gate beside one upstream.

pub mod settings;
