//! Tests of real nodes with stand-in workers and a store in memory.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod calls;
mod crashing;
mod endless;
mod faulty;
mod following;
mod leaving;
mod odd;
mod pacing;
mod requests;
mod standin;
mod stopping;
