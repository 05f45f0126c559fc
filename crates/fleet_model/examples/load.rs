//! Prints the priority weight that a fleet serves under loads of up to eight times the default, compared with the omniscient
//! policy, and the reasons for which the balancers rejected requests. Also draws the served weight into an SVG file if one is
//! given as argument.
//!
//!     cargo run --release -p sloewick-fleet-model --example load
//!     cargo run --release -p sloewick-fleet-model --example load -- docs/overload-load.svg

mod support;

use std::error::Error;

use sloewick_fleet_model::{Model, Policy, SecondCounts, Site};
use support::{Chart, Line, ReferenceLine};

/// Multiples of the default load.
const LOADS: [f64; 10] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 8.0];
const SECONDS: usize = 40;
/// First second that is counted; the seconds before it are left out because the nodes have just started.
const FIRST_SECOND: usize = 10;
const SEEDS: u64 = 2;

/// Result of one policy at one load; the means over the seeds.
struct LoadResult {
    /// Multiple of the default load.
    load: f64,
    /// Priority weight per second.
    offered: f64,
    /// Priority weight per second.
    served: f64,
}

/// Results of one policy, by load.
struct Series {
    name: &'static str,
    results: Vec<LoadResult>,
}

fn run_seeds(site: &Site, policy: Policy, load: f64) -> LoadResult {
    let mut offered = 0;
    let mut served = 0;
    for seed in 1..=SEEDS {
        let site = Site {
            request_rate: site.request_rate * load,
            ..site.clone()
        };
        let mut model = Model::new(site, policy, seed);
        model.run(SECONDS);
        let counts: SecondCounts = model.seconds[FIRST_SECOND..].iter().sum();
        offered += counts.offered_weight;
        served += counts.served_weight;
        println!(
            "{:10} {load:4} seed {seed}: rejected {:?}",
            format!("{policy:?}"),
            model.reject_reasons
        );
    }
    let seconds = (SECONDS - FIRST_SECOND) as f64 * SEEDS as f64;
    LoadResult {
        load,
        offered: f64::from(offered) / seconds,
        served: f64::from(served) / seconds,
    }
}

fn run_series(name: &'static str, site: &Site, policy: Policy) -> Series {
    Series {
        name,
        results: LOADS.map(|load| run_seeds(site, policy, load)).into(),
    }
}

fn draw(file: &str, all: &[Series]) -> Result<(), Box<dyn Error>> {
    let results = all.iter().flat_map(|series| &series.results);
    let y_max = results.map(|result| result.served).fold(0.0, f64::max) * 1.1;
    let lines = all.iter().map(|series| Line {
        label: series.name.to_string(),
        points: series.results.iter().map(|r| (r.load, r.served)).collect(),
    });
    let offered = all[0].results.iter().map(|r| (r.load, r.offered));
    let chart = Chart {
        caption: "Priority weight served by load",
        x_description: "load, multiple of the default",
        y_description: "priority weight per second",
        x_max: 8.2,
        y_max,
        lines: lines.collect(),
        reference: ReferenceLine {
            label: None,
            points: offered
                .take_while(|(_, offered)| *offered < y_max)
                .collect(),
            opacity: 0.3,
        },
    };
    chart.write_svg(file)
}

fn main() -> Result<(), Box<dyn Error>> {
    let default_site = Site::default();
    let without_writes = Site {
        write_fraction: 0.0,
        ..Site::default()
    };
    let all = [
        run_series("nodes", &default_site, Policy::Balancer),
        run_series("omniscient", &default_site, Policy::Omniscient),
        run_series("nodes, no writes", &without_writes, Policy::Balancer),
        run_series("omniscient, no writes", &without_writes, Policy::Omniscient),
    ];
    println!(
        "priority weight per second, seconds {FIRST_SECOND} to {SECONDS}, mean of {SEEDS} seeds"
    );
    for series in &all {
        for result in &series.results {
            println!(
                "{:28} {:4} offered {:6.0} served {:6.0}",
                series.name, result.load, result.offered, result.served
            );
        }
    }
    match std::env::args().nth(1) {
        Some(file) => draw(&file, &all),
        None => Ok(()),
    }
}
