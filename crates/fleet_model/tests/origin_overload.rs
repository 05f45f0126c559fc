//! Overloads of the origin in a fleet of sixty nodes and forty servers, on virtual time and reproducible by seed. The tests
//! check fractions of the offered priority weight that were served within their latency objective, over whole seconds.

use sloewick_fleet_model::{
    HotKey, Model, NodeRestart, Policy, SecondCounts, Site, MICROS_PER_SECOND,
};

/// Time after the end of the origin's slow period by which service must have recovered, in seconds.
const RECOVERY_SECONDS: usize = 12;
/// Served fraction, relative to the one before the slow period, above which service counts as recovered.
const MIN_RECOVERED_FRACTION: f64 = 0.85;

/// Runs a fleet under [`Policy::Balancer`] and checks that each request had one final response, before its deadline. Returns
/// the served fraction and the counts of each second.
fn run_fleet(seed: u64, seconds: usize, site: Site) -> (Vec<f64>, Vec<SecondCounts>) {
    let mut model = Model::new(site, Policy::Balancer, seed);
    let served = model.run(seconds);
    assert_eq!(
        model.violations, 0,
        "each request has one final response, before its deadline"
    );
    (served, model.seconds)
}

fn mean(fractions: &[f64]) -> f64 {
    fractions.iter().sum::<f64>() / fractions.len() as f64
}

/// Returns the served fraction in the 4 seconds that start `after` seconds after the end of the slow period, relative to the
/// served fraction before the slow period (seconds 4 to 10).
fn recovered_fraction(seed: u64, site: &Site, after: usize) -> f64 {
    let end = (site.slow_period.end / MICROS_PER_SECOND) as usize + after;
    let (served, _) = run_fleet(seed, end + 4, site.clone());
    mean(&served[end..]) / mean(&served[4..10])
}

/// Checks with three seeds that service has recovered `after` seconds after the end of the slow period.
fn assert_recovery(name: &str, site: &Site, after: usize) {
    for seed in 1..=3 {
        let fraction = recovered_fraction(seed, site, after);
        assert!(
            fraction > MIN_RECOVERED_FRACTION,
            "{name}: served {fraction:.2} of the level before the slow period {:?}, seed {seed}",
            site.slow_period
        );
    }
}

// Guards against an overload that outlasts its cause: the origin works on requests that no client awaits any more, and so
// answers none in time.
#[test]
fn origin_overload_ends_after_the_slow_period() {
    for (seconds, factor, after) in [
        (10..12, 8.0, 9),
        (10..16, 8.0, 12),
        (10..18, 4.0, 13),
        (10..18, 2.5, 12),
    ] {
        let site = Site::default().with_slow_origin(seconds, factor);
        assert_recovery("slow origin", &site, after);
    }
}

#[test]
fn node_restarts_during_an_origin_overload_do_not_prolong_it() {
    let site = Site {
        node_restart: Some(NodeRestart {
            at: 12 * MICROS_PER_SECOND,
            nodes: 30,
        }),
        ..Site::default()
    };
    let site = site.with_slow_origin(10..14, 8.0);
    assert_recovery("restarted nodes", &site, RECOVERY_SECONDS);
}

#[test]
fn clients_that_always_retry_do_not_prolong_an_origin_overload() {
    let site = Site {
        retry_probability: 1.0,
        ..Site::default()
    };
    let site = site.with_slow_origin(10..14, 8.0);
    assert_recovery("clients that retry", &site, RECOVERY_SECONDS);
}

#[test]
fn hot_key_and_faulty_servers_do_not_prolong_an_origin_overload() {
    let hot_key = Site {
        hot_key: Some(HotKey {
            period: 9 * MICROS_PER_SECOND..60 * MICROS_PER_SECOND,
            fraction: 0.24,
        }),
        ..Site::default()
    };
    let faulty_servers = Site {
        faulty_servers: 5,
        ..Site::default()
    };
    for (name, site) in [("hot key", hot_key), ("faulty servers", faulty_servers)] {
        let site = site.with_slow_origin(10..14, 7.0);
        assert_recovery(name, &site, RECOVERY_SECONDS);
    }
}

#[test]
fn fleet_without_faults_rejects_less_than_one_percent() {
    for seed in 1..=3 {
        let (served, seconds) = run_fleet(seed, 20, Site::default());
        let counts: SecondCounts = seconds[5..].iter().sum();
        assert!(
            counts.rejected * 100 < counts.offered,
            "rejected {} of {} requests, seed {seed}",
            counts.rejected,
            counts.offered
        );
        assert!(mean(&served[5..]) > 0.97);
    }
}

// Guards against cache hits that count as evidence of an origin overload forever, because no fetches occur that could be
// evidence against one. With this fault, 0.52 of the load was served.
#[test]
fn load_served_from_caches_is_not_detected_as_an_origin_overload() {
    for request_rate in [1_500.0, 2_000.0] {
        for seed in 1..=2 {
            let site = Site {
                request_rate,
                write_fraction: 0.0,
                ..Site::default()
            };
            let (served, _) = run_fleet(seed, 20, site);
            assert!(
                mean(&served[5..]) > 0.95,
                "served {:.3} of {request_rate} requests per second, seed {seed}",
                mean(&served[5..])
            );
        }
    }
}

// The omniscient policy is the upper bound with which other policies are compared. At twice the default load, or with a slow
// origin, it must serve nearly all requests.
#[test]
fn omniscient_policy_serves_nearly_all_within_the_capacity_of_the_fleet() {
    let twice_the_load = Site {
        request_rate: 2_000.0,
        ..Site::default()
    };
    let slow_origin = Site::default().with_slow_origin(10..18, 2.5);
    for site in [twice_the_load, slow_origin] {
        let mut model = Model::new(site, Policy::Omniscient, 1);
        let served = mean(&model.run(20)[5..]);
        assert!(
            served > 0.97 && model.violations == 0,
            "served {served:.3}, {} violations",
            model.violations
        );
    }
}

// Guards against a collapse under a lasting overload of the origin. Of the peak, 0.08 was served with an admitted fraction of
// at least a fifth, 0.38 without any admitted fraction, and 0.4 with cached keys always admitted.
#[test]
fn load_above_the_capacity_of_the_origin_is_served_at_over_half_of_the_peak() {
    // Highest served priority weight per second over all loads.
    let peak_served_weight = 2_550;
    for seed in 1..=2 {
        let site = Site {
            request_rate: 3_000.0,
            ..Site::default()
        };
        let (_, seconds) = run_fleet(seed, 50, site);
        let counts: SecondCounts = seconds[20..].iter().sum();
        let served_weight = counts.served_weight / 30;
        assert!(
            served_weight > peak_served_weight / 2,
            "served priority weight {served_weight} per second, peak {peak_served_weight}, seed {seed}"
        );
    }
}

#[test]
fn runs_with_the_same_seed_have_equal_counts() {
    let site = Site::default().with_slow_origin(10..12, 8.0);
    let run = || run_fleet(5, 14, site.clone()).1;
    assert_eq!(run(), run());
}
