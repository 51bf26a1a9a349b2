//! Computes the next assignment document from the current one and from reports.

mod input;

pub use input::{HotKey, MemberRegistration, MemberReport, PlannerInput, SliceLoad};

use cornelridge_model::{assignment, time};

/// Plans the assignment of one region.
#[derive(Debug, Default)]
pub struct Planner {}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new() -> Planner {
        Planner::default()
    }

    /// The next document, or `None` if the current one needs no change.
    pub fn plan(
        &mut self,
        _now: time::Instant,
        _input: &PlannerInput,
    ) -> Option<assignment::AssignmentDocument> {
        None
    }
}
