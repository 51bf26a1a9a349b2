//! The node process: router and gate beside one upstream.

pub mod logs;
pub mod metering;
pub mod operators;
pub mod settings;
