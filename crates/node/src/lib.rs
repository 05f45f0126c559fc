//! The running node: fronts, open requests, upstream pools, discovery and timers around the decision module.
//!
//! Everything that decides is in `sloewick-decision`; everything here does what that says and tells it what
//! came of it.

pub mod config;
pub mod config_check;
#[path = "discovery/client.rs"]
pub mod discovery;
pub mod mio_transport;
#[path = "event_loop.rs"]
pub mod node;
pub mod transport;

mod address_table;
#[path = "admin/server.rs"]
mod admin;
#[path = "frontend/connection.rs"]
mod client;
mod event_trace;
#[path = "frontend/response.rs"]
mod front;
mod lifecycle;
mod metrics;
pub mod timers;
#[path = "upstream/pool.rs"]
mod upstream;
