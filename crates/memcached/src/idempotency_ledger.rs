//! The idempotency ledger of a node: which writes with an idempotency key may have run, since when, and how they ended.
//!
//! # Guarantees
//!
//! For as long as the ledger remembers a key:
//!
//! - a write that may have run is forwarded again only while the cache servers deduplicate it. After that window it is
//!   answered with the recorded receipt, or fails; it is never forwarded as a new write;
//! - while a request of a key is in flight, no second request of the same key is forwarded.
//!
//! # Bounds
//!
//! The ledger holds [`LedgerLimits::max_entries`] keys, each with a receipt of at most
//! [`LedgerLimits::max_receipt_bytes`], for [`LedgerLimits::retention`]. It does not evict a remembered key to make room
//! for another: when it is full, new keys are rejected, which is safe because nothing of them has run. It lives in memory
//! only and is empty after a restart; `docs/design/memcache.md` describes the consequences.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use sloewick_decision::api::Micros;

/// An idempotency key.
pub type IdempotencyKey = Arc<str>;

/// Bounds and durations of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerLimits {
    /// Maximum number of keys.
    pub max_entries: usize,
    /// Maximum size of a recorded receipt, in bytes. A write with a longer one counts as served without a receipt.
    pub max_receipt_bytes: usize,
    /// How long the cache servers deduplicate a write, from the first send that may have run, in microseconds.
    pub deduplication_window: Micros,
    /// Time a message may take to the cache server, in microseconds. It is subtracted from the end of the window, so that
    /// whatever is sent before that arrives within the window.
    pub margin: Micros,
    /// How long a key is remembered after its last request ended, in microseconds.
    pub retention: Micros,
}

impl LedgerLimits {
    /// The time after which a write whose first send was at `first_sent` must not be sent again.
    fn last_send(&self, first_sent: Micros) -> Micros {
        first_sent + self.deduplication_window - self.margin
    }
}

/// What is to be done with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The write is not known to have run: forward it.
    New,
    /// The write may have run, and the cache servers still deduplicate it: forward it.
    Repeat {
        /// When it must have been sent, on the clock of the node.
        until: Micros,
    },
    /// The write has been served, and the deduplication window is over: answer with the recorded receipt.
    Served(Bytes),
    /// The write may have run, no receipt is recorded, and the deduplication window is over: fail the request.
    Unknown,
    /// Another request of the key is in flight: reject this one, nothing of it has run.
    InFlight,
    /// The ledger is full: reject the request, nothing of it has run.
    Full,
}

/// What the ledger records of a write that is in flight or may have run.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedWrite {
    /// It is in flight or may have run, and no receipt is recorded.
    MayHaveRun,
    /// It has been served, with this receipt.
    Served(Bytes),
}

#[derive(Clone, Debug)]
struct Entry {
    /// When the first attempt that may have run was sent.
    first_sent: Option<Micros>,
    in_flight: bool,
    served: bool,
    /// The receipt of a served write, unless it was too long to be recorded.
    receipt: Option<Bytes>,
    /// When the last request of the key ended.
    last_end: Micros,
}

/// The ledger; the module describes its guarantees and bounds.
#[derive(Debug)]
pub struct IdempotencyLedger {
    limits: LedgerLimits,
    entries: HashMap<IdempotencyKey, Entry>,
    /// Ends of requests in chronological order, for expiry. A key whose requests ended several times appears as often;
    /// only its last end counts.
    ends: VecDeque<(Micros, IdempotencyKey)>,
}

impl IdempotencyLedger {
    /// An empty ledger.
    pub fn new(limits: LedgerLimits) -> IdempotencyLedger {
        IdempotencyLedger {
            limits,
            entries: HashMap::new(),
            ends: VecDeque::new(),
        }
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Registers a request of a key. After [`Verdict::New`] and [`Verdict::Repeat`] it is in flight until
    /// [`IdempotencyLedger::finish`]; after any other verdict it must not be forwarded.
    ///
    /// `expired` says that the key itself carries a time so long ago that the cache servers may no longer deduplicate it.
    /// An expired key that the ledger does not have may have run through another node, or before this one started.
    pub fn begin(&mut self, now: Micros, key: &IdempotencyKey, expired: bool) -> Verdict {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get_mut(key) {
            return entry.begin(now, &self.limits);
        }
        if expired {
            return Verdict::Unknown;
        }
        if self.entries.len() >= self.limits.max_entries {
            return Verdict::Full;
        }
        let entry = Entry {
            first_sent: None,
            in_flight: true,
            served: false,
            receipt: None,
            last_end: now,
        };
        self.entries.insert(key.clone(), entry);
        Verdict::New
    }

    /// What is recorded of a key that is in flight or may have run; `None` if it is not known to have run.
    pub fn recorded(&self, key: &IdempotencyKey) -> Option<RecordedWrite> {
        let entry = self.entries.get(key)?;
        if !entry.in_flight && entry.first_sent.is_none() {
            return None;
        }
        let recorded = match &entry.receipt {
            Some(receipt) => RecordedWrite::Served(receipt.clone()),
            None => RecordedWrite::MayHaveRun,
        };
        Some(recorded)
    }

    /// Records that an attempt of the key is sent now and may run. Returns false if it must not be sent, since the cache
    /// servers may no longer deduplicate it.
    #[must_use]
    pub fn send(&mut self, now: Micros, key: &IdempotencyKey) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.in_flight) else {
            return false;
        };
        let first_sent = *entry.first_sent.get_or_insert(now);
        now < self.limits.last_send(first_sent) || now == first_sent
    }

    /// Records that an attempt counted by [`IdempotencyLedger::send`] certainly did not run. `others_may_have_run` says
    /// whether another attempt of the key may have.
    pub fn never_ran(&mut self, key: &IdempotencyKey, others_may_have_run: bool) {
        if others_may_have_run {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| !entry.served) {
            entry.first_sent = None;
        }
    }

    /// Records that the request in flight has ended, with its receipt if it was served. A write of which no attempt may
    /// have run is forgotten.
    pub fn finish(&mut self, now: Micros, key: &IdempotencyKey, receipt: Option<Bytes>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = false;
        entry.last_end = now;
        if let Some(receipt) = receipt {
            entry.first_sent.get_or_insert(now);
            entry.served = true;
            // An earlier receipt stays if this one is too long.
            if receipt.len() <= self.limits.max_receipt_bytes {
                entry.receipt = Some(receipt);
            }
        }
        if entry.first_sent.is_none() {
            self.entries.remove(key);
        } else {
            self.ends.push_back((now, key.clone()));
            self.compact_ends();
        }
    }

    /// Removes superseded ends once there are more than twice as many as keys may be, so that a client that repeats one
    /// write again and again cannot exhaust the memory.
    fn compact_ends(&mut self) {
        if self.ends.len() <= 2 * self.limits.max_entries {
            return;
        }
        let entries = &self.entries;
        self.ends.retain(|(ended_at, key)| {
            entries
                .get(key)
                .is_some_and(|entry| entry.last_end == *ended_at)
        });
        // Ends of one key in the same microsecond are equal; one of them is enough.
        let mut previous = None;
        self.ends
            .retain(|end| previous.replace(end.clone()).as_ref() != Some(end));
    }

    /// Removes the keys whose retention is over.
    fn remove_expired(&mut self, now: Micros) {
        while let Some((ended_at, key)) = self.ends.front() {
            if now - ended_at < self.limits.retention {
                return;
            }
            let expired = self
                .entries
                .get(key)
                .is_some_and(|entry| !entry.in_flight && entry.last_end == *ended_at);
            if expired {
                self.entries.remove(key);
            }
            self.ends.pop_front();
        }
    }
}

impl Entry {
    /// The verdict on another request of this key, which is in flight afterwards if it may be forwarded.
    fn begin(&mut self, now: Micros, limits: &LedgerLimits) -> Verdict {
        if self.in_flight {
            return Verdict::InFlight;
        }
        let Some(first_sent) = self.first_sent else {
            self.in_flight = true;
            return Verdict::New;
        };
        let until = limits.last_send(first_sent);
        if now < until {
            self.in_flight = true;
            return Verdict::Repeat { until };
        }
        match &self.receipt {
            Some(receipt) => Verdict::Served(receipt.clone()),
            None => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
#[path = "idempotency_ledger_tests.rs"]
mod tests;
