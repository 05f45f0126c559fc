//! Which server an address belongs to.
//!
//! Guards against a server that has died and whose address a new one took: the list goes on naming the dead
//! one for seconds, and all that is sent to it reaches its successor, cold and unknown. Of two servers in
//! service at one address the one that started later is there; the other counts as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sloewick_decision::api::{ServerId, ServerState};
use sloewick_decision::settings::RawEndpoint;

use crate::discovery::{Answer, Listed};

/// Who is at each address; as many as the list has entries.
#[derive(Default)]
pub struct Addresses {
    held: BTreeMap<SocketAddr, (ServerId, i64)>,
}

impl Addresses {
    /// Takes up a list, and turns into gone in it whatever has lost its address.
    pub fn settle(&mut self, answer: &mut Answer) {
        if answer.all {
            self.held.clear();
        }
        let mut lost: Vec<(ServerId, SocketAddr)> = Vec::new();
        for listed in &answer.targets {
            let (server, at) = (&listed.entry.server, listed.address);
            let holder = self.held.get(&at).cloned();
            match (listed.entry.state, holder) {
                (ServerState::Live, Some((other, boot)))
                    if other != *server && listed.boot_ms > boot =>
                {
                    lost.push((other, at));
                    self.held.insert(at, (server.clone(), listed.boot_ms));
                }
                (ServerState::Live, Some((other, boot)))
                    if other != *server && listed.boot_ms < boot =>
                {
                    lost.push((server.clone(), at));
                }
                // Equal starts tell nothing: both stay.
                (ServerState::Live, Some((other, _))) if other != *server => {}
                (ServerState::Live, _) => {
                    self.held.insert(at, (server.clone(), listed.boot_ms));
                }
                (_, Some((holder, _))) if holder == *server => {
                    self.held.remove(&at);
                }
                _ => {}
            }
        }
        for (server, address) in lost {
            let found = answer
                .targets
                .iter_mut()
                .find(|l| l.entry.server == server && l.address == address);
            match found {
                Some(listed) => listed.entry.state = ServerState::Removed,
                None => answer.targets.push(gone(server, address)),
            }
        }
        if answer.all {
            answer
                .targets
                .retain(|l| l.entry.state != ServerState::Removed);
        }
    }
}

fn gone(server: ServerId, address: SocketAddr) -> Listed {
    let state = ServerState::Removed;
    let entry = RawEndpoint {
        server,
        weight: 1.0,
        zone: None,
        kind: None,
        state,
        started: None,
        cell: None,
    };
    Listed {
        entry,
        address,
        boot_ms: 0,
    }
}

#[cfg(test)]
#[path = "address_table_tests.rs"]
mod tests;
