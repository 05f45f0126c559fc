//! Faults: a scenario lists them, and the schedule begins and ends each at its time.
//!
//! [`scenario`] holds what users write, `kinds` the table of all kinds of fault, [`schedule`] the scheduler and
//! [`environment`] what it acts on. What each kind does stands in the modules of what it concerns.

mod clients;
pub mod environment;
mod kinds;
mod links;
mod nodes;
mod parse;
pub mod scenario;
pub mod schedule;
mod servers;
mod services;
mod swarm;
