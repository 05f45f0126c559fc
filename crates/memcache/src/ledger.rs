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
use sloewick_decision::interface::Micros;

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
    Repeat { until: Micros },
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
        Ledger { limits, entries: HashMap::new(), ends: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A request of this key has come. On [`Verdict::New`] and [`Verdict::Repeat`] it is in hand until
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
                    Verdict::Repeat { until: until(since) }
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
        let entry = Entry { ran_since: None, in_hand: true, served: None, ended: now };
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
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.in_hand) else { return false };
        let since = *entry.ran_since.get_or_insert(now);
        now < since + self.limits.window - self.limits.margin || now == since
    }

    /// An attempt that was counted by [`Ledger::send`] is known not to have run; `others`: another of this key may
    /// have.
    pub fn never_ran(&mut self, key: &Key, others: bool) {
        if let Some(entry) = self.entries.get_mut(key).filter(|e| !others && e.served.is_none()) {
            entry.ran_since = None;
        }
    }

    /// The request in hand has ended; its receipt, if it was served. Whether it may have run is known from its sends.
    pub fn ended(&mut self, now: Micros, key: &Key, served: Option<Bytes>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
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
            self.ends.retain(|(at, key)| entries.get(key).is_some_and(|e| e.ended == *at));
            // Two ends in one instant are one.
            let mut last = None;
            self.ends.retain(|end| last.replace(end.clone()).as_ref() != Some(end));
        }
    }

    /// Drops what has been remembered long enough.
    fn forget(&mut self, now: Micros) {
        // A key that ended several times stands here as often; only its last end counts.
        while let Some((at, key)) = self.ends.front() {
            if now - at < self.limits.remember {
                return;
            }
            let over = self.entries.get(key).is_some_and(|e| !e.in_hand && e.ended == *at);
            if over {
                self.entries.remove(key);
            }
            self.ends.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    const LIMITS: Limits =
        Limits { entries: 4, receipt: 8, window: 10_000, margin: 1_000, remember: 100_000 };

    fn key(n: usize) -> Key {
        format!("k{n}").into()
    }

    fn served(text: &'static str) -> Option<Bytes> {
        Some(Bytes::from_static(text.as_bytes()))
    }

    #[test]
    fn a_repeat_goes_on_within_the_window_and_is_answered_from_what_is_known_after_it() {
        let mut l = Ledger::new(LIMITS);
        assert_eq!(l.ask(0, &key(1), false), Verdict::New);
        assert!(l.send(100, &key(1)));
        assert_eq!(l.ask(150, &key(1), false), Verdict::InHand);
        l.ended(200, &key(1), served("receipt"));
        assert_eq!(l.ask(9_099, &key(1), false), Verdict::Repeat { until: 9_100 });
        assert!(l.send(9_099, &key(1)));
        assert!(!l.send(9_100, &key(1)), "it would arrive too late");
        l.ended(9_200, &key(1), None);
        assert_eq!(l.ask(9_300, &key(1), false), Verdict::Served(Bytes::from_static(b"receipt")));
    }

    #[test]
    fn what_may_have_run_fails_after_the_window() {
        let mut l = Ledger::new(LIMITS);
        assert_eq!(l.ask(0, &key(1), false), Verdict::New);
        assert!(l.send(100, &key(1)));
        l.ended(300, &key(1), None);
        assert_eq!(l.ask(9_100, &key(1), false), Verdict::Unknown);
        // Served with a receipt that is too long to be kept: nothing can be said of it either.
        assert_eq!(l.ask(0, &key(2), false), Verdict::New);
        assert!(l.send(0, &key(2)));
        l.ended(10, &key(2), served("longer than eight"));
        assert_eq!(l.ask(20_000, &key(2), false), Verdict::Unknown);
    }

    #[test]
    fn what_never_ran_is_new_again_and_takes_no_room() {
        let mut l = Ledger::new(LIMITS);
        assert_eq!(l.ask(0, &key(1), false), Verdict::New);
        assert!(l.send(100, &key(1)));
        l.never_ran(&key(1), false);
        l.ended(200, &key(1), None);
        assert!(l.is_empty());
        assert_eq!(l.ask(50_000, &key(1), false), Verdict::New);
        // One attempt was turned away while another may have run.
        assert!(l.send(50_000, &key(1)));
        assert!(l.send(50_100, &key(1)));
        l.never_ran(&key(1), true);
        l.ended(50_200, &key(1), None);
        assert_eq!(l.ask(90_000, &key(1), false), Verdict::Unknown);
    }

    #[test]
    fn no_room_is_a_refusal_and_what_is_remembered_stays() {
        let mut l = Ledger::new(LIMITS);
        for n in 0..4 {
            assert_eq!(l.ask(0, &key(n), false), Verdict::New);
            assert!(l.send(0, &key(n)));
            l.ended(10, &key(n), None);
        }
        assert_eq!(l.ask(50_000, &key(9), false), Verdict::Full);
        assert_eq!(l.ask(50_000, &key(0), false), Verdict::Unknown);
        assert_eq!(l.ask(100_010, &key(9), false), Verdict::New);
        assert_eq!(l.len(), 1);
    }

    #[test]
    fn an_old_key_of_which_nothing_is_known_is_not_taken_for_new() {
        let mut l = Ledger::new(LIMITS);
        assert_eq!(l.ask(0, &key(1), true), Verdict::Unknown);
        assert!(l.is_empty());
        assert_eq!(l.ask(0, &key(1), false), Verdict::New);
        assert!(l.send(0, &key(1)));
        l.ended(10, &key(1), served("ok"));
        assert_eq!(l.ask(20_000, &key(1), true), Verdict::Served(Bytes::from_static(b"ok")));
    }

    #[test]
    fn a_write_that_is_repeated_without_end_takes_the_room_of_one() {
        let mut l = Ledger::new(Limits { window: 1_000_000, ..LIMITS });
        for n in 0..1_000 {
            // Several in one instant, too.
            let now = n / 3;
            assert!(!matches!(l.ask(now, &key(1), false), Verdict::InHand));
            let _ = l.send(now, &key(1));
            l.ended(now, &key(1), None);
            assert!(l.ends.len() <= 2 * LIMITS.entries + 1);
        }
        assert_eq!(l.ask(333 + LIMITS.remember, &key(2), false), Verdict::New);
        assert_eq!(l.len(), 1, "it is forgotten all the same");
    }

    proptest! {
        /// Against a model that forgets nothing: within the time that is remembered, nothing takes effect twice at
        /// boxes that drop repeats for exactly the window.
        #[test]
        fn no_effect_twice_whatever_happens(
            steps in prop::collection::vec((0usize..6, 0usize..5, 0i64..6_000, any::<bool>()), 1..200),
        ) {
            let mut ledger = Ledger::new(LIMITS);
            // By key: when its first effect's window began, and how many effects.
            let mut boxes: BTreeMap<usize, (Micros, u32)> = BTreeMap::new();
            let mut in_hand: BTreeMap<usize, bool> = BTreeMap::new();
            let mut last: BTreeMap<usize, Micros> = BTreeMap::new();
            let mut now = 0;
            for (what, k, pause, lost) in steps {
                now += pause;
                // Beyond what is remembered it promises nothing.
                boxes.retain(|k, _| {
                    in_hand.contains_key(k) || last.get(k).is_none_or(|at| now - at < LIMITS.remember)
                });
                match what {
                    0..=2 if !in_hand.contains_key(&k) => {
                        let verdict = ledger.ask(now, &key(k), false);
                        if matches!(verdict, Verdict::New | Verdict::Repeat { .. }) {
                            in_hand.insert(k, false);
                        }
                    }
                    3 if in_hand.contains_key(&k) => {
                        if ledger.send(now, &key(k)) {
                            // It arrives within the margin, and runs unless the box still drops it.
                            let arrives = now + LIMITS.margin - 1;
                            let effect = boxes.entry(k).or_insert((arrives, 0));
                            if effect.1 == 0 || arrives - effect.0 >= LIMITS.window {
                                *effect = (arrives, effect.1 + 1);
                            }
                            in_hand.insert(k, true);
                        }
                    }
                    _ => {
                        if let Some(sent) = in_hand.remove(&k) {
                            let end = if sent && !lost { served("ok") } else { None };
                            ledger.ended(now, &key(k), end);
                            last.insert(k, now);
                        }
                    }
                }
                prop_assert!(ledger.len() <= LIMITS.entries);
                for (k, (_, effects)) in &boxes {
                    prop_assert!(*effects <= 1, "key {} took effect {} times", k, effects);
                }
            }
        }
    }
}
