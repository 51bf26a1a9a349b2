//! Tests of real nodes with stand-in workers and a store in memory.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cold;
mod crashing;
mod departing;
mod endless;
mod evacuating;
mod faulty;
mod following;
mod going_back;
mod leaving;
mod odd;
mod pacing;
mod reporting;
mod requests;
mod room;
// The program of the call tests uses other parts of the stand-ins.
#[allow(dead_code)]
mod standin;
mod stopping;
mod unreachable;
