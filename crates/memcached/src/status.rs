//! Translates the response status of a cache server into the outcome of an attempt (memcached binary protocol, section
//! "Response Status").
//!
//! The translation is conservative and holds no state: where the specification leaves open whether a write took effect,
//! the outcome says that it may have run.

use sloewick_decision::api::Status;

use crate::routing::Operation;

/// Response status 0x0000: no error.
const NO_ERROR: u16 = 0x0000;
/// Response status 0x0001: key not found.
const KEY_NOT_FOUND: u16 = 0x0001;
/// Response status 0x0085: busy.
const BUSY: u16 = 0x0085;

/// How an attempt ended at a cache server that speaks the binary protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served: the value, or the receipt of the write, is the response.
    Served,
    /// Served: the key has no value. This is a response, not a failure of the cache server.
    NoValue,
    /// Not served, with the status that is reported to the decision engine.
    NotServed(Status),
}

impl Outcome {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NotServed(status) if status.never_ran())
    }
}

/// The outcome that a response status stands for; `docs/design/memcache.md` has the reasons.
pub fn outcome(operation: Operation, response_status: u16) -> Outcome {
    match (operation, response_status) {
        (_, NO_ERROR) => Outcome::Served,
        // A read-through cache server has asked the origin: there is no value.
        (Operation::Get, KEY_NOT_FOUND) => Outcome::NoValue,
        // Rejected before the request was processed.
        (_, BUSY) => Outcome::NotServed(Status::Rejected),
        // The server has parsed the request and will not execute it: unknown command, not supported, invalid arguments,
        // value too large, another server's vbucket, or not authorized. Nothing has run, and a retry there is futile.
        (_, 0x0003 | 0x0004 | 0x0007 | 0x0008 | 0x0009 | 0x0081 | 0x0083) => {
            Outcome::NotServed(Status::ConnectFailed)
        }
        // Out of memory, internal error, temporary failure: a write-through server may have forwarded the write to the
        // origin before it failed. Unknown statuses are treated alike.
        _ => Outcome::NotServed(Status::Error),
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
