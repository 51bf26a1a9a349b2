//! Assignment planner, peer liveness and configuration acceptance.
//!
//! Every type is a state machine without a clock, a socket or a random number generator of its own:
//! it is given the time and an input and returns what to do.
//!
//! ```
//! use cornelridge_control::planner::{Planner, PlannerInput};
//! use cornelridge_model::time;
//!
//! let mut planner = Planner::new();
//! let input = PlannerInput::default();
//! assert_eq!(planner.plan(time::Instant(0), &input), None);
//! ```

pub mod acceptance;
pub mod liveness;
pub mod planner;
pub mod relay;
pub mod write;
