//! The running node: frontends, the request table, upstream pools, discovery and timers around the decision module.
//!
//! The decision module (`sloewick-decision`) makes all decisions and performs no I/O; this package performs the I/O and makes
//! no decisions. The [`Node`] is an event loop that passes events between components, each of which owns its state:
//!
//! - the request table is the only record of which client waits for which response;
//! - frontends parse requests and encode final responses;
//! - upstream pools perform attempts and report their outcomes;
//! - discovery, the admin interface, hot restart and the lifecycle each own their own state.
//!
//! Components do not refer to the event loop. A component that needs another one takes it as an argument.

pub mod config;
pub mod config_check;
pub mod discovery;
pub mod mio_transport;
mod slot_locks;
pub mod startup_retry;
pub mod transport;

mod address_table;
mod admin;
mod allocator;
mod attempt_id;
mod descriptors;
mod engine;
mod event_loop;
mod event_trace;
mod executed_ids;
mod frontend;
mod hot_restart;
mod id_journal;
mod io;
mod lifecycle;
mod list_exchange;
mod list_files;
mod memory;
mod metrics;
mod reload;
mod request_table;
#[cfg(test)]
mod test_support;
mod timers;
mod tokens;
mod transfer_progress;
mod upstream;

pub use engine::DecisionEngine;
pub use event_loop::Node;
pub use reload::ConfigSource;
