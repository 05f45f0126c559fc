//! What a cache box's status means: how the attempt ended, and whether it has run.
//!
//! The table errs to one side: where the specification leaves open whether a write took effect, it may have run.

use sloewick_decision::api::Status as Ended;

use crate::routing::Operation;

/// How an attempt at a box that speaks the binary protocol ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served: the value or receipt is the answer.
    Served,
    /// Served: there is no value of this key. It is an answer, and no failure of the box.
    NoValue,
    /// Not served; this is what the decision module is told.
    Not(Ended),
}

impl Outcome {
    /// Whether nothing has run, for certain.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Not(ended) if ended.never_ran())
    }
}

/// What a status means; `docs/design/memcache.md` has the reasons.
pub fn outcome(operation: Operation, status: u16) -> Outcome {
    match (operation, status) {
        (_, 0x0000) => Outcome::Served,
        // A read-through box has asked the origin: there is none.
        (Operation::Get, 0x0001) => Outcome::NoValue,
        // Busy: turned away before it was looked at.
        (_, 0x0085) => Outcome::Not(Ended::Rejected),
        // The box has read the request and will not do it: no such command, not supported, wrong arguments, too
        // large, another vbucket's, or not allowed. Nothing has run, and here it never will.
        (_, 0x0003 | 0x0004 | 0x0007 | 0x0008 | 0x0009 | 0x0081 | 0x0083) => {
            Outcome::Not(Ended::ConnectFailed)
        }
        // Out of memory, internal error, temporary failure: a write-through box may have passed the write to the
        // origin before it ran into this. Anything else, known or not, tells no more.
        _ => Outcome::Not(Ended::Error),
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
