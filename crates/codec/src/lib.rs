//! What sloewick speaks, from bytes to typed messages and back. No sockets, no clock; every reader is
//! incremental and bounded by the constants beside it, and gives the same messages however bytes are cut.

pub mod http1;
pub mod memcached;
pub mod resp2;
pub mod site_link;
