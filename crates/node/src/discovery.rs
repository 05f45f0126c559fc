//! The node's discovery client: requests the endpoint list, and records the servers' addresses and start times.

pub(crate) mod client;
pub mod endpoints;
pub(crate) mod list_replica;
pub(crate) mod request;
pub(crate) mod schedule;
pub(crate) mod server_starts;

use crate::address_table::AddressTable;
use client::DiscoveryClient;
use server_starts::ServerStartTimes;

/// The discovery client, and the addresses and start times of the servers in the endpoint list.
pub(crate) struct Discovery<S> {
    pub(crate) client: DiscoveryClient<S>,
    /// Bytes that are charged for the response in progress.
    pub(crate) charged: usize,
    pub(crate) addresses: AddressTable,
    pub(crate) start_times: ServerStartTimes,
}
