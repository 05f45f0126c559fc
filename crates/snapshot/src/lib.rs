//! Snapshots of a process's state, stored in a file from which a later process restores it.
//!
//! - [`encode`] and [`decode`] define the bytes of a snapshot and perform no I/O.
//! - [`SnapshotFile`] is the file that holds one snapshot, replaced atomically.
//! - [`SnapshotWriter`] is a thread that writes the file, so that a slow disk does not delay the caller.
//!
//! A snapshot is accepted only if it is complete, undamaged, written by the same owner in the expected version of
//! the payload's format, and recent enough. Otherwise a [`SnapshotError`] gives the reason.

mod file;
mod format;
mod writer;

pub use file::SnapshotFile;
pub use format::{
    decode, encode, taken_at, PayloadTooLong, Requirements, Snapshot, SnapshotError, HEADER_LEN,
    OVERHEAD,
};
pub use writer::{SnapshotWriter, WriteError};
