//! The attempts that wait for a connection to their server, and which of them gets the next one.
//!
//! Guarantees: a connection that becomes idle goes to the client with the fewest open requests among those that wait for one to that
//! server, and to the longest waiting of several such clients. A client that has many requests open thus does not keep others from a
//! server whose connections are all in use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sloewick_decision::api::ServerId;

use crate::attempt_id::AttemptId;

/// The waiting attempts of a client, longest waiting first, each with its place in the order of all.
type ClientQueue = VecDeque<(u64, AttemptId)>;

/// The attempts that wait for connections, by server and by the key of the client's connection.
#[derive(Debug, Default)]
pub(crate) struct WaitingAttempts {
    servers: BTreeMap<ServerId, BTreeMap<usize, ClientQueue>>,
    members: BTreeSet<AttemptId>,
    /// Number of attempts that have been added.
    added: u64,
}

impl WaitingAttempts {
    /// Adds an attempt of a client, unless it waits already.
    pub(crate) fn add(&mut self, server: &ServerId, client: usize, attempt: AttemptId) {
        if !self.members.insert(attempt) {
            return;
        }
        self.added += 1;
        let clients = self.servers.entry(server.clone()).or_default();
        let queue = clients.entry(client).or_default();
        queue.push_back((self.added, attempt));
    }

    /// The servers for which attempts wait.
    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.servers.keys().cloned().collect()
    }

    /// Number of attempts that wait for a server.
    pub(crate) fn len(&self, server: &ServerId) -> usize {
        let clients = self.servers.get(server);
        clients.map_or(0, |clients| clients.values().map(VecDeque::len).sum())
    }

    /// Takes the attempt that gets the next connection to a server. `open_requests`: the number of open requests of a client.
    pub(crate) fn take_next(
        &mut self,
        server: &ServerId,
        open_requests: impl Fn(usize) -> usize,
    ) -> Option<AttemptId> {
        let clients = self.servers.get_mut(server)?;
        let heads = clients.iter().filter_map(|(client, queue)| {
            let (place, _) = queue.front()?;
            Some((open_requests(*client), *place, *client))
        });
        let (_, _, client) = heads.min()?;
        let (_, attempt) = clients.get_mut(&client)?.pop_front()?;
        self.members.remove(&attempt);
        clients.retain(|_, queue| !queue.is_empty());
        if clients.is_empty() {
            self.servers.remove(server);
        }
        Some(attempt)
    }

    /// Removes the attempts that no longer wait.
    pub(crate) fn retain(&mut self, is_waiting: impl Fn(AttemptId) -> bool) {
        self.members.retain(|attempt| is_waiting(*attempt));
        let members = &self.members;
        self.servers.retain(|_, clients| {
            clients.retain(|_, queue| {
                queue.retain(|(_, attempt)| members.contains(attempt));
                !queue.is_empty()
            });
            !clients.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "waiting_attempts_tests.rs"]
mod tests;
