//! Connections to cache servers: connection pools, encoding of requests and decoding of responses.
//!
//! The event loop starts attempts and probe requests here and receives their outcomes as events.

pub(crate) mod connection;
mod exchange;
mod expiry;
pub(crate) mod long_values;
pub(crate) mod memory;
pub(crate) mod pool;
pub(crate) mod probes;
pub(crate) mod request;
mod reservation;
pub(crate) mod response;
pub(crate) mod response_reader;
mod servers;
pub(crate) mod waiting_attempts;
