//! A discrete-event simulation of the fleet that sloewick balances: many nodes, each with its own
//! [`Balancer`](sloewick_decision::Balancer), cache servers with one core each, and the origin that all servers share. The
//! components exchange events instead of bytes. The simulation runs on virtual time and draws all random numbers from one
//! seed, so that the same seed gives the same run. It evaluates the decision code at fleet sizes that tests over sockets
//! cannot reach; its findings are confirmed by tests over sockets.
//!
//! Modelled: queues and work at the servers; handshakes; fetches with a timeout, which are cancelled or are completed after the
//! client has disconnected; fetch slots; an origin that answers in order and completes work that no client awaits; writes that
//! invalidate cached copies; clients that retry.
//!
//! Not modelled: discovery, zones, connection limits, message sizes.
//!
//! - [`site`](Site): the configuration of a fleet, with the faults of a run;
//! - [`node`](start_balancer): the nodes' balancers, and the ids of servers;
//! - `server`: queue, core, cache and connections of a cache server;
//! - `attempt`: attempts at servers, and pending requests;
//! - `event_queue`: scheduled events, in order of virtual time;
//! - [`model`](Model): the simulation, which handles one event after another.

mod attempt;
mod event_queue;
#[cfg(test)]
mod event_queue_tests;
mod model;
mod node;
#[cfg(test)]
mod node_tests;
mod server;
#[cfg(test)]
mod server_tests;
mod site;
#[cfg(test)]
mod site_tests;

pub use model::{Model, Policy, SecondCounts};
pub use node::{endpoint, server_number, start_balancer};
pub use site::{HotKey, NodeRestart, Site, MICROS_PER_SECOND};
