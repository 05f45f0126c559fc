//! Slots that the processes of a node share, each held by a lock on a byte of a file.
//!
//! Guarantee: the processes together hold at most the number of slots that there are. The system releases the locks of a process
//! that ends, however it ends.
//!
//! One process takes slots from the first one upwards, another from the last one downwards, so that each holds one range and takes
//! or releases a slot with one system call. A further process gets slots once one of the two has ended.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

/// The name of the file begins with this; the address of the node follows.
const NAME_PREFIX: &str = "sloewick-slots-";
/// The byte whose lock is held by the process that takes slots from the first one upwards.
const LOWER_END_BYTE: usize = 0;
/// The byte whose lock is held by the process that takes slots from the last one downwards.
const UPPER_END_BYTE: usize = 1;
/// The byte of the first slot.
const FIRST_SLOT_BYTE: usize = 2;
/// Number of processes among which the slots are divided if the file system has no locks.
const PROCESSES_WITHOUT_LOCKS: usize = 2;

/// The end of the range of slots from which a process takes them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Lower,
    Upper,
}

impl End {
    fn byte(self) -> usize {
        match self {
            End::Lower => LOWER_END_BYTE,
            End::Upper => UPPER_END_BYTE,
        }
    }
}

/// The slots that this process holds.
pub(crate) struct SlotLocks {
    path: PathBuf,
    /// Number of slots that the processes share.
    count: usize,
    /// None until the file could be opened.
    file: Option<File>,
    /// None until an end was free.
    end: Option<End>,
    acquired: usize,
    /// The file system has no locks, so that each process may hold an equal part of the slots.
    has_no_locks: bool,
}

impl SlotLocks {
    /// Shares slots with the other processes of the node that listens on `listen`, through a file in `folder`: none until
    /// [`SlotLocks::set_count`] is called. The file is opened when the first slot is needed; a failure is repeated with the next.
    pub(crate) fn new(folder: &Path, listen: SocketAddr) -> SlotLocks {
        SlotLocks {
            path: folder.join(format!("{NAME_PREFIX}{listen}")),
            count: 0,
            file: None,
            end: None,
            acquired: 0,
            has_no_locks: false,
        }
    }

    /// Sets the number of slots that the processes share, before the first is taken.
    pub(crate) fn set_count(&mut self, count: usize) {
        self.count = count;
    }

    /// Takes one more slot. Returns false if none is free.
    pub(crate) fn acquire(&mut self) -> bool {
        let is_acquired = self.acquired < self.limit() && self.lock_next();
        self.acquired += usize::from(is_acquired);
        is_acquired
    }

    /// Releases a slot.
    pub(crate) fn release(&mut self) {
        self.acquired = self.acquired.saturating_sub(1);
        if let (Some(file), Some(end)) = (&self.file, self.end) {
            let _ = set_lock(file, self.slot_byte(end), libc::F_UNLCK);
        }
    }

    /// Greatest number of slots that this process may hold.
    fn limit(&self) -> usize {
        if self.has_no_locks {
            self.count / PROCESSES_WITHOUT_LOCKS
        } else {
            self.count
        }
    }

    /// Locks the slot next to those that this process has.
    fn lock_next(&mut self) -> bool {
        if self.has_no_locks {
            return true;
        }
        let Some(end) = self.find_end() else {
            return false;
        };
        let byte = self.slot_byte(end);
        self.try_lock(byte)
    }

    /// The byte of the slot next to those that this process has.
    fn slot_byte(&self, end: End) -> usize {
        match end {
            End::Lower => FIRST_SLOT_BYTE + self.acquired,
            End::Upper => FIRST_SLOT_BYTE + self.count - 1 - self.acquired,
        }
    }

    /// The end from which this process takes slots; None if other processes use both, or if the file cannot be opened.
    fn find_end(&mut self) -> Option<End> {
        if self.file.is_none() {
            let mut options = OpenOptions::new();
            let options = options.read(true).write(true).create(true).truncate(false);
            self.file = options.open(&self.path).ok();
        }
        if self.end.is_none() {
            let mut ends = [End::Lower, End::Upper].into_iter();
            self.end = ends.find(|end| self.try_lock(end.byte()));
        }
        self.end
    }

    fn try_lock(&mut self, byte: usize) -> bool {
        let Some(file) = &self.file else {
            return false;
        };
        match set_lock(file, byte, libc::F_WRLCK) {
            Ok(()) => true,
            Err(error) => {
                let is_taken = [ErrorKind::WouldBlock, ErrorKind::PermissionDenied];
                self.has_no_locks = !is_taken.contains(&error.kind());
                false
            }
        }
    }
}

/// Locks or unlocks a byte of the file, without waiting. The lock belongs to the open file, not to the process (fcntl(2), "Open file
/// description locks").
fn set_lock(file: &File, byte: usize, kind: libc::c_int) -> io::Result<()> {
    let request = libc::flock {
        l_type: kind as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: byte as libc::off_t,
        l_len: 1,
        l_pid: 0,
    };
    // SAFETY: the call only reads the request, which lives until it returns; the descriptor is open.
    let result = unsafe { libc::fcntl(file.as_raw_fd(), libc::F_OFD_SETLK, &raw const request) };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

#[cfg(test)]
#[path = "slot_locks_tests.rs"]
mod tests;
