//! The random generator of a run. A seed has to give the same run in all versions, so the generator is defined here and
//! depends on no library.

/// splitmix64 (Steele, Lea, Flood 2014). Each component that draws random numbers has a stream of its own.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a stream with this initial state.
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    /// Creates the independent stream of a named and numbered component; draws from it do not change other streams.
    pub fn stream(seed: u64, name: &str, number: usize) -> Rng {
        let mut rng = Rng(seed ^ 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(number as u64 + 1));
        for byte in name.bytes() {
            rng.0 = rng.0.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte);
            rng.next_u64();
        }
        rng
    }

    /// 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut h = self.0;
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^ (h >> 31)
    }

    /// Uniform from 0 (inclusive) to 1 (exclusive).
    pub fn unit_interval(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform from 0 (inclusive) to `n` (exclusive); 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 {
            0
        } else {
            (self.next_u64() % n as u64) as usize
        }
    }

    /// Uniform from `low` (inclusive) to `high` (exclusive).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit_interval()
    }

    /// Returns true with this probability; draws nothing if it is 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.unit_interval() < probability
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit_interval()).ln()
    }

    /// A random element of a list; None if it is empty.
    pub fn pick<'a, T>(&mut self, list: &'a [T]) -> Option<&'a T> {
        let at = self.below(list.len());
        list.get(at)
    }
}
