//! Random scenarios: a mix of faults drawn from a seed.

use crate::rng::Rng;

use super::kinds::{FieldKind, FAULTS, SWARM_FAULT_COUNT};
use super::scenario::{Fault, FieldValue, Scenario};

/// A scenario with a random mix of faults, which follows from the seed alone.
pub fn swarm(seed: u64) -> Scenario {
    let mut rng = Rng::stream(seed, "swarm", 0);
    let seconds = 20.0;
    let round = |n: f64| (n * 1000.0).round() / 1000.0;
    let mut faults = Vec::new();
    for _ in 0..2 + rng.below(4) {
        let Some(spec) = rng.pick(&FAULTS[..SWARM_FAULT_COUNT]) else {
            continue;
        };
        let at = round(rng.between(0.5, seconds * 0.8));
        let mut fault = Fault {
            at,
            name: spec.name,
            values: Vec::new(),
        };
        for (name, kind) in spec.fields {
            let value = match kind {
                FieldKind::Number {
                    low, high, default, ..
                } => {
                    let n = default * rng.between(0.2, 1.6);
                    let n = if ["count", "keys"].contains(name) {
                        n.ceil()
                    } else {
                        round(n)
                    };
                    FieldValue::Number(n.clamp(*low, *high))
                }
                FieldKind::Word(words) => FieldValue::Word(words[rng.below(words.len())]),
            };
            fault.values.push((name, value));
        }
        fault.values.sort_by_key(|(name, _)| *name);
        faults.push(fault);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Scenario {
        name: "swarm".to_string(),
        about: "a random mix of faults".to_string(),
        seconds,
        nodes: 4,
        servers: 12 + rng.below(9),
        rate: round(rng.between(300.0, 500.0)),
        faults,
    }
}
