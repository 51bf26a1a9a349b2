//! Assignment planner, peer liveness and configuration acceptance.
