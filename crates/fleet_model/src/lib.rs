//! A model of what sloewick balances: many nodes, each with its own decision module, cache servers with one core each,
//! and the origin that all of them share. Events instead of bytes, one queue of them, virtual time, everything from a seed.
//! It serves to try decisions at sizes that sockets don't reach; what it finds is shown again on sockets.
//!
//! What is modelled: queues and work at servers, handshakes, fetches with a time limit that are dropped or kept when
//! nobody waits, places for fetches, an origin that answers in order and goes on with what nobody waits for, writes that void kept
//! copies, clients that come again. What is not: discovery, zones, connection limits, bytes.

mod model;

pub use model::{Arm, Model, Second, Site};
