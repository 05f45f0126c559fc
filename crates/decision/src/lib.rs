//! The decisions of a gateway node: which cache server gets each request, when to retry, when to hedge, when to
//! reject. No I/O and no clock: events go in, actions come out, time is an argument.
//!
//! [`api`] holds the interface, [`balancer`] the decisions, [`outlier_detection`] finds servers that fail by themselves,
//! [`balancer::checkpoint`] is what the next process of a node takes over, [`settings`] reads the settings.

pub mod api;
pub mod balancer;
pub mod hash;
mod latency;
mod origin_health;
pub mod outlier_detection;
pub mod rng;
pub mod settings;
mod slow_start;
mod tenant_quota;
mod zone_health;

pub use api::{Action, Event, InvalidSettings, Settings};
pub use balancer::checkpoint::Checkpoint;
pub use balancer::Balancer;
