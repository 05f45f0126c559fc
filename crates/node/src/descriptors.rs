//! How the process's file descriptors are divided. No state.
//!
//! Guarantee: clients never hold a descriptor that is reserved for something else.

use crate::admin::server::MAX_ADMIN_CLIENTS;

/// Descriptors of the process itself: standard streams, poll, signals, listeners, files, and a few to spare.
const PROCESS_DESCRIPTORS: usize = 14;
/// For requests to discovery: one at a time, and one that replaces it.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// For clients without a slot: new ones that are rejected, and those that were closed with a response, until they have read
/// it. None holds one for long, so that a few serve any number of newcomers.
pub(crate) const REJECTED_CLIENT_DESCRIPTORS: usize = 8;
/// For the admin listener and its clients.
const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CLIENTS + 1;
/// Processes that serve an inherited listener during an upgrade, under the limits of one.
pub(crate) const PROCESSES_PER_INHERITED_LISTENER: usize = 2;
/// The share of upstream connections in the remaining descriptors, in percent. A client's connection is mostly idle, an
/// upstream connection carries one attempt.
const UPSTREAM_PERCENT: usize = 40;

/// How the descriptors that remain for connections are divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DescriptorShares {
    pub(crate) upstream: usize,
    pub(crate) clients: usize,
}

impl DescriptorShares {
    /// Divides `descriptors`, the limit of the process.
    pub(crate) fn of(descriptors: usize, has_admin_listener: bool) -> DescriptorShares {
        let admin = if has_admin_listener {
            ADMIN_DESCRIPTORS
        } else {
            0
        };
        let reserved =
            PROCESS_DESCRIPTORS + DISCOVERY_DESCRIPTORS + REJECTED_CLIENT_DESCRIPTORS + admin;
        let connections = descriptors - reserved;
        let upstream = connections * UPSTREAM_PERCENT / 100;
        DescriptorShares {
            upstream,
            clients: connections - upstream,
        }
    }
}

#[cfg(test)]
#[path = "descriptors_tests.rs"]
mod tests;
