//! The running node: fronts, open requests, upstream pools, discovery and timers around the decision module.
//!
//! Everything that decides is in `sloewick-decision`; everything here does what that says and tells it what
//! came of it.

pub mod config;
pub mod config_check;
pub mod discovery;
pub mod mio_transport;
pub mod node;
pub mod transport;

mod address_table;
mod admin;
mod client;
mod event_trace;
mod front;
mod lifecycle;
mod metrics;
pub mod timers;
mod upstream;
