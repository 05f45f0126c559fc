//! Upstream side: connections to cache servers. An attempt goes in, its outcome comes out as an event.

pub(crate) mod connection;
mod exchange;
pub(crate) mod pool;
pub(crate) mod probes;
pub(crate) mod request;
pub(crate) mod response;
pub(crate) mod response_reader;
