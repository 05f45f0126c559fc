//! Which server an address belongs to.
//!
//! Guards against a server that has died and whose address a new one has taken: the endpoint list goes on naming the dead one
//! for seconds, and its requests would reach its successor, whose cache is empty and which is not known. Of two live servers
//! at one address the one that started later owns it; the other counts as removed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sloewick_decision::api::{ServerId, ServerState};
use sloewick_decision::settings::RawEndpoint;

use crate::discovery::endpoints::{EndpointList, ListedEndpoint};

/// The server at an address.
#[derive(Clone)]
struct Owner {
    server: ServerId,
    boot_ms: i64,
}

/// The owner of each address; as many as the endpoint list has entries.
#[derive(Default)]
pub(crate) struct AddressTable {
    owners: BTreeMap<SocketAddr, Owner>,
}

impl AddressTable {
    /// Applies a list, and marks as removed in it each server that has lost its address.
    pub(crate) fn apply(&mut self, list: &mut EndpointList) {
        if list.all {
            self.owners.clear();
        }
        let displaced: Vec<(ServerId, SocketAddr)> = list
            .targets
            .iter()
            .filter_map(|listed| Some((self.apply_entry(listed)?, listed.address)))
            .collect();
        for (server, address) in displaced {
            let entry = list
                .targets
                .iter_mut()
                .find(|l| l.entry.server == server && l.address == address);
            match entry {
                Some(listed) => listed.entry.state = ServerState::Removed,
                None => list.targets.push(removed_endpoint(server, address)),
            }
        }
        if list.all {
            list.targets
                .retain(|l| l.entry.state != ServerState::Removed);
        }
    }

    /// Applies one entry, and returns the server that has lost its address by it.
    fn apply_entry(&mut self, listed: &ListedEndpoint) -> Option<ServerId> {
        let server = &listed.entry.server;
        let new_owner = Owner {
            server: server.clone(),
            boot_ms: listed.boot_ms,
        };
        let owner = self.owners.get(&listed.address).cloned();
        if listed.entry.state != ServerState::Live {
            if owner.is_some_and(|owner| owner.server == *server) {
                self.owners.remove(&listed.address);
            }
            return None;
        }
        match owner.filter(|owner| owner.server != *server) {
            None => {
                self.owners.insert(listed.address, new_owner);
                None
            }
            Some(other) if listed.boot_ms > other.boot_ms => {
                self.owners.insert(listed.address, new_owner);
                Some(other.server)
            }
            Some(other) if listed.boot_ms < other.boot_ms => Some(server.clone()),
            // Equal starts decide nothing: both stay.
            Some(_) => None,
        }
    }
}

fn removed_endpoint(server: ServerId, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        entry: RawEndpoint {
            server,
            weight: 1.0,
            zone: None,
            kind: None,
            state: ServerState::Removed,
            started: None,
            cell: None,
        },
        address,
        boot_ms: 0,
    }
}

#[cfg(test)]
#[path = "address_table_tests.rs"]
mod tests;
