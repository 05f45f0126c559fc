//! The running node: fronts, open requests, upstream pools, discovery and timers around the decision module.
//!
//! Everything that decides is in `sloewick-decision`; everything here does what that says and tells it what
//! came of it.

pub mod check;
pub mod config;
pub mod discovery;
pub mod net;
pub mod node;
pub mod os;

mod addresses;
mod client;
mod figures;
mod front;
mod lifecycle;
mod ops;
pub mod timer;
mod trace;
mod upstream;
