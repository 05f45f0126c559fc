//! Numbers that are drawn from a seed.

use std::ops::Range;
use std::time::Duration;

/// `SplitMix64` (Steele, Lea, Flood: Fast splittable pseudorandom number generators).
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        Draw(seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// A number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 27)) % bound
    }

    pub(crate) fn within(&mut self, range: Range<usize>) -> usize {
        range.start + self.below(range.len() as u64) as usize
    }

    pub(crate) fn millis(&mut self, range: Range<usize>) -> Duration {
        Duration::from_millis(self.within(range) as u64)
    }

    /// One of these.
    pub(crate) fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }
}

/// The seeds that a test plays: those that the environment variable names (`FIRST..END` or their number), else this many.
pub(crate) fn seeds(variable: &str, default_count: u64) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else {
        return 0..default_count;
    };
    match text.split_once("..") {
        Some((first, end)) => first.parse().unwrap()..end.parse().unwrap(),
        None => 0..text.parse().unwrap(),
    }
}
