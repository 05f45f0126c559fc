//! A fleet that can be made to fail on purpose, the same way every time.
//!
//! [`emulators`] stand in for the cache servers, the origin, discovery and the clients around a node. They run over a
//! [`sloewick_node::transport::Transport`], on real sockets and on the virtual [`network`] alike. [`faults`] reads
//! scenarios and schedules their faults, [`virtual_fleet`] plays a scenario on virtual time, [`demo`] plays one with
//! real processes, and [`checker`] decides from the emulators' observations whether the rules held. `docs/rig.md`
//! explains how to use it.

pub mod checker;
pub mod commands;
#[allow(missing_docs)] // Not gone through yet.
pub mod demo;
#[allow(missing_docs)] // Not gone through yet.
pub mod emulators;
pub mod faults;
#[allow(missing_docs)] // Not gone through yet.
pub mod network;
#[allow(missing_docs)] // Not gone through yet.
pub mod port;
mod process_fleet;
pub mod protocol_options;
mod real_fleet;
#[allow(missing_docs)] // Not gone through yet.
pub mod report;
pub mod requirements;
pub mod restart_soak;
pub mod rng;
#[allow(missing_docs)] // Not gone through yet.
pub mod site;
#[allow(missing_docs)] // Not gone through yet.
pub mod virtual_fleet;
