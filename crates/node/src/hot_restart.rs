//! Hot restart: hands the state of this process over to the next process of the node, if both share the clients' listener.
//!
//! Once a second, the decision module's checkpoint is saved as a snapshot. A new process restores the latest snapshot before it
//! serves. A snapshot that is too old, belongs to another node or cannot be read is not restored.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use sloewick_decision::api::Micros;
use sloewick_decision::settings::Names;
use sloewick_decision::Checkpoint;
use sloewick_snapshot::{decode, encode, Requirements, Snapshot, SnapshotError};
use thiserror::Error;

use crate::engine::DecisionEngine;
use crate::io::Io;
use crate::transport::{SnapshotSave, Transport};

/// Version of the snapshot's payload. It must change whenever [`Checkpoint`] or the meaning of any value in it changes.
const VERSION: u16 = 1;
/// Time between two snapshots.
const SAVE_INTERVAL: Micros = 1_000_000;
/// Maximum age of a snapshot that is restored. The snapshot of a killed process is useful to a successor that starts a moment
/// later, but not to one that starts after a pause.
const MAX_AGE: Micros = 10_000_000;

/// The reason why what another process has stored cannot be used. Its text is part of the log line.
#[derive(Debug, Error)]
pub(crate) enum RestoreError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Snapshot(SnapshotError),
    #[error("cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("contains invalid values")]
    Invalid,
}

/// Saves and restores snapshots.
pub(crate) struct HotRestart {
    /// Identifies the node; only its snapshots are restored.
    owner: String,
    /// When the next snapshot is due.
    next_save: Micros,
}

impl HotRestart {
    /// For a node that listens on `listen` and serves the first `class_count` classes of `names`. `boot_id` identifies the last
    /// boot of the machine, whose clock cannot be compared across boots.
    pub(crate) fn new(
        listen: SocketAddr,
        names: &Names,
        class_count: usize,
        boot_id: &str,
    ) -> HotRestart {
        let classes: Vec<&str> = (0..class_count)
            .map(|class| names.class_name(class))
            .collect();
        HotRestart {
            owner: format!("node {listen} classes {} boot {boot_id}", classes.join(" ")),
            next_save: SAVE_INTERVAL,
        }
    }

    /// Restores the checkpoint of the previous process. Returns false if there is no valid one.
    pub(crate) fn restore<N: Transport, M: DecisionEngine>(
        &self,
        io: &mut Io<N>,
        decision: &mut M,
    ) -> bool {
        let now = io.transport.now();
        let monotonic_time = io.transport.monotonic_time();
        let restored = match io.transport.load_snapshot() {
            Ok(None) => return false,
            Ok(Some(snapshot)) => unpack(&self.owner, monotonic_time, &snapshot),
            Err(e) => Err(e.into()),
        };
        let is_restored = restored.is_ok();
        let line = match restored {
            Ok(AgedCheckpoint { checkpoint, age }) => {
                let (servers, positions) = checkpoint.size();
                decision.restore(now, age, checkpoint);
                let ms = age / 1000;
                format!("handover: {servers} servers, {positions} positions, {ms} ms old")
            }
            Err(error) => format!("handover: not taken up: {error}"),
        };
        io.log(&line);
        is_restored
    }

    /// Whether the next snapshot is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_save
    }

    /// Saves a snapshot of the engine's checkpoint, if the engine has one.
    pub(crate) fn save<N: Transport, M: DecisionEngine>(
        &mut self,
        now: Micros,
        io: &mut Io<N>,
        decision: &M,
    ) {
        self.next_save = now + SAVE_INTERVAL;
        let Some(checkpoint) = decision.checkpoint(now) else {
            return;
        };
        let Ok(payload) = postcard::to_stdvec(&checkpoint) else {
            return;
        };
        let monotonic_time = io.transport.monotonic_time();
        let Ok(snapshot) = encode(&self.owner, VERSION, monotonic_time, &payload) else {
            return;
        };
        if let SnapshotSave::Failed(reason) = io.transport.save_snapshot(snapshot) {
            io.log(&format!("handover: not kept: {reason}"));
        }
    }
}

/// A checkpoint from a snapshot.
#[derive(Debug, PartialEq)]
struct AgedCheckpoint {
    checkpoint: Checkpoint,
    /// Time since the checkpoint was taken.
    age: Micros,
}

/// Decodes the payload of a snapshot, and computes the snapshot's age at `monotonic_time`.
///
/// # Errors
/// The requirement that the snapshot does not fulfil, or that its payload is malformed.
pub(crate) fn read_payload<T: DeserializeOwned>(
    requirements: &Requirements<'_>,
    monotonic_time: Micros,
    snapshot: &[u8],
) -> Result<(T, Micros), RestoreError> {
    let Snapshot { payload, age } =
        decode(requirements, monotonic_time, snapshot).map_err(RestoreError::Snapshot)?;
    Ok((postcard::from_bytes(payload)?, age))
}

/// Decodes and validates the checkpoint in a snapshot, and computes its age at `monotonic_time`.
fn unpack(
    owner: &str,
    monotonic_time: Micros,
    snapshot: &[u8],
) -> Result<AgedCheckpoint, RestoreError> {
    let expected = Requirements {
        owner,
        version: VERSION,
        max_age: MAX_AGE,
    };
    let (checkpoint, age) = read_payload::<Checkpoint>(&expected, monotonic_time, snapshot)?;
    let checkpoint = checkpoint.validated().ok_or(RestoreError::Invalid)?;
    Ok(AgedCheckpoint { checkpoint, age })
}

#[cfg(test)]
#[path = "hot_restart_tests.rs"]
mod tests;
