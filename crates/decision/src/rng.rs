//! The pseudo-random generator of the decision code: seeded, so that a run can be repeated, and without I/O.
//!
//! Guarantees: the same seed gives the same numbers on every platform and in every version.

use crate::hash::{mix, unit_interval};

/// SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014): a small
/// generator that is seeded for each node.
pub struct Rng(pub u64);

impl Rng {
    /// The next number, from 0 up to but not including 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(mix(self.0))
    }
}
