//! Codecs of the protocols that sloewick speaks: from bytes to typed messages and back.
//!
//! No sockets and no clock. Every reader is incremental and bounded by the constants beside it, and yields the same
//! messages however the bytes are split into reads. No input makes a reader panic.

pub mod http1;
pub mod memcached;
pub mod resp2;
pub mod site_link;
