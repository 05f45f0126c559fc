use super::*;
use crate::hash::hash;
use crate::test_support::{node, send_request};

/// A popular key was forwarded from a home that warmed up, which was left with the keys that no cache holds:
/// all misses.
#[test]
fn popular_key_stays_at_a_home_that_warms_up_within_its_range_fraction() {
    let mut node = node(0.0, 8);
    node.partition.updates = 1e9;
    node.partition.servers[3].entry.started = Some(0);
    let now = 4_000_000;
    let kept = |n: &u32| {
        let at = unit_interval(hash(&format!("k{n}")));
        node.partition.home(at) == 3
            && node.partition.lower_bound(3) < at
            && node.partition.distance_from_middle(at, 3) < 0.2
    };
    let key = (0..2000).find(kept).unwrap();
    let id = node.partition.servers[3].entry.server.clone();
    // Often enough to be popular, too rarely beside others to be spread.
    for n in 0..3 {
        let other = 10_000 + 7 * n;
        (0..6).for_each(|i| {
            send_request(&mut node, now, other + i);
        });
        assert_eq!(
            send_request(&mut node, now, key),
            Some(id.clone()),
            "the {n}th time"
        );
        node.in_flight.serials.clear();
        node.in_flight.requests.clear();
        node.partition
            .servers
            .iter_mut()
            .for_each(|s| s.pending_attempts = 0);
    }
}
