//! Snapshots that outlive a process: what is in one ([`seal`], [`open`]: no I/O), the folder that holds it
//! ([`SnapshotFile`]), and a thread that writes it ([`SnapshotWriter`]), so that a slow disk holds nobody up.
//!
//! A snapshot is believed only whole, from the same kind of node, in this version of its format, and while it is
//! young enough; all else is told apart by [`SnapshotError`].

mod file;
mod format;
mod writer;

pub use file::SnapshotFile;
pub use format::{open, seal, Expected, SnapshotError, OVERHEAD};
pub use writer::SnapshotWriter;
