//! Claims: they ensure that a write with an idempotency key does not run at both sites, whichever nodes its retries reach.
//!
//! One node of the far site is the arbiter of a key ([`select_arbiter`]). It runs the writes of that key that cross the
//! link and remembers them. A near node that gets a retry of a write it does not know claims the key from the arbiter
//! before it does anything.
//!
//! For writes that clients retry no longer than [`ArbiterLimits::max_retry_duration`], it is guaranteed that
//!
//! - after [`Claim::Granted`], nothing of the key runs through the arbiter while a message of the write can be under way;
//! - after a run that may have begun, no claim of the key is granted.
//!
//! An [`Arbiter`] holds the ledger of the writes that crossed and at most [`ArbiterLimits::max_reservations`] keys
//! reserved for the near site.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use sloewick_decision::api::Micros;
use sloewick_decision::hash::{fnv1a, mix};
use sloewick_memcached::idempotency_ledger::{
    IdempotencyKey, IdempotencyLedger, LedgerLimits, RecordedWrite, Verdict,
};

/// Bounds and durations of an arbiter.
#[derive(Clone, Copy, Debug)]
pub struct ArbiterLimits {
    /// How long a client retries a write, from its first attempt, in microseconds.
    pub max_retry_duration: Micros,
    /// How long a message may be under way before it is rejected: the time to live of a lease, in microseconds.
    pub lease_ttl: Micros,
    /// Maximum number of keys reserved for the near site at once.
    pub max_reservations: usize,
    /// The limits of the ledger of writes that crossed.
    pub ledger: LedgerLimits,
}

/// The response to a near node that claims the key of a retried write.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Nothing of the write has run at the far site, nor will: it may run at the near site.
    Granted,
    /// The write has been served at the far site, with this receipt.
    Served(Bytes),
    /// The write may have run at the far site and must not run at the near one. It may cross again, since the far site
    /// deduplicates it, or it fails.
    MayHaveRun,
    /// The arbiter cannot know: it started, or the set of arbiters changed, too recently, or it has no capacity.
    Undecided,
}

/// What an arbiter does with a write that has crossed.
#[derive(Clone, Debug, PartialEq)]
pub enum RunVerdict {
    /// Run it.
    Run,
    /// Run it again: if it has run, the cache servers deduplicate it.
    Repeat {
        /// When it must have been sent, on the clock of the arbiter.
        until: Micros,
    },
    /// It has been served, with this receipt.
    Served(Bytes),
    /// It may have run, and the cache servers may no longer deduplicate it.
    Unknown,
    /// It is reserved for the near site, in flight here, or the ledger is full: nothing of this attempt runs.
    Reject,
}

/// An arbiter.
#[derive(Debug)]
pub struct Arbiter {
    limits: ArbiterLimits,
    /// Since when it has seen all writes of its keys that cross.
    responsible_since: Micros,
    ledger: IdempotencyLedger,
    /// Until when each key is reserved for the near site.
    reservations: HashMap<IdempotencyKey, Micros>,
    /// Ends of reservations in chronological order; a key that was claimed several times appears as often.
    reservation_ends: VecDeque<(Micros, IdempotencyKey)>,
}

impl Arbiter {
    /// An arbiter that starts now.
    pub fn new(now: Micros, limits: ArbiterLimits) -> Arbiter {
        Arbiter {
            limits,
            responsible_since: now,
            ledger: IdempotencyLedger::new(limits.ledger),
            reservations: HashMap::new(),
            reservation_ends: VecDeque::new(),
        }
    }

    /// The set of arbiters has changed: some keys had another arbiter until now.
    pub fn arbiters_changed(&mut self, now: Micros) {
        self.responsible_since = now;
    }

    /// The longest time between a write's first attempt and the delivery of its last message.
    fn max_write_duration(&self) -> Micros {
        self.limits.max_retry_duration + self.limits.lease_ttl
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some((until, key)) = self
            .reservation_ends
            .front()
            .filter(|(until, _)| *until <= now)
        {
            if self
                .reservations
                .get(key)
                .is_some_and(|until| *until <= now)
            {
                self.reservations.remove(key);
            }
            debug_assert!(*until <= now);
            self.reservation_ends.pop_front();
        }
    }

    /// Claims a key for a near node that has a retry of a write it does not know.
    pub fn claim(&mut self, now: Micros, key: &IdempotencyKey) -> Claim {
        self.remove_expired(now);
        match self.ledger.recorded(key) {
            Some(RecordedWrite::Served(receipt)) => return Claim::Served(receipt),
            Some(RecordedWrite::MayHaveRun) => return Claim::MayHaveRun,
            None => {}
        }
        // Several near nodes may hold the claim of one key: the write runs at their site.
        if !self.reservations.contains_key(key) && !self.can_reserve(now) {
            return Claim::Undecided;
        }
        self.reserve(now, key);
        Claim::Granted
    }

    /// Whether the arbiter knows of all writes that may be under way, and has capacity for another reservation.
    fn can_reserve(&self, now: Micros) -> bool {
        now - self.responsible_since >= self.max_write_duration()
            && self.reservations.len() < self.limits.max_reservations
    }

    fn reserve(&mut self, now: Micros, key: &IdempotencyKey) {
        let until = now + self.max_write_duration();
        self.reservations.insert(key.clone(), until);
        self.reservation_ends.push_back((until, key.clone()));
        if self.reservation_ends.len() > 2 * self.limits.max_reservations {
            let reservations = &self.reservations;
            self.reservation_ends
                .retain(|(until, key)| reservations.get(key) == Some(until));
        }
    }

    /// Decides on a write that has crossed with a valid lease. After [`RunVerdict::Run`] and [`RunVerdict::Repeat`] its
    /// sends and its end are to be recorded in [`Arbiter::ledger`].
    pub fn run(&mut self, now: Micros, key: &IdempotencyKey) -> RunVerdict {
        self.remove_expired(now);
        if self.reservations.contains_key(key) {
            return RunVerdict::Reject;
        }
        match self.ledger.begin(now, key, false) {
            Verdict::New => RunVerdict::Run,
            Verdict::Repeat { until } => RunVerdict::Repeat { until },
            Verdict::Served(receipt) => RunVerdict::Served(receipt),
            Verdict::Unknown => RunVerdict::Unknown,
            Verdict::InFlight | Verdict::Full => RunVerdict::Reject,
        }
    }

    /// The ledger of the writes that crossed.
    pub fn ledger(&mut self) -> &mut IdempotencyLedger {
        &mut self.ledger
    }
}

/// The arbiter of a key among these nodes, by rendezvous hashing: near nodes with the same set select the same arbiter,
/// and a node that joins or leaves changes the arbiter of its own keys only. `None` if there are no nodes.
pub fn select_arbiter<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    nodes
        .into_iter()
        .max_by_key(|node| (rendezvous_weight(node, key), *node))
}

/// A hash of node and key, mixed: similar names must not have similar weights.
fn rendezvous_weight(node: &str, key: &str) -> u64 {
    let bytes = node.bytes().chain([0]).chain(key.bytes());
    mix(fnv1a(bytes))
}

#[cfg(test)]
#[path = "claims_tests.rs"]
mod tests;
