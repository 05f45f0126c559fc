//! A thread that writes snapshots. Whoever takes them is never held up: one that comes while the one before is
//! still being written is dropped, so at most two are in memory.

use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::SnapshotFile;

/// The thread needs little.
const STACK: usize = 128 << 10;

/// See the module. The thread ends when this is dropped; what it writes then it finishes, if the process lives.
#[derive(Debug)]
pub struct SnapshotWriter {
    to: SyncSender<Vec<u8>>,
    trouble: Arc<Mutex<Option<String>>>,
}

impl SnapshotWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system's, when it has no room for a thread.
    pub fn start(folder: SnapshotFile) -> std::io::Result<SnapshotWriter> {
        let (to, from) = sync_channel::<Vec<u8>>(0);
        let trouble = Arc::new(Mutex::new(None));
        let told = trouble.clone();
        let work = move || {
            folder.tidy();
            while let Ok(bytes) = from.recv() {
                if let Err(e) = folder.write(&bytes) {
                    if let Ok(mut told) = told.lock() {
                        *told = Some(format!("{}: {e}", folder.file().display()));
                    }
                }
            }
        };
        thread::Builder::new()
            .name("keeper".into())
            .stack_size(STACK)
            .spawn(work)?;
        Ok(SnapshotWriter { to, trouble })
    }

    /// Hands a snapshot over; false: the one before is still being written, and this one is dropped.
    pub fn offer(&self, bytes: Vec<u8>) -> bool {
        !matches!(
            self.to.try_send(bytes),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
        )
    }

    /// Why the last one that failed could not be written, once.
    pub fn trouble(&self) -> Option<String> {
        self.trouble
            .lock()
            .ok()
            .and_then(|mut trouble| trouble.take())
    }
}
