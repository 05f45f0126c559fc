//! Random scenarios: a mix of faults drawn from a seed.

use crate::rng::Rng;

use super::kinds::{
    fault_spec, FaultSpec, FieldKind, ADDITIONAL_SWARM_FAULT, FAULTS, SWARM_FAULT_COUNT,
};
use super::scenario::{Fault, FieldValue, Scenario};

/// Seeds with this remainder meet [`ADDITIONAL_SWARM_FAULT`] too.
const ADDITIONAL_FAULT_PERIOD: u64 = 8;
const ADDITIONAL_FAULT_REMAINDER: u64 = 5;

/// Rounds to thousandths.
fn round(n: f64) -> f64 {
    (n * 1000.0).round() / 1000.0
}

/// Draws the time and the fields of a fault.
fn draw_fault(rng: &mut Rng, spec: &FaultSpec, seconds: f64) -> Fault {
    let mut fault = Fault {
        at: round(rng.between(0.5, seconds * 0.8)),
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
    fault
}

/// A scenario with a random mix of faults, which follows from the seed alone.
pub fn swarm(seed: u64) -> Scenario {
    let mut rng = Rng::stream(seed, "swarm", 0);
    let seconds = 20.0;
    let mut faults = Vec::new();
    for _ in 0..2 + rng.below(4) {
        let Some(spec) = rng.pick(&FAULTS[..SWARM_FAULT_COUNT]) else {
            continue;
        };
        faults.push(draw_fault(&mut rng, spec, seconds));
    }
    if seed % ADDITIONAL_FAULT_PERIOD == ADDITIONAL_FAULT_REMAINDER {
        // A stream of its own leaves all other draws as they are.
        let mut additional = Rng::stream(seed, "swarm", 1);
        let spec = fault_spec(ADDITIONAL_SWARM_FAULT);
        faults.extend(spec.map(|spec| draw_fault(&mut additional, spec, seconds)));
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
