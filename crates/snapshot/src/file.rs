//! Where snapshots lie: one file, replaced whole by a rename, so that a reader finds the one before or the one
//! after and never a part.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a process that was killed has left half written is taken away after this time.
const LEFT_OVER: Duration = Duration::from_secs(60);
/// Files of a folder that are looked at for that.
const LOOK_MOST: usize = 1024;

/// A folder that holds one snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    path: PathBuf,
    name: &'static str,
    longest: usize,
}

impl SnapshotFile {
    /// `name`: of the file; `longest`: bytes that a snapshot may have.
    pub fn new(path: &Path, name: &'static str, longest: usize) -> SnapshotFile {
        SnapshotFile {
            path: path.to_path_buf(),
            name,
            longest,
        }
    }

    /// The file.
    pub fn file(&self) -> PathBuf {
        self.path.join(self.name)
    }

    /// Its bytes; none if there is no such file.
    ///
    /// # Errors
    /// The system's; [`ErrorKind::InvalidData`] if it is longer than allowed, or no file.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let about = match fs::symlink_metadata(self.file()) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            about => about?,
        };
        let bad = |why: String| io::Error::new(ErrorKind::InvalidData, why);
        if !about.is_file() {
            return Err(bad("is no file".into()));
        }
        // It may grow while it is read.
        let mut bytes = Vec::with_capacity((about.len() as usize).min(self.longest));
        File::open(self.file())?
            .take(self.longest as u64 + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() > self.longest {
            return Err(bad(format!("is longer than {} bytes", self.longest)));
        }
        Ok(Some(bytes))
    }

    /// Replaces the snapshot.
    ///
    /// # Errors
    /// The system's; the one before stands then. [`ErrorKind::InvalidInput`] if it is longer than allowed.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.longest {
            let why = format!("{} bytes, {} are allowed", bytes.len(), self.longest);
            return Err(io::Error::new(ErrorKind::InvalidInput, why));
        }
        // Two processes of one node write side by side during an upgrade.
        let half = self
            .path
            .join(format!("{}.{}.half", self.name, std::process::id()));
        let written = File::create(&half)
            .and_then(|mut file| file.write_all(bytes))
            .and_then(|()| fs::rename(&half, self.file()));
        if written.is_err() {
            let _ = fs::remove_file(&half);
        }
        written
    }

    /// Takes away what processes that were killed have left half written.
    pub fn tidy(&self) {
        let Ok(all) = fs::read_dir(&self.path) else {
            return;
        };
        for entry in all.take(LOOK_MOST).flatten() {
            let name = entry.file_name();
            let ours = name
                .to_str()
                .is_some_and(|n| n.starts_with(self.name) && n.ends_with(".half"));
            let changed = entry.metadata().and_then(|about| about.modified());
            let old = changed.is_ok_and(|at| at.elapsed().is_ok_and(|age| age > LEFT_OVER));
            if ours && old {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}
