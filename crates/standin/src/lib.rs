//! Stand-in store, upstreams and deployments for demo, bench and tests.

pub mod balance_model;
