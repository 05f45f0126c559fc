//! Claims: one node of the far side, the arbiter of a key, both runs what crosses with that key and remembers it, so
//! that a retry which reaches another near node is not run at both sites.
//!
//! It guarantees, for wishes no older than [`Limits::wish`]: after [`Claim::Here`] nothing of the key runs through this
//! arbiter while the wish can be about; after a run that may have begun no claim is told [`Claim::Here`].

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use sloewick_decision::interface::Micros;
use sloewick_memcache::ledger::{self, Key, Ledger, Verdict};

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
    pub ledger: ledger::Limits,
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
    ledger: Ledger,
    /// Until when a key runs at its own site only.
    barred: HashMap<Key, Micros>,
    bars: VecDeque<(Micros, Key)>,
}

impl Arbiter {
    /// An arbiter that starts now.
    pub fn new(now: Micros, limits: Limits) -> Arbiter {
        let ledger = Ledger::new(limits.ledger);
        Arbiter { limits, since: now, ledger, barred: HashMap::new(), bars: VecDeque::new() }
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
    pub fn claim(&mut self, now: Micros, key: &Key) -> Claim {
        self.forget(now);
        if let Some(known) = self.ledger.known(key) {
            return known.map_or(Claim::Crossed, Claim::Served);
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
            self.bars.retain(|(until, key)| barred.get(key) == Some(until));
        }
        Claim::Here
    }

    /// A write has crossed, and its lease is good.
    pub fn run(&mut self, now: Micros, key: &Key) -> Run {
        self.forget(now);
        if self.barred.contains_key(key) {
            return Run::Refuse;
        }
        match self.ledger.ask(now, key, false) {
            Verdict::New => Run::Begin,
            Verdict::Repeat { until } => Run::Again { until },
            Verdict::Served(receipt) => Run::Served(receipt),
            Verdict::Unknown => Run::Unknown,
            Verdict::InHand | Verdict::Full => Run::Refuse,
        }
    }

    /// The ledger of what crossed, for sends and ends.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }
}

/// The arbiter of a key among these nodes, by rendezvous hash: each near node that has the same set finds the same, and
/// a node that comes or goes moves only its own keys.
pub fn arbiter<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let weigh = |node: &str| {
        // FNV-1a of 64 bits, finished as splitmix64 does: neighbouring names must not weigh alike.
        let bytes = node.bytes().chain([0]).chain(key.bytes());
        let mut x =
            bytes.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    nodes.into_iter().max_by_key(|node| (weigh(node), *node))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::{BTreeMap, BTreeSet};

    const WISH: Micros = 2_000;
    const LIFE: Micros = 500;
    const LIMITS: Limits = Limits {
        wish: WISH,
        life: LIFE,
        barred: 8,
        ledger: ledger::Limits { entries: 8, receipt: 16, window: 10_000, margin: 1_000, remember: 60_000 },
    };

    fn key(n: usize) -> Key {
        format!("k{n}").into()
    }

    fn old() -> Arbiter {
        Arbiter::new(-100_000, LIMITS)
    }

    #[test]
    fn a_claim_bars_the_key_for_as_long_as_the_wish_can_be_about() {
        let mut a = old();
        assert_eq!(a.claim(0, &key(1)), Claim::Here);
        assert_eq!(a.run(WISH + LIFE - 1, &key(1)), Run::Refuse, "its first try was delivered late");
        assert_eq!(a.claim(100, &key(1)), Claim::Here, "another node's claim");
        assert_eq!(a.run(100 + WISH + LIFE, &key(1)), Run::Begin);
    }

    #[test]
    fn what_crossed_is_not_given_back() {
        let mut a = old();
        assert_eq!(a.run(0, &key(1)), Run::Begin);
        assert_eq!(a.claim(1, &key(1)), Claim::Crossed, "it is out");
        assert!(a.ledger().send(2, &key(1)));
        a.ledger().ended(50, &key(1), None);
        assert_eq!(a.claim(60, &key(1)), Claim::Crossed, "it may have run");
        assert_eq!(a.run(70, &key(1)), Run::Again { until: 9_002 });
        a.ledger().ended(80, &key(1), Some(Bytes::from_static(b"receipt")));
        assert_eq!(a.claim(90, &key(1)), Claim::Served(Bytes::from_static(b"receipt")));
        // Turned away: nothing has run.
        assert_eq!(a.run(100, &key(2)), Run::Begin);
        assert!(a.ledger().send(101, &key(2)));
        a.ledger().never_ran(&key(2), false);
        a.ledger().ended(102, &key(2), None);
        assert_eq!(a.claim(103, &key(2)), Claim::Here);
    }

    #[test]
    fn an_arbiter_that_may_not_know_says_so() {
        let mut a = Arbiter::new(0, LIMITS);
        assert_eq!(a.claim(WISH + LIFE - 1, &key(1)), Claim::CantTell);
        assert_eq!(a.claim(WISH + LIFE, &key(1)), Claim::Here);
        a.set_changed(10_000);
        assert_eq!(a.claim(10_001, &key(2)), Claim::CantTell);
        // No room for more bars: nothing is promised.
        let mut a = old();
        (0..8).for_each(|n| assert_eq!(a.claim(0, &key(n)), Claim::Here));
        assert_eq!(a.claim(0, &key(9)), Claim::CantTell);
        (0..100).for_each(|n| assert_eq!(a.claim(n, &key(3)), Claim::Here));
        assert!(a.bars.len() <= 17);
    }

    #[test]
    fn every_near_node_finds_the_same_arbiter_and_few_keys_move() {
        let nodes = ["n0", "n1", "n2", "n3", "n4"];
        let of = |n: usize, nodes: &[&'static str]| arbiter(&format!("k{n}"), nodes.iter().copied());
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for n in 0..5_000 {
            let mut turned = nodes;
            turned.reverse();
            assert_eq!(of(n, &nodes), of(n, &turned));
            *counts.entry(of(n, &nodes).unwrap()).or_default() += 1;
            let fewer: Vec<&str> = nodes.into_iter().filter(|node| *node != "n2").collect();
            if of(n, &nodes) != Some("n2") {
                assert_eq!(of(n, &nodes), of(n, &fewer));
            }
        }
        assert!(counts.values().all(|n| (850..1_150).contains(n)), "{counts:?}");
        assert_eq!(arbiter("k", []), None);
    }

    /// What may be under way towards the arbiter.
    #[derive(Clone, Copy, Debug)]
    struct Crossing {
        wish: usize,
        arrives: Micros,
        lease_until: Micros,
    }

    proptest! {
        /// Wishes are tried at any near node: a first try runs at home or crosses; marked retries ask. Messages are late
        /// and overtake each other, the arbiter restarts. No wish runs at both sites.
        #[test]
        fn no_wish_runs_at_both_sites(
            steps in prop::collection::vec((0usize..6, 0usize..4, 0i64..400, 0i64..900, any::<bool>()), 1..150),
        ) {
            let mut arbiter = old();
            let mut now: Micros = 0;
            // By wish: when it began; which runs at home and far may have begun.
            let mut began: BTreeMap<usize, Micros> = BTreeMap::new();
            let (mut home, mut far) = (BTreeSet::new(), BTreeSet::new());
            let mut under_way: Vec<Crossing> = Vec::new();
            // Each wish has a life of its own: its number grows when it is over.
            let mut number = [0usize; 4];
            for (what, slot, pause, way, at_home) in steps {
                now += pause;
                // What arrives by now, in the order of arrival.
                under_way.sort_by_key(|c| c.arrives);
                let due: Vec<Crossing> = under_way.iter().copied().filter(|c| c.arrives <= now).collect();
                under_way.retain(|c| c.arrives > now);
                for c in due {
                    if c.arrives >= c.lease_until {
                        continue;
                    }
                    let k = key(c.wish);
                    if let Run::Begin | Run::Again { .. } = arbiter.run(c.arrives.max(now), &k) {
                        let _ = arbiter.ledger().send(now, &k);
                        far.insert(c.wish);
                        arbiter.ledger().ended(now, &k, None);
                    }
                }
                let wish = number[slot] * 4 + slot;
                match (what, began.get(&wish).copied()) {
                    // The client gives a wish up.
                    (_, Some(at)) if now - at >= WISH => {
                        number[slot] += 1;
                    }
                    // First tries are not marked: the node runs them or lets them cross.
                    (0..=3, None) => {
                        began.insert(wish, now);
                        if at_home {
                            home.insert(wish);
                        } else {
                            under_way.push(Crossing { wish, arrives: now + way, lease_until: now + LIFE });
                        }
                    }
                    // A marked retry at a node that doesn't know the key asks before it does anything.
                    (0..=4, Some(_)) => match arbiter.claim(now, &key(wish)) {
                        Claim::Here => {
                            home.insert(wish);
                        }
                        Claim::Crossed => {
                            under_way.push(Crossing { wish, arrives: now + way, lease_until: now + LIFE });
                        }
                        Claim::Served(_) | Claim::CantTell => {}
                    },
                    // It starts again, with an empty memory and another epoch: nothing under way is admitted.
                    (5, _) if at_home => {
                        arbiter = Arbiter::new(now, LIMITS);
                        under_way.clear();
                    }
                    _ => {}
                }
                let both: Vec<_> = home.intersection(&far).collect();
                prop_assert!(both.is_empty(), "at both sites: {both:?}");
            }
        }
    }
}
