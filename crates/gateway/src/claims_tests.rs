use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const RETRY_DURATION: Micros = 2_000;
const LEASE_TTL: Micros = 500;
const LIMITS: ArbiterLimits = ArbiterLimits {
    max_retry_duration: RETRY_DURATION,
    lease_ttl: LEASE_TTL,
    max_reservations: 8,
    ledger: LedgerLimits {
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

/// An arbiter that started long before the test.
fn established_arbiter() -> Arbiter {
    Arbiter::new(-100_000, LIMITS)
}

#[test]
fn granted_claim_reserves_the_key_for_as_long_as_messages_can_arrive() {
    let mut arbiter = established_arbiter();
    assert_eq!(arbiter.claim(0, &key(1)), Claim::Granted);
    assert_eq!(
        arbiter.begin_write(RETRY_DURATION + LEASE_TTL - 1, &key(1)),
        WriteVerdict::Reject,
        "the first attempt was delivered late"
    );
    assert_eq!(
        arbiter.claim(100, &key(1)),
        Claim::Granted,
        "another node's claim"
    );
    assert_eq!(
        arbiter.begin_write(100 + RETRY_DURATION + LEASE_TTL, &key(1)),
        WriteVerdict::Run
    );
}

#[test]
fn claim_of_a_write_that_may_have_run_is_not_granted() {
    let mut arbiter = established_arbiter();
    assert_eq!(arbiter.begin_write(0, &key(1)), WriteVerdict::Run);
    assert_eq!(
        arbiter.claim(1, &key(1)),
        Claim::MayHaveRun,
        "the write is in flight"
    );
    assert!(arbiter.ledger().record_send(2, &key(1)));
    arbiter.ledger().finish(50, &key(1), None);
    assert_eq!(
        arbiter.claim(60, &key(1)),
        Claim::MayHaveRun,
        "the write may have run"
    );
    assert_eq!(
        arbiter.begin_write(70, &key(1)),
        WriteVerdict::Retry { send_before: 9_002 }
    );
    arbiter
        .ledger()
        .finish(80, &key(1), Some(Bytes::from_static(b"receipt")));
    assert_eq!(
        arbiter.claim(90, &key(1)),
        Claim::Served(Bytes::from_static(b"receipt"))
    );
    // The cache server rejected the write: it has not run.
    assert_eq!(arbiter.begin_write(100, &key(2)), WriteVerdict::Run);
    assert!(arbiter.ledger().record_send(101, &key(2)));
    arbiter.ledger().record_never_ran(&key(2), false);
    arbiter.ledger().finish(102, &key(2), None);
    assert_eq!(arbiter.claim(103, &key(2)), Claim::Granted);
}

#[test]
fn arbiter_that_started_recently_or_has_no_capacity_is_undecided() {
    let mut arbiter = Arbiter::new(0, LIMITS);
    assert_eq!(
        arbiter.claim(RETRY_DURATION + LEASE_TTL - 1, &key(1)),
        Claim::Undecided
    );
    assert_eq!(
        arbiter.claim(RETRY_DURATION + LEASE_TTL, &key(1)),
        Claim::Granted
    );
    arbiter.arbiters_changed(10_000);
    assert_eq!(arbiter.claim(10_001, &key(2)), Claim::Undecided);
    // No capacity for more reservations.
    let mut arbiter = established_arbiter();
    (0..8).for_each(|n| assert_eq!(arbiter.claim(0, &key(n)), Claim::Granted));
    assert_eq!(arbiter.claim(0, &key(9)), Claim::Undecided);
    (0..100).for_each(|n| assert_eq!(arbiter.claim(n, &key(3)), Claim::Granted));
    assert!(arbiter.reservation_ends.len() <= 17);
}

#[test]
fn near_nodes_select_the_same_arbiter_and_removing_a_node_moves_its_keys_only() {
    let nodes = ["n0", "n1", "n2", "n3", "n4"];
    let select =
        |n: usize, nodes: &[&'static str]| select_arbiter(&format!("k{n}"), nodes.iter().copied());
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for n in 0..5_000 {
        let mut reversed = nodes;
        reversed.reverse();
        assert_eq!(select(n, &nodes), select(n, &reversed));
        *counts.entry(select(n, &nodes).unwrap()).or_default() += 1;
        let fewer: Vec<&str> = nodes.into_iter().filter(|node| *node != "n2").collect();
        if select(n, &nodes) != Some("n2") {
            assert_eq!(select(n, &nodes), select(n, &fewer));
        }
    }
    assert!(
        counts.values().all(|n| (850..1_150).contains(n)),
        "{counts:?}"
    );
    assert_eq!(select_arbiter("k", []), None);
}

/// A message of a write on its way to the arbiter.
#[derive(Clone, Copy, Debug)]
struct Message {
    write: usize,
    arrives_at: Micros,
    lease_expires_at: Micros,
}

impl Message {
    fn new(write: usize, now: Micros, delay: Micros) -> Message {
        Message {
            write,
            arrives_at: now + delay,
            lease_expires_at: now + LEASE_TTL,
        }
    }
}

/// Delivers the messages that have arrived to the arbiter, and returns the writes that it ran.
fn deliver(arbiter: &mut Arbiter, in_transit: &mut Vec<Message>, now: Micros) -> Vec<usize> {
    in_transit.sort_by_key(|message| message.arrives_at);
    let (arrived, rest): (Vec<Message>, Vec<Message>) = in_transit
        .iter()
        .partition(|message| message.arrives_at <= now);
    *in_transit = rest;
    let mut ran = Vec::new();
    for message in arrived {
        if message.arrives_at >= message.lease_expires_at {
            continue;
        }
        let key = key(message.write);
        let verdict = arbiter.begin_write(message.arrives_at.max(now), &key);
        if matches!(verdict, WriteVerdict::Run | WriteVerdict::Retry { .. }) {
            let _ = arbiter.ledger().record_send(now, &key);
            ran.push(message.write);
            arbiter.ledger().finish(now, &key, None);
        }
    }
    ran
}

proptest! {
    /// Clients send writes to any near node: a first attempt runs at the near site or crosses the link, and a retry,
    /// which is marked as one, claims the key. Messages are late and overtake each other, and the arbiter restarts.
    /// No write runs at both sites.
    #[test]
    fn no_write_runs_at_both_sites(
        steps in prop::collection::vec((0usize..6, 0usize..4, 0i64..400, 0i64..900, any::<bool>()), 1..150),
    ) {
        let mut arbiter = established_arbiter();
        let mut now: Micros = 0;
        // The time of each write's first attempt, and the writes that may have run at each site.
        let mut first_attempts: BTreeMap<usize, Micros> = BTreeMap::new();
        let (mut ran_near, mut ran_far) = (BTreeSet::new(), BTreeSet::new());
        let mut in_transit: Vec<Message> = Vec::new();
        // Each of the four clients has one write at a time; these are the numbers of writes that each has ended.
        let mut generations = [0usize; 4];
        for (action, client, pause, delay, near) in steps {
            now += pause;
            ran_far.extend(deliver(&mut arbiter, &mut in_transit, now));
            let write = generations[client] * 4 + client;
            match (action, first_attempts.get(&write).copied()) {
                // The client no longer retries the write.
                (_, Some(first_attempt)) if now - first_attempt >= RETRY_DURATION => {
                    generations[client] += 1;
                }
                // A first attempt is not marked as a retry: the near node runs it or forwards it.
                (0..=3, None) => {
                    first_attempts.insert(write, now);
                    if near {
                        ran_near.insert(write);
                    } else {
                        in_transit.push(Message::new(write, now, delay));
                    }
                }
                // A marked retry at a node that has no record of the key.
                (0..=4, Some(_)) => match arbiter.claim(now, &key(write)) {
                    Claim::Granted => {
                        ran_near.insert(write);
                    }
                    Claim::MayHaveRun => in_transit.push(Message::new(write, now, delay)),
                    Claim::Served(_) | Claim::Undecided => {}
                },
                // The arbiter restarts with an empty ledger and another epoch: no message in transit is admitted.
                (5, _) if near => {
                    arbiter = Arbiter::new(now, LIMITS);
                    in_transit.clear();
                }
                _ => {}
            }
            let both: Vec<_> = ran_near.intersection(&ran_far).collect();
            prop_assert!(both.is_empty(), "writes that ran at both sites: {both:?}");
        }
    }
}
