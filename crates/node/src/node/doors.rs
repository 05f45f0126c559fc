//! The doors: listeners for clients, who is let in, whose connection makes room for another one, and how the process's
//! descriptors are shared out.

use std::io::ErrorKind;

use sloewick_decision::interface::Micros;

use super::{client_token, Module, Node};
use crate::client::Client;
use crate::front::Protocol;
use crate::net::{out_of_sockets, Net, Stream, Token};
use crate::ops::CALLERS;

/// Descriptors for all but connections: poll, listener, signals, discovery, standard streams and some room.
const SOCKETS_KEPT: usize = 24;
/// Descriptors for the operators' listener and callers.
const SOCKETS_OPS: usize = CALLERS + 1;
/// An inherited listener is served by two processes during an upgrade, under the limits of one.
pub(super) const PROCESSES: usize = 2;
/// Part of the rest that upstream connections may take, in percent. A client's connection is mostly idle,
/// an upstream one carries one attempt.
const UPSTREAM_PART: usize = 40;
/// Connections accepted in one round, so that a flood of them leaves time for those that are there.
const ACCEPT_MOST: usize = 64;
/// What the kernel keeps for a client that does not read; by itself it would grow to megabytes for each.
const SEND_BUFFER: usize = 128 << 10;

/// What the limit on descriptors leaves for connections.
pub(super) struct Shares {
    pub(super) upstream: usize,
    pub(super) clients: usize,
}

impl Shares {
    /// `ops`: operators call, too.
    pub(super) fn of(sockets: usize, ops: bool) -> Shares {
        let kept = SOCKETS_KEPT + if ops { SOCKETS_OPS } else { 0 };
        let connections = sockets - kept;
        let upstream = connections * UPSTREAM_PART / 100;
        Shares { upstream, clients: connections - upstream }
    }
}

/// A listener and what is spoken there.
pub(super) struct Door<L> {
    pub(super) listener: L,
    pub(super) token: Token,
    /// The platform holds the socket; another process may accept from it.
    pub(super) inherited: bool,
    pub(super) protocol: Protocol,
    /// Connections may wait.
    pub(super) more: bool,
}

impl<N: Net, M: Module> Node<N, M> {
    pub(super) fn accept(&mut self) {
        for at in 0..self.doors.len() {
            self.accept_at(at);
        }
    }

    fn accept_at(&mut self, at: usize) {
        let mut accepted = 0;
        while self.doors[at].more && accepted < ACCEPT_MOST {
            if self.clients.len() >= self.clients_most && !self.evict_client() {
                return;
            }
            let door = &mut self.doors[at];
            let (key, protocol) = (self.clients.vacant_key(), door.protocol);
            match self.net.accept(&mut door.listener, client_token(key)) {
                Ok(mut stream) => {
                    stream.bound_sending(SEND_BUFFER);
                    self.serial += 1;
                    let value_most = self.memcached.as_ref().map_or(0, |m| m.file.value_most);
                    let client = Client::new(stream, self.serial, self.now(), protocol, value_most);
                    self.clients.insert(client);
                    accepted += 1;
                    self.mark(key);
                    self.read(key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.doors[at].more = false,
                // Guards against a lack of descriptors: with an edge-triggered poll nobody would say again
                // that connections wait, so they are asked for again in the next round, at the latest with
                // the next sweep. An idle upstream connection makes room for one.
                Err(e) if out_of_sockets(&e) => {
                    if !self.upstreams.make_room() {
                        return;
                    }
                }
                // The client has gone while it waited.
                Err(_) => accepted += 1,
            }
        }
    }

    /// Closes the client's connection that has been idle the longest, and on which nothing waits to be read.
    fn evict_client(&mut self) -> bool {
        let mut idle: Vec<(Micros, usize)> =
            self.clients.iter().filter(|(_, c)| c.idle()).map(|(key, c)| (c.active, key)).collect();
        idle.sort_unstable();
        let Some((_, key)) = idle.into_iter().find(|(_, key)| self.clients[*key].quiet()) else {
            return false;
        };
        self.drop_client(key);
        true
    }
}
