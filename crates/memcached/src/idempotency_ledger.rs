//! The idempotency ledger of a node: records which writes with an idempotency key may have run, when they were first
//! sent, and how they ended.
//!
//! # Guarantees
//!
//! For as long as the ledger remembers a key:
//!
//! - a write that may have run is forwarded again only while the cache servers deduplicate it. After this window, a retry
//!   is answered with the recorded receipt or fails; it is never forwarded as a new write;
//! - while a request of a key is in flight, no second request of the same key is forwarded.
//!
//! # Bounds
//!
//! The ledger holds [`LedgerLimits::max_entries`] keys, each with a receipt of at most
//! [`LedgerLimits::max_receipt_bytes`], for [`LedgerLimits::retention`]. It never evicts a remembered key in favor of
//! another: a full ledger rejects new keys, which is safe because nothing of them has run. It is held in memory only and
//! is empty after a restart; `docs/design/memcache.md` describes the consequences.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use sloewick_decision::api::Micros;

/// The idempotency key of a write.
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
    /// Time that a message may take to a cache server, in microseconds. Sending stops this long before the end of the
    /// window, so that every message arrives within the window.
    pub margin: Micros,
    /// How long a key is remembered after its last request ended, in microseconds.
    pub retention: Micros,
}

impl LedgerLimits {
    /// The time from which on a write that was first sent at `first_sent` must not be sent again.
    fn send_deadline(&self, first_sent: Micros) -> Micros {
        first_sent + self.deduplication_window - self.margin
    }
}

/// How a request with an idempotency key has to be handled.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The write is not known to have run: forward it.
    New,
    /// The write may have run, and the cache servers still deduplicate it: forward it.
    Retry {
        /// When the first attempt that may have run was sent, on the clock of the node in microseconds.
        first_sent: Micros,
        /// The request must be sent before this time, on the same clock.
        send_before: Micros,
    },
    /// The write has been served, and the deduplication window is over: answer with the recorded receipt.
    Served(Bytes),
    /// The write may have run, no receipt is recorded, and the deduplication window is over: fail the request.
    UnknownOutcome,
    /// Another request of the key is in flight: reject this one. Nothing of this request has run.
    InFlight,
    /// The ledger is full: reject the request. Nothing of it has run.
    Full,
}

/// What the ledger has recorded about a write that is in flight or may have run.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedWrite {
    /// The write is in flight or may have run, and no receipt is recorded.
    MayHaveRun,
    /// The write has been served, with this receipt.
    Served(Bytes),
}

#[derive(Clone, Debug)]
struct Entry {
    /// When the first attempt that may have run was sent; `None` if no attempt may have run.
    first_sent: Option<Micros>,
    in_flight: bool,
    served: bool,
    /// The receipt of a served write, unless it was too long to be recorded.
    receipt: Option<Bytes>,
    /// When the last request of the key ended; while the first one is in flight, when it began.
    last_end: Micros,
}

/// The idempotency ledger; the module documentation states its guarantees and bounds.
#[derive(Debug)]
pub struct IdempotencyLedger {
    limits: LedgerLimits,
    entries: HashMap<IdempotencyKey, Entry>,
    /// End times of requests in chronological order, used for expiry. A key is listed once for each request that ended;
    /// only its latest end counts.
    ends: VecDeque<(Micros, IdempotencyKey)>,
}

impl IdempotencyLedger {
    /// Creates an empty ledger.
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

    /// Registers a request of a key. After [`Verdict::New`] and [`Verdict::Retry`] it is in flight until
    /// [`IdempotencyLedger::finish`]; after any other verdict it must not be forwarded.
    ///
    /// `expired` means that the key carries a timestamp so old that the cache servers may no longer deduplicate the write.
    /// An expired key without an entry gets [`Verdict::UnknownOutcome`]: it may have run through another node, or before
    /// this node started.
    pub fn begin(&mut self, now: Micros, key: &IdempotencyKey, expired: bool) -> Verdict {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get_mut(key) {
            return entry.begin(now, &self.limits);
        }
        if expired {
            return Verdict::UnknownOutcome;
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

    /// What is recorded about the write of a key. Returns `None` if the write is neither in flight nor may have run.
    pub fn recorded_write(&self, key: &IdempotencyKey) -> Option<RecordedWrite> {
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

    /// Records that an attempt of the key is sent now and may run. Returns false if the attempt must not be sent: no
    /// request of the key is in flight, or the cache servers may no longer deduplicate the write.
    #[must_use]
    pub fn record_send(&mut self, now: Micros, key: &IdempotencyKey) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.in_flight) else {
            return false;
        };
        let first_sent = *entry.first_sent.get_or_insert(now);
        now < self.limits.send_deadline(first_sent) || now == first_sent
    }

    /// Records that an attempt that [`IdempotencyLedger::record_send`] had recorded certainly did not run.
    /// `others_may_have_run` states whether another attempt of the key may have run; if so, the entry is not changed.
    pub fn record_never_ran(&mut self, key: &IdempotencyKey, others_may_have_run: bool) {
        if others_may_have_run {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| !entry.served) {
            entry.first_sent = None;
        }
    }

    /// Records that the request in flight has ended, with its receipt if it was served. The key is removed if no attempt
    /// of the write may have run.
    pub fn finish(&mut self, now: Micros, key: &IdempotencyKey, receipt: Option<Bytes>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = false;
        entry.last_end = now;
        if let Some(receipt) = receipt {
            entry.first_sent.get_or_insert(now);
            entry.served = true;
            // An earlier receipt is retained if this one is too long.
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

    /// Removes superseded end times once there are more than twice as many end times as the maximum number of keys, so
    /// that a client that repeats one write endlessly cannot exhaust the memory.
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
        // Several ends of one key in the same microsecond are equal; only one is retained.
        let mut previous = None;
        self.ends
            .retain(|end| previous.replace(end.clone()).as_ref() != Some(end));
    }

    /// Removes the keys whose last request ended at least the retention ago.
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
    /// Returns the verdict on another request of this key, and marks the key as in flight if the request may be
    /// forwarded.
    fn begin(&mut self, now: Micros, limits: &LedgerLimits) -> Verdict {
        if self.in_flight {
            return Verdict::InFlight;
        }
        let Some(first_sent) = self.first_sent else {
            self.in_flight = true;
            return Verdict::New;
        };
        let send_before = limits.send_deadline(first_sent);
        if now < send_before {
            self.in_flight = true;
            return Verdict::Retry {
                first_sent,
                send_before,
            };
        }
        match &self.receipt {
            Some(receipt) => Verdict::Served(receipt.clone()),
            None => Verdict::UnknownOutcome,
        }
    }
}

#[cfg(test)]
#[path = "idempotency_ledger_tests.rs"]
mod tests;
