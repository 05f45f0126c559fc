use super::*;
use crate::api::{Endpoint, EndpointListKind, Event};
use crate::hash::unit_interval;
use crate::rng::Rng;
use crate::test_support::{kind_estimate, live_endpoint, node};

/// A partition of `n` servers with equal ranges.
fn partition(n: usize) -> Partition {
    let mut partition = Partition::default();
    for i in 0..n {
        partition.join(Server::new(live_endpoint(&format!("s{i}"))));
    }
    partition.blend_bounds(&vec![1.0; n], 1.0);
    partition.reindex();
    partition
}

#[test]
fn bounds_fall_at_midpoints_of_neighbouring_positions() {
    let positions = [0.1, 0.2, 0.4, 0.6, 0.7, 0.9];
    let bounds = equal_count_bounds(&positions, 0.0, &[1.0, 1.0, 1.0]);
    assert_eq!(bounds.len(), 3);
    assert!(
        (bounds[0] - 0.3).abs() < 1e-9 && (bounds[1] - 0.65).abs() < 1e-9 && bounds[2] == 1.0,
        "{bounds:?}"
    );
}

#[test]
fn counts_of_ranges_follow_weights() {
    let positions = [0.1, 0.2, 0.4, 0.6, 0.7, 0.9];
    let bounds = equal_count_bounds(&positions, 0.0, &[1.0, 2.0, 3.0]);
    assert!(
        (bounds[0] - 0.15).abs() < 1e-9 && (bounds[1] - 0.5).abs() < 1e-9,
        "{bounds:?}"
    );
}

#[test]
fn empty_window_gives_even_ranges() {
    let bounds = equal_count_bounds(&[], 64.0, &[1.0; 4]);
    for (bound, want) in bounds.iter().zip([0.25, 0.5, 0.75, 1.0]) {
        assert!((bound - want).abs() < 1e-9);
    }
}

#[test]
fn arrivals_are_weighed_against_the_uniform_mass() {
    // 4 positions at the low end, uniform mass of 4: half of the total lies below x where 4 x + 4 = 4.
    let bounds = equal_count_bounds(&[0.01, 0.02, 0.03, 0.04], 4.0, &[1.0, 1.0]);
    assert!(bounds[0] > 0.0 && bounds[0] < 0.2, "{bounds:?}");
}

#[test]
fn position_with_many_arrivals_fills_several_ranges() {
    let bounds = equal_count_bounds(&[0.2, 0.5, 0.5, 0.5, 0.5, 0.8], 0.0, &[1.0; 6]);
    assert_eq!(&bounds[1..4], &[0.5, 0.5, 0.5]);
}

#[test]
fn blending_moves_bounds_by_a_fraction_of_the_distance() {
    let mut partition = partition(2);
    for _ in 0..16 {
        partition.record_arrival(0.1, None);
    }
    let bound = partition.current_bounds(&[1.0, 1.0])[0];
    partition.blend_bounds(&[1.0, 1.0], 0.25);
    assert!((partition.servers[0].upper_bound - (0.75 * 0.5 + 0.25 * bound)).abs() < 1e-9);
}

#[test]
fn range_of_a_removed_server_goes_to_its_neighbours_and_others_keep_theirs() {
    let mut partition = partition(5);
    partition.leave(2);
    let bounds: Vec<f64> = partition.servers.iter().map(|s| s.upper_bound).collect();
    for (bound, want) in bounds.iter().zip([0.2, 0.5, 0.8, 1.0]) {
        assert!((bound - want).abs() < 1e-9, "{bounds:?}");
    }
}

#[test]
fn joining_server_changes_the_ranges_of_its_neighbours_only() {
    let mut partition = partition(6);
    let before: Vec<(ServerId, f64)> = partition
        .servers
        .iter()
        .map(|s| (s.entry.server.clone(), s.upper_bound))
        .collect();
    partition.join(Server::new(live_endpoint("joiner")));
    let moved = partition
        .servers
        .iter()
        .filter(|s| {
            before
                .iter()
                .any(|(id, bound)| *id == s.entry.server && (bound - s.upper_bound).abs() > 1e-9)
        })
        .count();
    assert!(moved <= 1);
    assert!(partition
        .servers
        .windows(2)
        .all(|w| w[0].upper_bound <= w[1].upper_bound));
    assert_eq!(partition.servers.last().unwrap().upper_bound, 1.0);
}

#[test]
fn order_of_servers_does_not_depend_on_the_order_of_joining() {
    let mut a = Partition::default();
    let mut b = Partition::default();
    for i in 0..20 {
        a.join(Server::new(live_endpoint(&format!("s{i}"))));
        b.join(Server::new(live_endpoint(&format!("s{}", 19 - i))));
    }
    let ids = |partition: &Partition| {
        partition
            .servers
            .iter()
            .map(|s| s.entry.server.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(&a), ids(&b));
}

#[test]
fn key_with_more_requests_than_a_range_is_spread_over_several_servers() {
    let mut partition = partition(10);
    let mut rng = Rng(1);
    for i in 0..400 {
        let key = if i % 3 == 0 {
            77
        } else {
            (rng.next_unit() * 1e9) as u64
        };
        partition.record_arrival(unit_interval(key), Some(key));
    }
    assert!(
        (3..=5).contains(&partition.hot_keys.spread_width(77, 10)),
        "{}",
        partition.hot_keys.spread_width(77, 10)
    );
    assert_eq!(partition.hot_keys.spread_width(78, 10), 1);
}

#[test]
fn nodes_with_few_arrivals_agree_on_most_home_servers() {
    let (mut a, mut b) = (partition(40), partition(40));
    let mut rng = Rng(5);
    for _ in 0..200 {
        a.record_arrival(rng.next_unit(), None);
        b.record_arrival(rng.next_unit(), None);
    }
    a.blend_bounds(&[1.0; 40], 1.0);
    b.blend_bounds(&[1.0; 40], 1.0);
    let same = (0..1000)
        .filter(|i| a.home(f64::from(*i) / 1000.0) == b.home(f64::from(*i) / 1000.0))
        .count();
    assert!(same > 900, "{same}");
}

#[test]
fn nodes_with_different_learned_speeds_agree_on_most_home_servers() {
    let list_servers = |node: &mut Balancer| {
        let list = (0..80)
            .map(|i| Endpoint {
                kind: Some(i % 2),
                ..live_endpoint(&format!("s{i}"))
            })
            .collect();
        node.handle(
            0,
            Event::EndpointList(EndpointListKind::Full, list),
            &mut Vec::new(),
        );
    };
    let (mut a, mut b) = (node(0.0, 0), node(0.0, 0));
    list_servers(&mut a);
    b.latencies.kinds = [0.0, -0.125, 0.125]
        .map(|log| kind_estimate(log * 1e6, if log == 0.0 { 0.0 } else { 1e6 }))
        .to_vec();
    list_servers(&mut b);
    b.update_weights();
    b.partition.blend_bounds(&b.weights.clone(), 1.0);
    let position = |i: usize| i as f64 / 4000.0;
    let same = (0..4000)
        .filter(|i| a.partition.home(position(*i)) == b.partition.home(position(*i)))
        .count();
    assert!(same > 3200, "{same} of 4000");
}
