//! A fleet that can be made to fail on purpose, the same way every time.
//!
//! Stand-ins (cache box, origin, discovery, clients) serve over a [`sloewick_node::transport::Transport`], on real sockets
//! and on the virtual network alike. [`fleet`] plays a scenario on virtual time; [`judge`] says from what passed
//! whether the rules were kept. `docs/rig.md` tells how to use it.

pub mod cachebox;
pub mod clients;
pub mod demo;
pub mod director;
pub mod discovery;
pub mod facts;
pub mod fleet;
pub mod hosts;
pub mod idle;
pub mod judge;
pub mod orders;
pub mod origin;
pub mod port;
mod process;
pub mod report;
pub mod rng;
pub mod scenario;
pub mod site;
pub mod vnet;
