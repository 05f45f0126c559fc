//! Files in which the processes of a node tell each other the ids of requests that must not run twice.
//!
//! Each process appends to a file of its own, before the first attempt of a request, and reads those of the others. A file that has
//! reached its greatest length is begun anew. Where the files cannot be used, a process knows only its own ids.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The names of the files begin with this; the process id follows.
const NAME_PREFIX: &str = "sloewick-ids-";
/// Bytes of an entry: an id, big-endian.
const ENTRY_BYTES: usize = size_of::<u128>();
/// Greatest length of a file in bytes.
const MAX_FILE_BYTES: u64 = 256 << 10;
/// Most files of other processes that are read. When a process starts, it removes those that were changed before these.
const MAX_PEERS: usize = 6;

/// The file of another process.
struct Peer {
    file: File,
    /// Number of bytes that have been read.
    offset: u64,
}

/// The files of this process and of the others. See the module documentation.
pub(crate) struct IdJournal {
    folder: PathBuf,
    own_path: PathBuf,
    /// The file of this process, once it has an id.
    own: Option<File>,
    own_len: u64,
    peers: BTreeMap<PathBuf, Peer>,
}

impl IdJournal {
    /// Finds the files in `folder`. That of this process begins with its first id. `start`: distinguishes processes with the same process id.
    pub(crate) fn open(folder: &Path, start: i64) -> IdJournal {
        let name = format!("{NAME_PREFIX}{}-{start}", std::process::id());
        let own_path = folder.join(name);
        let journal = IdJournal {
            folder: folder.to_path_buf(),
            own: None,
            own_path,
            own_len: 0,
            peers: BTreeMap::new(),
        };
        for path in journal.peer_paths().into_iter().skip(MAX_PEERS) {
            let _ = fs::remove_file(path);
        }
        journal
    }

    /// The files of other processes, the one that was changed last first.
    fn peer_paths(&self) -> Vec<PathBuf> {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let is_peer = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str());
            name.is_some_and(|name| name.starts_with(NAME_PREFIX)) && *path != self.own_path
        };
        let paths = entries.flatten().map(|entry| entry.path());
        let mut paths: Vec<PathBuf> = paths.filter(is_peer).collect();
        paths.sort_by_key(|path| std::cmp::Reverse(changed_at(path)));
        paths
    }

    /// Appends an id. A failure is not reported: the other processes then do not know the id.
    pub(crate) fn append(&mut self, id: u128) {
        if self.own.is_none() {
            let mut options = OpenOptions::new();
            let options = options.write(true).create(true).truncate(true);
            self.own = options.open(&self.own_path).ok();
        }
        let Some(file) = &mut self.own else {
            return;
        };
        if self.own_len >= MAX_FILE_BYTES {
            self.own_len = 0;
            let _ = file.set_len(0);
        }
        if file.write_at(&id.to_be_bytes(), self.own_len).is_ok() {
            self.own_len += ENTRY_BYTES as u64;
        }
    }

    /// Looks for files of other processes that have started or ended.
    fn find_peers(&mut self) {
        let mut found = self.peer_paths();
        found.truncate(MAX_PEERS);
        self.peers.retain(|path, _| found.contains(path));
        for path in found {
            if self.peers.contains_key(&path) {
                continue;
            }
            if let Ok(file) = File::open(&path) {
                self.peers.insert(path, Peer { file, offset: 0 });
            }
        }
    }

    /// Reads the ids that the other processes have appended since the last call.
    pub(crate) fn read_peers(&mut self) -> Vec<u128> {
        self.find_peers();
        let mut ids = Vec::new();
        for peer in self.peers.values_mut() {
            peer.read_into(&mut ids);
        }
        ids
    }
}

impl Peer {
    fn read_into(&mut self, ids: &mut Vec<u128>) {
        let len = self.file.metadata().map_or(0, |metadata| metadata.len());
        if len < self.offset {
            self.offset = 0;
        }
        let mut entry = [0; ENTRY_BYTES];
        while self.offset + ENTRY_BYTES as u64 <= len.min(MAX_FILE_BYTES) {
            if self.file.read_exact_at(&mut entry, self.offset).is_err() {
                return;
            }
            ids.push(u128::from_be_bytes(entry));
            self.offset += ENTRY_BYTES as u64;
        }
    }
}

/// When a file was last changed; None if that cannot be read.
fn changed_at(path: &Path) -> Option<SystemTime> {
    fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

#[cfg(test)]
#[path = "id_journal_tests.rs"]
mod tests;
