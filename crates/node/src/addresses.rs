//! Which server an address belongs to.
//!
//! Guards against a server that has died and whose address a new one took: the list goes on naming the dead
//! one for seconds, and all that is sent to it reaches its successor, cold and unknown. Of two servers in
//! service at one address the one that started later is there; the other counts as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sloewick_decision::interface::{ServerId, ServerState};
use sloewick_decision::settings::RawEntry;

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
                (ServerState::Live, Some((other, boot))) if other != *server && listed.boot_ms > boot => {
                    lost.push((other, at));
                    self.held.insert(at, (server.clone(), listed.boot_ms));
                }
                (ServerState::Live, Some((other, boot))) if other != *server && listed.boot_ms < boot => {
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
            let found =
                answer.targets.iter_mut().find(|l| l.entry.server == server && l.address == address);
            match found {
                Some(listed) => listed.entry.state = ServerState::Gone,
                None => answer.targets.push(gone(server, address)),
            }
        }
        if answer.all {
            answer.targets.retain(|l| l.entry.state != ServerState::Gone);
        }
    }
}

fn gone(server: ServerId, address: SocketAddr) -> Listed {
    let state = ServerState::Gone;
    let entry = RawEntry { server, weight: 1.0, zone: None, kind: None, state, started: None, cell: None };
    Listed { entry, address, boot_ms: 0 }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ServerState::{Draining, Gone, Live};

    fn list(all: bool, entries: &[(&str, u16, ServerState, i64)]) -> Answer {
        let listed = |(server, port, state, boot_ms): &(&str, u16, ServerState, i64)| {
            let mut listed = gone((*server).into(), ([127, 0, 0, 1], *port).into());
            (listed.entry.state, listed.boot_ms) = (*state, *boot_ms);
            listed
        };
        Answer { rev: 1, all, targets: entries.iter().map(listed).collect() }
    }

    fn states(answer: &Answer) -> Vec<(String, ServerState)> {
        answer.targets.iter().map(|l| (l.entry.server.to_string(), l.entry.state)).collect()
    }

    fn settled(addresses: &mut Addresses, mut answer: Answer) -> Vec<(String, ServerState)> {
        addresses.settle(&mut answer);
        states(&answer)
    }

    #[test]
    fn the_later_start_has_the_address() {
        let mut a = Addresses::default();
        settled(&mut a, list(true, &[("old", 1, Live, 0), ("b", 2, Live, 0)]));
        let got = settled(&mut a, list(false, &[("new", 1, Live, 9)]));
        assert_eq!(got, [("new".to_string(), Live), ("old".to_string(), Gone)]);
        // The list goes on naming the dead one.
        assert_eq!(settled(&mut a, list(false, &[("old", 1, Live, 0)])), [("old".to_string(), Gone)]);
        let both = list(true, &[("old", 1, Live, 0), ("new", 1, Live, 9), ("b", 2, Live, 0)]);
        assert_eq!(settled(&mut a, both), [("new".to_string(), Live), ("b".to_string(), Live)]);
    }

    #[test]
    fn an_address_left_is_free_and_equal_starts_tell_nothing() {
        let mut a = Addresses::default();
        settled(&mut a, list(true, &[("a", 1, Live, 5)]));
        assert_eq!(settled(&mut a, list(false, &[("a", 1, Draining, 5)])), [("a".to_string(), Draining)]);
        assert_eq!(settled(&mut a, list(false, &[("b", 1, Live, 3)])), [("b".to_string(), Live)]);
        assert_eq!(settled(&mut a, list(false, &[("c", 1, Live, 3)])), [("c".to_string(), Live)]);
        // One server at one address, started again, loses nothing.
        assert_eq!(settled(&mut a, list(false, &[("b", 1, Live, 8)])), [("b".to_string(), Live)]);
    }
}
