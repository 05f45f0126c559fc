//! Claims: one node of the far side, the arbiter of a key, both runs what crosses with that key and remembers it, so
//! that a retry which reaches another near node is not run at both sites.
//!
//! It guarantees, for wishes no older than [`Limits::wish`]: after [`Claim::Here`] nothing of the key runs through this
//! arbiter while the wish can be about; after a run that may have begun no claim is told [`Claim::Here`].

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use sloewick_decision::api::Micros;
use sloewick_memcached::idempotency_ledger::{
    self, IdempotencyKey, IdempotencyLedger, RecordedWrite, Verdict,
};

/// What an arbiter may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a client goes on with one wish, over all its tries.
    pub wish: Micros,
    /// How long a message may be about before it is refused as late: the life of a lease.
    pub life: Micros,
    /// Keys that are barred at once.
    pub barred: usize,
    /// Writes that crossed.
    pub ledger: idempotency_ledger::LedgerLimits,
}

/// What a near node is told that has a marked retry of a key which it doesn't know.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Nothing of it has run here, nor will: it may run at its own site.
    Here,
    /// It has been served here, with this receipt.
    Served(Bytes),
    /// It may have run here: it must not run at its own site. It may be passed here, whose boxes drop it, or fails.
    Crossed,
    /// This arbiter has started, or the set of arbiters has changed, so shortly before that it may not know.
    CantTell,
}

/// What the arbiter does with a write that has crossed.
#[derive(Clone, Debug, PartialEq)]
pub enum Run {
    /// Run it.
    Begin,
    /// Run it, no later than this: the boxes drop it if it has run.
    Again {
        until: Micros,
    },
    Served(Bytes),
    /// It may have run, and the boxes may have forgotten it.
    Unknown,
    /// It runs at its own site, or is out here, or there is no room: nothing of this one runs.
    Refuse,
}

/// One arbiter.
#[derive(Debug)]
pub struct Arbiter {
    limits: Limits,
    /// Since when it knows of all that crosses with its keys.
    since: Micros,
    ledger: IdempotencyLedger,
    /// Until when a key runs at its own site only.
    barred: HashMap<IdempotencyKey, Micros>,
    bars: VecDeque<(Micros, IdempotencyKey)>,
}

impl Arbiter {
    /// An arbiter that starts now.
    pub fn new(now: Micros, limits: Limits) -> Arbiter {
        let ledger = IdempotencyLedger::new(limits.ledger);
        Arbiter {
            limits,
            since: now,
            ledger,
            barred: HashMap::new(),
            bars: VecDeque::new(),
        }
    }

    /// The set of arbiters has changed: some keys were another's until now.
    pub fn set_changed(&mut self, now: Micros) {
        self.since = now;
    }

    /// How long a wish and anything late of it can be about.
    fn about(&self) -> Micros {
        self.limits.wish + self.limits.life
    }

    fn forget(&mut self, now: Micros) {
        while let Some((until, key)) = self.bars.front().filter(|(until, _)| *until <= now) {
            if self.barred.get(key).is_some_and(|until| *until <= now) {
                self.barred.remove(key);
            }
            debug_assert!(*until <= now);
            self.bars.pop_front();
        }
    }

    /// A near node has a marked retry of a key.
    pub fn claim(&mut self, now: Micros, key: &IdempotencyKey) -> Claim {
        self.forget(now);
        match self.ledger.recorded(key) {
            Some(RecordedWrite::Served(receipt)) => return Claim::Served(receipt),
            Some(RecordedWrite::MayHaveRun) => return Claim::Crossed,
            None => {}
        }
        // Barred already: by another node's claim, which was told the same.
        let barred = self.barred.contains_key(key);
        if !barred && (now - self.since < self.about() || self.barred.len() >= self.limits.barred) {
            return Claim::CantTell;
        }
        let until = now + self.about();
        self.barred.insert(key.clone(), until);
        self.bars.push_back((until, key.clone()));
        if self.bars.len() > 2 * self.limits.barred {
            let barred = &self.barred;
            self.bars
                .retain(|(until, key)| barred.get(key) == Some(until));
        }
        Claim::Here
    }

    /// A write has crossed, and its lease is good.
    pub fn run(&mut self, now: Micros, key: &IdempotencyKey) -> Run {
        self.forget(now);
        if self.barred.contains_key(key) {
            return Run::Refuse;
        }
        match self.ledger.begin(now, key, false) {
            Verdict::New => Run::Begin,
            Verdict::Repeat { until } => Run::Again { until },
            Verdict::Served(receipt) => Run::Served(receipt),
            Verdict::Unknown => Run::Unknown,
            Verdict::InFlight | Verdict::Full => Run::Refuse,
        }
    }

    /// The ledger of what crossed, for sends and ends.
    pub fn ledger(&mut self) -> &mut IdempotencyLedger {
        &mut self.ledger
    }
}

/// The arbiter of a key among these nodes, by rendezvous hash: each near node that has the same set finds the same, and
/// a node that comes or goes moves only its own keys.
pub fn arbiter<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let weigh = |node: &str| {
        // FNV-1a of 64 bits, finished as splitmix64 does: neighbouring names must not weigh alike.
        let bytes = node.bytes().chain([0]).chain(key.bytes());
        let mut x = bytes.fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    nodes.into_iter().max_by_key(|node| (weigh(node), *node))
}

#[cfg(test)]
#[path = "claims_tests.rs"]
mod tests;
