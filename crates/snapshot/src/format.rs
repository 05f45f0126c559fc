//! A snapshot's bytes. All numbers are little-endian:
//!
//! | bytes | |
//! | --- | --- |
//! | 4 | `SLWS` |
//! | 2 | version of the payload's format |
//! | 16 | whose it is: the first bytes of the SHA-256 of a text that names the node |
//! | 8 | when it was taken, Unix time in microseconds |
//! | 4 | length of the payload |
//! | n | payload |
//! | 32 | SHA-256 (FIPS 180-4) of all before |

use std::fmt;

use sha2::{Digest, Sha256};

const MAGIC: &[u8; 4] = b"SLWS";
const OWNER: usize = 16;
const HEAD: usize = 4 + 2 + OWNER + 8 + 4;
const SUM: usize = 32;
/// Bytes of a snapshot beside its payload.
pub const OVERHEAD: usize = HEAD + SUM;
/// Clocks of one machine that were read one after the other differ by less; a snapshot that is further ahead was not
/// taken under this clock.
const AHEAD_MOST: i64 = 1_000_000;

/// What a snapshot has to be in order to be believed.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// The text that names the node.
    pub owner: &'a str,
    /// Version of the payload's format.
    pub version: u16,
    /// The oldest that is believed, in microseconds.
    pub age_most: i64,
}

/// Why a snapshot is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It does not begin as a snapshot does.
    Foreign,
    /// Its format is of this version.
    Version(u16),
    /// Another node's.
    Owner,
    /// It ends early, or goes on behind its end.
    Torn,
    /// Its checksum does not fit.
    Damaged,
    /// It was taken so long ago, in microseconds.
    Old(i64),
    /// It was taken so far ahead of the clock, in microseconds.
    Future(i64),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::Foreign => write!(f, "is no snapshot"),
            SnapshotError::Version(version) => write!(f, "is of version {version}"),
            SnapshotError::Owner => write!(f, "is another node's"),
            SnapshotError::Torn => write!(f, "is torn"),
            SnapshotError::Damaged => write!(f, "is damaged: its checksum does not fit"),
            SnapshotError::Old(age) => write!(f, "is too old: {} s", age / 1_000_000),
            SnapshotError::Future(ahead) => {
                write!(f, "is {} s ahead of the clock", ahead / 1_000_000)
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

fn owner(text: &str) -> [u8; OWNER] {
    let mut short = [0; OWNER];
    short.copy_from_slice(&Sha256::digest(text.as_bytes())[..OWNER]);
    short
}

/// A snapshot with this payload, taken at this Unix time in microseconds; none if it is longer than 4 GiB.
pub fn seal(owner_text: &str, version: u16, taken: i64, payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?;
    let mut out = Vec::with_capacity(payload.len() + OVERHEAD);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&version.to_le_bytes());
    out.extend_from_slice(&owner(owner_text));
    out.extend_from_slice(&taken.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(payload);
    let sum = Sha256::digest(&out);
    out.extend_from_slice(&sum);
    Some(out)
}

/// The payload of a snapshot and its age in microseconds at this Unix time, if it is to be believed.
///
/// # Errors
/// The first reason against it.
pub fn open<'a>(
    expected: &Expected,
    now: i64,
    bytes: &'a [u8],
) -> Result<(&'a [u8], i64), SnapshotError> {
    let begun = bytes.len().min(MAGIC.len());
    if bytes[..begun] != MAGIC[..begun] {
        return Err(SnapshotError::Foreign);
    }
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Err(SnapshotError::Torn);
    };
    let (_, head) = head.split_at(MAGIC.len());
    let (version, head) = head.split_at(2);
    let version = u16::from_le_bytes([version[0], version[1]]);
    if version != expected.version {
        return Err(SnapshotError::Version(version));
    }
    let (whose, head) = head.split_at(OWNER);
    let (taken, length) = head.split_at(8);
    let number = |bytes: &[u8]| bytes.iter().rev().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let (taken, length) = (number(taken) as i64, number(length) as usize);
    if rest.len() != length.saturating_add(SUM) {
        return Err(SnapshotError::Torn);
    }
    let (all, sum) = bytes.split_at(HEAD + length);
    if Sha256::digest(all)[..] != *sum {
        return Err(SnapshotError::Damaged);
    }
    if whose != owner(expected.owner) {
        return Err(SnapshotError::Owner);
    }
    let age = now.saturating_sub(taken);
    if age > expected.age_most {
        return Err(SnapshotError::Old(age));
    }
    if age < -AHEAD_MOST {
        return Err(SnapshotError::Future(age.saturating_neg()));
    }
    Ok((&all[HEAD..], age.max(0)))
}
