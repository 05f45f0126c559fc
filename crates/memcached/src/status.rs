//! Translates the response status of a cache server into the outcome of an attempt (memcached binary protocol, section
//! "Response Status").
//!
//! The translation is stateless and conservative: if the specification does not define whether a write took effect, the
//! outcome is one of a write that may have run.

use sloewick_decision::api::Status;

use crate::routing::Operation;

/// Response status 0x0000: no error.
const NO_ERROR: u16 = 0x0000;
/// Response status 0x0001: key not found.
const KEY_NOT_FOUND: u16 = 0x0001;
/// Response status 0x0085: busy.
const BUSY: u16 = 0x0085;

/// The outcome of an attempt at a cache server that uses the binary protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served: the response holds the value that was read, or the receipt of the write.
    Served,
    /// Served: the key has no value. The attempt counts as a success of the cache server.
    NoValue,
    /// Not served; holds the attempt status that is reported to the decision engine.
    NotServed(Status),
}

impl Outcome {
    /// Returns true if it is certain that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NotServed(status) if status.never_ran())
    }
}

/// Translates a response status into the outcome of the attempt; `docs/design/memcache.md` gives the reasons.
pub fn outcome(operation: Operation, response_status: u16) -> Outcome {
    match (operation, response_status) {
        (_, NO_ERROR) => Outcome::Served,
        // A read-through cache server has already requested the key from the origin, which has no value either.
        (Operation::Get, KEY_NOT_FOUND) => Outcome::NoValue,
        // The server rejected the request before processing it.
        (_, BUSY) => Outcome::NotServed(Status::Rejected),
        // The server parsed the request and refused to execute it: unknown command, not supported, invalid arguments,
        // value too large, vbucket of another server, or not authorized. Nothing has run, and a retry at the same
        // server would fail again.
        (_, 0x0003 | 0x0004 | 0x0007 | 0x0008 | 0x0009 | 0x0081 | 0x0083) => {
            Outcome::NotServed(Status::ConnectFailed)
        }
        // Out of memory, internal error, temporary failure: a write-through server may have forwarded the write to the
        // origin before it failed. Unknown statuses are treated the same way.
        _ => Outcome::NotServed(Status::Error),
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
