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
use std::path::Path;

/// The name of the file begins with this; the address of the node follows.
const NAME_PREFIX: &str = "sloewick-slots-";
/// The byte whose lock is held by the process that takes slots from the first one upwards.
const LOWER_END_BYTE: usize = 0;
/// The byte whose lock is held by the process that takes slots from the last one downwards.
const UPPER_END_BYTE: usize = 1;
/// The byte of the first slot.
const FIRST_SLOT_BYTE: usize = 2;
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
    file: File,
    /// Number of slots that the processes share.
    count: usize,
    /// None until an end was free.
    end: Option<End>,
    acquired: usize,
}

impl SlotLocks {
    /// Shares slots with the other processes of the node that listens on `listen`, through a file in `folder`: none until
    /// [`SlotLocks::set_count`] is called.
    ///
    /// # Errors
    /// The operating system's error if the file cannot be opened, or its file system has no locks.
    pub(crate) fn open(folder: &Path, listen: SocketAddr) -> io::Result<SlotLocks> {
        let mut options = OpenOptions::new();
        let options = options.read(true).write(true).create(true).truncate(false);
        let file = options.open(folder.join(format!("{NAME_PREFIX}{listen}")))?;
        let end = free_end(&file)?;
        Ok(SlotLocks {
            file,
            count: 0,
            end,
            acquired: 0,
        })
    }

    /// Sets the number of slots that the processes share, before the first is taken.
    pub(crate) fn set_count(&mut self, count: usize) {
        self.count = count;
    }

    /// Takes one more slot. Returns false if none is free.
    pub(crate) fn acquire(&mut self) -> bool {
        if self.acquired == self.count {
            return false;
        }
        if self.end.is_none() {
            self.end = free_end(&self.file).unwrap_or(None);
        }
        let byte = self.end.map(|end| self.slot_byte(end));
        let is_acquired = byte.is_some_and(|byte| try_lock(&self.file, byte).unwrap_or(false));
        self.acquired += usize::from(is_acquired);
        is_acquired
    }

    /// Releases the slot that was taken last.
    pub(crate) fn release(&mut self) {
        self.acquired = self.acquired.saturating_sub(1);
        if let Some(end) = self.end {
            let _ = set_lock(&self.file, self.slot_byte(end), libc::F_UNLCK);
        }
    }

    /// The byte of the slot next to those that this process has.
    fn slot_byte(&self, end: End) -> usize {
        match end {
            End::Lower => FIRST_SLOT_BYTE + self.acquired,
            End::Upper => FIRST_SLOT_BYTE + self.count - 1 - self.acquired,
        }
    }
}

/// Takes an end of the slots; None if other processes have both.
fn free_end(file: &File) -> io::Result<Option<End>> {
    for end in [End::Lower, End::Upper] {
        if try_lock(file, end.byte())? {
            return Ok(Some(end));
        }
    }
    Ok(None)
}

/// Locks a byte of the file. Returns false if another process has locked it.
fn try_lock(file: &File, byte: usize) -> io::Result<bool> {
    match set_lock(file, byte, libc::F_WRLCK) {
        Ok(()) => Ok(true),
        Err(error) => match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::PermissionDenied => Ok(false),
            _ => Err(error),
        },
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
