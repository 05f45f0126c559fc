//! Emulators of everything that a node talks to.
//!
//! Each emulator owns its connections and timers through a [`crate::port::Port`], takes commands from the fault
//! scheduler and reports its observations to the checker.

pub mod cache_server;
pub mod clients;
pub mod discovery;
pub mod idle_clients;
pub mod misbehaving_clients;
pub mod origin;
pub mod persistent_clients;
