//! Decisions of a node that runs beside one worker and keeps what must last in a store.
//!
//! Everything here is a pure state machine: time, input and randomness are arguments.
//!
//! ```
//! use cornelridge_fleet::route;
//!
//! let table = route::RouteTable::default();
//! assert!(table.find("shop.example", "/price/7").is_none());
//! ```

pub mod admission;
pub mod balance;
pub mod budget;
pub mod config;
pub mod grant;
pub mod link;
pub mod member;
pub mod plan;
pub mod range;
pub mod rates;
pub mod registration;
pub mod route;
pub mod selection;
