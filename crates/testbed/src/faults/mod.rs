//! Faults: a scenario lists them, and the fault scheduler begins and ends each at its time.
//!
//! [`scenario`] defines the scenarios that users write, `kinds` has the table of all kinds of fault, [`schedule`] has the
//! scheduler, and [`environment`] defines the interface to the fleet that it acts on. The functions that begin the faults
//! are in one module for each component that they concern: servers, links, nodes, clients and services.

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
