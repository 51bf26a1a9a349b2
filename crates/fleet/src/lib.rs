//! Decisions of a node that runs beside one worker and keeps its durable state in a store.
//!
//! The modules are pure state machines: time, input and randomness are arguments.
//!
//! ```
//! use cornelridge_fleet::route;
//!
//! let table = route::RouteTable::default();
//! assert!(table.find("shop.example", "/price/7").is_none());
//! ```

pub mod admission;
pub mod answer_share;
pub mod backoff;
pub mod balance;
pub mod budget;
pub mod call_load;
pub mod config;
pub mod departure;
pub mod era;
pub mod evacuation;
pub mod first_request;
pub mod grant;
pub mod lapse;
pub mod ledger;
pub mod link;
pub mod member;
pub mod memory_budget;
pub mod peer_pins;
pub mod plan;
pub mod range;
pub mod rates;
pub mod registration;
pub mod restoration;
pub mod room;
pub mod route;
pub mod route_usage;
pub mod selection;
pub mod warm_up;
pub mod worker_report;
pub mod worker_speed;
pub mod zone_choice;

mod call_demand;
mod decaying_count;
mod known_worker;
