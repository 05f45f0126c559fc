//! A testbed that runs a fleet of nodes under reproducible faults.
//!
//! [`emulators`] play the cache servers, the origin, discovery and the clients around the nodes. They use a
//! [`sloewick_node::transport::Transport`], so that they run on real sockets and on the virtual [`network`]. [`faults`]
//! reads scenarios and schedules their faults, [`virtual_fleet`] runs a scenario in virtual time, [`demo`] runs one with
//! real processes, and [`checker`] decides from the emulators' observations whether the nodes kept the rules.
//! `docs/rig.md` explains how to use it.

pub mod checker;
pub mod commands;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod demo;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod emulators;
pub mod faults;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod network;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod port;
mod process_fleet;
pub mod protocol_options;
mod real_fleet;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod report;
pub mod requirements;
pub mod restart_soak;
pub mod rng;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod site;
#[allow(missing_docs)] // Not all public items are documented yet.
pub mod virtual_fleet;
