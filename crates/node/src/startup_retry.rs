//! Retries system calls that fail temporarily while a process starts. Descriptors, memory or an address may become free a
//! moment later, while a process that gave up would serve no requests.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a call is retried. The previous process may still be shutting down: it closes its listener 0.5 s after it was
/// requested to stop, or when it ends, at most 3.5 s after the request.
const MAX_RETRY_TIME: Duration = Duration::from_secs(5);
/// Pause before each retry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Whether a call may succeed a moment later: its address is in use, it was interrupted, or the process or the system has
/// run out of descriptors, buffers, memory, threads or epoll watches.
fn is_transient(error: &io::Error) -> bool {
    let transient = [
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        // Returned by epoll_ctl(2) if no more descriptors may be watched.
        Errno::NOSPC,
    ];
    error.kind() == ErrorKind::Interrupted
        || Errno::from_io_error(error).is_some_and(|errno| transient.contains(&errno))
}

/// Returns the result of `call`, which is repeated for up to 5 s while it fails with a transient error.
///
/// # Errors
/// Returns the error of the last call.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < MAX_RETRY_TIME => {
                thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}
