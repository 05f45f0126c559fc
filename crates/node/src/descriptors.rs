//! Divides the file descriptors of the node's processes among their uses. Stateless.
//!
//! Guarantee: clients never hold a descriptor that is reserved for another use.

use crate::admin::server::MAX_ADMIN_CLIENTS;

/// Descriptors of the process itself: standard streams, poll, signals, listeners, files, and a small reserve.
const PROCESS_DESCRIPTORS: usize = 14;
/// Descriptors for requests to discovery: the current request, and one that replaces it.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Descriptors for clients without a slot: new clients that are rejected, and clients whose connection is closed with a
/// response, until they have read it. Each is held only briefly, so a few suffice for any number of new clients.
pub(crate) const REJECTED_CLIENT_DESCRIPTORS: usize = 8;
/// Descriptors for the admin listener and its clients.
const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CLIENTS + 1;
/// Number of processes that serve an inherited listener during an upgrade and together stay within the limits of one.
pub(crate) const PROCESSES_PER_INHERITED_LISTENER: usize = 2;
/// Percentage of the remaining descriptors that is for upstream connections. Client connections get the larger share because
/// they are mostly idle, whereas an upstream connection carries one attempt.
const UPSTREAM_PERCENT: usize = 40;

/// Numbers of descriptors for connections, without the reserved ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DescriptorShares {
    /// For connections of each process to cache servers.
    pub(crate) upstream: usize,
    /// For connections of clients with a slot, at all processes together.
    pub(crate) clients: usize,
}

impl DescriptorShares {
    /// Divides `descriptors`, the limit on the descriptors of so many processes together.
    pub(crate) fn divide(
        descriptors: usize,
        processes: usize,
        has_admin_listener: bool,
    ) -> DescriptorShares {
        let admin = if has_admin_listener {
            ADMIN_DESCRIPTORS
        } else {
            0
        };
        let reserved =
            PROCESS_DESCRIPTORS + DISCOVERY_DESCRIPTORS + REJECTED_CLIENT_DESCRIPTORS + admin;
        // Under a small limit several processes would have next to nothing left: then half of what a lone one has is used,
        // since the reserved descriptors are hardly all open at the same time.
        let least = (descriptors - reserved) / processes;
        let connections = descriptors.saturating_sub(processes * reserved).max(least);
        let upstream = connections * UPSTREAM_PERCENT / 100 / processes;
        DescriptorShares {
            upstream,
            clients: connections - processes * upstream,
        }
    }
}

#[cfg(test)]
#[path = "descriptors_tests.rs"]
mod tests;
