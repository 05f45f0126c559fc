//! A model of the fleet that sloewick balances: many nodes, each with its own [`Balancer`](sloewick_decision::Balancer), cache
//! servers with one core each, and the origin that all of them share. It exchanges events instead of bytes, runs on virtual
//! time and draws everything from a seed, so that the same seed gives the same run. It evaluates decisions at sizes that
//! sockets do not reach; what it finds is confirmed on sockets.
//!
//! Modelled: queues and work at servers, handshakes, fetches with a timeout that are cancelled or completed after the client
//! has disconnected, fetch slots, an origin that answers in order and completes work that no client awaits, writes that
//! invalidate cached copies, clients that retry.
//!
//! Not modelled: discovery, zones, connection limits, bytes.
//!
//! - [`site`](Site): the sizes of a fleet and the faults of a run;
//! - [`node`](start_balancer): balancers of the nodes, and names of servers;
//! - `server`: queue, core, cache and connections of a cache server;
//! - `attempt`: copies of a request at servers, and requests without a final response;
//! - `event_queue`: events in order of their time;
//! - [`model`](Model): the run itself.

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
