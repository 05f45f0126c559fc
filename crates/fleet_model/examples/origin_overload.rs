//! Prints what a fleet serves while its origin is slow and afterwards, and under loads of half to four times the default.
//!
//!     cargo run --release -p sloewick-fleet-model --example origin_overload

use sloewick_fleet_model::{Model, NodeRestart, Policy, SecondCounts, Site, MICROS_PER_SECOND};

const SEEDS: u64 = 4;
const SECONDS: usize = 30;
/// Multiples of the default load.
const LOADS: [f64; 7] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0];
const LOAD_SECONDS: usize = 60;
/// First second that is counted under a load; the seconds before it are left out because the nodes have just started.
const FIRST_LOAD_SECOND: usize = 20;

/// Returns the served fraction of the priority weight by second, as the mean of all seeds.
fn mean_served_fractions(policy: Policy, site: &Site) -> Vec<f64> {
    let mut mean = vec![0.0; SECONDS];
    for seed in 1..=SEEDS {
        let served = Model::new(site.clone(), policy, seed).run(SECONDS);
        for (mean, fraction) in mean.iter_mut().zip(served) {
            *mean += fraction / SEEDS as f64;
        }
    }
    mean
}

fn print_by_second(name: &str, policy: Policy, site: &Site) {
    let served = mean_served_fractions(policy, site);
    let percentages: Vec<String> = served
        .iter()
        .map(|fraction| format!("{:4.0}", fraction * 100.0))
        .collect();
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    println!(
        "{name:18} {:13} {}  mean {mean:.3}",
        format!("{policy:?}"),
        percentages.concat()
    );
}

fn print_by_load(load: f64) {
    let site = Site {
        request_rate: 1_000.0 * load,
        ..Site::default()
    };
    let mut model = Model::new(site, Policy::Balancer, 1);
    model.run(LOAD_SECONDS);
    let counts: SecondCounts = model.seconds[FIRST_LOAD_SECOND..].iter().sum();
    let seconds = (LOAD_SECONDS - FIRST_LOAD_SECOND) as u32;
    println!(
        "{load:4}  offered {:5}  served {:5}",
        counts.offered_weight / seconds,
        counts.served_weight / seconds
    );
}

fn main() {
    let site = Site::default;
    let restart = Site {
        node_restart: Some(NodeRestart {
            at: 12 * MICROS_PER_SECOND,
            nodes: 20,
        }),
        ..site()
    };
    println!(
        "served in time, % of the priority weight, by second; the origin is slower from second 10 on; mean of {SEEDS} seeds"
    );
    for (name, site) in [
        ("no fault", site()),
        ("8 times for 2 s", site().with_slow_origin(10..12, 8.0)),
        ("8 times for 6 s", site().with_slow_origin(10..16, 8.0)),
        ("4 times for 8 s", site().with_slow_origin(10..18, 4.0)),
        ("2.5 times for 8 s", site().with_slow_origin(10..18, 2.5)),
        ("a third restarts", restart.with_slow_origin(10..14, 8.0)),
    ] {
        for policy in [Policy::Balancer, Policy::CancelFetches] {
            print_by_second(name, policy, &site);
        }
    }
    println!("priority weight per second, seconds {FIRST_LOAD_SECOND} to {LOAD_SECONDS}, by load");
    for load in LOADS {
        print_by_load(load);
    }
}
