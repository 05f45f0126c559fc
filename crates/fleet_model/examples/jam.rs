//! Prints what a fleet serves while its origin is slow, and after; and under loads of half to four times the usual.
//!
//!     cargo run --release -p sloewick-fleet-model --example jam

use sloewick_fleet_model::{Arm, Model, Site};

const SECOND: i64 = 1_000_000;
const SEEDS: u64 = 4;

fn served(arm: Arm, site: &Site, seconds: usize) -> Vec<f64> {
    let mut sum = vec![0.0; seconds];
    for seed in 1..=SEEDS {
        let played = Model::new(site.clone(), arm, seed).play(seconds);
        sum.iter_mut()
            .zip(played)
            .for_each(|(sum, share)| *sum += share / SEEDS as f64);
    }
    sum
}

fn main() {
    let slow = |times: f64, seconds: i64| Site {
        slow: 10 * SECOND..(10 + seconds) * SECOND,
        slower: times,
        ..Site::default()
    };
    println!("served in time, % of the worth, by second; the origin is slower from second 10 on; mean of {SEEDS} seeds");
    for (name, site) in [
        ("no trouble", Site::default()),
        ("8 times for 2 s", slow(8.0, 2)),
        ("8 times for 6 s", slow(8.0, 6)),
        ("4 times for 8 s", slow(4.0, 8)),
        ("2.5 times for 8 s", slow(2.5, 8)),
        (
            "a third restarts",
            Site {
                restarted: Some((12 * SECOND, 20)),
                ..slow(8.0, 4)
            },
        ),
    ] {
        for arm in [Arm::Module, Arm::Dropping] {
            let shares = served(arm, &site, 30);
            let line: String = shares
                .iter()
                .map(|s| format!("{:4.0}", s * 100.0))
                .collect();
            let mean = shares.iter().sum::<f64>() / shares.len() as f64;
            println!("{name:18} {:9} {line}  mean {mean:.3}", format!("{arm:?}"));
        }
    }
    println!("worth a second, seconds 20 to 60, by load");
    for load in [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0] {
        let mut model = Model::new(
            Site {
                rate: 1_000.0 * load,
                ..Site::default()
            },
            Arm::Module,
            1,
        );
        model.play(60);
        let sum = |of: fn(&sloewick_fleet_model::Second) -> u32| {
            model.seconds[20..].iter().map(of).sum::<u32>() / 40
        };
        println!(
            "{load:4}  offered {:5}  served {:5}",
            sum(|s| s.worth_offered),
            sum(|s| s.worth_served)
        );
    }
}
