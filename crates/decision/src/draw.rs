//! Hashes, points on the line, and numbers drawn from a seed.

/// A name as 64 bits.
pub fn hash(text: &str) -> u64 {
    let h = text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    mix(h)
}

/// Spreads 64 bits over all of them.
pub fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// A 64-bit hash as a point on the line [0, 1).
pub fn point(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Small generator seeded for each instance (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    /// The next number, from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        point(mix(self.0))
    }
}
