//! Hash functions that all nodes of a fleet agree on.
//!
//! Guarantees: the same input gives the same hash on every platform and in every version
//! (`tests/stable_numbers.rs`). Nodes derive home servers, slow-start phases and slots from these hashes
//! without exchanging messages, so two versions in one fleet must compute the same values. Other packages
//! that need such a hash use these functions instead of their own. The hashes are not cryptographic, and
//! offer no protection against inputs that are chosen to collide.
//!
//! ```
//! use sloewick_decision::hash::{hash, unit_interval};
//!
//! let position = unit_interval(hash("logger/17"));
//! assert!((0.0..1.0).contains(&position));
//! ```

/// FNV-1a, 64 bits: offset basis and prime.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// FNV-1a (Fowler, Noll and Vo), 64 bits, over a sequence of bytes.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Hashes a name to 64 bits: FNV-1a over its bytes, finalised by [`mix`].
pub fn hash(text: &str) -> u64 {
    mix(fnv1a(text.bytes()))
}

/// The finalizer of `SplitMix64` (variant 13 of Stafford): a bijection in which every bit of the input
/// affects every bit of the output. Combine two hashes by mixing their exclusive or.
pub fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Maps a 64-bit hash to a number from 0 up to but not including 1, by its upper 53 bits.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
