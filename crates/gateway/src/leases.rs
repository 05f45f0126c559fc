//! Leases: numbers issued by a receiver, which enable it to reject messages that are delivered too late.
//!
//! It is guaranteed that a message with a lease is admitted only within the time to live of the lease, counted on the
//! receiver's clock from the issue, and only by the incarnation of the receiver that issued it. From its own clock alone,
//! a sender therefore knows when nothing that it sent with a lease can begin any more. The clocks need not show the same
//! time; their rates must not differ by more than [`MAX_CLOCK_DRIFT_PPM`].
//!
//! The receiver's [`LeaseIssuer`] holds at most [`MAX_ISSUED_LEASES`] leases, the sender's [`LeaseHolder`] one.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;
use thiserror::Error;

/// Maximum difference between the rates of two clocks, in parts per million; quartz keeps within 100.
pub const MAX_CLOCK_DRIFT_PPM: Micros = 500;
/// Maximum number of unexpired leases of an issuer.
pub const MAX_ISSUED_LEASES: usize = 1024;

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The incarnation of the receiver that issued it.
    pub epoch: u64,
    /// Its number within the epoch, counted from 0.
    pub number: u64,
}

/// Why a message is not admitted. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another incarnation of the receiver issued the lease.
    #[error("the lease was issued by another incarnation of the receiver")]
    OtherIncarnation,
    /// The time to live of the lease is over.
    #[error("the lease has expired")]
    Expired,
    /// The lease was never issued.
    #[error("the lease was never issued")]
    NeverIssued,
}

/// An unexpired lease of an issuer.
#[derive(Debug)]
struct IssuedLease {
    number: u64,
    issued_at: Micros,
}

/// The receiver's side.
#[derive(Debug)]
pub struct LeaseIssuer {
    epoch: u64,
    ttl: Micros,
    next_number: u64,
    /// Leases that may be unexpired, the oldest first.
    issued: VecDeque<IssuedLease>,
}

impl LeaseIssuer {
    /// An issuer without leases. `epoch` must differ from those of all other incarnations of any receiver; `ttl` is the
    /// time to live of a lease, in microseconds.
    pub fn new(epoch: u64, ttl: Micros) -> LeaseIssuer {
        LeaseIssuer {
            epoch,
            ttl,
            next_number: 0,
            issued: VecDeque::new(),
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while self
            .issued
            .front()
            .is_some_and(|lease| now - lease.issued_at >= self.ttl)
        {
            self.issued.pop_front();
        }
    }

    /// Issues a lease; `None` if [`MAX_ISSUED_LEASES`] are unexpired.
    pub fn issue(&mut self, now: Micros) -> Option<Lease> {
        self.remove_expired(now);
        if self.issued.len() >= MAX_ISSUED_LEASES {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.issued.push_back(IssuedLease {
            number,
            issued_at: now,
        });
        Some(Lease {
            epoch: self.epoch,
            number,
        })
    }

    /// Checks whether a message with this lease may begin now.
    ///
    /// # Errors
    /// The lease is of another incarnation, expired or was never issued.
    pub fn admit(&mut self, now: Micros, lease: Lease) -> Result<(), LeaseError> {
        if lease.epoch != self.epoch {
            return Err(LeaseError::OtherIncarnation);
        }
        if lease.number >= self.next_number {
            return Err(LeaseError::NeverIssued);
        }
        self.remove_expired(now);
        // Leases are issued in the order of their numbers: those before the first one have been removed.
        match self.issued.front() {
            Some(oldest) if lease.number >= oldest.number => Ok(()),
            _ => Err(LeaseError::Expired),
        }
    }
}

/// A lease as its sender received it.
#[derive(Clone, Copy, Debug)]
struct ReceivedLease {
    lease: Lease,
    received_at: Micros,
}

/// A lease to send a message with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentLease {
    /// The lease.
    pub lease: Lease,
    /// When nothing that is sent with the lease can begin any more, on the sender's clock.
    pub over_at: Micros,
}

/// The sender's side.
#[derive(Debug)]
pub struct LeaseHolder {
    ttl: Micros,
    newest: Option<ReceivedLease>,
}

impl LeaseHolder {
    /// A holder without a lease. `ttl` is the time to live of the receiver's leases, in microseconds.
    pub fn new(ttl: Micros) -> LeaseHolder {
        LeaseHolder { ttl, newest: None }
    }

    /// Records a lease that has arrived, unless it is older than the newest one.
    pub fn receive(&mut self, now: Micros, lease: Lease) {
        let superseded = self.newest.is_some_and(|newest| {
            newest.lease.epoch == lease.epoch && newest.lease.number >= lease.number
        });
        if !superseded {
            self.newest = Some(ReceivedLease {
                lease,
                received_at: now,
            });
        }
    }

    /// Drops the lease: the link broke, or the receiver restarted.
    pub fn invalidate(&mut self) {
        self.newest = None;
    }

    /// The lease to send a message with, if one that arrives after `one_way_delay` (in microseconds) would still be
    /// admitted.
    pub fn current(&self, now: Micros, one_way_delay: Micros) -> Option<CurrentLease> {
        let newest = self.newest?;
        if now + one_way_delay >= newest.received_at + self.ttl {
            return None;
        }
        Some(CurrentLease {
            lease: newest.lease,
            over_at: over_at(newest.received_at, self.ttl),
        })
    }
}

/// When nothing sent with a lease can begin any more, on the sender's clock: the lease was issued before it was received,
/// and the receiver's clock may be the slower one.
fn over_at(received_at: Micros, ttl: Micros) -> Micros {
    received_at + ttl + ttl * MAX_CLOCK_DRIFT_PPM / 1_000_000 + 1
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
