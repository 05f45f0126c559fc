//! The ledger of keyed writes at a node: which may have run, since when, and how they ended.
//!
//! It guarantees, for as long as it remembers a key: a write that may have run is passed on again only while the
//! boxes drop its repeats; after that it is answered from what is known, or fails; it is never sent as new. While
//! an attempt is out, no second request of the same key is passed on beside it.
//!
//! It is bounded: [`Limits::entries`] keys, each with a receipt of at most [`Limits::receipt`] bytes, for
//! [`Limits::remember`]. A key that is remembered is not forgotten to make room: when there is none, new keys are
//! refused, which is harmless, since nothing of them has run. After a restart it is empty; see `docs/design/memcache.md`
//! for what that costs.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use sloewick_decision::api::Micros;

/// An idempotency key.
pub type Key = Arc<str>;

/// What the ledger may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Keys at the most.
    pub entries: usize,
    /// Longest receipt that is kept, in bytes; a longer one counts as served with no receipt known.
    pub receipt: usize,
    /// How long the boxes drop a repeat, from the first send that may have run.
    pub window: Micros,
    /// What is taken off the window at its end for the way to the box: what leaves by then arrives in time.
    pub margin: Micros,
    /// How long a key is remembered after its last end.
    pub remember: Micros,
}

/// How a keyed write is to be served.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing of it is known to have run: pass it on.
    New,
    /// It may have run; the boxes drop it until then (on the node's clock): pass it on, no later.
    Idempotency { until: Micros },
    /// It has been served, and the boxes may have forgotten it: answer with the receipt.
    Served(Bytes),
    /// It has been served, or may have run, with nothing more known, and the boxes may have forgotten it: fail.
    Unknown,
    /// Another request of the same key is out: refuse, nothing of this one has run.
    InHand,
    /// There is no room to remember it: refuse, nothing of it has run.
    Full,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Since when something of it may have run.
    ran_since: Option<Micros>,
    in_hand: bool,
    /// Served; with its receipt, if that could be kept.
    served: Option<Option<Bytes>>,
    ended: Micros,
}

/// See the module.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    entries: HashMap<Key, Entry>,
    /// Ends in the order in which they came, for forgetting; an entry that ended again stands twice.
    ends: VecDeque<(Micros, Key)>,
}

impl Ledger {
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            entries: HashMap::new(),
            ends: VecDeque::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A request of this key has come. On [`Verdict::New`] and [`Verdict::Idempotency`] it is in hand until
    /// [`Ledger::ended`] is told.
    ///
    /// `old`: the key itself tells that it was made so long ago that boxes may have forgotten it. If nothing is known
    /// of it here, it may have run through another node, or before this one started.
    pub fn ask(&mut self, now: Micros, key: &Key, old: bool) -> Verdict {
        self.forget(now);
        let until = |since: Micros| since + self.limits.window - self.limits.margin;
        if let Some(entry) = self.entries.get_mut(key) {
            return match (entry.in_hand, entry.ran_since) {
                (true, _) => Verdict::InHand,
                (false, None) => {
                    entry.in_hand = true;
                    Verdict::New
                }
                (false, Some(since)) if now < until(since) => {
                    entry.in_hand = true;
                    Verdict::Idempotency {
                        until: until(since),
                    }
                }
                (false, Some(_)) => match &entry.served {
                    Some(Some(receipt)) => Verdict::Served(receipt.clone()),
                    _ => Verdict::Unknown,
                },
            };
        }
        if old {
            return Verdict::Unknown;
        }
        if self.entries.len() >= self.limits.entries {
            return Verdict::Full;
        }
        let entry = Entry {
            ran_since: None,
            in_hand: true,
            served: None,
            ended: now,
        };
        self.entries.insert(key.clone(), entry);
        Verdict::New
    }

    /// What is known of a key that is out, has been served or may have run, with its receipt if there is one; none:
    /// nothing of it is known to have run.
    pub fn known(&self, key: &Key) -> Option<Option<Bytes>> {
        let entry = self.entries.get(key)?;
        (entry.in_hand || entry.ran_since.is_some()).then(|| entry.served.clone().flatten())
    }

    /// An attempt of the key leaves now and may run. False: it must not leave, the boxes may have forgotten it.
    #[must_use]
    pub fn send(&mut self, now: Micros, key: &Key) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.in_hand) else {
            return false;
        };
        let since = *entry.ran_since.get_or_insert(now);
        now < since + self.limits.window - self.limits.margin || now == since
    }

    /// An attempt that was counted by [`Ledger::send`] is known not to have run; `others`: another of this key may
    /// have.
    pub fn never_ran(&mut self, key: &Key, others: bool) {
        if let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|e| !others && e.served.is_none())
        {
            entry.ran_since = None;
        }
    }

    /// The request in hand has ended; its receipt, if it was served. Whether it may have run is known from its sends.
    pub fn ended(&mut self, now: Micros, key: &Key, served: Option<Bytes>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_hand = false;
        entry.ended = now;
        if let Some(receipt) = served {
            entry.ran_since.get_or_insert(now);
            let kept = (receipt.len() <= self.limits.receipt).then_some(receipt);
            // What was served once stays so, with the receipt that is known.
            let known = entry.served.take().flatten();
            entry.served = Some(kept.or(known));
        }
        if entry.ran_since.is_none() {
            self.entries.remove(key);
        } else {
            self.ends.push_back((now, key.clone()));
            self.tidy();
        }
    }

    /// Drops ends that later ones of their keys have replaced, when they have become as many as the keys: a client
    /// that repeats one write without end must not fill the memory.
    fn tidy(&mut self) {
        if self.ends.len() > 2 * self.limits.entries {
            let entries = &self.entries;
            self.ends
                .retain(|(at, key)| entries.get(key).is_some_and(|e| e.ended == *at));
            // Two ends in one instant are one.
            let mut last = None;
            self.ends
                .retain(|end| last.replace(end.clone()).as_ref() != Some(end));
        }
    }

    /// Drops what has been remembered long enough.
    fn forget(&mut self, now: Micros) {
        // A key that ended several times stands here as often; only its last end counts.
        while let Some((at, key)) = self.ends.front() {
            if now - at < self.limits.remember {
                return;
            }
            let over = self
                .entries
                .get(key)
                .is_some_and(|e| !e.in_hand && e.ended == *at);
            if over {
                self.entries.remove(key);
            }
            self.ends.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "idempotency_ledger_tests.rs"]
mod tests;
