//! Clients that have disconnected: nothing is sent on for them.
//!
//! Guaranteed: no attempt, first or further, begins for a client whose end has been known for [`HALF_CLOSED_MOST`], and
//! before one begins all sockets have been asked for news within the last [`LOOK`]. So however long a round lasts, and
//! however many commands lie in the kernel before the end, an attempt begins well within the 0.1 s that a client which has
//! closed may be sent on for; what the system takes between the look and the write is all that comes on top.

use std::collections::BTreeMap;

use sloewick_decision::api::{Event, Micros, Status};

use super::{DecisionEngine, Node, DISCOVERY, FIRST};
use crate::client::{Client, HALF_CLOSED_MOST};
use crate::timers::Due;
use crate::transport::{ReadyEvent, Token, Transport};

/// How old the last look at the sockets may be when an attempt begins: a twentieth of the 0.1 s, and a poll each 5 ms of
/// work costs next to nothing.
const LOOK: Micros = 5_000;
/// A poll that brings so many events may have left some in the kernel: it takes hundreds at most.
const MANY: usize = 64;
/// Polls of one look; together they bring more events than there are descriptors on most nodes. What is left is met by the
/// next look, before the next attempt.
const POLLS_MOST: usize = 16;

/// What is known of the sockets, and since when.
#[derive(Default)]
pub(super) struct Sight {
    /// What a poll brings next has come since.
    from: Micros,
    /// What the last round's poll brought has come since.
    since: Micros,
    /// When there was last nothing left to do.
    rested: Micros,
    /// A connection that is accepted now has come since.
    queued: Micros,
    /// Clients up to this serial were there at the last look.
    seen: u64,
    /// News that a look met, for the next round; of each socket (and client) one, which bounds it.
    held: BTreeMap<(Token, u64), ReadyEvent>,
}

impl Sight {
    /// There is nothing left to do; until when nothing will be.
    pub(super) fn rests(&mut self, now: Micros, due: Micros) -> Micros {
        self.rested = now;
        if self.held.is_empty() {
            due
        } else {
            0
        }
    }

    pub(super) fn since(&self) -> Micros {
        self.since
    }
}

/// The longest wait for news while a request is open. Guards against a process that is stopped while it waits: how old the
/// news is shows only from the end of the wait on.
pub(super) const WAIT_OPEN: Micros = HALF_CLOSED_MOST;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Waits so long for news; what looks have met already comes first.
    pub(super) fn poll(
        &mut self,
        ready: &mut Vec<ReadyEvent>,
        wait: Micros,
    ) -> std::io::Result<()> {
        let held = std::mem::take(&mut self.sight.held);
        let wake = self.now() + if held.is_empty() { wait } else { 0 };
        let wait = wake - self.now();
        self.net.poll(ready, wait.max(0))?;
        let now = self.now();
        // Guards against a process that was not let run, and against a long round: what has come at once may have come
        // while the round before was at work.
        let sight = &mut self.sight;
        let waited = now - sight.rested >= LOOK;
        sight.since = if waited {
            now.min(wake).max(sight.rested)
        } else {
            sight.from
        };
        // A wait that a signal ended brings nothing, whatever has come: a process that stood still goes on with one.
        let all = !ready.is_empty() && ready.len() < MANY;
        sight.from = if all { now } else { sight.since };
        sight.seen = self.serial;
        if !self.doors.iter().any(|door| door.more) {
            sight.queued = sight.since;
        }
        for ((token, serial), event) in held {
            if self.serial_at(token) == serial {
                self.ready(&event);
            }
        }
        Ok(())
    }

    /// The serial of the client that a token stands for; 0 for all others.
    fn serial_at(&self, token: Token) -> u64 {
        self.client_at(token)
            .and_then(|key| self.clients.get(key))
            .map_or(0, |client| client.serial)
    }

    fn client_at(&self, token: Token) -> Option<usize> {
        (token >= FIRST && (token - FIRST).is_multiple_of(2)).then(|| (token - FIRST) / 2)
    }

    /// Asks all sockets for news in the middle of a round: ends of clients are known from now on, all else is kept for the
    /// next round.
    fn look(&mut self) {
        let mut ready = Vec::new();
        for _ in 0..POLLS_MOST {
            let now = self.now();
            // If the system cannot be asked, the next round says so.
            if self.net.poll(&mut ready, 0).is_err() || ready.is_empty() {
                (self.sight.from, self.sight.seen) = (now, self.serial);
                return;
            }
            for event in &ready {
                self.met(event);
            }
        }
    }

    fn met(&mut self, event: &ReadyEvent) {
        // Not kept: the call that it belongs to may be another one by the next round.
        if event.token == DISCOVERY {
            return self.ready(event);
        }
        let (from, queued, seen) = (self.sight.from, self.sight.queued, self.sight.seen);
        if let Some(client) = self
            .client_at(event.token)
            .and_then(|key| self.clients.get_mut(key))
        {
            if event.read_closed {
                let since = if client.serial > seen { queued } else { from };
                // Behind a reset nobody listens.
                client.ends(if event.error {
                    since - HALF_CLOSED_MOST
                } else {
                    since
                });
            }
        }
        let held = self
            .sight
            .held
            .entry((event.token, self.serial_at(event.token)))
            .or_insert(*event);
        held.readable |= event.readable;
        held.writable |= event.writable;
        held.read_closed |= event.read_closed;
        held.error |= event.error;
    }

    /// Whether an attempt for this client may begin now.
    pub(super) fn hears(&mut self, client: usize, serial: u64) -> bool {
        if serial > self.sight.seen || self.now() - self.sight.from >= LOOK {
            self.look();
        }
        let now = self.now();
        self.clients
            .get(client)
            .is_some_and(|c| c.serial == serial && !c.abandoned(now))
    }

    /// A client's end has become known, if it has: what waits for it goes a little later.
    pub(super) fn watch_end(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if let Some(since) = client.newly_ended() {
            let serial = client.serial;
            self.timers.set(
                since + HALF_CLOSED_MOST,
                Due::Left {
                    client: key,
                    serial,
                },
            );
        }
    }

    /// A client has ended its sending some time ago, or has gone: what was not sent for it is answered at once. One that
    /// still listens has its final answer by that; the write shows whether anyone is there.
    pub(super) fn abandon(&mut self, client: usize) {
        let waiting = self
            .clients
            .get(client)
            .map(Client::waiting)
            .unwrap_or_default();
        waiting
            .into_iter()
            .for_each(|request| self.no_more(request));
    }

    /// Nothing more is sent for a request; what is out may still answer it.
    pub(super) fn no_more(&mut self, key: usize) {
        let Some(open) = self
            .open
            .get_mut(key)
            .filter(|o| !o.closed && o.stream.is_none())
        else {
            return;
        };
        if std::mem::replace(&mut open.no_more, true) {
            return;
        }
        // Before the outcomes: the module must not send it to another server for them.
        self.queue.push_back(Event::StopAttempts(open.id.clone()));
        self.unsend(key);
    }

    /// Gives up the attempts of a request of which nothing has been written.
    pub(super) fn unsend(&mut self, key: usize) {
        let attempts = self.open.get(key).map_or(0, |open| open.attempts.len());
        for attempt in 0..attempts {
            let conn = self
                .open
                .get(key)
                .and_then(|open| open.attempts[attempt].conn);
            if conn.is_some_and(|conn| self.upstreams.waits(conn)) {
                self.give_up(key, attempt, Status::NotSent);
            }
        }
    }
}

#[cfg(test)]
#[path = "disconnects_tests.rs"]
mod tests;
