use super::*;

fn slow_start(mean_warm_up_fraction: f64) -> SlowStart {
    SlowStart {
        warm_up_time: 24_000_000,
        cold_capacity: 0.13,
        max_multiple: MAX_OVERLOAD_FRACTION * 2.5,
        mean_warm_up_fraction,
        mean_updated: None,
        overload_window: 2_000_000,
        overload_multiple: 2.5,
        recent_arrivals: 0.0,
        last_arrival: 0,
        first_arrival: None,
        phase: 0.0,
    }
}

fn range_fraction_in_fleet(cold: usize, warm: usize) -> f64 {
    let mut slow_start = slow_start(1.0);
    let warm_up = slow_start.warm_up_fraction(Some(0), 6_000_000);
    slow_start.update_mean(
        6_000_000,
        [vec![warm_up; cold], vec![1.0; warm]].concat().into_iter(),
    );
    slow_start.range_fraction(warm_up)
}

// Guards against leaving all requests to the few warm servers of a fleet while most servers are cold.
#[test]
fn warming_servers_are_loaded_to_the_same_fraction_of_capacity_as_warm_ones() {
    let (alone, half, most) = (
        range_fraction_in_fleet(1, 59),
        range_fraction_in_fleet(36, 24),
        range_fraction_in_fleet(57, 3),
    );
    let capacity = 0.13 + 0.87 / 4.0;
    assert!(
        (alone / capacity - 1.0).abs() < 0.02,
        "{alone} for a capacity of {capacity}"
    );
    let mean = (36.0 * capacity + 24.0) / 60.0;
    assert!((half - capacity / mean).abs() < 1e-9);
    assert!(most > half && most <= 0.7 * 2.5 * capacity + 1e-9);
}

#[test]
fn range_fractions_stay_below_overload_and_within_one() {
    for mean in 1..=20 {
        let slow_start = slow_start(f64::from(mean) / 20.0);
        for age in 0..48 {
            let warm_up = slow_start.warm_up_fraction(Some(0), age * 500_000);
            let fraction = slow_start.range_fraction(warm_up);
            assert!(
                fraction <= 1.0
                    && fraction >= warm_up
                    && (warm_up >= 1.0 || fraction <= 0.7 * 2.5 * warm_up + 1e-9)
            );
        }
    }
    assert_eq!(
        (
            slow_start(1.0).warm_up_fraction(None, 0),
            slow_start(1.0).warm_up_fraction(Some(0), 24_000_000)
        ),
        (1.0, 1.0)
    );
}

// Guards against a token bucket that refills at the rate of the quota: it would allow twice the quota
// within one window.
#[test]
fn no_overload_window_holds_more_sends_than_the_quota() {
    let (slow_start, quota) = (slow_start(1.0), 7.0);
    for pause in [0, 100_000, 900_000, 1_999_999, 2_000_000, 5_000_000] {
        let (mut sends, mut sent) = (VecDeque::new(), Vec::new());
        // Idle during the pause, then under constant demand.
        for now in (0..10_000_000)
            .step_by(50_000)
            .skip_while(|now| *now < pause)
        {
            if slow_start.is_within_quota(&sends, quota, now) {
                slow_start.record_send(&mut sends, Some(now), now);
                sent.push(now);
            }
        }
        for from in &sent {
            let within = sent
                .iter()
                .filter(|at| (*from..from + slow_start.overload_window).contains(at))
                .count();
            assert!(within as f64 <= quota, "{within} from {from}");
        }
        assert!(
            sent.len() as f64
                >= (quota * (10_000_000 - pause) as f64 / slow_start.overload_window as f64)
                    .floor()
        );
        assert!(sends.len() as f64 <= quota);
    }
    let mut sends = VecDeque::new();
    (0..1_000).for_each(|now| slow_start.record_send(&mut sends, None, now));
    assert!(sends.is_empty(), "a warm server uses no quota");
}

#[test]
fn range_fraction_stays_within_its_bounds_for_an_empty_fleet_and_a_single_server() {
    let mut slow_start = slow_start(1.0);
    slow_start.update_mean(0, std::iter::empty());
    assert_eq!(slow_start.range_fraction(0.5), 0.5);
    assert!(!slow_start.is_mean_stale(MEAN_MAX_AGE - 1) && slow_start.is_mean_stale(MEAN_MAX_AGE));
    slow_start.update_mean(10 * MEAN_MAX_AGE, std::iter::once(0.13));
    assert!(slow_start.range_fraction(0.13) <= 0.7 * 2.5 * 0.13 + 1e-9);
}

/// The slow-start states of the nodes of one fleet, by node number.
fn nodes(number: u64) -> Vec<SlowStart> {
    let phase_of = |n: u64| (n as f64 * GOLDEN_RATIO).fract();
    (0..number)
        .map(|n| SlowStart {
            phase: phase_of(n),
            ..slow_start(1.0)
        })
        .collect()
}

// Guards against random draws instead of evenly spread phases: the sum would deviate by its square root.
#[test]
fn quotas_in_a_slot_of_any_number_of_nodes_add_up_to_their_quotas() {
    for number in [3, 20, 30, 100, 300] {
        let nodes = nodes(number);
        for quota in [0.003, 0.05, 0.3, 0.9, 1.0, 1.4, 2.7] {
            for case in 0..40 {
                let (order, slot) = (mix(case), case as i64 % 4);
                let now = slot * SLOT_WINDOWS * 2_000_000 + 2_000_000;
                let sum: f64 = nodes
                    .iter()
                    .map(|node| node.quota_in_slot(quota, order, Some(0), now))
                    .sum();
                let deviation = sum - quota * number as f64;
                assert!(
                    deviation.abs() <= 2.0,
                    "{sum} of {quota} at each of {number}, slot {slot} of {case}"
                );
            }
        }
    }
}

// Guards against a limit of one attempt for each node regardless of its quota, and against attempts of two
// slots within one overload window.
#[test]
fn nodes_under_constant_demand_use_their_quotas_and_exceed_the_sum_in_no_window() {
    let (nodes, quota, step) = (nodes(300), 0.1, 250_000);
    for order in (0..6).map(mix) {
        let mut sends = vec![VecDeque::new(); nodes.len()];
        let mut sent = Vec::new();
        for now in (0..23_000_000).step_by(step) {
            for (node, sends) in nodes.iter().zip(&mut sends) {
                if node.is_within_quota(sends, node.quota_in_slot(quota, order, Some(0), now), now)
                {
                    node.record_send(sends, Some(0), now);
                    sent.push(now);
                }
            }
        }
        for from in (0..21_000_000).step_by(step) {
            let within = sent
                .iter()
                .filter(|at| (from..from + 2_000_000).contains(*at))
                .count();
            assert!(
                within <= 32,
                "{within} attempts within the overload window from {from}"
            );
        }
        assert!(sent.len() > 250, "{} in 23 s", sent.len());
    }
}

#[test]
fn every_node_owns_slots_at_some_but_not_all_servers() {
    for node in nodes(30) {
        let owned_slots = (0..300)
            .filter(|n| node.quota_in_slot(0.2, mix(*n), Some(0), 0) > 0.0)
            .count();
        assert!(
            (30..=90).contains(&owned_slots),
            "{owned_slots} of 300 servers"
        );
    }
}

/// Nodes that share the quota of a cold server must agree on phases and slots, even if their program
/// versions differ.
#[test]
fn phases_of_numbered_nodes_are_stable() {
    let expected = [
        0.0,
        0.618_033_988_749_894_9,
        0.236_067_977_499_789_8,
        0.854_101_966_249_684_7,
        0.472_135_954_999_579_6,
    ];
    for (number, phase) in expected.into_iter().enumerate() {
        assert_eq!(
            (number as f64 * GOLDEN_RATIO).fract(),
            phase,
            "node {number}"
        );
    }
}

#[test]
fn slots_in_which_a_node_sends_one_more_are_stable() {
    let node = SlowStart {
        phase: 0.854_101_966_249_684_7,
        ..slow_start(1.0)
    };
    let slots = |server: &str, offset: Micros| -> Vec<i64> {
        let order = crate::hash::hash(server);
        (0..20)
            .filter(|slot| {
                let now = slot * 12_000_000 + offset;
                node.quota_in_slot(0.4, order, Some(0), now) >= 1.0
            })
            .collect()
    };
    assert_eq!(slots("srv0", 1_000_000), [9, 10, 11, 12, 18, 19]);
    assert_eq!(
        slots("srv0", 2_000_000),
        [6, 8, 9, 10, 11, 12, 14, 17, 18, 19]
    );
    assert!(slots("srv1", 1_000_000).is_empty());
    assert_eq!(slots("srv1", 2_000_000), [3, 5, 7, 13]);
}
