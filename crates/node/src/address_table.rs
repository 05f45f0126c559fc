//! Maps each address to the server that owns it.
//!
//! Guards against reused addresses: when a server has died and a new one has taken its address, the endpoint list still names
//! the dead server for seconds. Requests for the dead server would reach the new one, whose cache is empty and which the node
//! does not know yet. Of two live servers at one address, the one that started later owns it; the other is treated as removed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sloewick_decision::api::{ServerId, ServerState};
use sloewick_decision::settings::RawEndpoint;

use crate::discovery::endpoints::{EndpointList, ListedEndpoint};

/// The server that owns an address.
#[derive(Clone)]
struct Owner {
    server: ServerId,
    /// Unix time of the server's last start in milliseconds; 0: long ago.
    boot_ms: i64,
}

/// The owner of each address. The number of entries in the endpoint list bounds its size.
#[derive(Default)]
pub(crate) struct AddressTable {
    owners: BTreeMap<SocketAddr, Owner>,
}

impl AddressTable {
    /// Applies a list, and marks each server in it that has lost its address as removed. A full list omits removed servers
    /// instead.
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

    /// Applies one entry. Returns the server that loses the entry's address to another one, if there is one.
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
            // Equal start times do not show which server is newer: neither is removed.
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
