//! The decisions of a gateway node: which cache server gets each request, when to retry, when to hedge, when
//! to reject.
//!
//! The crate does no I/O and reads no clock: events go in, actions come out, time is an argument. The same
//! events at the same times produce the same actions, in a node, in a simulator and in a test.
//!
//! [`api`] defines the interface, and [`balancer`] dispatches events to one module for each concern.
//! [`outlier_detection`] finds servers that fail on their own, [`checkpoint`] is the state that the next
//! process of a node takes over, and [`settings`] parses the settings. [`hash`] contains the hash functions
//! that all nodes agree on, [`rng`] the seeded random generator.

// Unit tests include `tests/support/settings.rs`, which refers to this crate by its name.
#[cfg(test)]
extern crate self as sloewick_decision;

mod admission;
pub mod api;
pub mod balancer;
pub mod checkpoint;
mod deduplication;
mod failure_fractions;
pub mod hash;
mod hot_keys;
mod in_flight;
mod latency;
mod membership;
mod origin_health;
pub mod outlier_detection;
mod partition;
mod process_identity;
mod recently_served;
mod retry;
pub mod rng;
mod selection;
mod server_health;
pub mod settings;
mod settings_validation;
mod slow_start;
mod status;
mod tenant_quota;
#[cfg(test)]
mod test_support;
mod timer_token;
mod zone_health;

pub use api::{Action, Event, InvalidSettings, Settings};
pub use balancer::Balancer;
pub use checkpoint::Checkpoint;
