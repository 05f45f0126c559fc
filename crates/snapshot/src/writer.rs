//! A thread that writes snapshots. The caller never waits for it: a snapshot that is offered while the previous one
//! is still being written is dropped, so that at most two snapshots are in memory.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use thiserror::Error;

use crate::SnapshotFile;

/// Size of the thread's stack, in bytes. The thread calls little more than the file system.
const STACK_SIZE: usize = 128 << 10;

/// Why a snapshot could not be written.
#[derive(Debug, Error)]
#[error("{}: {source}", .path.display())]
pub struct WriteError {
    /// Path of the file that was to be replaced.
    pub path: PathBuf,
    /// The operating system's error, or that the snapshot is too long.
    pub source: io::Error,
}

/// A thread that writes a [`SnapshotFile`]. It ends when this handle is dropped, after the write that is in
/// progress.
#[derive(Debug)]
pub struct SnapshotWriter {
    snapshots: SyncSender<Vec<u8>>,
    /// The most recent error that [`SnapshotWriter::take_last_error`] has not returned yet.
    last_error: Arc<Mutex<Option<WriteError>>>,
    /// Is disconnected when the thread has ended.
    ended: Receiver<()>,
}

impl SnapshotWriter {
    /// Starts the thread, which removes abandoned temporary files first.
    ///
    /// # Errors
    /// The operating system's error, if it cannot start a thread.
    pub fn start(file: SnapshotFile) -> io::Result<SnapshotWriter> {
        // The channel has no buffer: the thread accepts a snapshot only while it waits for one.
        let (sender, receiver) = sync_channel::<Vec<u8>>(0);
        let last_error = Arc::new(Mutex::new(None));
        let thread_error = last_error.clone();
        let (ends, ended) = channel::<()>();
        let write_snapshots = move || {
            let _ends = ends;
            file.remove_temporary_files();
            while let Ok(bytes) = receiver.recv() {
                if let Err(source) = file.write(&bytes) {
                    if let Ok(mut error) = thread_error.lock() {
                        let path = file.path();
                        *error = Some(WriteError { path, source });
                    }
                }
            }
        };
        thread::Builder::new()
            .name("keeper".into())
            .stack_size(STACK_SIZE)
            .spawn(write_snapshots)?;
        Ok(SnapshotWriter {
            snapshots: sender,
            last_error,
            ended,
        })
    }

    /// Passes a snapshot to the thread. Returns `false` and drops the snapshot if the previous one is still being
    /// written.
    pub fn offer(&self, bytes: Vec<u8>) -> bool {
        self.snapshots.try_send(bytes).is_ok()
    }

    /// Ends the thread and waits until it has written what it has accepted, for at most `limit`.
    pub fn finish(self, limit: Duration) {
        drop(self.snapshots);
        let _ = self.ended.recv_timeout(limit);
    }

    /// Returns the most recent error since the last call, if there was one.
    pub fn take_last_error(&self) -> Option<WriteError> {
        self.last_error
            .lock()
            .ok()
            .and_then(|mut error| error.take())
    }
}
