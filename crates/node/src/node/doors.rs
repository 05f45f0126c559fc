//! The doors: listeners for clients, who is let in, whose connection makes room for another one, and how the process's
//! descriptors are shared out.
//!
//! Guaranteed: clients never hold a descriptor that is kept for something else; a new client's request finds one as long as
//! any client rests or dawdles, and else is refused with an answer; a connection on which bytes wait unread is never ended
//! to make room.

use std::io::ErrorKind;

use bytes::Bytes;
use sloewick_decision::api::Micros;

use super::{client_token, DecisionEngine, Node};
use crate::admin::CALLERS;
use crate::client::{Client, Slot};
use crate::front::{Asked, Final, Protocol};
use crate::transport::{is_descriptor_limit, Stream, Token, Transport};

/// Descriptors of the process itself: standard streams, poll, signals, listeners, files that are read or kept, and some room.
const SOCKETS_PROCESS: usize = 14;
/// For calls to discovery: one at a time, and one that takes its place.
const SOCKETS_DISCOVERY: usize = 2;
/// For clients beyond the places: new ones that are refused, and those that were ended with an answer, until they have read
/// it. Nobody holds one for long, so that a few do for any number of newcomers.
const SOCKETS_REFUSED: usize = 8;
/// Descriptors for the operators' listener and callers.
const SOCKETS_OPS: usize = CALLERS + 1;
/// An inherited listener is served by two processes during an upgrade, under the limits of one.
pub(super) const PROCESSES: usize = 2;
/// Part of the rest that upstream connections may take, in percent. A client's connection is mostly idle,
/// an upstream one carries one attempt.
const UPSTREAM_PART: usize = 40;
/// Connections accepted in one round, so that a flood of them leaves time for those that are there.
const ACCEPT_MOST: usize = 64;
/// A new client's first bytes come right behind its handshake: so long they may be on their way, and it is not ended for
/// others.
const FIRST_BYTES: Micros = 100_000;
/// And so long a command may be half there before its client is ended for others. Without others it has longer.
const HALF_COMMAND: Micros = 250_000;
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
        let kept = SOCKETS_PROCESS
            + SOCKETS_DISCOVERY
            + SOCKETS_REFUSED
            + if ops { SOCKETS_OPS } else { 0 };
        let connections = sockets - kept;
        let upstream = connections * UPSTREAM_PART / 100;
        Shares {
            upstream,
            clients: connections - upstream,
        }
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

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn accept(&mut self) {
        for at in 0..self.doors.len() {
            self.accept_at(at);
        }
    }

    pub(super) fn accept_at(&mut self, at: usize) {
        let mut accepted = 0;
        while self.doors[at].more && accepted < ACCEPT_MOST {
            let Some(placed) = self.room(self.now()) else {
                return;
            };
            let door = &mut self.doors[at];
            let (key, protocol) = (self.clients.vacant_key(), door.protocol);
            match self.net.accept(&mut door.listener, client_token(key)) {
                Ok(mut stream) => {
                    stream.bound_sending(SEND_BUFFER);
                    self.serial += 1;
                    let value_most = self
                        .memcached
                        .as_ref()
                        .map_or(0, |m| m.file.max_value_bytes);
                    let mut client =
                        Client::new(stream, self.serial, self.now(), protocol, value_most);
                    client.placed = placed;
                    self.clients.insert(client);
                    accepted += 1;
                    self.mark(key);
                    self.read(key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.doors[at].more = false,
                // Guards against a lack of descriptors: with an edge-triggered poll nobody would say again
                // that connections wait, so they are asked for again in the next round, at the latest with
                // the next sweep. An idle upstream connection makes room for one.
                Err(e) if is_descriptor_limit(&e) => {
                    if !self.upstreams.make_room() {
                        return;
                    }
                }
                // The client has gone while it waited.
                Err(_) => accepted += 1,
            }
        }
    }

    /// Whether one more connection can be let in, and whether it gets a place. Without one its commands are refused.
    fn room(&mut self, now: Micros) -> Option<bool> {
        if self.clients.len() < self.clients_most {
            return Some(true);
        }
        let placed = self.place(now);
        let room = self.clients.len() < self.clients_most + SOCKETS_REFUSED || self.clear(now);
        room.then_some(placed)
    }

    /// Whether a place is free, or can be made so.
    fn place(&mut self, now: Micros) -> bool {
        let taken = self.clients.iter().filter(|(_, c)| c.placed).count();
        taken < self.clients_most || self.evict_client(now)
    }

    /// Whether a client has a place, by now.
    pub(super) fn has_place(&mut self, key: usize, now: Micros) -> bool {
        if self.clients.get(key).is_none_or(|c| c.placed) {
            return true;
        }
        let placed = self.place(now);
        if let Some(client) = self.clients.get_mut(key) {
            client.placed = placed;
        }
        placed
    }

    /// Ends the connection of a client that has no place, behind the answers to all that it has asked.
    pub(super) fn end_refused(&mut self, key: usize, now: Micros) {
        let refused = |c: &Client<N::Stream>| !c.placed && c.times().1.is_some() && c.quiet();
        if !self.clients.get(key).is_some_and(refused) || self.has_place(key, now) {
            return;
        }
        if let Some(client) = self.clients.get_mut(key) {
            client.close_after_answers();
            self.mark(key);
        }
    }

    /// Makes a place free: of those to which nothing is owed, whoever has gone longest without a whole command leaves.
    fn evict_client(&mut self, now: Micros) -> bool {
        let Some(key) = self.longest_resting(true, now) else {
            return false;
        };
        let client = &self.clients[key];
        if client.lingering() || client.half_since().is_none() && client.times().1.is_some() {
            // It has had its answers; what it asks next it asks on a new connection.
            self.drop_client(key);
        } else {
            self.shed(key);
        }
        true
    }

    /// Makes a descriptor free that is held without a place.
    fn clear(&mut self, now: Micros) -> bool {
        let Some(key) = self.longest_resting(false, now) else {
            return false;
        };
        if !self.clients[key].lingering() {
            self.shed(key);
            let client = &mut self.clients[key];
            client.advance();
            // Broken or not, it is dropped.
            let _ = client.flush(now);
            client.finish(now);
        }
        self.drop_client(key);
        true
    }

    /// Of the clients with a place, or of those without, to which nothing is owed and of which nothing waits in the kernel:
    /// one that was told of its end, else the one longest without a whole command.
    fn longest_resting(&self, placed: bool, now: Micros) -> Option<usize> {
        let since = |c: &Client<N::Stream>| {
            let (came, asked) = c.times();
            match c.half_since() {
                _ if c.lingering() => Some((false, came)),
                Some(since) => {
                    (c.owed() == 0 && now - since >= HALF_COMMAND).then_some((true, since))
                }
                None if !c.idle() || asked.is_none() && now - came < FIRST_BYTES => None,
                None => Some((true, c.active)),
            }
        };
        let all = self.clients.iter().filter(|(_, c)| c.placed == placed);
        let mut resting: Vec<_> = all.filter_map(|(key, c)| Some((since(c)?, key))).collect();
        resting.sort_unstable();
        resting
            .into_iter()
            .map(|(_, key)| key)
            .find(|key| self.clients[*key].stream.quiet())
    }

    /// Ends a client's connection by a refusal, which answers what it has not finished to write or is just writing.
    fn shed(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.placed = false;
        if client.protocol() == Protocol::Resp {
            client.push(Slot::ReadyEvent(
                Asked::Resp.answer(&Bytes::new(), Final::Busy(0)),
            ));
        }
        client.close_after_answers();
        self.mark(key);
    }
}
