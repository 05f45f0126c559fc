//! Claims ensure that a write with an idempotency key does not run at both sites, regardless of which nodes its
//! retries reach.
//!
//! One node of the far site is the arbiter of a key ([`select_arbiter`]). It runs the writes of that key that cross
//! the link and records them in a ledger. A near node that receives a retry of a write it has no record of claims the
//! key from the arbiter before it sends the write anywhere.
//!
//! Guarantees, for writes that clients retry no longer than [`ArbiterLimits::max_retry_duration`]:
//!
//! - After [`Claim::Granted`], the arbiter runs no write with the key while a message of the write can be in transit.
//! - After a write may have begun to run through the arbiter, no claim of its key is granted.
//!
//! An [`Arbiter`] holds the ledger of the writes that crossed the link, and at most
//! [`ArbiterLimits::max_reservations`] keys that are reserved for the near site.

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
    /// How long a message may be in transit before it is rejected: the time to live of a lease, in microseconds.
    pub lease_ttl: Micros,
    /// Maximum number of keys reserved for the near site at once.
    pub max_reservations: usize,
    /// Limits of the ledger of the writes that crossed the link.
    pub ledger: LedgerLimits,
}

/// The response to a near node that claims the key of a retried write.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// The write has not run at the far site and will not run there: it may run at the near site.
    Granted,
    /// The write has been served at the far site, with this receipt.
    Served(Bytes),
    /// The write may have run at the far site and must not run at the near one. It may cross again, since the far
    /// site deduplicates it, or it fails.
    MayHaveRun,
    /// The arbiter cannot decide: it started too recently, the set of arbiters changed too recently, or it has no
    /// capacity for another reservation.
    Undecided,
}

/// The decision of an arbiter on a write that has crossed the link.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteVerdict {
    /// Run the write.
    Run,
    /// Run the write again: if it has run, the cache servers deduplicate it.
    Retry {
        /// Time before which it must be sent to the cache servers, on the arbiter's clock.
        send_before: Micros,
    },
    /// The write has been served, with this receipt.
    Served(Bytes),
    /// The write may have run, and the cache servers may no longer deduplicate it.
    UnknownOutcome,
    /// The key is reserved for the near site, a request of the key is in flight here, or the ledger is full: this
    /// attempt does not run.
    Reject,
}

/// The arbiter of some keys. The module documentation describes its guarantees and bounds.
#[derive(Debug)]
pub struct Arbiter {
    limits: ArbiterLimits,
    /// Time since which it has received every write of its keys that crosses the link.
    responsible_since: Micros,
    ledger: IdempotencyLedger,
    /// The keys that are reserved for the near site, each with the end of its reservation.
    reservations: HashMap<IdempotencyKey, Micros>,
    /// Ends of reservations in chronological order; a key that was claimed several times appears as often.
    reservation_ends: VecDeque<(Micros, IdempotencyKey)>,
}

impl Arbiter {
    /// Creates an arbiter that starts now, with an empty ledger and without reservations.
    pub fn new(now: Micros, limits: ArbiterLimits) -> Arbiter {
        Arbiter {
            limits,
            responsible_since: now,
            ledger: IdempotencyLedger::new(limits.ledger),
            reservations: HashMap::new(),
            reservation_ends: VecDeque::new(),
        }
    }

    /// Records that the set of arbiters has changed: some of its keys had another arbiter until now.
    pub fn arbiters_changed(&mut self, now: Micros) {
        self.responsible_since = now;
    }

    /// Returns the longest time between a write's first attempt and the delivery of its last message.
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

    /// Claims a key for a near node that has received a retry of a write it has no record of.
    pub fn claim(&mut self, now: Micros, key: &IdempotencyKey) -> Claim {
        self.remove_expired(now);
        match self.ledger.recorded_write(key) {
            Some(RecordedWrite::Served(receipt)) => return Claim::Served(receipt),
            Some(RecordedWrite::MayHaveRun) => return Claim::MayHaveRun,
            None => {}
        }
        // Several near nodes may hold claims of the same key, since the write runs at the near site for all of them.
        if !self.reservations.contains_key(key) && !self.can_reserve(now) {
            return Claim::Undecided;
        }
        self.reserve(now, key);
        Claim::Granted
    }

    /// Returns whether the arbiter has received all crossing writes of its keys for long enough that no message of an
    /// earlier one can be in transit, and whether it has capacity for another reservation.
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

    /// Decides whether a write that has crossed the link with a valid lease may run. After [`WriteVerdict::Run`] and
    /// [`WriteVerdict::Retry`] the caller must record its sends and its end in [`Arbiter::ledger`].
    pub fn begin_write(&mut self, now: Micros, key: &IdempotencyKey) -> WriteVerdict {
        self.remove_expired(now);
        if self.reservations.contains_key(key) {
            return WriteVerdict::Reject;
        }
        match self.ledger.begin(now, key, false) {
            Verdict::New => WriteVerdict::Run,
            Verdict::Retry { send_before, .. } => WriteVerdict::Retry { send_before },
            Verdict::Served(receipt) => WriteVerdict::Served(receipt),
            Verdict::UnknownOutcome => WriteVerdict::UnknownOutcome,
            Verdict::InFlight | Verdict::Full => WriteVerdict::Reject,
        }
    }

    /// Returns the ledger of the writes that crossed the link.
    pub fn ledger(&mut self) -> &mut IdempotencyLedger {
        &mut self.ledger
    }
}

/// Selects the arbiter of a key among these nodes by rendezvous hashing: near nodes with the same set select the same
/// arbiter, and a node that joins or leaves changes the arbiter of its own keys only. `None` if there are no nodes.
pub fn select_arbiter<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    nodes
        .into_iter()
        .max_by_key(|node| (rendezvous_weight(node, key), *node))
}

/// Returns the weight of a node for a key. The hash of both is mixed, so that similar names do not have similar
/// weights.
fn rendezvous_weight(node: &str, key: &str) -> u64 {
    let bytes = node.bytes().chain([0]).chain(key.bytes());
    mix(fnv1a(bytes))
}

#[cfg(test)]
#[path = "claims_tests.rs"]
mod tests;
