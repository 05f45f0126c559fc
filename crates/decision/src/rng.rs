//! The pseudo-random generator of the decision code. It is seeded, so that a run can be repeated, and does no
//! I/O.
//!
//! Guarantees: the same seed gives the same numbers on every platform and in every version
//! (`tests/stable_numbers.rs`). Not cryptographically secure: its numbers can be predicted.
//!
//! ```
//! use sloewick_decision::rng::Rng;
//!
//! let (mut one, mut other) = (Rng(4711), Rng(4711));
//! assert_eq!(one.next_unit(), other.next_unit());
//! ```

use crate::hash::{mix, unit_interval};

/// The increment of `SplitMix64`: the golden ratio as a 64-bit fraction.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// `SplitMix64` (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014). The
/// field is its state; any number is a valid seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rng(pub u64);

impl Rng {
    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        mix(self.0)
    }

    /// Returns the next random number, from 0 up to but not including 1.
    pub fn next_unit(&mut self) -> f64 {
        unit_interval(self.next_u64())
    }
}
