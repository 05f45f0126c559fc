//! The file that holds a snapshot. It is replaced by a rename, so that a reader finds either the previous snapshot
//! or the next one, never a partial one. All state is in the file system.

use std::fs::{self, DirEntry, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Age above which temporary files of other processes are removed. A process that is still writing one takes less
/// time.
const MAX_TEMPORARY_FILE_AGE: Duration = Duration::from_secs(60);
/// Maximum number of directory entries that are examined for temporary files.
const MAX_ENTRIES_EXAMINED: usize = 1024;
/// Suffix of the names of temporary files.
const TEMPORARY_SUFFIX: &str = ".half";

/// A file that holds one snapshot of bounded size.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    directory: PathBuf,
    name: String,
    max_len: usize,
}

impl SnapshotFile {
    /// Describes the file `name` in `directory`, of up to `max_len` bytes. Reads and creates nothing.
    pub fn new(directory: &Path, name: &str, max_len: usize) -> SnapshotFile {
        SnapshotFile {
            directory: directory.to_path_buf(),
            name: name.to_string(),
            max_len,
        }
    }

    /// Returns the file's path.
    pub fn path(&self) -> PathBuf {
        self.directory.join(&self.name)
    }

    /// Reads the file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// Those of the operating system; [`ErrorKind::InvalidData`] if the file is longer than allowed or not a
    /// regular file.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let metadata = match fs::symlink_metadata(self.path()) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            metadata => metadata?,
        };
        let invalid = |reason: String| io::Error::new(ErrorKind::InvalidData, reason);
        if !metadata.is_file() {
            return Err(invalid("is not a regular file".into()));
        }
        // The file may grow while it is read, so the number of bytes read is bounded as well.
        let mut bytes = Vec::with_capacity((metadata.len() as usize).min(self.max_len));
        File::open(self.path())?
            .take(self.max_len as u64 + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() > self.max_len {
            return Err(invalid(format!("is longer than {} bytes", self.max_len)));
        }
        Ok(Some(bytes))
    }

    /// Replaces the snapshot. If that fails, the file still holds the previous one.
    ///
    /// # Errors
    /// Those of the operating system; [`ErrorKind::InvalidInput`] if `bytes` is longer than allowed.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.max_len {
            let reason = format!("{} bytes exceed the limit of {}", bytes.len(), self.max_len);
            return Err(io::Error::new(ErrorKind::InvalidInput, reason));
        }
        // Two processes of one node write at the same time during a hot restart: each has its own temporary file.
        let process = std::process::id();
        let temporary_name = format!("{}.{process}{TEMPORARY_SUFFIX}", self.name);
        let temporary = self.directory.join(temporary_name);
        let written = File::create(&temporary)
            .and_then(|mut file| file.write_all(bytes))
            .and_then(|()| fs::rename(&temporary, self.path()));
        if written.is_err() {
            let _ = fs::remove_file(&temporary);
        }
        written
    }

    /// Removes the temporary files that killed processes have left. Errors are ignored, since the files are
    /// harmless.
    pub fn remove_temporary_files(&self) {
        let Ok(entries) = fs::read_dir(&self.directory) else {
            return;
        };
        for entry in entries.take(MAX_ENTRIES_EXAMINED).flatten() {
            if self.is_abandoned_temporary_file(&entry) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }

    fn is_abandoned_temporary_file(&self, entry: &DirEntry) -> bool {
        let modified = entry.metadata().and_then(|metadata| metadata.modified());
        let is_old =
            modified.is_ok_and(|time| time.elapsed().is_ok_and(|age| age > MAX_TEMPORARY_FILE_AGE));
        let is_temporary = entry
            .file_name()
            .to_str()
            .is_some_and(|name| name.starts_with(&self.name) && name.ends_with(TEMPORARY_SUFFIX));
        is_temporary && is_old
    }
}
