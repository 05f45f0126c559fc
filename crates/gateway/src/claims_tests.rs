use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const WISH: Micros = 2_000;
const LIFE: Micros = 500;
const LIMITS: Limits = Limits {
    wish: WISH,
    life: LIFE,
    barred: 8,
    ledger: idempotency_ledger::LedgerLimits {
        max_entries: 8,
        max_receipt_bytes: 16,
        deduplication_window: 10_000,
        margin: 1_000,
        retention: 60_000,
    },
};

fn key(n: usize) -> IdempotencyKey {
    format!("k{n}").into()
}

fn old() -> Arbiter {
    Arbiter::new(-100_000, LIMITS)
}

#[test]
fn a_claim_bars_the_key_for_as_long_as_the_wish_can_be_about() {
    let mut a = old();
    assert_eq!(a.claim(0, &key(1)), Claim::Here);
    assert_eq!(
        a.run(WISH + LIFE - 1, &key(1)),
        Run::Refuse,
        "its first try was delivered late"
    );
    assert_eq!(a.claim(100, &key(1)), Claim::Here, "another node's claim");
    assert_eq!(a.run(100 + WISH + LIFE, &key(1)), Run::Begin);
}

#[test]
fn what_crossed_is_not_given_back() {
    let mut a = old();
    assert_eq!(a.run(0, &key(1)), Run::Begin);
    assert_eq!(a.claim(1, &key(1)), Claim::Crossed, "it is out");
    assert!(a.ledger().send(2, &key(1)));
    a.ledger().finish(50, &key(1), None);
    assert_eq!(a.claim(60, &key(1)), Claim::Crossed, "it may have run");
    assert_eq!(a.run(70, &key(1)), Run::Again { until: 9_002 });
    a.ledger()
        .finish(80, &key(1), Some(Bytes::from_static(b"receipt")));
    assert_eq!(
        a.claim(90, &key(1)),
        Claim::Served(Bytes::from_static(b"receipt"))
    );
    // Turned away: nothing has run.
    assert_eq!(a.run(100, &key(2)), Run::Begin);
    assert!(a.ledger().send(101, &key(2)));
    a.ledger().never_ran(&key(2), false);
    a.ledger().finish(102, &key(2), None);
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
    assert!(
        counts.values().all(|n| (850..1_150).contains(n)),
        "{counts:?}"
    );
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
                    arbiter.ledger().finish(now, &k, None);
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
