use super::*;
use crate::hash::hash;
use crate::test_support::{node, send_request};

/// Guards against forwarding popular keys from a home that warms up: it was left with the keys that no cache
/// holds, and had only misses.
#[test]
fn popular_key_stays_at_a_home_that_warms_up_within_its_range_fraction() {
    let mut node = node(0.0, 8);
    node.partition.updates = 1e9;
    node.partition.servers[3].entry.started = Some(0);
    let now = 4_000_000;
    let is_within_fraction = |n: &u32| {
        let position = unit_interval(hash(&format!("k{n}")));
        node.partition.home(position) == 3
            && node.partition.lower_bound(3) < position
            && node.partition.distance_from_middle(position, 3) < 0.2
    };
    let key = (0..2000).find(is_within_fraction).unwrap();
    let id = node.partition.servers[3].entry.server.clone();
    // Requested often enough to be popular, but a too small fraction of all requests to be spread.
    for n in 0..3 {
        let other = 10_000 + 7 * n;
        (0..6).for_each(|i| {
            send_request(&mut node, now, other + i);
        });
        assert_eq!(
            send_request(&mut node, now, key),
            Some(id.clone()),
            "request {n}"
        );
        node.in_flight.serials.clear();
        node.in_flight.requests.clear();
        node.partition
            .servers
            .iter_mut()
            .for_each(|s| s.pending_attempts = 0);
    }
}
