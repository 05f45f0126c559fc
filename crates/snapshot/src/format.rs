//! The encoding of a snapshot. This module holds no state and performs no I/O. All numbers are little-endian:
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | `SLWS` |
//! | 2 | version of the payload's format |
//! | 16 | owner: the first bytes of the SHA-256 of a text that names the node |
//! | 8 | time at which it was taken, in microseconds of the clock that its owner's processes share |
//! | 4 | length of the payload |
//! | n | payload |
//! | 32 | SHA-256 (FIPS 180-4) of all preceding bytes |

use sha2::{Digest, Sha256};
use thiserror::Error;

const MAGIC: &[u8; 4] = b"SLWS";
/// Length of the field that holds the version, in bytes.
const VERSION_LEN: usize = 2;
/// Length of the field that identifies the owner, in bytes.
const OWNER_LEN: usize = 16;
/// Length of the field that holds the time, in bytes.
const TIME_LEN: usize = 8;
/// Length of the field that holds the payload's length, in bytes.
const LENGTH_LEN: usize = 4;
/// Length of all fields before the payload, in bytes. They differ between any two snapshots that were taken at different times.
pub const HEADER_LEN: usize = MAGIC.len() + VERSION_LEN + OWNER_LEN + TIME_LEN + LENGTH_LEN;
/// Length of the checksum after the payload, in bytes.
const CHECKSUM_LEN: usize = 32;
/// Length of a snapshot without its payload, in bytes.
pub const OVERHEAD: usize = HEADER_LEN + CHECKSUM_LEN;
/// How far ahead of the clock a snapshot may be, in microseconds. Clocks of one machine that are read one after the
/// other differ by less; a snapshot that is further ahead was taken with another clock.
const MAX_TIME_AHEAD: i64 = 1_000_000;

/// The requirements that a snapshot has to fulfil to be accepted.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The text that names the node.
    pub owner: &'a str,
    /// Version of the payload's format.
    pub version: u16,
    /// Maximum age, in microseconds.
    pub max_age: i64,
}

/// An accepted snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot<'a> {
    /// The payload, as it was given to [`encode`].
    pub payload: &'a [u8],
    /// The time since the snapshot was taken, in microseconds; never negative.
    pub age: i64,
}

/// Why a snapshot is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// It does not begin with the magic bytes `SLWS`.
    #[error("is no snapshot")]
    NotASnapshot,
    /// The format of its payload has this version, which is not the required one.
    #[error("is of version {0}")]
    VersionMismatch(u16),
    /// Another node wrote it.
    #[error("is another node's")]
    OwnerMismatch,
    /// It is shorter or longer than its header specifies.
    #[error("is torn")]
    LengthMismatch,
    /// Its checksum does not match its bytes.
    #[error("is damaged: its checksum does not fit")]
    ChecksumMismatch,
    /// It is older than allowed: it has this age, in microseconds.
    #[error("is too old: {} s", .0 / 1_000_000)]
    TooOld(i64),
    /// The time at which it was taken is this many microseconds ahead of the clock.
    #[error("is {} s ahead of the clock", .0 / 1_000_000)]
    FromFuture(i64),
}

/// The payload is too long for the header's length field, which is limited to 4 GiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a payload of {0} bytes is too long for a snapshot")]
pub struct PayloadTooLong(pub usize);

fn owner_digest(owner: &str) -> [u8; OWNER_LEN] {
    let mut digest = [0; OWNER_LEN];
    digest.copy_from_slice(&Sha256::digest(owner.as_bytes())[..OWNER_LEN]);
    digest
}

/// Encodes a snapshot with this payload, taken at `taken_at` (in microseconds of the clock that the owner's
/// processes share).
///
/// # Errors
/// [`PayloadTooLong`] if the payload exceeds 4 GiB.
pub fn encode(
    owner: &str,
    version: u16,
    taken_at: i64,
    payload: &[u8],
) -> Result<Vec<u8>, PayloadTooLong> {
    let length = u32::try_from(payload.len()).map_err(|_| PayloadTooLong(payload.len()))?;
    let mut out = Vec::with_capacity(payload.len() + OVERHEAD);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&version.to_le_bytes());
    out.extend_from_slice(&owner_digest(owner));
    out.extend_from_slice(&taken_at.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(payload);
    let checksum = Sha256::digest(&out);
    out.extend_from_slice(&checksum);
    Ok(out)
}

/// The time at which a snapshot was taken, as its header says; None if `bytes` do not begin with a header. Nothing is checked.
pub fn taken_at(bytes: &[u8]) -> Option<i64> {
    let start = MAGIC.len() + VERSION_LEN + OWNER_LEN;
    let field = bytes.get(start..start + TIME_LEN)?;
    Some(decode_little_endian(field) as i64)
}

/// Decodes an unsigned number of up to eight little-endian bytes.
fn decode_little_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Checks a snapshot at the time `now` (in microseconds of the same clock) and returns its payload and age.
///
/// # Errors
/// The first requirement that the snapshot does not fulfil.
pub fn decode<'a>(
    requirements: &Requirements<'_>,
    now: i64,
    bytes: &'a [u8],
) -> Result<Snapshot<'a>, SnapshotError> {
    let magic_len = bytes.len().min(MAGIC.len());
    if bytes[..magic_len] != MAGIC[..magic_len] {
        return Err(SnapshotError::NotASnapshot);
    }
    let Some((header, rest)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err(SnapshotError::LengthMismatch);
    };
    let (_, header) = header.split_at(MAGIC.len());
    let (version, header) = header.split_at(VERSION_LEN);
    let version = u16::from_le_bytes([version[0], version[1]]);
    if version != requirements.version {
        return Err(SnapshotError::VersionMismatch(version));
    }
    let (owner, header) = header.split_at(OWNER_LEN);
    let (taken_at, length) = header.split_at(TIME_LEN);
    let taken_at = decode_little_endian(taken_at) as i64;
    let length = decode_little_endian(length) as usize;
    if rest.len() != length.saturating_add(CHECKSUM_LEN) {
        return Err(SnapshotError::LengthMismatch);
    }
    let (content, checksum) = bytes.split_at(HEADER_LEN + length);
    if Sha256::digest(content)[..] != *checksum {
        return Err(SnapshotError::ChecksumMismatch);
    }
    if owner != owner_digest(requirements.owner) {
        return Err(SnapshotError::OwnerMismatch);
    }
    let age = now.saturating_sub(taken_at);
    if age > requirements.max_age {
        return Err(SnapshotError::TooOld(age));
    }
    if age < -MAX_TIME_AHEAD {
        return Err(SnapshotError::FromFuture(age.saturating_neg()));
    }
    Ok(Snapshot {
        payload: &content[HEADER_LEN..],
        age: age.max(0),
    })
}
