//! Files in which the processes of a node publish their endpoint lists to each other.
//!
//! Each process replaces a file of its own, so that the list of one process never takes the place of another's. The files stay when
//! a process ends: the next process reads what the ones before it knew. Which list holds is decided elsewhere.

use std::collections::BTreeMap;
use std::fs::{self, DirEntry, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use sha2::{Digest, Sha256};
use sloewick_snapshot::{taken_at, SnapshotFile, SnapshotWriter, HEADER_LEN};

/// The names of the files begin with this; a digest of the node, the process id and the start of the process follow.
const NAME_PREFIX: &str = "sloewick-endpoints-";
/// Bytes of the digest of the node in a name.
const DIGEST_BYTES: usize = size_of::<u64>();
/// Greatest length of a file in bytes. A list has more bytes in discovery's answer, which may have no more than this.
const MAX_FILE_BYTES: usize = 4 << 20;
/// Most files of other processes that are kept when a process starts; those that were written longest ago are removed.
const MAX_PEERS: usize = 4;
/// Longest wait for the last write before the process exits.
const MAX_FINISH_TIME: Duration = Duration::from_millis(50);
/// Most entries of the folder that are examined.
const MAX_ENTRIES_EXAMINED: usize = 1024;

/// The file of this process, and what it has read of the others'. See the module documentation.
pub(crate) struct ListFiles {
    folder: PathBuf,
    /// The names of this node's files begin with this.
    prefix: String,
    own_name: String,
    writer: SnapshotWriter,
    /// The headers of the files that have been read.
    headers: BTreeMap<String, Vec<u8>>,
}

impl ListFiles {
    /// Finds the files of `node` in `folder`; the text identifies the node and the boot of its machine. `start`: distinguishes
    /// processes with the same process id.
    ///
    /// # Errors
    /// The operating system's error if it cannot start the thread that writes the file.
    pub(crate) fn open(folder: &Path, node: &str, start: i64) -> io::Result<ListFiles> {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(node.as_bytes())[..DIGEST_BYTES]);
        let prefix = format!("{NAME_PREFIX}{:016x}-", u64::from_be_bytes(digest));
        let own_name = format!("{prefix}{}-{start}", std::process::id());
        let own_file = SnapshotFile::new(folder, &own_name, MAX_FILE_BYTES);
        SnapshotFile::new(folder, &prefix, 0).remove_temporary_files();
        let files = ListFiles {
            folder: folder.to_path_buf(),
            prefix,
            own_name,
            writer: SnapshotWriter::start(own_file)?,
            headers: BTreeMap::new(),
        };
        files.remove_oldest();
        Ok(files)
    }

    /// Replaces the file of this process, without waiting. Returns false if the previous write is in progress.
    pub(crate) fn publish(&self, bytes: Vec<u8>) -> bool {
        self.writer.offer(bytes)
    }

    /// Waits a moment until a list that was accepted is written, since the process exits.
    pub(crate) fn finish(self) {
        self.writer.finish(MAX_FINISH_TIME);
    }

    /// Why a write has failed, if one has since the last call.
    pub(crate) fn take_write_error(&self) -> Option<String> {
        let error = self.writer.take_last_error();
        error.map(|error| error.to_string())
    }

    /// Reads the files of other processes that have changed since the last call, each up to `max_len` bytes.
    pub(crate) fn read_changed(&mut self, max_len: usize) -> Vec<io::Result<Vec<u8>>> {
        let names = self.peer_names();
        self.headers.retain(|name, _| names.contains(name));
        let mut changed = Vec::new();
        for name in names {
            let Ok(header) = read_header(&self.folder.join(&name)) else {
                continue;
            };
            if self.headers.get(&name) == Some(&header) {
                continue;
            }
            match SnapshotFile::new(&self.folder, &name, max_len).read() {
                Ok(Some(bytes)) => {
                    let header = bytes[..bytes.len().min(HEADER_LEN)].to_vec();
                    self.headers.insert(name, header);
                    changed.push(Ok(bytes));
                }
                Ok(None) => {}
                Err(error) => {
                    self.headers.insert(name, header);
                    changed.push(Err(error));
                }
            }
        }
        changed
    }

    /// The names of the files of other processes.
    fn peer_names(&self) -> Vec<String> {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let is_file = |entry: &DirEntry| entry.file_type().is_ok_and(|kind| kind.is_file());
        let files = entries.take(MAX_ENTRIES_EXAMINED).flatten().filter(is_file);
        let names = files.filter_map(|entry| entry.file_name().into_string().ok());
        let is_peer = |name: &String| {
            let suffix = name.strip_prefix(&self.prefix);
            suffix.is_some_and(|suffix| !suffix.contains('.')) && *name != self.own_name
        };
        names.filter(is_peer).collect()
    }

    fn remove_oldest(&self) {
        let written_at = |name: &String| {
            let header = read_header(&self.folder.join(name)).ok();
            header.and_then(|header| taken_at(&header))
        };
        let mut names = self.peer_names();
        names.sort_by_cached_key(|name| std::cmp::Reverse(written_at(name)));
        for name in names.into_iter().skip(MAX_PEERS) {
            let _ = fs::remove_file(self.folder.join(name));
        }
    }
}

/// The first bytes of a file, which differ between any two lists that a process writes.
fn read_header(path: &Path) -> io::Result<Vec<u8>> {
    let mut header = Vec::with_capacity(HEADER_LEN);
    File::open(path)?
        .take(HEADER_LEN as u64)
        .read_to_end(&mut header)?;
    Ok(header)
}

#[cfg(test)]
#[path = "list_files_tests.rs"]
mod tests;
