//! Prints what a fleet serves of loads that it can't bear, beside a policy that sees all; and which decisions gave up the rest.
//!
//!     cargo run --release -p sloewick-lab --example load

use sloewick_lab::{Arm, Model, Second, Site};

fn main() {
    for (name, site) in [
        ("usual", Site::default()),
        ("no writes", Site { writes: 0.0, ..Site::default() }),
        ("fast origin", Site { origin_rate: 7000.0, ..Site::default() }),
    ] {
        for load in [1.5, 2.0, 3.0, 4.0, 6.0] {
            for arm in [Arm::Module, Arm::Seeing] {
                let mut model = Model::new(Site { rate: 1_000.0 * load, ..site.clone() }, arm, 1);
                model.play(40);
                let sum = |of: fn(&Second) -> u32| model.seconds[20..].iter().map(of).sum::<u32>() / 20;
                println!(
                    "{name:12} {load:4} {:8} worth {:5}/{:5} served {:5} from origin {:4} refused {:5} attempts {:5} for nobody {:4}",
                    format!("{arm:?}"), sum(|s| s.worth_served), sum(|s| s.worth_offered), sum(|s| s.served),
                    sum(|s| s.from_origin), sum(|s| s.refused), sum(|s| s.attempts), sum(|s| s.for_nobody)
                );
                println!("{:?}", model.why);
            }
        }
    }
}
