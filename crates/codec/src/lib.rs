//! Codecs of the protocols of sloewick: they decode bytes into typed messages and encode messages into bytes.
//!
//! The codecs use no sockets and read no clock. Every reader is incremental, its input is bounded by the constants of its
//! module, and the messages that it returns do not depend on how the bytes are split into reads. Readers do not panic on
//! any input.

pub mod http1;
pub mod memcached;
mod partial_bytes;
pub mod resp2;
pub mod site_link;
