//! An overload of the origin ends when its cause does: sixty nodes before forty servers, on virtual time, from seeds. Verdicts
//! are fractions of the priority weight over whole seconds.

use sloewick_fleet_model::{
    HotKey, Model, NodeRestart, Policy, SecondCounts, Site, MICROS_PER_SECOND,
};

/// Seconds after the end of a fault from which service must have recovered.
const RECOVERY_SECONDS: usize = 12;
/// Fraction of the service before a fault that counts as recovered.
const MIN_RECOVERED_FRACTION: f64 = 0.85;

/// Plays a fleet with its balancers; checks that each request has had one final response, before its deadline.
fn play(seed: u64, seconds: usize, site: Site) -> (Vec<f64>, Vec<SecondCounts>) {
    let mut model = Model::new(site, Policy::Balancer, seed);
    let served = model.play(seconds);
    assert_eq!(
        model.violations, 0,
        "each request has one final response, before its deadline"
    );
    (served, model.seconds)
}

fn mean(fractions: &[f64]) -> f64 {
    fractions.iter().sum::<f64>() / fractions.len() as f64
}

/// What is served from `after` seconds after the end of the fault on, as a fraction of what was served before it.
fn recovered_fraction(seed: u64, site: &Site, after: usize) -> f64 {
    let end = (site.slow_period.end / MICROS_PER_SECOND) as usize + after;
    let (served, _) = play(seed, end + 4, site.clone());
    mean(&served[end..]) / mean(&served[4..10])
}

/// Checks three seeds for recovery.
fn assert_recovery(name: &str, site: &Site, after: usize) {
    for seed in 1..=3 {
        let fraction = recovered_fraction(seed, site, after);
        assert!(
            fraction > MIN_RECOVERED_FRACTION,
            "{name}: {fraction:.2} of what was served, seed {seed}, {:?}",
            site.slow_period
        );
    }
}

// Guards against an overload that outlasts its cause: the origin works on what no client awaits, and so answers nothing in time.
#[test]
fn overload_of_the_origin_ends_with_its_cause() {
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
fn nodes_that_restart_during_an_overload_do_not_prolong_it() {
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
fn clients_that_always_retry_do_not_prolong_an_overload() {
    let site = Site {
        retry_probability: 1.0,
        ..Site::default()
    };
    let site = site.with_slow_origin(10..14, 8.0);
    assert_recovery("clients that retry", &site, RECOVERY_SECONDS);
}

#[test]
fn hot_key_and_faulty_servers_do_not_prolong_an_overload() {
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
fn fleet_without_faults_rejects_almost_nothing() {
    for seed in 1..=3 {
        let (served, seconds) = play(seed, 20, Site::default());
        let counts: SecondCounts = seconds[5..].iter().sum();
        assert!(
            counts.rejected * 100 < counts.offered,
            "{} of {}, seed {seed}",
            counts.rejected,
            counts.offered
        );
        assert!(mean(&served[5..]) > 0.97);
    }
}

// Guards against hits that count as evidence of an overload, without end, where nothing is fetched that could be evidence against
// one: 0.52 of the load was served.
#[test]
fn load_that_is_answered_from_caches_is_no_overload() {
    for request_rate in [1_500.0, 2_000.0] {
        for seed in 1..=2 {
            let site = Site {
                request_rate,
                write_fraction: 0.0,
                ..Site::default()
            };
            let (served, _) = play(seed, 20, site);
            assert!(
                mean(&served[5..]) > 0.95,
                "{:.3} of {request_rate} a second, seed {seed}",
                mean(&served[5..])
            );
        }
    }
}

// What a policy with complete information serves is an upper bound on what can be expected of one without.
#[test]
fn omniscient_policy_serves_what_the_fleet_has_capacity_for() {
    let twice_the_load = Site {
        request_rate: 2_000.0,
        ..Site::default()
    };
    let slow_origin = Site::default().with_slow_origin(10..18, 2.5);
    for site in [twice_the_load, slow_origin] {
        let mut model = Model::new(site, Policy::Omniscient, 1);
        let served = mean(&model.play(20)[5..]);
        assert!(
            served > 0.97 && model.violations == 0,
            "{served:.3}, {} violations",
            model.violations
        );
    }
}

// Guards against the collapse under a lasting overload: with an admitted fraction of at least a fifth 0.08 of the peak was
// served, without any bound 0.38, with cached keys always admitted 0.4.
#[test]
fn load_above_the_capacity_of_the_origin_is_served_in_part() {
    let peak = 2_550;
    for seed in 1..=2 {
        let site = Site {
            request_rate: 3_000.0,
            ..Site::default()
        };
        let (_, seconds) = play(seed, 50, site);
        let counts: SecondCounts = seconds[20..].iter().sum();
        let served = counts.served_weight / 30;
        assert!(
            served > peak / 2,
            "{served} a second of {peak}, seed {seed}"
        );
    }
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let site = Site::default().with_slow_origin(10..12, 8.0);
    let run = || play(5, 14, site.clone()).1;
    assert_eq!(run(), run());
}
